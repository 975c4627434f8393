//! `roseyard-testbed`: the project's laboratory. Everything stays on loopback and stops by itself.

use clap::{CommandFactory, Parser, Subcommand};
use comfy_table::{presets::ASCII_MARKDOWN, Table};
use roseyard_testbed::daemon::{beside, Daemon, Start};
use roseyard_testbed::flood::{self, Done, Flood, Shape};
use roseyard_testbed::scale::{self, report::RoleReport, Role, Run};
use roseyard_testbed::scenario::{self, Scenario};
use roseyard_testbed::standins;
use roseyard_testbed::usual::{self, Outcome, Usual};
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, Runtime};

/// Stand-ins, load and floods around the real daemon, on loopback.
#[derive(Debug, Parser)]
#[command(name = "roseyard-testbed", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Usual clients without a flood, then under each shape of flood.
    Flood(FloodArgs),
    /// A fleet of real daemons through a scenario of faults, judged by what clients and form
    /// servers saw.
    Fleet(FleetArgs),
    /// What each role costs by size: hollow ingresses, the real state machines and codecs in
    /// virtual time.
    #[command(after_help = SCALE_EXAMPLES)]
    Scale(ScaleArgs),
}

const SCALE_EXAMPLES: &str = "Examples:
  roseyard-testbed scale --role decision --sizes 17,1000,54000
  roseyard-testbed scale --role daemon --daemon-before old/roseyard-ingress --services --repeats 3
  roseyard-testbed scale --role all --json scale.json";

#[derive(Debug, clap::Args)]
struct ScaleArgs {
    /// What is measured.
    #[arg(long, value_enum, default_value = "all")]
    role: Role,
    /// Sizes, such as 17,1000,54000: servers, tenants, members, addresses, routes or ingresses, by
    /// the role; each role has its own if none are given.
    #[arg(long, value_delimiter = ',')]
    sizes: Vec<usize>,
    /// Virtual seconds of a sample; with '--role daemon' or 'faults' real seconds of load.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=600))]
    seconds: u64,
    /// Samples at each size.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u16).range(1..=100))]
    repeats: u16,
    /// With '--role daemon' or 'faults': the daemon's program; by default the one beside this one.
    #[arg(long)]
    daemon: Option<PathBuf>,
    /// With '--role daemon': an earlier version of it, measured in turn with the other.
    #[arg(long)]
    daemon_before: Option<PathBuf>,
    /// Divide the servers into services, 3,200 of them at full size; with the roles decision, list,
    /// quotas, events and daemon.
    /// With '--role daemon': measure that too. '--role all' plays both.
    #[arg(long)]
    services: bool,
    /// With '--role daemon': play 1 and 95,000 tenants too, at the greatest size.
    #[arg(long)]
    all_tenants: bool,
    /// With '--role daemon': run without a shared counter.
    #[arg(long)]
    without_counter: bool,
    /// With '--role daemon': the settings forbid probes of servers.
    #[arg(long)]
    without_probes: bool,
    /// With '--role daemon': servers close a connection once they have answered a request on it.
    #[arg(long)]
    servers_close: bool,
    /// With '--role daemon': requests a second.
    #[arg(long, default_value_t = 256.0, value_parser = rate)]
    rate: f64,
    /// With '--role daemon': ingresses through which each tenant's requests come.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=4_300))]
    spread: u32,
    /// Where the figures are written as JSON; - for the standard output, in place of the tables.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Seed of all that is drawn.
    #[arg(long, default_value_t = 11)]
    seed: u64,
}

