//! What the operator's file costs to read, by its length: each change is read as a complete file.

use super::measure::{millis, timed};
use super::report::{RoleReport, SizeSeries};
use super::run_options::RunOptions;
use super::targets;
use kdl::KdlDocument;
use roseyard_operator_config::OperatorFile;

/// Longest file in bytes; the program rejects a longer one.
const MAX_FILE_BYTES: usize = 1 << 20;

/// Reads a file of this many routes, with services and servers in proportion to the planned size.
pub(super) fn run(run: &RunOptions) -> RoleReport {
    let mut figures = Figures::new();
    let mut notes = Vec::new();
    for &size in &run.sizes {
        run.progress(&format!("configuration: {size} routes"));
        let text = file_of_routes(size);
        measure(run, size, &text, &mut figures);
        if text.len() > MAX_FILE_BYTES {
            notes.push(format!(
                "{size} routes are over the bound of the file, {MAX_FILE_BYTES} bytes"
            ));
        }
    }
    notes.push(
        "a change is a file put on each machine and SIGHUP: nothing sends it there (missing)"
            .into(),
    );
    run.report("configuration", "routes", figures.series(), notes)
}

fn measure(run: &RunOptions, size: usize, text: &str, figures: &mut Figures) {
    let changes_a_second = targets::CHANGES_A_DAY / targets::SECONDS_A_DAY;
    let bytes = text.len() as f64;
    figures.bytes.push(size, &[bytes]);
    figures.byte_rate.push(size, &[bytes * changes_a_second]);
    let parses_ms = samples(run, || {
        KdlDocument::parse_v2(text).expect("the testbed's text parses")
    });
    let share = |ms: &f64| ms / 1e3 * changes_a_second * 100.0;
    figures
        .core_percent
        .push(size, &parses_ms.iter().map(share).collect::<Vec<_>>());
    figures.parse.push(size, &parses_ms);
    let known = file_of_addresses(size);
    let checks_ms = samples(run, || {
        OperatorFile::parse("scale.kdl", &known).map_err(|error| error.lines())
    });
    figures.check.push(size, &checks_ms);
}

/// Milliseconds of processor time of each repeat.
fn samples<T>(run: &RunOptions, work: impl Fn() -> T) -> Vec<f64> {
    let sample = |_| {
        let (_, took) = timed(|| std::hint::black_box(work()));
        millis(took)
    };
    (0..run.repeats).map(sample).collect()
}

struct Figures {
    bytes: SizeSeries,
    byte_rate: SizeSeries,
    parse: SizeSeries,
    core_percent: SizeSeries,
    check: SizeSeries,
}

impl Figures {
    fn new() -> Figures {
        let measured = SizeSeries::measured;
        let derived = SizeSeries::derived;
        Figures {
            bytes: measured("file", "bytes"),
            byte_rate: derived("21,000 changes a day, the file sent at each", "bytes/s"),
            parse: measured("processor time to parse the file", "ms"),
            core_percent: derived(
                "21,000 changes a day, the file parsed at each",
                "% of a core",
            ),
            check: measured("processor time to parse and check as many addresses", "ms"),
        }
    }

    fn series(self) -> Vec<SizeSeries> {
        vec![
            self.bytes,
            self.byte_rate,
            self.parse,
            self.core_percent,
            self.check,
        ]
    }
}

/// So many routes, each of one service, and the services with their networks.
fn file_of_routes(count: usize) -> String {
    let services = (count * targets::SERVICES / targets::ROUTES).max(1);
    let mut text = String::from("services {\n");
    for service in 0..services {
        let (high, low) = (service >> 8, service & 0xff);
        text += &format!(
            "    service \"service-{service:04}\" {{\n        networks \"10.{high}.{low}.0/24\"\n"
        );
        for route in (service..count).step_by(services) {
            text += &format!("        route \"form-route-{route:05}\"\n");
        }
        text += "    }\n";
    }
    text + "}\n"
}

/// A file that the program accepts, with a list of addresses in place of routes.
fn file_of_addresses(count: usize) -> String {
    let list: Vec<String> = (0..count)
        .map(|number| {
            let (high, middle, low) = (number >> 16, (number >> 8) & 0xff, number & 0xff);
            format!("\"10.{high}.{middle}.{low}/32\"")
        })
        .collect();
    format!(
        "admission {{\n    by-address #true\n    listed {}\n}}\n",
        list.join(" ")
    )
}
