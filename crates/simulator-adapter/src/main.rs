//! `roseyard-simulator-adapter` reads batches from standard input and writes replies to standard
//! output.

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match roseyard_simulator_adapter::serve(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("roseyard-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
