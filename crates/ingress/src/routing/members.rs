//! The other ingresses, where the operator lets them speak to one another: the socket under the
//! membership's state machine. Nothing on a request's path waits for it.

use super::{Io, Party};
use crate::transport::Datagrams;
use roseyard_admission::{Gcra, Rate};
use roseyard_membership::{
    wire, Action, Dropped, Event, Guard, Key, MemberState, Metadata, Name, Received, Settings,
    Stage, Swim, View,
};
use roseyard_operator_config::{MembershipSettings, NamedAddress};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::time::Duration;

/// Datagrams taken in a round: clients have their turn before the next ones.
const ROUND: usize = 64;
/// Names whose numbers are remembered, against replays.
const NAMES: usize = 4096;
/// Longer than the longest datagram, so that one that is too long is seen to be.
const SPACE: usize = 512;

/// What is known of the others, for `roseyard-ingress status`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// This ingress.
    pub name: String,
    /// Where it listens for the others.
    pub address: String,
    /// When this was written, Unix time in milliseconds.
    pub written: u64,
    /// The incarnation of this process: its start, in Unix milliseconds.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// How far it trusts itself: 0 is well, 8 the worst.
    pub health: u32,
    /// Who holds its name, while it is refused for that.
    pub held: Option<String>,
    /// Members that answer, this one included.
    pub seen: usize,
    /// Members that there should be.
    pub expected: usize,
    /// Is that more than half?
    pub quorum: bool,
    /// All that were ever heard of and are remembered.
    pub members: Vec<MemberStatus>,
    /// Datagrams by what became of them, and what the protocol counted.
    pub counts: BTreeMap<String, u64>,
}

/// One of them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: String,
    /// How it is seen.
    pub standing: String,
    /// Age of the latest word of its own, in milliseconds.
    pub age: u64,
    /// Its incarnation, and how often it refuted a suspicion in it.
    #[serde(rename = "life")]
    pub incarnation: (u64, u32),
    /// Its zone.
    pub zone: String,
    /// How far it is by its own word.
    pub stage: String,
}

/// The membership's socket and state.
pub struct Members {
    socket: Datagrams,
    swim: Swim,
    guard: Guard,
    due: Option<Duration>,
    /// Datagrams that may be sent, and those that were.
    rate: Rate,
    sent: Gcra,
    counts: BTreeMap<&'static str, u64>,
    dropped: BTreeMap<Dropped, u64>,
    actions: Vec<Action>,
}

/// The key of a file: 64 hex digits that nobody but the owner may read.
fn key(path: &Path) -> Result<Key, String> {
    let named = |e: &dyn std::fmt::Display| format!("membership: {}: {e}", path.display());
    let mode = fs::metadata(path)
        .map_err(|e| named(&e))?
        .permissions()
        .mode()
        & 0o777;
    if mode & 0o077 != 0 {
        return Err(named(&format!(
            "others may read this key (mode {mode:04o}); make it 0600"
        )));
    }
    let text = fs::read_to_string(path).map_err(|e| named(&e))?;
    let text = text.trim();
    let wrong = || named(&"not a key: 64 hex digits are expected");
    if text.len() != 64 || !text.is_ascii() {
        return Err(wrong());
    }
    let mut bytes = [0; 32];
    for (n, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * n..2 * n + 2], 16).map_err(|_| wrong())?;
    }
    Ok(Key::new(&bytes))
}

fn keys(operator: &MembershipSettings) -> Result<Vec<Key>, String> {
    let files = operator.key_file.iter().chain(&operator.other_key_file);
    files.map(|path| key(path)).collect()
}

/// What tells keys apart in log lines.
fn fingerprints(keys: &[Key]) -> String {
    keys.iter()
        .map(Key::fingerprint)
        .collect::<Vec<_>>()
        .join(" ")
}

/// So many datagrams a second, a fifth of them at once.
fn rate(operator: &MembershipSettings) -> Rate {
    let per_second = f64::from(operator.max_datagrams_per_second);
    Rate {
        per_second,
        burst: (per_second / 5.0).max(8.0),
    }
}

