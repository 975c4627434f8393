//! The report of a role: each quantity at each size with the range of its samples and its growth
//! exponent, printed as a Markdown table or as JSON.

use super::measure;
use comfy_table::{presets::ASCII_MARKDOWN, Table};
use serde::{Deserialize, Serialize};

/// Whether a value was measured or calculated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Provenance {
    /// Counted or timed in this run.
    Measured,
    /// Calculated from measured values and planned sizes.
    #[serde(rename = "reckoned")]
    Derived,
}

/// A quantity at one size: the median and the range of its samples.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size, in the unit that [`RoleReport::varied`] names.
    pub size: usize,
    /// The median sample; the upper of the two middle ones if their number is even.
    pub median: f64,
    /// The smallest sample.
    pub low: f64,
    /// The largest sample.
    pub high: f64,
    /// The number of samples.
    pub runs: usize,
}

/// The values of one quantity at all sizes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SizeSeries {
    /// The title of the quantity; unique within a report.
    pub quantity: String,
    /// The unit of the values.
    pub unit: String,
    /// Whether the values were measured or calculated.
    pub basis: Provenance,
    /// The values, in the order in which the sizes were run.
    pub points: Vec<Point>,
    /// The exponent of the power of the size with which the median grows; `None` for fewer than two
    /// sizes.
    pub exponent: Option<f64>,
}

impl SizeSeries {
    /// Returns an empty series for a quantity that the run measures.
    #[must_use]
    pub fn measured(quantity: &str, unit: &str) -> SizeSeries {
        SizeSeries::new(quantity, unit, Provenance::Measured)
    }

    /// Returns an empty series for a quantity that the run calculates.
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

    /// Adds a point for the samples at one size and updates the exponent; does nothing if there are
    /// no samples.
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

    /// Returns the median at a size; `None` if the quantity has no value at this size.
    #[must_use]
    pub fn at(&self, size: usize) -> Option<f64> {
        self.points
            .iter()
            .find(|point| point.size == size)
            .map(|point| point.median)
    }
}

/// The result of running one role.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoleReport {
    /// The name of the role, with " by service" if the servers were divided into services.
    pub role: String,
    /// What the sizes count, such as "servers".
    pub varied: String,
    /// The measured and calculated quantities.
    pub figures: Vec<SizeSeries>,
    /// Assumptions and limits of the run that a reader of the values needs to know.
    pub notes: Vec<String>,
    /// Resident memory of the process at the end of the run, in bytes.
    pub resident_bytes: u64,
}

impl RoleReport {
    /// Returns the series of a quantity by its title.
    #[must_use]
    pub fn figure(&self, quantity: &str) -> Option<&SizeSeries> {
        self.figures
            .iter()
            .find(|figure| figure.quantity == quantity)
    }

    /// Returns the report as Markdown: a table with a row for each quantity and a column for each
    /// size, followed by the notes.
    #[must_use]
    pub fn table(&self) -> String {
        let sizes = self.sizes();
        let columns = sizes.iter().map(|size| format!("{size} {}", self.varied));
        let header = ["quantity", "unit", "basis"].map(String::from);
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
            "## {}\n\n{table}\n\n{notes}- resident memory at the end: {resident} MiB\n",
            self.role
        )
    }

    /// Returns the sizes of all series in ascending order, without duplicates.
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
