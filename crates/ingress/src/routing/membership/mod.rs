//! Tracks the other ingresses, if the operator configures membership: connects the state machine of
//! [`roseyard_membership`] with a UDP socket. The handling of requests never waits for it.
//!
//! - `error`: errors of the start
//! - `keys`: keys that authenticate datagrams
//! - `status`: the state of the members as the status file stores it

mod error;
mod keys;
mod status;

pub use error::MembershipError;
pub use keys::{KeyFileError, KeyFileReason};
pub use status::{MemberStatus, Status};

use super::event_source::EventSource;
use super::io::Io;
use crate::transport::DatagramSocket;
use keys::{fingerprints, read_keys};
use roseyard_admission::{Gcra, Rate};
use roseyard_membership::{
    wire, Action, Authenticator, DropReason, Event, Key, MemberState, Metadata, Name, Received,
    Settings, Stage, Swim,
};
use roseyard_operator_config::{MembershipSettings, NamedAddress};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Datagrams that are received in one iteration of the event loop, so that clients are served in
/// between.
const MAX_DATAGRAMS_PER_ITERATION: usize = 64;
/// Member names whose sequence numbers are remembered to detect replayed datagrams.
const MAX_REMEMBERED_NAMES: usize = 4096;
/// Longer than the longest valid datagram, so that a longer one is detected rather than truncated
/// to a valid length.
const RECEIVE_BUFFER_BYTES: usize = 512;
/// The burst is the number of datagrams allowed per second divided by this.
const BURST_DIVISOR: f64 = 5.0;
const MIN_BURST_DATAGRAMS: f64 = 8.0;

/// Runs the membership protocol: its socket, its state machine and the authentication of its
/// datagrams.
pub struct MembershipDriver {
    socket: DatagramSocket,
    swim: Swim,
    authenticator: Authenticator,
    /// The time for which a timer is set; `None` if none is set.
    deadline: Option<Duration>,
    /// Limit on outgoing datagrams.
    max_send_rate: Rate,
    send_limiter: Gcra,
    /// Datagrams received, sent and not sent, by their keys in the status file.
    counts: BTreeMap<&'static str, u64>,
    /// Datagrams that were received but not accepted, by reason.
    dropped: BTreeMap<DropReason, u64>,
    /// Empty between events; reused for its capacity.
    actions: Vec<Action>,
}

impl MembershipDriver {
    /// Opens the socket and starts to join the cluster. Returns `None` if the operator's file
    /// configures no address to listen on. `generation` is the Unix time of the process start in
    /// milliseconds; `seed` seeds the random choices of the protocol.
    ///
    /// # Errors
    /// Returns an error if the name or a key is invalid, or if the socket cannot be opened.
    pub fn start(
        config: &MembershipSettings,
        name: &str,
        generation: u64,
        seed: u64,
        io: &mut Io,
    ) -> Result<Option<MembershipDriver>, MembershipError> {
        let Some(listen) = config.listen else {
            return Ok(None);
        };
        let local_name = parse_name(name)?;
        let keys = read_keys(config)?;
        let socket = DatagramSocket::bind(listen).map_err(|source| MembershipError::Listen {
            address: listen,
            source,
        })?;
        let address = socket.address()?;
        io.poller
            .add_level_triggered(&socket, EventSource::Membership.token())
            .map_err(std::io::Error::from)?;
        let metadata = Metadata {
            zone: config.zone.as_str().try_into().unwrap_or_default(),
            ..Metadata::default()
        };
        log_listening(name, address, &config.cluster, &keys);
        let settings = swim_settings(config);
        let mut driver = MembershipDriver {
            authenticator: Authenticator::new(
                &config.cluster,
                keys,
                local_name,
                MAX_REMEMBERED_NAMES,
            ),
            swim: Swim::new(settings, local_name, address, generation, metadata, seed),
            socket,
            deadline: None,
            max_send_rate: send_rate(config),
            send_limiter: Gcra::default(),
            counts: BTreeMap::new(),
            dropped: BTreeMap::new(),
            actions: Vec::new(),
        };
        driver.handle(Event::Timeout, io);
        Ok(Some(driver))
    }

    /// Applies the keys and the send rate of a reloaded operator's file. If a key cannot be read,
    /// the previous keys stay in force.
    pub fn reload(&mut self, config: &MembershipSettings) {
        self.max_send_rate = send_rate(config);
        match read_keys(config) {
            Ok(keys) => {
                let fingerprints = fingerprints(&keys);
                tracing::info!(
                    event = "membership.keys_reloaded",
                    keys = fingerprints,
                    "membership keys reloaded"
                );
                self.authenticator.set_keys(keys);
            }
            Err(error) => {
                let error = error.to_string();
                tracing::warn!(
                    event = "membership.keys_rejected",
                    error,
                    "membership keys rejected, previous ones stay in force"
                );
            }
        }
    }

    /// Announces that this ingress serves requests. Called once it is ready.
    pub fn on_serving(&mut self, io: &mut Io) {
        let metadata = Metadata {
            stage: Stage::Serving,
            ..self.swim.local().metadata.clone()
        };
        self.handle(Event::MetadataChanged(metadata), io);
    }

    /// Announces that this ingress leaves the cluster. Called when its shutdown begins.
    pub fn leave(&mut self, io: &mut Io) {
        self.handle(Event::Leave, io);
    }

