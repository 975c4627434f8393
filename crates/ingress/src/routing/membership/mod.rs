//! The other ingresses, where the operator configures membership: the socket under the protocol's
//! state machine. Nothing on a request's path waits for it.
//!
//! - `error`: why it cannot be started
//! - `keys`: the keys that datagrams are sealed with
//! - `status`: what is stored of the members

mod error;
mod keys;
mod status;

pub use error::MembershipError;
pub use keys::{KeyFileError, KeyFileReason};
pub use status::{MemberStatus, Status};

use super::event_source::EventSource;
use super::io::Io;
use crate::transport::Datagrams;
use keys::{fingerprints, read_keys};
use roseyard_admission::{Gcra, Rate};
use roseyard_membership::{
    wire, Action, Dropped, Event, Guard, Key, MemberState, Metadata, Name, Received, Settings,
    Stage, Swim,
};
use roseyard_operator_config::{MembershipSettings, NamedAddress};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Datagrams taken in a round; clients are served before the next ones.
const MAX_DATAGRAMS_PER_ROUND: usize = 64;
/// Names whose sequence numbers are remembered, against replays.
const MAX_REMEMBERED_NAMES: usize = 4096;
/// Longer than the longest datagram, so that one that is too long is seen to be.
const RECEIVE_BUFFER_BYTES: usize = 512;
/// One part in this many of a second's datagrams may be sent at once.
const BURST_DIVISOR: f64 = 5.0;
const MIN_BURST: f64 = 8.0;

/// The membership's socket and state machine.
pub struct MembershipDriver {
    socket: Datagrams,
    swim: Swim,
    guard: Guard,
    due: Option<Duration>,
    /// Most datagrams that are sent.
    rate: Rate,
    limiter: Gcra,
    counts: BTreeMap<&'static str, u64>,
    dropped: BTreeMap<Dropped, u64>,
    /// Kept from event to event, for its capacity.
    actions: Vec<Action>,
}

impl MembershipDriver {
    /// Opens the socket, if the operator has configured one. `generation` is the Unix time of this
    /// start in milliseconds.
    ///
    /// # Errors
    /// If name or keys cannot be used, or the socket cannot be opened.
    pub fn start(
        operator: &MembershipSettings,
        name: &str,
        generation: u64,
        seed: u64,
        io: &mut Io,
    ) -> Result<Option<MembershipDriver>, MembershipError> {
        let Some(listen) = operator.listen else {
            return Ok(None);
        };
        let local_name = parse_name(name)?;
        let keys = read_keys(operator)?;
        let socket = Datagrams::bind(listen).map_err(|source| MembershipError::Listen {
            address: listen,
            source,
        })?;
        let address = socket.address()?;
        io.poller
            .add_level(&socket, EventSource::Membership.token())
            .map_err(std::io::Error::from)?;
        let metadata = Metadata {
            zone: operator.zone.as_str().try_into().unwrap_or_default(),
            ..Metadata::default()
        };
        log_listening(name, address, &operator.cluster, &keys);
        let settings = swim_settings(operator);
        let mut driver = MembershipDriver {
            guard: Guard::new(&operator.cluster, keys, local_name, MAX_REMEMBERED_NAMES),
            swim: Swim::new(settings, local_name, address, generation, metadata, seed),
            socket,
            due: None,
            rate: send_rate(operator),
            limiter: Gcra::default(),
            counts: BTreeMap::new(),
            dropped: BTreeMap::new(),
            actions: Vec::new(),
        };
        driver.handle(Event::Due, io);
        Ok(Some(driver))
    }

