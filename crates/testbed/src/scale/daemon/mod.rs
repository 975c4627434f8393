//! Measures the real daemon at several sizes: one process on loopback with a fake platform of up to
//! 54,000 servers, each at its own address. Two versions of the daemon can be compared. Cost is CPU
//! time from the scheduler's statistics.

mod case;
mod discovery;
pub mod faults;
mod load;
mod measured_daemon;
mod metered_listener;
mod options;
mod platform;
mod quantities;
mod sample;
mod servers;

pub use options::DaemonOptions;

use super::measure;
use super::report::RoleReport;
use case::{cases, CaseSeries, ServiceLayout};
use quantities::{empty_figures, push_samples, Sample};
use sample::{direct_latency_note, sample};
use std::io;

/// The report on the cases of one series.
struct SeriesReport {
    series: CaseSeries,
    report: RoleReport,
}

/// Measures each case and returns a report for each series; the versions alternate at each size.
pub fn run(options: &DaemonOptions) -> io::Result<Vec<RoleReport>> {
    let mut reports: Vec<SeriesReport> = Vec::new();
    for case in cases(options) {
        options.run.progress(&format!("{case:?}"));
        let samples: Vec<Sample> = (0..options.run.repeats)
            .map(|repeat| sample(options, &case, options.run.seed + repeat as u64))
            .collect::<io::Result<_>>()?;
        let report = report_of(&mut reports, case.series());
        push_samples(&mut report.figures, case.size(), &samples);
    }
    let note = direct_latency_note(options)?;
    let mut reports: Vec<RoleReport> = reports.into_iter().map(|entry| entry.report).collect();
    for report in &mut reports {
        report.figures.retain(|figure| !figure.points.is_empty());
        report.notes.push(note.clone());
        report.resident_bytes = measure::resident_bytes();
    }
    Ok(reports)
}

/// Returns the report on a series; adds an empty one if there is none yet.
fn report_of(reports: &mut Vec<SeriesReport>, series: CaseSeries) -> &mut RoleReport {
    let existing = reports.iter().position(|entry| entry.series == series);
    let index = existing.unwrap_or_else(|| {
        let report = empty_report(series);
        reports.push(SeriesReport { series, report });
        reports.len() - 1
    });
    &mut reports[index].report
}

fn empty_report(series: CaseSeries) -> RoleReport {
    let version = if series.is_baseline { "before" } else { "now" };
    let layout = match series.layout {
        ServiceLayout::Unnamed => "all servers in one service",
        ServiceLayout::LongTail => "17 servers a service in the mean",
    };
    let varied = if series.tenants_varied {
        "tenants"
    } else {
        "servers"
    };
    RoleReport {
        role: format!("daemon, {version}, {layout}"),
        varied: varied.into(),
        figures: empty_figures(),
        notes: Vec::new(),
        resident_bytes: 0,
    }
}
