//! The result of a run: figures by size with their ranges and growth exponents, as tables and as
//! JSON.

use super::measure;
use comfy_table::{presets::ASCII_MARKDOWN, Table};
use serde::{Deserialize, Serialize};

/// Where a figure comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Provenance {
    /// Counted or timed in this run.
    Measured,
    /// Calculated from what was measured.
    #[serde(rename = "reckoned")]
    Derived,
}

/// A figure at one size: the median of the samples and their range.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size.
    pub size: usize,
    /// The median.
    pub median: f64,
    /// The smallest.
    pub low: f64,
    /// The largest.
    pub high: f64,
    /// The number of samples.
    pub runs: usize,
}

/// One quantity over the sizes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SizeSeries {
    /// What it is.
    pub quantity: String,
    /// Its unit.
    pub unit: String,
    /// Where it comes from.
    pub basis: Provenance,
    /// Its values by size.
    pub points: Vec<Point>,
    /// Its growth as an exponent of the size; none for fewer than two sizes.
    pub exponent: Option<f64>,
}

impl SizeSeries {
    /// A figure that this run measures.
    #[must_use]
    pub fn measured(quantity: &str, unit: &str) -> SizeSeries {
        SizeSeries::new(quantity, unit, Provenance::Measured)
    }

    /// A figure that this run calculates.
    #[must_use]
    pub fn derived(quantity: &str, unit: &str) -> SizeSeries {
        SizeSeries::new(quantity, unit, Provenance::Derived)
    }

    fn new(quantity: &str, unit: &str, basis: Provenance) -> SizeSeries {
        SizeSeries {
            quantity: quantity.into(),
            unit: unit.into(),
            basis,
            points: Vec::new(),
            exponent: None,
        }
    }

    /// Adds the samples at one size; nothing if there are none.
    pub fn push(&mut self, size: usize, samples: &[f64]) {
        let mut sorted = samples.to_vec();
        sorted.sort_by(f64::total_cmp);
        let (Some(low), Some(high)) = (sorted.first(), sorted.last()) else {
            return;
        };
        let (low, high, runs) = (*low, *high, sorted.len());
        self.points.push(Point {
            size,
            median: sorted[runs / 2],
            low,
            high,
            runs,
        });
        let medians: Vec<(f64, f64)> = self
            .points
            .iter()
            .map(|point| (point.size as f64, point.median))
            .collect();
        self.exponent = measure::exponent(&medians);
    }

    /// The median at a size.
    #[must_use]
    pub fn at(&self, size: usize) -> Option<f64> {
        self.points
            .iter()
            .find(|point| point.size == size)
            .map(|point| point.median)
    }
}

/// The result of one role's run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoleReport {
    /// The role.
    pub role: String,
    /// What the sizes count.
    pub varied: String,
    /// The figures.
    pub figures: Vec<SizeSeries>,
    /// Remarks on the figures.
    pub notes: Vec<String>,
    /// Bytes of this process that were resident when the run ended.
    pub resident_bytes: u64,
}

impl RoleReport {
    /// The figure of that name.
    #[must_use]
    pub fn figure(&self, quantity: &str) -> Option<&SizeSeries> {
        self.figures
            .iter()
            .find(|figure| figure.quantity == quantity)
    }

    /// As a table in Markdown: a line for each figure, a column for each size.
    #[must_use]
    pub fn table(&self) -> String {
        let sizes = self.sizes();
        let columns = sizes.iter().map(|size| format!("{size} {}", self.varied));
        let header = ["figure", "unit", "basis"].map(String::from);
        let mut table = Table::new();
        table
            .load_preset(ASCII_MARKDOWN)
            .set_header(header.into_iter().chain(columns).chain(["exponent".into()]));
        for figure in &self.figures {
            table.add_row(figure.row(&sizes));
        }
        let notes: String = self
            .notes
            .iter()
            .map(|note| format!("- {note}\n"))
            .collect();
        let resident = self.resident_bytes >> 20;
        format!(
            "## {}\n\n{table}\n\n{notes}- resident at the end: {resident} MiB\n",
            self.role
        )
    }

    /// The sizes of all figures, the smallest first.
    fn sizes(&self) -> Vec<usize> {
        let points = self.figures.iter().flat_map(|figure| &figure.points);
        let mut sizes: Vec<usize> = points.map(|point| point.size).collect();
        sizes.sort_unstable();
        sizes.dedup();
        sizes
    }
}

impl SizeSeries {
    fn row(&self, sizes: &[usize]) -> Vec<String> {
        let basis = match self.basis {
            Provenance::Measured => "measured",
            Provenance::Derived => "reckoned",
        };
        let cell = |size: &usize| {
            let mut points = self.points.iter();
            let point = points.find(|point| point.size == *size);
            point.map_or("-".into(), ToString::to_string)
        };
        let exponent = self
            .exponent
            .map_or("-".into(), |exponent| format!("{exponent:.2}"));
        let mut row = vec![self.quantity.clone(), self.unit.clone(), basis.into()];
        row.extend(sizes.iter().map(cell));
        row.push(exponent);
        row
    }
}

impl std::fmt::Display for Point {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let short = |value: f64| match value.abs() {
            0.0 => "0".to_owned(),
            v if v >= 100.0 => format!("{value:.0}"),
            v if v >= 1.0 => format!("{value:.1}"),
            _ => format!("{value:.4}"),
        };
        write!(f, "{}", short(self.median))?;
        if self.low < self.high {
            write!(f, " ({}-{})", short(self.low), short(self.high))?;
        }
        Ok(())
    }
}