    /// The operator's file was read again: its keys are in force, and its bound on what is sent.
    pub fn reload(&mut self, operator: &MembershipSettings) {
        self.rate = send_rate(operator);
        match read_keys(operator) {
            Ok(keys) => {
                let fingerprints = fingerprints(&keys);
                tracing::info!(
                    event = "membership.keys_reloaded",
                    keys = fingerprints,
                    "membership keys reloaded"
                );
                self.guard.set_keys(keys);
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

    /// This ingress serves requests now.
    pub fn on_serving(&mut self, io: &mut Io) {
        let metadata = Metadata {
            stage: Stage::Serving,
            ..self.swim.local().metadata.clone()
        };
        self.handle(Event::Metadata(metadata), io);
    }

    /// This ingress shuts down.
    pub fn leave(&mut self, io: &mut Io) {
        self.handle(Event::Leave, io);
    }

    /// Datagrams wait.
    pub fn on_ready(&mut self, io: &mut Io) {
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        for _ in 0..MAX_DATAGRAMS_PER_ROUND {
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

    /// The state machine's deadline has come.
    pub fn on_due(&mut self, io: &mut Io) {
        self.due = None;
        self.handle(Event::Due, io);
    }

    /// What is known of the members; `written` is the Unix time in milliseconds.
    #[must_use]
    pub fn status(&self, written: u64, now: Duration) -> Status {
        let own = self.counts.iter();
        let own = own.map(|(name, count)| ((*name).to_owned(), *count));
        let dropped = self.dropped.iter();
        let dropped = dropped.map(|(reason, count)| (format!("dropped: {reason}"), *count));
        Status::of(&self.swim, written, now, own.chain(dropped).collect())
    }

    /// Authenticates and parses a datagram.
    fn open(&mut self, datagram: &[u8], source: SocketAddr) -> Result<Received, Dropped> {
        let opened = self.guard.open(datagram)?;
        let contents = wire::read(opened.body).ok_or(Dropped::Malformed)?;
        Ok(Received {
            source,
            sender: opened.sender,
            generation: opened.generation,
            message: contents.message,
            updates: contents.records,
        })
    }

    fn handle(&mut self, event: Event, io: &mut Io) {
        let mut actions = std::mem::take(&mut self.actions);
        self.swim.handle(io.now, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(action, io);
        }
        self.actions = actions;
        let due = self.swim.due();
        if due != self.due {
            io.deadlines
                .set(&mut self.due, due, EventSource::Membership);
        }
    }

    fn carry_out(&mut self, action: Action, io: &Io) {
        match action {
            Action::Send { to, body } => self.send(to, &body, io),
            Action::Changed { name, from, to } => self.log_change(name, from, to),
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

    /// Sends a datagram, within the bound that the operator sets.
    fn send(&mut self, to: SocketAddr, body: &[u8], io: &Io) {
        if self.limiter.take(io.now, self.rate).is_err() {
            return self.count("not sent: over the bound");
        }
        let sealed = self.guard.seal(self.swim.local().generation, body);
        if self.socket.send(&sealed, to) {
            self.count("sent");
        } else {
            self.count("not sent: not taken by the system");
        }
    }

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

    /// Counts what became of a datagram; the names are stored in the status file.
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

/// The protocol's settings by the operator's file.
fn swim_settings(operator: &MembershipSettings) -> Settings {
    let address_override =
        |named: &NamedAddress| Some((Name::from(&named.name).ok()?, named.address));
    Settings {
        probe_interval: operator.probe_period,
        probe_timeout: operator.probe_timeout,
        gossip_interval: operator.gossip_interval,
        sync_interval: operator.sync_interval,
        suspicion_multiplier: operator.suspicion_periods,
        seeds: operator.seeds.clone(),
        address_overrides: operator
            .address_overrides
            .iter()
            .filter_map(address_override)
            .collect(),
        ..Settings::new(operator.expected_members)
    }
}

/// The bound on datagrams sent, by the operator's file.
fn send_rate(operator: &MembershipSettings) -> Rate {
    let per_second = f64::from(operator.max_datagrams_per_second);
    Rate {
        per_second,
        burst: (per_second / BURST_DIVISOR).max(MIN_BURST),
    }
}

fn log_listening(name: &str, address: SocketAddr, cluster: &str, keys: &[Key]) {
    let fingerprints = fingerprints(keys);
    tracing::info!(
        event = "membership.listening", %name, %address, cluster, keys = fingerprints,
        "membership listening"
    );
}
