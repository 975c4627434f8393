//! A simulated fleet of members in virtual time. A run is determined by its seed. Every datagram
//! passes through the production authenticator and wire format.
#![allow(dead_code)]

mod network;

use network::{Datagram, Network};
use roseyard_membership::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

#[allow(unused_imports)]
pub(crate) use network::{Conditions, RELIABLE_CONDITIONS};

/// Capacity of the socket buffer of a paused member, in datagrams; further ones are dropped.
const MAX_BUFFERED_DATAGRAMS: usize = 200;

pub(crate) fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub(crate) fn name(n: usize) -> Name {
    Name::from(&format!("n{n}")).unwrap()
}

pub(crate) fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (n >> 8) as u8, n as u8], 7946))
}

pub(crate) struct Member {
    pub swim: Swim,
    authenticator: Authenticator,
    /// Whether the process is stopped. Datagrams are buffered until it is resumed.
    pub paused: bool,
    buffered: Vec<(SocketAddr, Vec<u8>)>,
}

/// A change of the state in which one member, the observer, sees another one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Change {
    pub at: Duration,
    pub observer: usize,
    pub subject: Name,
    pub from: MemberState,
    pub to: MemberState,
}

pub(crate) struct Fleet {
    pub now: Duration,
    pub members: BTreeMap<usize, Member>,
    pub network: Network,
    pub changes: Vec<Change>,
    /// Members that were refused because of a name conflict, and the addresses of the processes
    /// that use their names.
    pub name_conflicts: Vec<(usize, SocketAddr)>,
    pub datagram_count: u64,
    pub byte_count: u64,
    pub max_datagram_bytes: usize,
    settings: Settings,
    rng: fastrand::Rng,
    starts: u64,
    /// The next timeouts of all members that are not paused, in order.
    deadlines: BTreeSet<(Duration, usize)>,
    /// The next timeout of each member that is not paused.
    deadline_of: BTreeMap<usize, Duration>,
}

impl Fleet {
    /// Creates a fleet without members. The addresses of the members 0, 1 and 2 are the seeds of
    /// every member.
    pub(crate) fn new(settings: Settings, seed: u64) -> Fleet {
        eprintln!("seed {seed}");
        let settings = Settings {
            seeds: (0..3).map(address).collect(),
            ..settings
        };
        Fleet {
            now: Duration::ZERO,
            members: BTreeMap::new(),
            network: Network::new(),
            changes: Vec::new(),
            name_conflicts: Vec::new(),
            datagram_count: 0,
            byte_count: 0,
            max_datagram_bytes: 0,
            settings,
            rng: fastrand::Rng::with_seed(seed),
            starts: 0,
            deadlines: BTreeSet::new(),
            deadline_of: BTreeMap::new(),
        }
    }

    /// Creates a fleet of this many members, and runs it until they have converged.
    pub(crate) fn converged(members: usize, settings: Settings, seed: u64) -> Fleet {
        let mut fleet = Fleet::new(settings, seed);
        (0..members).for_each(|n| fleet.start(n));
        let convergence_time = fleet.run_until(ms(60_000), Fleet::has_converged);
        assert!(
            convergence_time.is_some(),
            "the fleet did not converge within 60 s"
        );
        fleet
    }

    pub(crate) fn start(&mut self, n: usize) {
        self.start_with_name_of(n, n);
    }

    /// Starts member `n` with the name of member `name_number`.
    pub(crate) fn start_with_name_of(&mut self, n: usize, name_number: usize) {
        self.starts += 1;
        let metadata = Metadata {
            stage: Stage::Serving,
            ..Metadata::default()
        };
        let seed = self.rng.u64(..);
        let generation = 1_700_000_000_000 + self.starts;
        let swim = Swim::new(
            self.settings.clone(),
            name(name_number),
            address(n),
            generation,
            metadata,
            seed,
        );
        let authenticator =
            Authenticator::new("test", vec![Key::new(&[7; 32])], name(name_number), 4096);
        let member = Member {
            swim,
            authenticator,
            paused: false,
            buffered: Vec::new(),
        };
        self.members.insert(n, member);
        self.handle(n, Event::Timeout);
    }

    /// Kills a member, which loses all of its state.
    pub(crate) fn kill(&mut self, n: usize) {
        self.members.remove(&n);
        self.schedule(n);
    }

    /// Updates the deadline of a member after a change of its state.
    fn schedule(&mut self, n: usize) {
        if let Some(at) = self.deadline_of.remove(&n) {
            self.deadlines.remove(&(at, n));
        }
        let running = self.members.get(&n).filter(|member| !member.paused);
        if let Some(at) = running.and_then(|member| member.swim.next_timeout()) {
            self.deadline_of.insert(n, at);
            self.deadlines.insert((at, n));
        }
    }

