//! A status file of an earlier release, from before the packages were renamed, stays readable.

use std::path::Path;
use std::process::{Command, Output};

const STORED: &str = include_str!("data/status.json");
const TABLE: &str = "\
member  standing  heard  address          zone  stage    life
n1      left      2.5 s  127.0.0.1:43821  z1    leaving  1796291297475.0
n2      alive     0.1 s  127.0.0.1:58922  z2    serving  1796291297485.0
        16  probes
         0  probes failed
        52  received
         0  records not remembered
        56  sent
         0  stalls of its own
         0  suspicions refuted
";

fn status(arguments: &[&str]) -> Output {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/status.json");
    let mut command = Command::new(env!("CARGO_BIN_EXE_roseyard-ingress"));
    command.arg("status").args(arguments).arg(file);
    command.output().expect("the program runs")
}

#[test]
fn a_stored_status_is_shown_as_a_table() {
    let output = status(&[]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("the table is text");
    let (head, table) = text.split_once('\n').expect("a head line and a table");
    assert!(
        head.starts_with("n0 on 127.0.0.1:46363, written "),
        "{head}"
    );
    assert!(
        head.ends_with(" s ago: 2 of 3 answer (a majority), local health 0"),
        "{head}"
    );
    assert_eq!(table, TABLE);
}

#[test]
fn a_stored_status_is_printed_unchanged_as_json() {
    let output = status(&["--json"]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("JSON is text");
    assert_eq!(text.trim_end(), STORED.trim_end());
}
