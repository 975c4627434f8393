//! The program: configuration, start, event loop, reload and shutdown.
//!
//! - [`cli`]: the command line and its commands.
//! - [`config`]: the platform's configuration file.
//! - `start`: builds an [`Program`] from both files.
//! - `event_loop`: one round: wait, read, decide, write.
//! - `reload`: SIGHUP. `shutdown`: SIGTERM and SIGINT, in four phases.
//! - `snapshot_store`, `status_file`: files that are written while the program runs.

pub mod cli;
pub mod config;
mod error;
mod event_loop;
mod file_writer;
mod reload;
mod shutdown;
mod signals;
mod snapshot_store;
mod start;
pub mod status_file;
mod status_table;

pub use error::ProgramError;
pub use signals::Signals;

use crate::clock::Clock;
use crate::routing::frontend::FrontendUsage;
use crate::routing::membership::MembershipDriver;
use crate::routing::{CommandResponse, Driver, Frontend, Io, ShutdownLimits};
use crate::transport::Ready;
use cli::RunOptions;
use config::Config;
use roseyard_operator_config::MachineLimits;
use shutdown::ShutdownPhase;
use snapshot_store::SnapshotStore;
use status_file::StatusFile;
use std::net::SocketAddr;
use std::time::Duration;

/// An ingress between two rounds of its event loop.
pub struct Program {
    io: Io,
    driver: Driver,
    frontend: Frontend,
    /// None until [`Program::handle_signals`]; tests run without.
    signals: Option<Signals>,
    shutdown_limits: ShutdownLimits,
    shutdown: ShutdownPhase,
    /// When the next phase of the shutdown is due.
    shutdown_deadline: Option<Duration>,
    /// When requests are served even if discovery has said nothing.
    ready_deadline: Option<Duration>,
    /// The machine's limits at the start, which hold until the process ends.
    machine: MachineLimits,
    snapshots: SnapshotStore,
    snapshot_deadline: Option<Duration>,
    /// The other ingresses, where membership is on.
    membership: Option<MembershipDriver>,
    /// The file that shows how they are seen, where the operator wants one.
    status_file: Option<StatusFile>,
    status_deadline: Option<Duration>,
    /// How the program was started; its file is read again on SIGHUP.
    run_options: Option<RunOptions>,
    /// Connections wait at the listener.
    accept_pending: bool,
    /// Buffers of a round, kept for their capacity.
    ready_events: Vec<Ready>,
    responses: Vec<CommandResponse>,
}

/// What a program holds, for tests and for the last log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenCounts {
    /// Requests without a final response or with an attempt in flight.
    pub requests: usize,
    /// Connections to endpoints.
    pub upstream_connections: usize,
    /// Connections of clients.
    pub clients: usize,
}

/// Runs an ingress until SIGTERM or SIGINT has been served.
pub fn run(options: &RunOptions) -> Result<(), ProgramError> {
    let signals = Signals::watch().map_err(ProgramError::Signals)?;
    let clock = Clock::start();
    let config = Config::read()?;
    let file = options.operator_file()?;
    let settings = file
        .resolve(&start::machine_limits(&config))
        .map_err(ProgramError::OperatorSettings)?;
    options.start_log(&settings);
    let mut program = Program::start(&config, &file, clock)?;
    program.handle_signals(signals, options.clone())?;
    while program.run_iteration(program.wait_timeout(clock.now()), || clock.now())? {}
    let open_requests = program.open().requests;
    program.finalize();
    tracing::info!(
        event = "shutdown.completed",
        open_requests,
        "shutdown completed"
    );
    Ok(())
}

impl Program {
    /// Where clients connect; none once the listener is closed.
    pub fn address(&self) -> Option<SocketAddr> {
        self.frontend.address()
    }

    /// Revision of the endpoint list in force.
    pub fn list_revision(&self) -> u64 {
        self.driver.list_revision()
    }

    /// The earliest deadline.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.io.deadlines.next()
    }

    /// How long the event loop may wait at this time; none: until something happens.
    fn wait_timeout(&self, now: Duration) -> Option<Duration> {
        self.next_deadline().map(|due| due.saturating_sub(now))
    }

    /// What is open now.
    pub fn open(&self) -> OpenCounts {
        OpenCounts {
            requests: self.driver.open_requests(),
            upstream_connections: self.driver.upstream_connections(),
            clients: self.frontend.len(),
        }
    }

    /// What the connections of clients hold.
    pub fn client_usage(&self) -> FrontendUsage {
        self.frontend.usage()
    }

    /// Logs what was rejected last, and writes the snapshot of clients for the next start. Call once,
    /// after the last round.
    pub fn finalize(&mut self) {
        self.driver.log_rejections();
        self.snapshots
            .finish(self.frontend.admission(), self.io.now);
    }
}
