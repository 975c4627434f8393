//! `roseyard-testbed soak`: sends seeded random series of signals to real daemons while clients
//! keep their connections open.

use roseyard_testbed::daemon::daemon_program;
use roseyard_testbed::soak::{self, SoakOptions, SoakReport};
use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// Seeds that are a multiple of this are run with a crowd of additional idle clients.
const CROWD_SEED_INTERVAL: u64 = 4;

/// The maximum number of observations of violating requests that are printed for each seed.
const MAX_EVIDENCE_LINES: usize = 60;

/// The arguments of `roseyard-testbed soak`.
#[derive(Debug, clap::Args)]
pub(crate) struct SoakArgs {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    pub(super) seed: u64,
    /// Number of consecutive seeds to run; seeds divisible by 4 add a crowd of idle clients.
    #[arg(long, default_value_t = 1)]
    pub(super) seeds: u64,
    /// Duration of the run of each seed, in seconds.
    #[arg(long, default_value_t = 20)]
    pub(super) seconds: u64,
    /// Number of daemons.
    #[arg(long, default_value_t = 3)]
    pub(super) members: usize,
    /// Number of clients; each has one connection.
    #[arg(long, default_value_t = 48)]
    pub(super) clients: u64,
    /// Path of the daemon's executable; by default `roseyard-ingress` in this program's directory.
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
            crowd: seed % CROWD_SEED_INTERVAL == 0,
            duration: Duration::from_secs(args.seconds),
        };
        let report = soak::run(&options)?;
        print(&options, &report);
        violated += report.verdict.violations.len();
    }
    match violated {
        0 => Ok(()),
        _ => Err(io::Error::other(format!("{violated} rules violated"))),
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
        "seed {}{}: {}, exited {}, killed {}, rules violated {}",
        options.seed,
        if options.crowd { " (crowd)" } else { "" },
        counts.join(", "),
        report.exited,
        report.killed,
        report.verdict.violations.len()
    );
    for violation in &report.verdict.violations {
        println!("violated: {violation}");
    }
    for event in report.evidence.iter().take(MAX_EVIDENCE_LINES) {
        let at = event.at.as_secs_f64();
        println!("  {at:.3} s {:016x}: {:?}", event.id, event.observation);
    }
}