#[derive(Debug, clap::Args)]
struct FleetArgs {
    /// The scenario (KDL).
    scenario: PathBuf,
    /// The daemon's program; by default the one beside this one.
    #[arg(long)]
    daemon: Option<PathBuf>,
    /// Goes before the scenario's seed.
    #[arg(long)]
    seed: Option<u64>,
    /// The result as JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Debug, clap::Args)]
struct FloodArgs {
    /// The daemon's program; by default the one beside this one.
    #[arg(long)]
    daemon: Option<PathBuf>,
    /// The operator's file for it; none for a program that takes none.
    #[arg(long)]
    settings: Option<PathBuf>,
    /// Descriptors of the daemon.
    #[arg(long, default_value_t = 384)]
    sockets: usize,
    /// Shapes of flood, one after another.
    #[arg(long, value_enum, value_delimiter = ',', default_values_t = [Shape::Silent, Shape::Drip, Shape::ConnectClose, Shape::Half, Shape::Once, Shape::Again, Shape::Garbage])]
    shapes: Vec<Shape>,
    /// New connections a second of the flood.
    #[arg(long, default_value_t = 3000.0, value_parser = rate)]
    flood_rate: f64,
    /// Connections that the flood holds at most.
    #[arg(long, default_value_t = 4000)]
    flood_most: usize,
    /// Addresses that the flood comes from.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
    flood_from: u32,
    /// Requests a second of the usual clients.
    #[arg(long, default_value_t = 200.0, value_parser = rate)]
    rate: f64,
    /// Share of these after which the connection is closed.
    #[arg(long, default_value_t = 0.0)]
    fresh: f64,
    /// Seconds of each measured stretch.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=600))]
    seconds: u64,
    /// Time that a form server takes for a request, in milliseconds.
    #[arg(long, default_value_t = 20)]
    work_ms: u64,
    /// For the usual clients' times.
    #[arg(long, default_value_t = 11)]
    seed: u64,
}

fn rate(text: &str) -> Result<f64, String> {
    let rate = text.parse().map_err(|_| "not a number".to_owned())?;
    if (0.1..=100_000.0).contains(&rate) {
        Ok(rate)
    } else {
        Err("a rate from 0.1 to 100000".into())
    }
}

fn main() -> io::Result<()> {
    match Cli::parse().command {
        Command::Flood(args) => run_floods(&args),
        Command::Fleet(args) => run_fleet(&args),
        Command::Scale(args) => run_scale(&args),
    }
}

fn run_scale(args: &ScaleArgs) -> io::Result<()> {
    let sizes = args.role.sizes(&args.sizes).unwrap_or_else(|wrong| {
        Cli::command()
            .error(clap::error::ErrorKind::ValueValidation, wrong)
            .exit();
    });
    let run = Run {
        sizes,
        seconds: args.seconds,
        seed: args.seed,
        repeats: usize::from(args.repeats),
        services: args.services,
        progress: scale::on_terminal(),
    };
    if args.role == Role::Faults {
        return run_faults(&daemon_options(args, &run)?, args.json.is_some());
    }
    let reports = match args.role.run(&run) {
        Some(report) => vec![report],
        None if args.role == Role::Daemon => scale::daemon::run(&daemon_options(args, &run)?)?,
        None => all_shapes()
            .map(|(role, services)| run_apart(args, role, services))
            .collect::<io::Result<_>>()?,
    };
    let json = serde_json::json!({"seed": run.seed, "seconds": run.seconds, "roles": reports});
    match args
        .json
        .as_deref()
        .map(|path| (path, path.as_os_str() == "-"))
    {
        Some((_, true)) => {
            println!("{json:#}");
            return Ok(());
        }
        Some((path, false)) => std::fs::write(path, format!("{json:#}\n"))?,
        None => {}
    }
    reports
        .iter()
        .for_each(|report| println!("{}", report.table()));
    Ok(())
}

fn run_faults(options: &scale::daemon::DaemonOptions, json: bool) -> io::Result<()> {
    let findings = scale::daemon::faults::run(options)?;
    if json {
        println!(
            "{:#}",
            serde_json::json!({"seed": options.run.seed, "findings": findings})
        );
    } else {
        println!("{}", scale::daemon::faults::table(&findings));
    }
    match findings.iter().filter(|finding| !finding.kept).count() {
        0 => Ok(()),
        broken => Err(io::Error::other(format!("{broken} rules broken"))),
    }
}

fn daemon_options(args: &ScaleArgs, run: &Run) -> io::Result<scale::daemon::DaemonOptions> {
    Ok(scale::daemon::DaemonOptions {
        daemon: beside(args.daemon.as_deref())?,
        before: args
            .daemon_before
            .as_deref()
            .map(|path| beside(Some(path)))
            .transpose()?,
        all_tenants: args.all_tenants,
        counter: !args.without_counter,
        probes: !args.without_probes,
        servers_close: args.servers_close,
        rate: args.rate,
        spread: args.spread,
        run: run.clone(),
    })
}

/// All roles, and those again whose servers may be divided into services.
fn all_shapes() -> impl Iterator<Item = (Role, bool)> {
    Role::each()
        .flat_map(|role| [(role, false), (role, true)])
        .filter(|(role, services)| !services || scale::BY_SERVICE.contains(role))
}

/// Runs a role in a process of its own: what one has held says nothing of the memory of the next.
fn run_apart(args: &ScaleArgs, role: Role, services: bool) -> io::Result<RoleReport> {
    let (seconds, seed, repeats) = (
        args.seconds.to_string(),
        args.seed.to_string(),
        args.repeats.to_string(),
    );
    let output = std::process::Command::new(std::env::current_exe()?)
        .args(["scale", "--role", &role.word(), "--json", "-"])
        .args([
            "--seconds",
            &seconds,
            "--seed",
            &seed,
            "--repeats",
            &repeats,
        ])
        .args(services.then_some("--services"))
        .stderr(std::process::Stdio::inherit())
        .output()?;
    if !output.status.success() {
        return Err(io::Error::other(format!(
            "{}: {}",
            role.word(),
            output.status
        )));
    }
    let mut told: serde_json::Value = serde_json::from_slice(&output.stdout)?;
    Ok(serde_json::from_value(told["roles"][0].take())?)
}

fn run_fleet(args: &FleetArgs) -> io::Result<()> {
    let named =
        |e: &dyn std::fmt::Display| io::Error::other(format!("{}: {e}", args.scenario.display()));
    let text = std::fs::read_to_string(&args.scenario).map_err(|e| named(&e))?;
    let mut scenario = Scenario::parse(&text).map_err(|e| named(&e))?;
    scenario.seed = args.seed.unwrap_or(scenario.seed);
    let program = beside(args.daemon.as_deref())?;
    eprintln!(
        "{} daemons for {:?}, seed {}",
        scenario.members, scenario.lasts, scenario.seed
    );
    let played = scenario::play(&scenario, program, |line| eprintln!("{line}"))?;
    let verdict = &played.verdict;
    if args.json {
        let steps: Vec<_> = played
            .trace
            .iter()
            .zip(&played.at)
            .map(|(deed, at)| (at.as_secs_f64(), deed))
            .collect();
        let counts: std::collections::BTreeMap<_, _> = verdict.counts().into_iter().collect();
        println!(
            "{}",
            serde_json::json!({"seed": scenario.seed, "steps": steps, "requests": counts,
                "broken": verdict.broken, "standings": played.standings})
        );
    } else {
        let (names, counts): (Vec<_>, Vec<_>) = verdict.counts().into_iter().unzip();
        let mut table = Table::new();
        table
            .load_preset(ASCII_MARKDOWN)
            .set_header(names.into_iter().chain(["rules broken"]));
        table.add_row(
            counts
                .iter()
                .map(u64::to_string)
                .chain([verdict.broken.len().to_string()]),
        );
        println!("{table}");
        let mut table = Table::new();
        table
            .load_preset(ASCII_MARKDOWN)
            .set_header(["by", "of", "standing"]);
        for (by, of, standing) in &played.standings {
            table.add_row([by, of, standing]);
        }
        println!("{table}");
        verdict
            .broken
            .iter()
            .for_each(|broken| println!("broken: {broken}"));
    }
    if verdict.broken.is_empty() {
        Ok(())
    } else {
        Err(io::Error::other(format!(
            "{} rules broken",
            verdict.broken.len()
        )))
    }
}

fn runtime(name: &str) -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(1)
        .thread_name(name)
        .enable_all()
        .build()
}

