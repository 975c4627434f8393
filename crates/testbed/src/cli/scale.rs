//! `roseyard-testbed scale`: measures the cost of each role at several sizes.

use super::{parse_rate, Cli};
use clap::CommandFactory;
use roseyard_testbed::daemon::daemon_program;
use roseyard_testbed::scale::daemon::{self, faults, DaemonOptions};
use roseyard_testbed::scale::{self, report::RoleReport, Role, RunOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::process::Stdio;

/// Shown at the end of the command's help.
pub(super) const EXAMPLES: &str = "Examples:
  roseyard-testbed scale --role decision --sizes 17,1000,54000
  roseyard-testbed scale --role daemon --daemon-before old/roseyard-ingress --services --repeats 3
  roseyard-testbed scale --role all --json scale.json";

/// The arguments of `roseyard-testbed scale`.
#[derive(Debug, clap::Args)]
pub(crate) struct ScaleArgs {
    /// The role to measure.
    #[arg(long, value_enum, default_value = "all")]
    pub(super) role: Role,
    /// Sizes to measure, such as 17,1000,54000. Depending on the role, a size is a number of
    /// servers, tenants, members, addresses, routes or ingresses. Each role has its own default.
    #[arg(long, value_delimiter = ',')]
    pub(super) sizes: Vec<usize>,
    /// Virtual seconds per sample; with '--role daemon' or 'faults', real seconds of load.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=600))]
    pub(super) seconds: u64,
    /// Number of samples at each size.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u16).range(1..=100))]
    pub(super) repeats: u16,
    /// With '--role daemon' or 'faults': path of the daemon's executable; by default
    /// `roseyard-ingress` in this program's directory.
    #[arg(long)]
    pub(super) daemon: Option<PathBuf>,
    /// With '--role daemon': path of an earlier version of the daemon, measured for comparison.
    #[arg(long)]
    pub(super) daemon_before: Option<PathBuf>,
    /// Divide the servers into services, of which there are 3,200 at full size. Applies to the
    /// roles decision, list, quotas, events and daemon. '--role daemon' then measures both one
    /// service and many; '--role all' always measures both.
    #[arg(long)]
    pub(super) services: bool,
    /// With '--role daemon': also measure 1 and 95,000 tenants, at the largest size.
    #[arg(long)]
    pub(super) all_tenants: bool,
    /// With '--role daemon' or 'faults': run without a shared counter.
    #[arg(long)]
    pub(super) without_counter: bool,
    /// With '--role daemon' or 'faults': disable health checks of servers in the platform's
    /// settings.
    #[arg(long)]
    pub(super) without_probes: bool,
    /// With '--role daemon': servers close a connection after they have answered a request on it.
    #[arg(long)]
    pub(super) servers_close: bool,
    /// With '--role daemon': requests per second.
    #[arg(long, default_value_t = 256.0, value_parser = parse_rate)]
    pub(super) rate: f64,
    /// With '--role daemon' or 'faults': number of ingresses that each tenant's requests are spread
    /// over.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=4_300))]
    pub(super) spread: u32,
    /// File to write the figures to as JSON; - prints JSON on standard output, without tables.
    #[arg(long)]
    pub(super) json: Option<PathBuf>,
    /// Seed of all random numbers.
    #[arg(long, default_value_t = 11)]
    pub(super) seed: u64,
}

pub(super) fn run(args: &ScaleArgs) -> io::Result<()> {
    let run = run_options(args);
    if args.role == Role::Faults {
        return run_faults(&daemon_options(args, &run)?, args.json.is_some());
    }
    let reports = match args.role.run(&run) {
        Some(report) => vec![report],
        None if args.role == Role::Daemon => daemon::run(&daemon_options(args, &run)?)?,
        None => role_runs()
            .map(|(role, services)| run_in_child_process(args, role, services))
            .collect::<io::Result<_>>()?,
    };
    let json = serde_json::json!({"seed": run.seed, "seconds": run.seconds, "roles": reports});
    if let Some(path) = args.json.as_deref() {
        if path == Path::new("-") {
            println!("{json:#}");
            return Ok(());
        }
        std::fs::write(path, format!("{json:#}\n"))?;
    }
    for report in &reports {
        println!("{}", report.table());
    }
    Ok(())
}

/// Returns the options of the role's run; exits with a usage error if the sizes are invalid.
fn run_options(args: &ScaleArgs) -> RunOptions {
    let sizes = args.role.sizes(&args.sizes).unwrap_or_else(|error| {
        Cli::command()
            .error(clap::error::ErrorKind::ValueValidation, error)
            .exit();
    });
    RunOptions {
        sizes,
        seconds: args.seconds,
        seed: args.seed,
        repeats: usize::from(args.repeats),
        services: args.services,
        progress: scale::stderr_is_terminal(),
    }
}

fn run_faults(options: &DaemonOptions, json: bool) -> io::Result<()> {
    let findings = faults::run(options)?;
    if json {
        println!(
            "{:#}",
            serde_json::json!({"seed": options.run.seed, "findings": findings})
        );
    } else {
        println!("{}", faults::table(&findings));
    }
    match findings.iter().filter(|finding| !finding.kept).count() {
        0 => Ok(()),
        violated => Err(io::Error::other(format!("{violated} rules violated"))),
    }
}

fn daemon_options(args: &ScaleArgs, run: &RunOptions) -> io::Result<DaemonOptions> {
    let baseline = args.daemon_before.as_deref();
    Ok(DaemonOptions {
        daemon: daemon_program(args.daemon.as_deref())?,
        baseline_daemon: baseline
            .map(|path| daemon_program(Some(path)))
            .transpose()?,
        all_tenants: args.all_tenants,
        has_counter: !args.without_counter,
        health_checks: !args.without_probes,
        servers_close: args.servers_close,
        rate: args.rate,
        ingress_count: args.spread,
        run: run.clone(),
    })
}

/// Returns each role with the value of `--services`: every role without it, and the roles that
/// support it also with it.
fn role_runs() -> impl Iterator<Item = (Role, bool)> {
    Role::each()
        .flat_map(|role| [(role, false), (role, true)])
        .filter(|(role, services)| !services || scale::SERVICE_ROLES.contains(role))
}

/// Runs a role in a child process, so that the memory of one role is not counted for the next.
fn run_in_child_process(args: &ScaleArgs, role: Role, services: bool) -> io::Result<RoleReport> {
    let output = std::process::Command::new(std::env::current_exe()?)
        .args(["scale", "--role", &role.argument(), "--json", "-"])
        .args(["--seconds", &args.seconds.to_string()])
        .args(["--seed", &args.seed.to_string()])
        .args(["--repeats", &args.repeats.to_string()])
        .args(services.then_some("--services"))
        .stderr(Stdio::inherit())
        .output()?;
    if !output.status.success() {
        return Err(io::Error::other(format!(
            "measurement of role '{}' failed: {}",
            role.argument(),
            output.status
        )));
    }
    let mut json: serde_json::Value = serde_json::from_slice(&output.stdout)?;
    Ok(serde_json::from_value(json["roles"][0].take())?)
}
