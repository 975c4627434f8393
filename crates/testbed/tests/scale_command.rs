//! The command `roseyard-testbed scale`.

use roseyard_testbed::scale::Role;
use std::process::{Command, Output};

fn scale(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_roseyard-testbed"))
        .arg("scale")
        .args(args)
        .output()
        .expect("the testbed runs")
}

#[test]
fn invalid_role_or_size_is_rejected_with_the_allowed_range() {
    for (args, expected) in [
        (&["--role", "everything"][..], "membership"),
        (&["--role", "decision", "--sizes", "17,54001"], "1 to 54000"),
        (&["--role", "decision", "--sizes", "0"], "1 to 54000"),
        (&["--role", "membership", "--sizes", "2"], "3 to 4300"),
        (&["--role", "all", "--sizes", "17"], "one role"),
        (&["--role", "decision", "--sizes", "many"], "many"),
    ] {
        let output = scale(args);
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(
            !output.status.success() && text.contains(expected),
            "{args:?}: {text}"
        );
    }
}

#[test]
fn json_output_has_only_the_figures() {
    let output = scale(&[
        "--role",
        "admission",
        "--sizes",
        "100,200",
        "--repeats",
        "1",
        "--json",
        "-",
    ]);
    assert!(
        output.status.success() && output.stderr.is_empty(),
        "progress is for terminals"
    );
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(json["roles"][0]["role"], "admission");
    assert_eq!(json["roles"][0]["figures"][0]["points"][1]["size"], 200);
}

#[test]
fn roles_keep_their_names_on_the_command_line() {
    let names: Vec<String> = Role::each().map(Role::argument).collect();
    let expected = [
        "decision",
        "list",
        "quotas",
        "membership",
        "admission",
        "configuration",
        "counter",
        "discovery",
        "servers",
        "events",
    ];
    assert_eq!(names, expected);
}

#[test]
fn help_has_an_example() {
    let output = scale(&["--help"]);
    assert!(String::from_utf8_lossy(&output.stdout)
        .contains("roseyard-testbed scale --role decision --sizes"));
}
