//! The command line of `roseyard-testbed`.

mod fleet;
mod flood;
mod scale;
mod soak;

use clap::{Parser, Subcommand};
use std::io;

/// Tests and measures the real daemon on loopback, with fake servers, client load and floods.
#[derive(Debug, Parser)]
#[command(name = "roseyard-testbed", version)]
pub(crate) struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Measure clients without a flood, then under each kind of flood.
    Flood(flood::FloodArgs),
    /// Run a fault scenario against a fleet of real daemons, and check what clients and form
    /// servers observed.
    Fleet(fleet::FleetArgs),
    /// Restart, reload, pause and kill real daemons in a seeded random order, while clients keep
    /// their connections open.
    Soak(soak::SoakArgs),
    /// Measure the cost of each role at several sizes, with simulated ingresses that run the real
    /// state machines and codecs in virtual time, or with the real daemon.
    #[command(after_help = scale::EXAMPLES)]
    Scale(scale::ScaleArgs),
}

impl Cli {
    /// Runs the command.
    pub(crate) fn run(self) -> io::Result<()> {
        match self.command {
            Command::Flood(args) => flood::run(&args),
            Command::Fleet(args) => fleet::run(&args),
            Command::Soak(args) => soak::run(&args),
            Command::Scale(args) => scale::run(&args),
        }
    }
}

/// Why a rate on the command line was rejected. clap's message adds the value and the argument.
#[derive(Clone, Copy, Debug, thiserror::Error)]
enum RateError {
    #[error("expected a number")]
    NotANumber,
    #[error("expected a rate from 0.1 to 100000 per second")]
    OutOfRange,
}

/// Parses a rate in events per second.
fn parse_rate(text: &str) -> Result<f64, RateError> {
    let rate = text.parse().map_err(|_| RateError::NotANumber)?;
    if (0.1..=100_000.0).contains(&rate) {
        Ok(rate)
    } else {
        Err(RateError::OutOfRange)
    }
}
