//! `roseyard`: one real ingress.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    match roseyard_ingress::program::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("roseyard: error: {e}");
            ExitCode::FAILURE
        }
    }
}
