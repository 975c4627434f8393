//! The ingress program: configuration, startup, event loop, reload and shutdown.
//!
//! - [`cli`]: the command line and its commands.
//! - [`config`]: the platform's configuration file.
//! - `start`: creates a [`Program`] from the platform's configuration and the operator's file.
//! - `event_loop`: one iteration of the event loop: wait, read, decide, write.
//! - `reload`: reads both files again on SIGHUP.
//! - `shutdown`: the phases of a graceful shutdown after SIGTERM or SIGINT.
//! - `snapshot_store`, [`status_file`]: files that are written while the program runs.

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

/// The state of a running ingress. [`Program::run_iteration`] drives it.
pub struct Program {
    io: Io,
    driver: Driver,
    frontend: Frontend,
    /// `None` until [`Program::handle_signals`], which most tests do not call.
    signals: Option<Signals>,
    shutdown_limits: ShutdownLimits,
    shutdown: ShutdownPhase,
    /// When the current shutdown phase ends.
    shutdown_deadline: Option<Duration>,
    /// When the ingress becomes ready even if discovery has not replied. `None` once this has
    /// passed or the ingress is ready.
    ready_deadline: Option<Duration>,
    /// Limits of the machine, determined at startup. Reloads do not change them.
    machine: MachineLimits,
    snapshots: SnapshotStore,
    snapshot_deadline: Option<Duration>,
    /// The membership protocol with the other ingresses; `None` if it is not configured.
    membership: Option<MembershipDriver>,
    /// Writes the status of the membership; `None` if no status file is configured.
    status_file: Option<StatusFile>,
    status_deadline: Option<Duration>,
    /// Options that name the operator's file to reload on SIGHUP.
    run_options: Option<RunOptions>,
    /// Whether the listener may have connections to accept.
    accept_pending: bool,
    /// Buffers of an iteration, reused to avoid allocations.
    ready_events: Vec<Ready>,
    responses: Vec<CommandResponse>,
}

/// Numbers of open requests and connections, for tests and the log line at the end of a shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenCounts {
    /// Requests without a final response or with an attempt in flight.
    pub requests: usize,
    /// Connections to endpoints, including idle ones.
    pub upstream_connections: usize,
    /// Connections of clients.
    pub clients: usize,
}

/// Runs an ingress until the shutdown after SIGTERM or SIGINT is complete.
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
    /// Returns the address on which clients connect; `None` once the listener is closed.
    pub fn address(&self) -> Option<SocketAddr> {
        self.frontend.address()
    }

    /// Returns the revision of the endpoint list in force.
    pub fn list_revision(&self) -> u64 {
        self.driver.list_revision()
    }

    /// Returns the earliest deadline; `None` if none is set.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.io.deadlines.next()
    }

    /// Returns how long the event loop may wait for events; `None` if no deadline is set.
    fn wait_timeout(&self, now: Duration) -> Option<Duration> {
        self.next_deadline()
            .map(|deadline| deadline.saturating_sub(now))
    }

    /// Returns the numbers of open requests and connections.
    pub fn open(&self) -> OpenCounts {
        OpenCounts {
            requests: self.driver.open_requests(),
            upstream_connections: self.driver.upstream_connections(),
            clients: self.frontend.len(),
        }
    }

    /// Returns the number of open requests and buffered bytes of all client connections.
    pub fn client_usage(&self) -> FrontendUsage {
        self.frontend.usage()
    }

    /// Logs the last rejected requests and writes the snapshot of client reputations for the next
    /// start. Called once, after the last iteration.
    pub fn finalize(&mut self) {
        self.driver.log_rejections();
        self.snapshots
            .finish(self.frontend.admission(), self.io.now);
    }
}
