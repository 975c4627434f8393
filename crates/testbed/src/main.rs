//! `roseyard-testbed`: runs the real daemon under load and faults, with fakes of the platform. All
//! connections stay on loopback, and each command terminates without intervention.

mod cli;

use clap::Parser;
use std::io;

fn main() -> io::Result<()> {
    cli::Cli::parse().run()
}
