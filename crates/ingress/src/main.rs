//! `roseyard-ingress`: one ingress process.

use clap::Parser;
use roseyard_ingress::program::cli::{main as obey, Cli};
use std::process::ExitCode;

fn main() -> ExitCode {
    match obey(Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("roseyard: error: {e}");
            ExitCode::FAILURE
        }
    }
}
