//! Start: from two files to a program that listens and watches discovery.

use super::config::Config;
use super::shutdown::ShutdownPhase;
use super::snapshot_store::SnapshotStore;
use super::status_file::StatusFile;
use super::{file_writer, Program, ProgramError};
use crate::clock::Clock;
use crate::limits::Limits;
use crate::routing::members::Members;
use crate::routing::{Core, Front, Io, Party, Start, Terms};
use crate::transport::{allowed, listen, spare, Deadlines, Poller};
use roseyard_admission::DescriptorBudget;
use roseyard_operator_config::{File, MachineLimits, OperatorSettings};
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use std::net::SocketAddr;
use std::time::Instant;

/// The machine's limits by the platform's configuration and by the system.
pub(super) fn machine_limits(config: &Config) -> MachineLimits {
    MachineLimits {
        platform_descriptors: config.limits.sockets,
        system_descriptors: allowed(),
    }
}

impl Program {
    /// Listens, and opens the watch on discovery.
    pub fn start(config: &Config, file: &File, clock: Clock) -> Result<Program, ProgramError> {
        let machine = machine_limits(config);
        let operator = file
            .resolve(&machine)
            .map_err(ProgramError::OperatorSettings)?;
        let limits = Limits::new(&operator, config.limits.memory_mb, &config.settings);
        let mut io = open_io(&operator, limits, clock)?;
        let mut front = open_frontend(config, file, &operator, &mut io)?;
        let snapshots = SnapshotStore::open(operator.reputation_snapshot, front.gate_mut(), io.now);
        if let Some(address) = front.address() {
            let name = &config.name;
            tracing::info!(event = "listening", name, %address, "listening");
        }
        let core = open_core(config, file, clock, &mut io)?;
        let mut ready_due = None;
        let latest_ready = io.now + io.limits.ready;
        io.deadlines
            .set(&mut ready_due, Some(latest_ready), Party::Ready);
        let mut snapshot_due = None;
        snapshots.schedule(&mut snapshot_due, &mut io);
        let membership = &operator.membership;
        let members = Members::start(
            membership,
            &config.name,
            file_writer::unix_ms(),
            config.seed ^ MEMBERSHIP_SEED_MASK,
            &mut io,
        )
        .map_err(|error| ProgramError::Membership(error.to_string()))?;
        let status_path = membership.status_file.as_deref();
        let status_file = status_path
            .filter(|_| members.is_some())
            .map(StatusFile::new);
        let mut status_due = None;
        if status_file.is_some() {
            io.deadlines
                .set(&mut status_due, Some(io.now), Party::Status);
        }
        Ok(Program {
            io,
            core,
            front,
            signals: None,
            shutdown: ShutdownPhase::Serving,
            shutdown_due: None,
            ready_due,
            machine,
            snapshots,
            snapshot_due,
            members,
            status_file,
            status_due,
            run_options: None,
            accept_pending: false,
            ready_events: Vec::new(),
            responses: Vec::new(),
        })
    }
}

/// Keeps the membership's random numbers apart from the decisions'.
const MEMBERSHIP_SEED_MASK: u64 = 0x5eed;

/// Keeps the hash secret of client tables apart from the decisions' random numbers, which clients
/// can see the effects of.
const HASH_SECRET_MASK: u64 = 0x61c8_8646_80b5_83eb;
const HASH_SECRET_ROTATION: u32 = 23;

fn open_io(operator: &OperatorSettings, limits: Limits, clock: Clock) -> Result<Io, ProgramError> {
    let poller = Poller::new(limits.batch).map_err(ProgramError::Poller)?;
    let budget = DescriptorBudget::new(operator.descriptors, operator.descriptor_limits)
        .map_err(ProgramError::Descriptors)?;
    Ok(Io {
        poller,
        deadlines: Deadlines::default(),
        now: clock.now(),
        budget,
        spare: spare(),
        limits,
    })
}

fn open_frontend(
    config: &Config,
    file: &File,
    operator: &OperatorSettings,
    io: &mut Io,
) -> Result<Front, ProgramError> {
    let listener = take_address(&config.listen, &io.limits)?;
    let settings = decision_settings(config)?;
    let route_field = file.services().route_field();
    let terms = Terms::new(&config.settings, &settings, &io.limits, route_field);
    let secret = config.seed.rotate_left(HASH_SECRET_ROTATION) ^ HASH_SECRET_MASK;
    let policy = operator.policy.clone();
    Front::new(listener, terms, policy, secret, io).map_err(ProgramError::ListenerRegistration)
}

fn open_core(
    config: &Config,
    file: &File,
    clock: Clock,
    io: &mut Io,
) -> Result<Core, ProgramError> {
    let start = Start {
        settings: decision_settings(config)?,
        seed: config.seed,
        zones: config.settings.zone_names().to_vec(),
        directory: file.services().directory().clone(),
        clock,
        discovery: config.discovery,
        counter: config.counter,
    };
    Core::new(start, &config.known, io).map_err(ProgramError::Settings)
}

fn decision_settings(config: &Config) -> Result<roseyard_decision::Settings, ProgramError> {
    Ok(config.settings.settings()?)
}

/// Listens on the address. While another process holds it, retries for up to [`Limits::address`]:
/// a predecessor that is shutting down may not have closed its listener yet.
fn take_address(address: &SocketAddr, limits: &Limits) -> Result<OwnedFd, ProgramError> {
    let since = Instant::now();
    let mut logged = false;
    loop {
        match listen(address, limits.backlog) {
            Ok(listener) => return Ok(listener),
            Err(Errno::ADDRINUSE) if since.elapsed() < limits.address => {
                if !logged {
                    tracing::warn!(
                        event = "listen.address_in_use",
                        %address,
                        "address in use, retrying"
                    );
                    logged = true;
                }
                std::thread::sleep(limits.address_again);
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
