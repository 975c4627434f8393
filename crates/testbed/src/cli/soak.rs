//! `roseyard-testbed soak`: seeded series of signals to real daemons under kept connections.

use roseyard_testbed::daemon::daemon_program;
use roseyard_testbed::soak::{self, SoakOptions, SoakReport};
use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// Every so many seeds are played beside a crowd of idle clients.
const CROWD_SEEDS: u64 = 4;

/// Observations of requests that violated a rule that are printed for each seed.
const MAX_EVIDENCE_LINES: usize = 60;

#[derive(Debug, clap::Args)]
pub(crate) struct SoakArgs {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    pub(super) seed: u64,
    /// How many seeds are played, one after the other; each fourth beside a crowd.
    #[arg(long, default_value_t = 1)]
    pub(super) seeds: u64,
    /// Length of each in seconds.
    #[arg(long, default_value_t = 20)]
    pub(super) seconds: u64,
    /// Daemons.
    #[arg(long, default_value_t = 3)]
    pub(super) members: usize,
    /// Clients, each with one connection.
    #[arg(long, default_value_t = 48)]
    pub(super) clients: u64,
    /// The daemon's program; by default the one beside this one.
    #[arg(long)]
    pub(super) daemon: Option<PathBuf>,
}

pub(super) fn run(args: &SoakArgs) -> io::Result<()> {
    let program = daemon_program(args.daemon.as_deref())?;
    let mut violated = 0;
    for seed in args.seed..args.seed + args.seeds {
        let options = SoakOptions {
            program: program.clone(),
            seed,
            members: args.members,
            clients: args.clients,
            crowd: seed % CROWD_SEEDS == 0,
            duration: Duration::from_secs(args.seconds),
        };
        let report = soak::run(&options)?;
        print(&options, &report);
        violated += report.verdict.violations.len();
    }
    match violated {
        0 => Ok(()),
        _ => Err(io::Error::other(format!("{violated} rules broken"))),
    }
}

fn print(options: &SoakOptions, report: &SoakReport) {
    let counts: Vec<String> = report
        .verdict
        .counts()
        .iter()
        .map(|(name, count)| format!("{name} {count}"))
        .collect();
    println!(
        "seed {}{}: {}, ended {}, killed {}, rules broken {}",
        options.seed,
        if options.crowd { " (crowd)" } else { "" },
        counts.join(", "),
        report.exited,
        report.killed,
        report.verdict.violations.len()
    );
    for violation in &report.verdict.violations {
        println!("broken: {violation}");
    }
    for event in report.evidence.iter().take(MAX_EVIDENCE_LINES) {
        let at = event.at.as_secs_f64();
        println!("  {at:.3} s {:016x}: {:?}", event.id, event.observation);
    }
}
