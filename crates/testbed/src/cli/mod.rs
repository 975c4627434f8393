//! The command line.

mod fleet;
mod flood;
mod scale;
mod soak;

use clap::{Parser, Subcommand};
use std::io;

/// Fakes, load and floods around the real daemon, on loopback.
#[derive(Debug, Parser)]
#[command(name = "roseyard-testbed", version)]
pub(crate) struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Clients without a flood, then under each shape of flood.
    Flood(flood::FloodArgs),
    /// A fleet of real daemons through a scenario of faults, checked by what clients and form
    /// servers observed.
    Fleet(fleet::FleetArgs),
    /// Real daemons that are restarted, reloaded, paused and killed by a seeded plan, under clients
    /// that keep their connections.
    Soak(soak::SoakArgs),
    /// What each role costs by size: simulated ingresses, the real state machines and codecs in
    /// virtual time.
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

/// A rate on the command line that is not allowed.
#[derive(Clone, Copy, Debug, thiserror::Error)]
enum RateError {
    #[error("not a number")]
    NotANumber,
    #[error("a rate from 0.1 to 100000")]
    OutOfRange,
}

/// Events a second.
fn parse_rate(text: &str) -> Result<f64, RateError> {
    let rate = text.parse().map_err(|_| RateError::NotANumber)?;
    if (0.1..=100_000.0).contains(&rate) {
        Ok(rate)
    } else {
        Err(RateError::OutOfRange)
    }
}