impl Members {
    /// Opens the socket, if the operator has set where. `generation` is the Unix time of this start
    /// in milliseconds.
    pub fn start(
        operator: &MembershipSettings,
        name: &str,
        generation: u64,
        seed: u64,
        io: &mut Io,
    ) -> Result<Option<Members>, String> {
        let Some(listen) = operator.listen else {
            return Ok(None);
        };
        let me = Name::from(name).ok().filter(|n| !n.is_empty());
        let me =
            me.ok_or_else(|| format!("membership: the name '{name}' is not of 1 to 16 bytes"))?;
        let keys = keys(operator)?;
        let socket =
            Datagrams::bind(listen).map_err(|e| format!("membership: listen on {listen}: {e}"))?;
        let address = socket.address().map_err(|e| format!("membership: {e}"))?;
        io.poller
            .add_level(&socket, Party::Members.token())
            .map_err(|e| format!("membership: {e}"))?;
        let path = |named: &NamedAddress| Some((Name::from(&named.name).ok()?, named.address));
        let settings = Settings {
            probe_interval: operator.probe_period,
            probe_timeout: operator.probe_timeout,
            gossip_interval: operator.gossip_interval,
            sync_interval: operator.sync_interval,
            suspicion_multiplier: operator.suspicion_periods,
            seeds: operator.seeds.clone(),
            address_overrides: operator.address_overrides.iter().filter_map(path).collect(),
            ..Settings::new(operator.expected_members)
        };
        let zone = operator.zone.as_str().try_into().unwrap_or_default();
        let metadata = Metadata {
            zone,
            ..Metadata::default()
        };
        let (cluster, keys_held) = (&operator.cluster, fingerprints(&keys));
        tracing::info!(
            event = "membership.listening", %name, %address, cluster, keys = keys_held,
            "membership listening"
        );
        let mut members = Members {
            guard: Guard::new(&operator.cluster, keys, me, NAMES),
            swim: Swim::new(settings, me, address, generation, metadata, seed),
            socket,
            due: None,
            rate: rate(operator),
            sent: Gcra::default(),
            counts: BTreeMap::new(),
            dropped: BTreeMap::new(),
            actions: Vec::new(),
        };
        members.tell(Event::Due, io);
        Ok(Some(members))
    }

    /// The operator's file was read again: its keys hold, and its bound on what is sent.
    pub fn set(&mut self, operator: &MembershipSettings) {
        self.rate = rate(operator);
        match keys(operator) {
            Ok(keys) => {
                let marks = fingerprints(&keys);
                tracing::info!(
                    event = "membership.keys_reloaded",
                    keys = marks,
                    "membership keys reloaded"
                );
                self.guard.set_keys(keys);
            }
            Err(why) => {
                tracing::warn!(
                    event = "membership.keys_rejected",
                    error = why,
                    "membership keys rejected, previous ones stay in force"
                );
            }
        }
    }

    /// This ingress serves now.
    pub fn serving(&mut self, io: &mut Io) {
        let metadata = Metadata {
            stage: Stage::Serving,
            ..self.swim.local().metadata.clone()
        };
        self.tell(Event::Metadata(metadata), io);
    }

    /// This ingress leaves.
    pub fn leave(&mut self, io: &mut Io) {
        self.tell(Event::Leave, io);
    }

    /// Datagrams wait.
    pub fn on_ready(&mut self, io: &mut Io) {
        let mut space = [0; SPACE];
        for _ in 0..ROUND {
            let Some((length, at)) = self.socket.receive(&mut space) else {
                return;
            };
            self.count("received");
            let heard = match self.guard.open(&space[..length]) {
                Ok(opened) => wire::read(opened.body)
                    .map(|contents| {
                        let (sender, generation) = (opened.sender, opened.generation);
                        Event::Received(Received {
                            source: at,
                            sender,
                            generation,
                            message: contents.message,
                            updates: contents.records,
                        })
                    })
                    .ok_or(Dropped::Malformed),
                Err(why) => Err(why),
            };
            match heard {
                Ok(event) => self.tell(event, io),
                Err(why) => *self.dropped.entry(why).or_default() += 1,
            }
        }
    }

