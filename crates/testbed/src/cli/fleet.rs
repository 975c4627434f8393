//! `roseyard-testbed fleet`: runs a fault scenario against a fleet of real daemons.

use comfy_table::{presets::ASCII_MARKDOWN, Table};
use roseyard_testbed::checker::{Verdict, Violation};
use roseyard_testbed::daemon::daemon_program;
use roseyard_testbed::scenario::{self, Scenario, ScenarioReport};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::io;
use std::path::PathBuf;

/// The arguments of `roseyard-testbed fleet`.
#[derive(Debug, clap::Args)]
pub(crate) struct FleetArgs {
    /// The scenario file (KDL).
    pub(super) scenario: PathBuf,
    /// Path of the daemon's executable; by default `roseyard-ingress` in this program's directory.
    #[arg(long)]
    pub(super) daemon: Option<PathBuf>,
    /// Seed to use instead of the scenario's.
    #[arg(long)]
    pub(super) seed: Option<u64>,
    /// Print the result as JSON instead of tables.
    #[arg(long)]
    pub(super) json: bool,
}

pub(super) fn run(args: &FleetArgs) -> io::Result<()> {
    let scenario = read_scenario(args)?;
    let program = daemon_program(args.daemon.as_deref())?;
    eprintln!(
        "running {} daemons for {:?} with seed {}",
        scenario.members, scenario.duration, scenario.seed
    );
    let report = scenario::run(&scenario, program, |line| eprintln!("{line}"))?;
    if args.json {
        println!("{}", json(&report, scenario.seed));
    } else {
        print_tables(&report);
    }
    match report.verdict.violations.len() {
        0 => Ok(()),
        violated => Err(io::Error::other(format!("{violated} rules violated"))),
    }
}

fn read_scenario(args: &FleetArgs) -> io::Result<Scenario> {
    let with_path =
        |error: &dyn Display| io::Error::other(format!("{}: {error}", args.scenario.display()));
    let text = std::fs::read_to_string(&args.scenario).map_err(|error| with_path(&error))?;
    let mut scenario = Scenario::parse(&text).map_err(|error| with_path(&error))?;
    scenario.seed = args.seed.unwrap_or(scenario.seed);
    Ok(scenario)
}

fn json(report: &ScenarioReport, seed: u64) -> Value {
    let steps: Vec<_> = report
        .trace
        .iter()
        .zip(&report.action_times)
        .map(|(action, at)| (at.as_secs_f64(), action))
        .collect();
    let counts: BTreeMap<_, _> = report.verdict.counts().into_iter().collect();
    let violations: Vec<String> = report
        .verdict
        .violations
        .iter()
        .map(Violation::to_string)
        .collect();
    let views: Vec<_> = report
        .membership_views
        .iter()
        .map(|view| [&view.observer, &view.member, &view.state])
        .collect();
    serde_json::json!({"seed": seed, "steps": steps, "requests": counts, "broken": violations,
        "standings": views})
}

fn print_tables(report: &ScenarioReport) {
    println!("{}", counts_table(&report.verdict));
    let mut views = Table::new();
    views
        .load_preset(ASCII_MARKDOWN)
        .set_header(["observer", "member", "standing"]);
    for view in &report.membership_views {
        views.add_row([&view.observer, &view.member, &view.state]);
    }
    println!("{views}");
    for violation in &report.verdict.violations {
        println!("violated: {violation}");
    }
}

fn counts_table(verdict: &Verdict) -> Table {
    let (names, counts): (Vec<_>, Vec<_>) = verdict.counts().into_iter().unzip();
    let violations = verdict.violations.len().to_string();
    let mut table = Table::new();
    table
        .load_preset(ASCII_MARKDOWN)
        .set_header(names.into_iter().chain(["rules violated"]));
    table.add_row(counts.iter().map(u64::to_string).chain([violations]));
    table
}