/// What a stretch has shown.
struct Stretch {
    name: String,
    outcome: Outcome,
    /// Of the daemon, over the stretch.
    cpu: Duration,
    took: Duration,
    rss_kib: u64,
    connected: u64,
    told: u64,
    failed: u64,
}

fn run_floods(args: &FloodArgs) -> io::Result<()> {
    // Each side has a thread of its own, so that a flood does not slow the clients that are
    // measured.
    let (around_rt, usual_rt, flood_rt) =
        (runtime("around")?, runtime("usual")?, runtime("flood")?);
    let around = around_rt.block_on(standins::start(12, Duration::from_millis(args.work_ms)))?;
    let start = Start {
        program: beside(args.daemon.as_deref())?,
        settings: args.settings.clone(),
        sockets: args.sockets,
    };
    println!(
        "{} descriptors, {} requests a second ({} on connections that close), flood of {} connections a second from {} addresses, seed {}",
        args.sockets, args.rate, args.fresh, args.flood_rate, args.flood_from, args.seed
    );
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_header([
        "flood",
        "asked",
        "served",
        "refused",
        "failed",
        "p50 ms",
        "p99 ms",
        "p99 / calm",
        "connections",
        "told",
        "connect failed",
        "cpu %",
        "cpu us / connection",
        "rss MiB",
    ]);
    for shape in &args.shapes {
        // A daemon for each: what one flood leaves behind is not the next one's.
        let daemon = Daemon::start(&start, &around)?;
        let usual = |seed| Usual {
            rate: args.rate,
            customers: 60,
            addresses: 20,
            fresh: args.fresh,
            repeatable: true,
            seed,
        };
        let length = Duration::from_secs(args.seconds);
        usual_rt.block_on(usual::play(
            usual(args.seed + 1),
            daemon.address,
            Duration::from_secs(2),
        ));
        let stretch = |name: &str, done: &Done| -> io::Result<Stretch> {
            let (began, before, connected) = (
                Instant::now(),
                daemon.cpu()?,
                done.connected.load(Ordering::Relaxed),
            );
            let outcome = usual_rt.block_on(usual::play(usual(args.seed), daemon.address, length));
            Ok(Stretch {
                name: name.into(),
                outcome,
                cpu: daemon.cpu()? - before,
                took: began.elapsed(),
                rss_kib: daemon.rss_kib()?,
                connected: done.connected.load(Ordering::Relaxed) - connected,
                told: done.told.load(Ordering::Relaxed),
                failed: done.failed.load(Ordering::Relaxed),
            })
        };
        let (over, done) = (Arc::new(AtomicBool::new(false)), Arc::new(Done::default()));
        let calm = stretch("none", &done)?;
        let flood = Flood {
            shape: *shape,
            rate: args.flood_rate,
            most: args.flood_most,
            addresses: args.flood_from,
        };
        let playing = flood_rt.spawn(flood::play(
            flood,
            daemon.address,
            Arc::clone(&over),
            Arc::clone(&done),
        ));
        std::thread::sleep(Duration::from_secs(1));
        let under = stretch(&format!("{shape:?}"), &done)?;
        over.store(true, Ordering::Relaxed);
        // A flood that panicked has made no more connections, which the table shows.
        let _ = flood_rt.block_on(playing);
        for shown in [&calm, &under] {
            table.add_row(row(shown, &calm));
        }
    }
    println!("{table}");
    Ok(())
}

fn row(shown: &Stretch, calm: &Stretch) -> Vec<String> {
    let share = |n: u64| format!("{:.4}", n as f64 / shown.outcome.asked.max(1) as f64);
    let ms = |s: &Stretch, q: f64| s.outcome.times.value_at_quantile(q) as f64 / 1000.0;
    let more = shown.cpu.saturating_sub(calm.cpu);
    let each = match shown.connected {
        0 => "-".into(),
        n => format!("{:.1}", more.as_secs_f64() * 1e6 / n as f64),
    };
    vec![
        shown.name.clone(),
        shown.outcome.asked.to_string(),
        share(shown.outcome.served),
        share(shown.outcome.refused),
        share(shown.outcome.failed),
        format!("{:.1}", ms(shown, 0.5)),
        format!("{:.1}", ms(shown, 0.99)),
        format!("{:.2}", ms(shown, 0.99) / ms(calm, 0.99).max(0.001)),
        shown.connected.to_string(),
        shown.told.to_string(),
        shown.failed.to_string(),
        format!(
            "{:.1}",
            shown.cpu.as_secs_f64() * 100.0 / shown.took.as_secs_f64()
        ),
        each,
        format!("{:.1}", shown.rss_kib as f64 / 1024.0),
    ]
}
