//! What the operator's file costs to read, by its length: each change is read as the whole file
//! today.

use super::measure::timed;
use super::report::{RoleReport, SizeSeries};
use super::{targets, Run};
use kdl::KdlDocument;
use roseyard_operator_config::File;

/// What a file may hold at most, in bytes; the program refuses a longer one.
const FILE_BOUND: usize = 1 << 20;

/// Reads a file of so many routes, with services and servers in the plan's proportion.
pub(super) fn run(run: &Run) -> RoleReport {
    let mut bytes = SizeSeries::measured("file", "bytes");
    let mut parse = SizeSeries::measured("processor time to parse the file", "ms");
    let mut check =
        SizeSeries::measured("processor time to parse and check as many addresses", "ms");
    let mut share = SizeSeries::derived(
        "21,000 changes a day, the file parsed at each",
        "% of a core",
    );
    let mut rate = SizeSeries::derived("21,000 changes a day, the file sent at each", "bytes/s");
    let mut notes = Vec::new();
    let each_second = targets::CHANGES_A_DAY / targets::DAY;
    for &size in &run.sizes {
        run.progress(&format!("configuration: {size} routes"));
        let text = routes(size);
        bytes.push(size, &[text.len() as f64]);
        rate.push(size, &[text.len() as f64 * each_second]);
        let parses: Vec<f64> = (0..run.repeats)
            .map(|_| millis(|| KdlDocument::parse_v2(&text).expect("the lab's own text")))
            .collect();
        share.push(
            size,
            &parses
                .iter()
                .map(|ms| ms / 1e3 * each_second * 100.0)
                .collect::<Vec<_>>(),
        );
        parse.push(size, &parses);
        let known = addresses(size);
        let checks: Vec<f64> = (0..run.repeats)
            .map(|_| millis(|| File::parse("scale.kdl", &known).map_err(|e| e.lines())))
            .collect();
        check.push(size, &checks);
        if text.len() > FILE_BOUND {
            notes.push(format!(
                "{size} routes are over the bound of the file, {FILE_BOUND} bytes"
            ));
        }
    }
    notes.push(
        "a change is a file put on each machine and SIGHUP: nothing sends it there (missing)"
            .into(),
    );
    run.report(
        "configuration",
        "routes",
        vec![bytes, rate, parse, share, check],
        notes,
    )
}

fn millis<T>(work: impl FnOnce() -> T) -> f64 {
    timed(|| std::hint::black_box(work())).1.as_secs_f64() * 1e3
}

/// So many routes, each naming a service, and the services with their networks.
fn routes(count: usize) -> String {
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

/// A file that today's program takes, with a list of addresses in place of routes.
fn addresses(count: usize) -> String {
    let list: Vec<String> = (0..count)
        .map(|n| format!("\"10.{}.{}.{}/32\"", n >> 16, (n >> 8) & 0xff, n & 0xff))
        .collect();
    format!(
        "admission {{\n    by-address #true\n    listed {}\n}}\n",
        list.join(" ")
    )
}