    pub(crate) fn pause(&mut self, n: usize) {
        self.members.get_mut(&n).unwrap().paused = true;
        self.schedule(n);
    }

    pub(crate) fn resume(&mut self, n: usize) {
        let member = self.members.get_mut(&n).unwrap();
        member.paused = false;
        let buffered = std::mem::take(&mut member.buffered);
        for (source, bytes) in buffered {
            self.deliver(n, source, &bytes);
        }
        self.handle(n, Event::Timeout);
    }

    /// Passes an event to a member, and performs its actions.
    pub(crate) fn handle(&mut self, n: usize, event: Event) {
        let Some(member) = self.members.get_mut(&n) else {
            return;
        };
        let mut actions = Vec::new();
        member.swim.handle(self.now, event, &mut actions);
        let generation = member.swim.local().generation;
        self.schedule(n);
        for action in actions {
            match action {
                Action::Send { to, body } => {
                    let authenticator = &mut self.members.get_mut(&n).unwrap().authenticator;
                    let bytes = authenticator.seal(generation, &body);
                    self.send(n, to, bytes);
                }
                Action::StateChanged { name, from, to } => {
                    self.changes.push(Change {
                        at: self.now,
                        observer: n,
                        subject: name,
                        from,
                        to,
                    });
                }
                Action::NameConflict { holder } => self.name_conflicts.push((n, holder)),
                Action::Joined => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let SocketAddr::V4(v4) = to else { return };
        let [_, _, high, low] = v4.ip().octets();
        self.datagram_count += 1;
        self.byte_count += bytes.len() as u64;
        self.max_datagram_bytes = self.max_datagram_bytes.max(bytes.len());
        let datagram = Datagram {
            to: usize::from(high) << 8 | usize::from(low),
            source: address(from),
            bytes,
        };
        self.network.send(self.now, from, datagram, &mut self.rng);
    }

    fn deliver(&mut self, n: usize, source: SocketAddr, bytes: &[u8]) {
        let Some(member) = self.members.get_mut(&n) else {
            return;
        };
        if member.paused {
            if member.buffered.len() < MAX_BUFFERED_DATAGRAMS {
                member.buffered.push((source, bytes.to_vec()));
            }
            return;
        }
        let Ok(opened) = member.authenticator.open(bytes) else {
            return;
        };
        let contents = wire::decode(opened.body).expect("a body that a member encoded");
        let received = Received {
            source,
            sender: opened.sender,
            generation: opened.generation,
            message: contents.message,
            updates: contents.records,
        };
        self.handle(n, Event::Received(received));
    }

    /// Simulates the next delivery or timeout, and returns whether there was one up to `end`.
    fn step(&mut self, end: Duration) -> bool {
        let deadline = self.deadlines.first().copied();
        let arrival = self.network.next_arrival();
        let next = deadline
            .map_or(Duration::MAX, |(at, _)| at)
            .min(arrival.unwrap_or(Duration::MAX));
        if next > end {
            self.now = end;
            return false;
        }
        self.now = self.now.max(next);
        if arrival.is_some_and(|at| at <= next) {
            let datagram = self.network.take_next_datagram().unwrap();
            self.deliver(datagram.to, datagram.source, &datagram.bytes);
        } else if let Some((_, n)) = deadline {
            self.handle(n, Event::Timeout);
        }
        true
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.step(end) {}
    }

    /// Runs until the condition is met, and returns the time that passed; `None` if the condition
    /// was not met within `max_time`.
    pub(crate) fn run_until(
        &mut self,
        max_time: Duration,
        condition: impl Fn(&Fleet) -> bool,
    ) -> Option<Duration> {
        let begin = self.now;
        while self.now < begin + max_time {
            if condition(self) {
                return Some(self.now - begin);
            }
            self.run(ms(50));
        }
        None
    }

    pub(crate) fn state(&self, observer: usize, subject: usize) -> MemberState {
        self.members[&observer].swim.state(&name(subject))
    }

    /// Whether all running members see each other alive and have the same records.
    pub(crate) fn has_converged(&self) -> bool {
        let digests: BTreeSet<u64> = self.members.values().map(|m| m.swim.digest()).collect();
        let running: Vec<usize> = self.members.keys().copied().collect();
        let sees_alive = |a: &usize, b: &usize| a == b || self.state(*a, *b) == MemberState::Alive;
        digests.len() == 1
            && running
                .iter()
                .all(|a| running.iter().all(|b| sees_alive(a, b)))
    }

    /// Returns the number of changes by which a running member was seen in this state by another
    /// one.
    pub(crate) fn false_reports(&self, to: MemberState) -> usize {
        let is_running = |name: &Name| {
            self.members
                .values()
                .any(|m| m.swim.local().name == *name && !m.paused)
        };
        self.changes
            .iter()
            .filter(|change| change.to == to && is_running(&change.subject))
            .count()
    }
}
