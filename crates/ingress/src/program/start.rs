//! Startup: creates the listener, the watch on discovery and all other components from the
//! platform's configuration and the operator's file.

use super::config::Config;
use super::shutdown::ShutdownPhase;
use super::snapshot_store::SnapshotStore;
use super::status_file::StatusFile;
use super::{file_writer, Program, ProgramError};
use crate::clock::Clock;
use crate::limits::Limits;
use crate::routing::membership::MembershipDriver;
use crate::routing::{Driver, DriverConfig, EventSource, Frontend, Io, RequestSchema};
use crate::transport::{listen, max_descriptors, open_spare_descriptor, Deadlines, Poller};
use roseyard_admission::DescriptorBudget;
use roseyard_decision::Settings;
use roseyard_operator_config::{MachineLimits, OperatorFile, OperatorSettings};
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Returns the descriptor limits set by the platform's configuration and by the system.
pub(super) fn machine_limits(config: &Config) -> MachineLimits {
    MachineLimits {
        platform_descriptors: config.limits.sockets,
        system_descriptors: max_descriptors(),
    }
}

impl Program {
    /// Starts an ingress: listens for clients and opens the watch on discovery.
    ///
    /// # Errors
    /// Returns an error if a setting is invalid or the listen address is not available.
    pub fn start(
        config: &Config,
        file: &OperatorFile,
        clock: Clock,
    ) -> Result<Program, ProgramError> {
        let machine = machine_limits(config);
        let operator = file
            .resolve(&machine)
            .map_err(ProgramError::OperatorSettings)?;
        let limits = Limits::new(&operator, config.limits.memory_mb, &config.settings);
        let mut io = open_io(&operator, &limits, clock)?;
        let listener = listen_with_retry(&config.listen, &limits)?;
        let settings = config.settings.decision_settings()?;
        let mut frontend = open_frontend(
            listener, &settings, config, file, &operator, &limits, &mut io,
        )?;
        let snapshots = SnapshotStore::open(
            operator.reputation_snapshot,
            frontend.admission_mut(),
            io.now,
        );
        if let Some(address) = frontend.address() {
            let name = &config.name;
            tracing::info!(event = "listening", name, %address, "listening");
        }
        let driver = open_driver(config, settings, file, &limits, clock, &mut io)?;
        let ready_at = io.now + limits.event_loop.ready_timeout;
        let ready_deadline = schedule(&mut io, ready_at, EventSource::ReadyTimeout);
        let mut snapshot_deadline = None;
        snapshots.schedule(&mut snapshot_deadline, &mut io);
        let membership = &operator.membership;
        let membership_driver = MembershipDriver::start(
            membership,
            &config.name,
            file_writer::unix_ms(),
            config.seed ^ MEMBERSHIP_SEED_MASK,
            &mut io,
        )?;
        let status_path = membership.status_file.as_deref();
        let status_file = status_path
            .filter(|_| membership_driver.is_some())
            .map(StatusFile::new);
        let now = io.now;
        let writer = status_file.as_ref();
        let status_deadline = writer.and_then(|_| schedule(&mut io, now, EventSource::Status));
        Ok(Program {
            io,
            driver,
            frontend,
            signals: None,
            shutdown_limits: limits.shutdown,
            shutdown: ShutdownPhase::Serving,
            shutdown_deadline: None,
            ready_deadline,
            machine,
            snapshots,
            snapshot_deadline,
            membership: membership_driver,
            status_file,
            status_deadline,
            run_options: None,
            accept_pending: false,
            ready_events: Vec::new(),
            responses: Vec::new(),
        })
    }
}

/// Gives the membership protocol random numbers that differ from those of the request engine.
const MEMBERSHIP_SEED_MASK: u64 = 0x5eed;

/// Together with the rotation, makes the hash secret of the client tables differ from the seed of
/// the request engine, whose random decisions clients can observe.
const HASH_SECRET_MASK: u64 = 0x61c8_8646_80b5_83eb;
const HASH_SECRET_ROTATION_BITS: u32 = 23;

fn open_io(operator: &OperatorSettings, limits: &Limits, clock: Clock) -> Result<Io, ProgramError> {
    let poller =
        Poller::new(limits.event_loop.max_events_per_wait).map_err(ProgramError::Poller)?;
    let descriptor_budget = DescriptorBudget::new(operator.descriptors, operator.descriptor_limits)
        .map_err(ProgramError::Descriptors)?;
    Ok(Io {
        poller,
        deadlines: Deadlines::default(),
        now: clock.now(),
        descriptor_budget,
        spare_descriptor: open_spare_descriptor(),
    })
}

/// Sets a deadline that was not set before, and returns the slot of its owner.
fn schedule(io: &mut Io, at: Duration, source: EventSource) -> Option<Duration> {
    let mut slot = None;
    io.deadlines.set(&mut slot, Some(at), source);
    slot
}

fn open_frontend(
    listener: OwnedFd,
    settings: &Settings,
    config: &Config,
    file: &OperatorFile,
    operator: &OperatorSettings,
    limits: &Limits,
    io: &mut Io,
) -> Result<Frontend, ProgramError> {
    let route_field = file.services().route_field();
    let max_units = limits.frontend.max_units;
    let schema = RequestSchema::new(&config.settings, settings, max_units, route_field);
    let secret = config.seed.rotate_left(HASH_SECRET_ROTATION_BITS) ^ HASH_SECRET_MASK;
    let policy = operator.policy.clone();
    Frontend::new(listener, schema, policy, secret, limits.frontend, io)
        .map_err(ProgramError::ListenerRegistration)
}

fn open_driver(
    config: &Config,
    settings: Settings,
    file: &OperatorFile,
    limits: &Limits,
    clock: Clock,
    io: &mut Io,
) -> Result<Driver, ProgramError> {
    let driver_config = DriverConfig {
        settings,
        seed: config.seed,
        zones: config.settings.zone_names().to_vec(),
        directory: file.services().directory().clone(),
        clock,
        discovery: config.discovery,
        counter: config.counter,
        limits: limits.driver,
    };
    Driver::new(driver_config, &config.initial_endpoints, io).map_err(ProgramError::Settings)
}

/// Listens on the address. If the address is in use, retries until the timeout, because a previous
/// ingress process that is shutting down may not have closed its listener yet.
fn listen_with_retry(address: &SocketAddr, limits: &Limits) -> Result<OwnedFd, ProgramError> {
    let since = Instant::now();
    let mut logged = false;
    loop {
        match listen(address, limits.frontend.listen_backlog) {
            Ok(listener) => return Ok(listener),
            Err(Errno::ADDRINUSE) if since.elapsed() < limits.event_loop.address_timeout => {
                if !logged {
                    tracing::warn!(
                        event = "listen.address_in_use",
                        %address,
                        "address in use, retrying"
                    );
                    logged = true;
                }
                std::thread::sleep(limits.event_loop.address_retry_interval);
            }
            Err(error) => {
                return Err(ProgramError::Listen {
                    address: *address,
                    error,
                })
            }
        }
    }
}
