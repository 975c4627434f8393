//! What a run has shown: figures by size with their ranges and slopes, as tables and as JSON.

use super::measure;
use comfy_table::{presets::ASCII_MARKDOWN, Table};
use serde::{Deserialize, Serialize};

/// Where a figure comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Provenance {
    /// Counted or timed in this run.
    Measured,
    /// Worked out from what was measured.
    #[serde(rename = "reckoned")]
    Derived,
}

/// A figure at one size: the median of the runs and their range.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size.
    pub size: usize,
    /// The median.
    pub median: f64,
    /// The least.
    pub low: f64,
    /// The greatest.
    pub high: f64,
    /// How many runs.
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
    /// Its growth: the exponent of the size; none for fewer than two sizes.
    pub exponent: Option<f64>,
}

impl SizeSeries {
    /// A figure that this run measures.
    pub fn measured(quantity: &str, unit: &str) -> SizeSeries {
        SizeSeries::of(quantity, unit, Provenance::Measured)
    }

    /// A figure that this run works out.
    pub fn derived(quantity: &str, unit: &str) -> SizeSeries {
        SizeSeries::of(quantity, unit, Provenance::Derived)
    }

    fn of(quantity: &str, unit: &str, basis: Provenance) -> SizeSeries {
        SizeSeries {
            quantity: quantity.into(),
            unit: unit.into(),
            basis,
            points: Vec::new(),
            exponent: None,
        }
    }

    /// Adds the values of some runs at one size.
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
            .map(|p| (p.size as f64, p.median))
            .collect();
        self.exponent = measure::exponent(&medians);
    }

    /// The median at a size.
    pub fn at(&self, size: usize) -> Option<f64> {
        self.points
            .iter()
            .find(|p| p.size == size)
            .map(|p| p.median)
    }
}

/// What one role's run has shown.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoleReport {
    /// The role.
    pub role: String,
    /// What the sizes count.
    pub varied: String,
    /// The figures.
    pub figures: Vec<SizeSeries>,
    /// What else there is to say.
    pub notes: Vec<String>,
    /// Bytes of this process that were resident when the run ended.
    pub resident_bytes: u64,
}

impl RoleReport {
    /// The figure of that name.
    pub fn figure(&self, quantity: &str) -> Option<&SizeSeries> {
        self.figures.iter().find(|f| f.quantity == quantity)
    }

    /// As a table in Markdown: a line for each figure, a column for each size.
    pub fn table(&self) -> String {
        let mut sizes: Vec<usize> = self
            .figures
            .iter()
            .flat_map(|f| f.points.iter().map(|p| p.size))
            .collect();
        sizes.sort_unstable();
        sizes.dedup();
        let mut table = Table::new();
        let columns = sizes.iter().map(|size| format!("{size} {}", self.varied));
        let header = ["figure", "unit", "basis"]
            .map(String::from)
            .into_iter()
            .chain(columns);
        table
            .load_preset(ASCII_MARKDOWN)
            .set_header(header.chain(["exponent".into()]));
        for figure in &self.figures {
            let basis = match figure.basis {
                Provenance::Measured => "measured",
                Provenance::Derived => "reckoned",
            };
            let head = [figure.quantity.clone(), figure.unit.clone(), basis.into()];
            let cell = |size: &usize| {
                figure
                    .points
                    .iter()
                    .find(|p| p.size == *size)
                    .map_or("-".into(), |p| p.to_string())
            };
            let exponent = figure.exponent.map_or("-".into(), |e| format!("{e:.2}"));
            table.add_row(
                head.into_iter()
                    .chain(sizes.iter().map(cell))
                    .chain([exponent]),
            );
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
