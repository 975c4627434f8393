//! `roseyard-testbed`: fakes, load and faults around the real daemon. Everything stays on loopback
//! and stops by itself.

mod cli;

use clap::Parser;
use std::io;

fn main() -> io::Result<()> {
    cli::Cli::parse().run()
}
