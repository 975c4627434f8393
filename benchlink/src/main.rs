//! `roseyard-benchlink`: reads batches on standard input, writes replies to standard output.
#![forbid(unsafe_code)]

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match roseyard_benchlink::serve(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("roseyard-benchlink: {e}");
            ExitCode::FAILURE
        }
    }
}
