//! The `roseyard-ingress` executable, which runs one ingress or an operator's command.

use clap::Parser;
use roseyard_ingress::program::cli::{self, Cli};
use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::main(Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("roseyard: error: {error}");
            ExitCode::FAILURE
        }
    }
}