    /// Called when the socket is readable. Receives datagrams, up to the limit of one iteration.
    pub fn on_ready(&mut self, io: &mut Io) {
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        for _ in 0..MAX_DATAGRAMS_PER_ITERATION {
            let Some((length, source)) = self.socket.receive(&mut buffer) else {
                return;
            };
            self.count("received");
            match self.open(&buffer[..length], source) {
                Ok(received) => self.handle(Event::Received(received), io),
                Err(reason) => *self.dropped.entry(reason).or_default() += 1,
            }
        }
    }

    /// Called when the deadline of the state machine has come.
    pub fn on_deadline(&mut self, io: &mut Io) {
        self.deadline = None;
        self.handle(Event::Timeout, io);
    }

    /// Returns the state of the members for the status file. `written` is the current Unix time in
    /// milliseconds.
    #[must_use]
    pub fn status(&self, written: u64, now: Duration) -> Status {
        let own_counts = self.counts.iter();
        let own_counts = own_counts.map(|(name, count)| ((*name).to_owned(), *count));
        let dropped = self.dropped.iter();
        let dropped = dropped.map(|(reason, count)| (format!("dropped: {reason}"), *count));
        Status::from_swim(
            &self.swim,
            written,
            now,
            own_counts.chain(dropped).collect(),
        )
    }

    /// Authenticates and parses a datagram.
    fn open(&mut self, datagram: &[u8], source: SocketAddr) -> Result<Received, DropReason> {
        let opened = self.authenticator.open(datagram)?;
        let contents = wire::decode(opened.body).ok_or(DropReason::Malformed)?;
        Ok(Received {
            source,
            sender: opened.sender,
            generation: opened.generation,
            message: contents.message,
            updates: contents.records,
        })
    }

    /// Passes an event to the state machine, carries out its actions and sets its next deadline.
    fn handle(&mut self, event: Event, io: &mut Io) {
        let mut actions = std::mem::take(&mut self.actions);
        self.swim.handle(io.now, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(action, io);
        }
        self.actions = actions;
        let deadline = self.swim.next_timeout();
        if deadline != self.deadline {
            io.deadlines
                .set(&mut self.deadline, deadline, EventSource::Membership);
        }
    }

    /// Carries out an action of the state machine: sends a datagram or logs a change.
    fn carry_out(&mut self, action: Action, io: &Io) {
        match action {
            Action::Send { to, body } => self.send(to, &body, io),
            Action::StateChanged { name, from, to } => self.log_change(name, from, to),
            Action::NameConflict { holder } => {
                let name = self.swim.local().name;
                tracing::warn!(
                    event = "membership.name_conflict", %name, holder = %holder,
                    "membership name in use by another process, retrying"
                );
            }
            Action::Joined => {
                tracing::info!(event = "membership.joined", "membership joined");
            }
        }
    }

    /// Sends a datagram, or drops it if the send rate of the operator's file is exceeded.
    fn send(&mut self, to: SocketAddr, body: &[u8], io: &Io) {
        if self.send_limiter.take(io.now, self.max_send_rate).is_err() {
            return self.count("not sent: over the bound");
        }
        let sealed = self.authenticator.seal(self.swim.local().generation, body);
        if self.socket.send(&sealed, to) {
            self.count("sent");
        } else {
            self.count("not sent: not taken by the system");
        }
    }

    /// Logs a change of a member's state, as a warning if the member may have failed.
    fn log_change(&self, name: Name, from: MemberState, to: MemberState) {
        let is_failure = matches!(to, MemberState::Suspect | MemberState::Dead);
        let from = from.as_str();
        let to = to.as_str();
        let quorum = self.swim.quorum();
        let seen = quorum.seen;
        let expected = quorum.expected;
        if is_failure {
            tracing::warn!(
                event = "membership.member_changed", member = %name, from, to, seen, expected,
                "member state changed"
            );
        } else {
            tracing::info!(
                event = "membership.member_changed", member = %name, from, to, seen, expected,
                "member state changed"
            );
        }
    }

    /// Increments a count of datagrams. `name` is its key in the status file.
    fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }
}

fn parse_name(name: &str) -> Result<Name, MembershipError> {
    let parsed = Name::from(name).ok().filter(|parsed| !parsed.is_empty());
    parsed.ok_or_else(|| MembershipError::InvalidName {
        name: name.to_owned(),
    })
}

/// Returns the settings of the protocol from the operator's file. Overrides for names that the
/// protocol cannot carry are left out.
fn swim_settings(config: &MembershipSettings) -> Settings {
    let address_override =
        |named: &NamedAddress| Some((Name::from(&named.name).ok()?, named.address));
    Settings {
        probe_interval: config.probe_interval,
        probe_timeout: config.probe_timeout,
        gossip_interval: config.gossip_interval,
        sync_interval: config.sync_interval,
        suspicion_multiplier: config.suspicion_multiplier,
        seeds: config.seeds.clone(),
        address_overrides: config
            .address_overrides
            .iter()
            .filter_map(address_override)
            .collect(),
        ..Settings::new(config.expected_members)
    }
}

/// Returns the limit on outgoing datagrams from the operator's file.
fn send_rate(config: &MembershipSettings) -> Rate {
    let per_second = f64::from(config.max_datagrams_per_second);
    Rate {
        per_second,
        burst: (per_second / BURST_DIVISOR).max(MIN_BURST_DATAGRAMS),
    }
}

fn log_listening(name: &str, address: SocketAddr, cluster: &str, keys: &[Key]) {
    let fingerprints = fingerprints(keys);
    tracing::info!(
        event = "membership.listening", %name, %address, cluster, keys = fingerprints,
        "membership listening"
    );
}
