//! `roseyard-testbed flood`: measures clients without a flood, then under each kind of flood.

use super::parse_rate;
use comfy_table::{presets::ASCII_MARKDOWN, Table};
use roseyard_testbed::client_load::{self, LoadOutcome, OpenLoopLoad};
use roseyard_testbed::daemon::{daemon_program, Daemon, LaunchOptions};
use roseyard_testbed::fakes::FakePlatform;
use roseyard_testbed::flood::{self, Flood, FloodCounters, FloodShape};
use roseyard_testbed::runtime::single_thread_runtime;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

const FORM_SERVERS: usize = 12;
const CUSTOMERS: u64 = 60;
const CLIENT_ADDRESSES: u8 = 20;
/// Duration of the load before the first measurement.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time from the start of a flood to the start of the measurement.
const FLOOD_LEAD_TIME: Duration = Duration::from_secs(1);
const DEFAULT_SHAPES: [FloodShape; 7] = [
    FloodShape::Silent,
    FloodShape::Drip,
    FloodShape::ConnectClose,
    FloodShape::Half,
    FloodShape::Once,
    FloodShape::Again,
    FloodShape::Garbage,
];
const COLUMNS: [&str; 14] = [
    "flood",
    "requests",
    "served",
    "rejected",
    "failed",
    "p50 ms",
    "p99 ms",
    "p99 / baseline",
    "connections",
    "busy replies",
    "connect failed",
    "cpu %",
    "cpu us / connection",
    "rss MiB",
];

/// The arguments of `roseyard-testbed flood`.
#[derive(Debug, clap::Args)]
pub(crate) struct FloodArgs {
    /// Path of the daemon's executable; by default `roseyard-ingress` in this program's directory.
    #[arg(long)]
    pub(super) daemon: Option<PathBuf>,
    /// The operator's file; omit it for a daemon that does not support one.
    #[arg(long)]
    pub(super) settings: Option<PathBuf>,
    /// Maximum number of file descriptors that the daemon may use.
    #[arg(long, default_value_t = 384)]
    pub(super) sockets: usize,
    /// Kinds of flood to run, one after another.
    #[arg(long, value_enum, value_delimiter = ',', default_values_t = DEFAULT_SHAPES)]
    pub(super) shapes: Vec<FloodShape>,
    /// New connections per second that the flood opens.
    #[arg(long, default_value_t = 3000.0, value_parser = parse_rate)]
    pub(super) flood_rate: f64,
    /// Maximum number of connections that the flood holds open.
    #[arg(long, default_value_t = 4000)]
    pub(super) flood_most: usize,
    /// Number of source addresses of the flood.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
    pub(super) flood_from: u32,
    /// Requests per second that the clients send.
    #[arg(long, default_value_t = 200.0, value_parser = parse_rate)]
    pub(super) rate: f64,
    /// Share of the clients' requests, from 0 to 1, after which the connection is closed.
    #[arg(long, default_value_t = 0.0)]
    pub(super) fresh: f64,
    /// Duration of each measurement, in seconds.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=600))]
    pub(super) seconds: u64,
    /// Service time of a form server, in milliseconds.
    #[arg(long, default_value_t = 20)]
    pub(super) work_ms: u64,
    /// Seed of the clients' request times and customers.
    #[arg(long, default_value_t = 11)]
    pub(super) seed: u64,
}

pub(super) fn run(args: &FloodArgs) -> io::Result<()> {
    let runtimes = Runtimes::start()?;
    let service_time = Duration::from_millis(args.work_ms);
    let platform = runtimes
        .platform
        .block_on(FakePlatform::start(FORM_SERVERS, service_time))?;
    let launch = LaunchOptions {
        program: daemon_program(args.daemon.as_deref())?,
        operator_file: args.settings.clone(),
        max_descriptors: args.sockets,
    };
    println!(
        "{} descriptors, {} requests per second (share that closes its connection: {}), flood of {} connections per second from {} addresses, seed {}",
        args.sockets, args.rate, args.fresh, args.flood_rate, args.flood_from, args.seed
    );
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_header(COLUMNS);
    for shape in &args.shapes {
        // Each kind of flood gets a new daemon, so that no state of the previous flood affects it.
        let daemon = Daemon::start(&launch, &platform)?;
        let trial = Trial {
            args,
            runtimes: &runtimes,
            daemon: &daemon,
            counters: Arc::default(),
        };
        for row in trial.run(*shape)? {
            table.add_row(row);
        }
    }
    println!("{table}");
    Ok(())
}

/// The runtimes of the platform, the clients and the flood. Each has its own thread, so that the
/// flood does not delay the measured clients.
struct Runtimes {
    platform: Runtime,
    clients: Runtime,
    flood: Runtime,
}