    /// The state machine's deadline has come.
    pub fn on_due(&mut self, io: &mut Io) {
        self.due = None;
        self.tell(Event::Due, io);
    }

    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    fn tell(&mut self, event: Event, io: &mut Io) {
        let mut actions = std::mem::take(&mut self.actions);
        self.swim.handle(io.now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { to, body } => self.send(to, &body, io),
                Action::Changed { name, from, to } => {
                    let (was, is) = (from.as_str(), to.as_str());
                    let quorum = self.swim.quorum();
                    let (seen, expected) = (quorum.seen, quorum.expected);
                    if matches!(to, MemberState::Suspect | MemberState::Dead) {
                        tracing::warn!(
                            event = "membership.member_changed", member = %name, from = was, to = is, seen, expected,
                            "member state changed"
                        );
                    } else {
                        tracing::info!(
                            event = "membership.member_changed", member = %name, from = was, to = is, seen, expected,
                            "member state changed"
                        );
                    }
                }
                Action::NameConflict { holder: by } => {
                    let name = self.swim.local().name;
                    tracing::warn!(
                        event = "membership.name_conflict", %name, holder = %by,
                        "membership name in use by another process, retrying"
                    );
                }
                Action::Joined => {
                    tracing::info!(event = "membership.joined", "membership joined");
                }
            }
        }
        self.actions = actions;
        if self.swim.due() != self.due {
            io.deadlines
                .set(&mut self.due, self.swim.due(), Party::Members);
        }
    }

    /// Guards against more traffic than the operator allows, whatever asks for it.
    fn send(&mut self, to: std::net::SocketAddr, body: &[u8], io: &Io) {
        if self.sent.take(io.now, self.rate).is_err() {
            return self.count("not sent: over the bound");
        }
        let sealed = self.guard.seal(self.swim.local().generation, body);
        let taken = self.socket.send(&sealed, to);
        self.count(if taken {
            "sent"
        } else {
            "not sent: not taken by the system"
        });
    }

    /// All that is known; `written` is the Unix time in milliseconds.
    pub fn status(&self, written: u64, now: Duration) -> Status {
        let (me, quorum, counted) = (self.swim.local(), self.swim.quorum(), self.swim.counts());
        let member = |(name, view): (Name, View)| {
            let record = view.record?;
            Some(MemberStatus {
                name: name.to_string(),
                address: record.address.to_string(),
                standing: view.state.as_str().into(),
                age: view.age.map_or(0, |a| a.as_millis() as u64),
                incarnation: (record.generation, record.incarnation),
                zone: record.metadata.zone.to_string(),
                stage: format!("{:?}", record.metadata.stage).to_lowercase(),
            })
        };
        let mut counts: BTreeMap<String, u64> = self
            .counts
            .iter()
            .map(|(what, n)| ((*what).to_owned(), *n))
            .collect();
        counts.extend(
            self.dropped
                .iter()
                .map(|(why, n)| (format!("dropped: {why}"), *n)),
        );
        for (what, n) in [
            ("probes", counted.probes),
            ("probes failed", counted.failed_probes),
            ("suspicions refuted", counted.refutations),
            ("stalls of its own", counted.stalls),
            ("records not remembered", counted.rejected_records),
        ] {
            counts.insert(what.into(), n);
        }
        Status {
            name: me.name.to_string(),
            address: me.address.to_string(),
            written,
            incarnation: me.generation,
            health: self.swim.local_health(),
            held: self.swim.name_conflict().map(|at| at.to_string()),
            seen: quorum.seen,
            expected: quorum.expected,
            quorum: quorum.holds(),
            members: self.swim.views(now).filter_map(member).collect(),
            counts,
        }
    }
}
