//! The command line: running without a subcommand, subcommands, and errors for invalid arguments.

use clap::{CommandFactory, Parser};
use roseyard_ingress::program::cli::{Cli, Command, LogForm};
use std::path::Path;

fn parse(args: &[&str]) -> Result<Cli, clap::Error> {
    Cli::try_parse_from([&["roseyard-ingress"], args].concat())
}

#[test]
fn no_subcommand_runs_an_ingress_and_an_error_names_the_valid_argument() {
    Cli::command().debug_assert();
    assert!(parse(&[]).unwrap().command.is_none());
    let cli = parse(&["run", "--settings", "a.kdl", "--log", "json"]).unwrap();
    let Some(Command::Run(run)) = cli.command else {
        panic!("expected the command run")
    };
    assert_eq!(
        (run.settings.as_deref(), run.log),
        (Some(Path::new("a.kdl")), Some(LogForm::Json))
    );
    let invalid_format = parse(&["--log", "xml"]).unwrap_err();
    assert!(invalid_format.to_string().contains("text"));
    let unknown_command = parse(&["chek", "a"]).unwrap_err();
    assert!(unknown_command.to_string().contains("check"));
}