impl Runtimes {
    fn start() -> io::Result<Runtimes> {
        Ok(Runtimes {
            platform: single_thread_runtime("platform")?,
            clients: single_thread_runtime("clients")?,
            flood: single_thread_runtime("flood")?,
        })
    }
}

/// The results of one measurement.
struct Measurement {
    /// The kind of flood, or "none".
    name: String,
    outcome: LoadOutcome,
    /// CPU time that the daemon used during the measurement.
    cpu_time: Duration,
    duration: Duration,
    rss_kib: u64,
    /// Connections that the flood opened during the measurement.
    connected: u64,
    /// `-BUSY` replies to the flood since its start.
    busy_replies: u64,
    /// Failed connection attempts of the flood since its start.
    connect_failures: u64,
}

/// The measurements of one kind of flood, on a daemon of its own.
struct Trial<'a> {
    args: &'a FloodArgs,
    runtimes: &'a Runtimes,
    daemon: &'a Daemon,
    counters: Arc<FloodCounters>,
}

impl Trial<'_> {
    /// Measures the clients without the flood and then under it; returns a table row for each.
    fn run(&self, shape: FloodShape) -> io::Result<[Vec<String>; 2]> {
        self.run_client_load(self.args.seed + 1, WARM_UP);
        let baseline = self.measure("none")?;
        let flood = Flood {
            shape,
            rate: self.args.flood_rate,
            max_connections: self.args.flood_most,
            addresses: self.args.flood_from,
        };
        let stop = Arc::new(AtomicBool::new(false));
        let flood_task = self.runtimes.flood.spawn(flood::generate(
            flood,
            self.daemon.address,
            Arc::clone(&stop),
            Arc::clone(&self.counters),
        ));
        std::thread::sleep(FLOOD_LEAD_TIME);
        let under_flood = self.measure(&format!("{shape:?}"))?;
        stop.store(true, Ordering::Relaxed);
        // If the flood panicked, the table shows fewer connections.
        let _ = self.runtimes.flood.block_on(flood_task);
        Ok([baseline.row(&baseline), under_flood.row(&baseline)])
    }

    fn run_client_load(&self, seed: u64, length: Duration) -> LoadOutcome {
        let load = OpenLoopLoad {
            rate: self.args.rate,
            customers: CUSTOMERS,
            addresses: CLIENT_ADDRESSES,
            reconnect_ratio: self.args.fresh,
            idempotent: true,
            seed,
        };
        let load_run = client_load::generate(load, self.daemon.address, length);
        self.runtimes.clients.block_on(load_run)
    }

    fn measure(&self, name: &str) -> io::Result<Measurement> {
        let began_at = Instant::now();
        let cpu_before = self.daemon.cpu_time()?;
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let connected_before = read(&self.counters.connected);
        let length = Duration::from_secs(self.args.seconds);
        let outcome = self.run_client_load(self.args.seed, length);
        Ok(Measurement {
            name: name.into(),
            outcome,
            cpu_time: self.daemon.cpu_time()? - cpu_before,
            duration: began_at.elapsed(),
            rss_kib: self.daemon.rss_kib()?,
            connected: read(&self.counters.connected) - connected_before,
            busy_replies: read(&self.counters.busy_replies),
            connect_failures: read(&self.counters.connect_failures),
        })
    }
}

impl Measurement {
    fn latency_ms(&self, quantile: f64) -> f64 {
        self.outcome.latency_from_due.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns the ratio of this count to all requests, as text.
    fn ratio(&self, requests: u64) -> String {
        let ratio = requests as f64 / self.outcome.requests.max(1) as f64;
        format!("{ratio:.4}")
    }

    /// Returns the cells of [`COLUMNS`]; `baseline` is the measurement without a flood.
    fn row(&self, baseline: &Measurement) -> Vec<String> {
        let p99_ratio = self.latency_ms(0.99) / baseline.latency_ms(0.99).max(0.001);
        let extra_cpu_time = self.cpu_time.saturating_sub(baseline.cpu_time);
        let cpu_us_per_connection = match self.connected {
            0 => "-".into(),
            connected => format!(
                "{:.1}",
                extra_cpu_time.as_secs_f64() * 1e6 / connected as f64
            ),
        };
        let cpu_percent = self.cpu_time.as_secs_f64() * 100.0 / self.duration.as_secs_f64();
        vec![
            self.name.clone(),
            self.outcome.requests.to_string(),
            self.ratio(self.outcome.served),
            self.ratio(self.outcome.rejected),
            self.ratio(self.outcome.failed),
            format!("{:.1}", self.latency_ms(0.5)),
            format!("{:.1}", self.latency_ms(0.99)),
            format!("{p99_ratio:.2}"),
            self.connected.to_string(),
            self.busy_replies.to_string(),
            self.connect_failures.to_string(),
            format!("{cpu_percent:.1}"),
            cpu_us_per_connection,
            format!("{:.1}", self.rss_kib as f64 / 1024.0),
        ]
    }
}
