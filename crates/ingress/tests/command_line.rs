//! The command line: the deploy file's call, commands, and wrong words.

use clap::{CommandFactory, Parser};
use roseyard_ingress::program::cli::{Cli, Command, LogForm};
use std::path::Path;

fn parse(words: &[&str]) -> Result<Cli, clap::Error> {
    Cli::try_parse_from([&["roseyard-ingress"], words].concat())
}

#[test]
fn the_deploy_line_without_a_subcommand_runs_and_a_wrong_word_is_named() {
    Cli::command().debug_assert();
    assert!(parse(&[]).unwrap().command.is_none());
    let cli = parse(&["run", "--settings", "a.kdl", "--log", "json"]).unwrap();
    let Some(Command::Run(run)) = cli.command else {
        panic!("not run")
    };
    assert_eq!(
        (run.settings.as_deref(), run.log),
        (Some(Path::new("a.kdl")), Some(LogForm::Json))
    );
    let wrong_format = parse(&["--log", "xml"]).unwrap_err();
    assert!(wrong_format.to_string().contains("text"));
    let wrong_command = parse(&["chek", "a"]).unwrap_err();
    assert!(wrong_command.to_string().contains("check"));
}
