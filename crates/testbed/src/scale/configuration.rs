//! The cost of reading the operator's file by its number of routes. Each change of the
//! configuration requires the complete file to be read.

use super::measure::{millis, timed};
use super::report::{RoleReport, SizeSeries};
use super::run_options::RunOptions;
use super::targets;
use kdl::KdlDocument;
use roseyard_operator_config::OperatorFile;

/// The largest operator's file that the program accepts.
const MAX_FILE_BYTES: usize = 1 << 20;

/// Reads a file for each number of routes, with services in proportion to the planned size.
pub(super) fn run(options: &RunOptions) -> RoleReport {
    let mut figures = Figures::new();
    let mut notes = Vec::new();
    for &size in &options.sizes {
        options.progress(&format!("configuration: {size} routes"));
        let text = file_of_routes(size);
        measure(options, size, &text, &mut figures);
        if text.len() > MAX_FILE_BYTES {
            notes.push(format!(
                "the file with {size} routes exceeds the limit of {MAX_FILE_BYTES} bytes"
            ));
        }
    }
    notes.push(
        "a change requires a new file on each machine and SIGHUP; the platform has no means to distribute the file"
            .into(),
    );
    options.report("configuration", "routes", figures.series(), notes)
}

fn measure(options: &RunOptions, size: usize, text: &str, figures: &mut Figures) {
    let changes_a_second = targets::CHANGES_A_DAY / targets::SECONDS_A_DAY;
    let bytes = text.len() as f64;
    figures.bytes.push(size, &[bytes]);
    figures.byte_rate.push(size, &[bytes * changes_a_second]);
    let parses_ms = samples_ms(options, || {
        KdlDocument::parse_v2(text).expect("the testbed's text parses")
    });
    let share = |ms: &f64| ms / 1e3 * changes_a_second * 100.0;
    figures
        .core_percent
        .push(size, &parses_ms.iter().map(share).collect::<Vec<_>>());
    figures.parse.push(size, &parses_ms);
    let address_file = file_of_addresses(size);
    let checks_ms = samples_ms(options, || {
        OperatorFile::parse("scale.kdl", &address_file).map_err(|error| error.lines())
    });
    figures.check.push(size, &checks_ms);
}

/// Returns the processor time of each repeat in milliseconds.
fn samples_ms<T>(options: &RunOptions, work: impl Fn() -> T) -> Vec<f64> {
    let sample = |_| {
        let (_, took) = timed(|| std::hint::black_box(work()));
        millis(took)
    };
    (0..options.repeats).map(sample).collect()
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
            bytes: measured("size of the file", "bytes"),
            byte_rate: derived(
                "sending the file for each of 21,000 changes a day",
                "bytes/s",
            ),
            parse: measured("processor time to parse the file", "ms"),
            core_percent: derived(
                "parsing the file for each of 21,000 changes a day",
                "% of a core",
            ),
            check: measured(
                "processor time to parse and check a file of as many addresses",
                "ms",
            ),
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

/// Returns a file with `count` routes, which are distributed over services, and a network for each
/// service.
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

/// Returns a file that the program accepts, with a list of `count` addresses instead of routes.
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
