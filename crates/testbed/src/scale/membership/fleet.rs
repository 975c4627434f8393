//! A fleet whose members are all real, in virtual time.

use super::peers::{authenticator, number_at, swim, Datagram, NETWORK_LATENCY};
use crate::scale::measure::processor_time;
use roseyard_membership::{Action, Authenticator, Event, Swim};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Processor time after which a fleet that does not agree is given up.
pub(super) const MAX_PROCESSOR_TIME: Duration = Duration::from_secs(60);
/// Virtual time in which a fleet has to agree.
pub(super) const AGREE_WITHIN: Duration = Duration::from_secs(120);
/// A zone's share of the ingresses.
const ZONE_SHARE: f64 = 330.0 / 4300.0;
/// Virtual time between two checks whether all agree.
const AGREE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

struct FleetMember {
    swim: Swim,
    authenticator: Authenticator,
    /// When its next timer is due.
    due: Option<Duration>,
    dead: bool,
}

pub(super) struct VirtualFleet {
    now: Duration,
    members: Vec<FleetMember>,
    /// Datagrams by arrival, then by the order of sending.
    in_flight: BTreeMap<(Duration, u64), Datagram>,
    timers: BTreeSet<(Duration, usize)>,
    datagrams_sent: u64,
    /// Bytes of all datagrams so far.
    pub bytes: u64,
    /// Members below this number and the others cannot reach each other.
    split: Option<usize>,
}

/// What a failure of many members at once costs, in bytes a second of a member, in and out, in the
/// second with the most of them.
pub(super) struct FailureCost {
    /// While the failure lasts.
    pub peak: f64,
    /// After its end.
    pub peak_after: f64,
    /// Seconds until all agree again; none if they do not within [`AGREE_WITHIN`].
    pub agreed_after_s: Option<f64>,
}

/// How a fleet came to agree after a failure.
struct Recovery {
    peak: f64,
    agreed_after_s: Option<f64>,
}

impl VirtualFleet {
    pub(super) fn new(members: usize, seed: u64) -> VirtualFleet {
        let member = |number: usize| FleetMember {
            swim: swim(number, members, seed.wrapping_add(number as u64)),
            authenticator: authenticator(number, members),
            due: None,
            dead: false,
        };
        let mut fleet = VirtualFleet {
            now: Duration::ZERO,
            members: (0..members).map(member).collect(),
            in_flight: BTreeMap::new(),
            timers: BTreeSet::new(),
            datagrams_sent: 0,
            bytes: 0,
            split: None,
        };
        for number in 0..members {
            fleet.handle(number, Event::Timeout);
        }
        fleet
    }

    fn handle(&mut self, number: usize, event: Event) {
        let member = &mut self.members[number];
        let mut actions = Vec::new();
        member.swim.handle(self.now, event, &mut actions);
        for action in actions {
            let Action::Send { to, body } = action else {
                continue;
            };
            let bytes = member
                .authenticator
                .seal(member.swim.local().generation, &body);
            self.datagrams_sent += 1;
            self.bytes += bytes.len() as u64;
            let datagram = Datagram {
                to: number_at(to),
                from: number,
                bytes,
            };
            let arrival = (self.now + NETWORK_LATENCY, self.datagrams_sent);
            self.in_flight.insert(arrival, datagram);
        }
        let due = member.swim.next_timeout();
        if let Some(at) = std::mem::replace(&mut member.due, due) {
            self.timers.remove(&(at, number));
        }
        if let Some(at) = due {
            self.timers.insert((at, number));
        }
    }

    /// Handles the next arrival or timer; the virtual time after it.
    fn step(&mut self) -> Duration {
        let timer = self.timers.first().copied();
        let arrival = self.in_flight.keys().next().copied();
        match (arrival, timer) {
            (Some(key), timer) if timer.is_none_or(|(at, _)| key.0 <= at) => {
                self.now = self.now.max(key.0);
                if let Some(datagram) = self.in_flight.remove(&key) {
                    self.deliver(&datagram);
                }
            }
            (_, Some((at, number))) => {
                self.now = self.now.max(at);
                self.handle(number, Event::Timeout);
            }
            _ => {}
        }
        self.now
    }

    fn deliver(&mut self, datagram: &Datagram) {
        let separates = |first: usize| (datagram.from < first) != (datagram.to < first);
        if self.split.is_some_and(separates) {
            return;
        }
        let Some(receiver) = self.members.get_mut(datagram.to) else {
            return;
        };
        if receiver.dead {
            return;
        }
        if let Some(event) = datagram.open(&mut receiver.authenticator) {
            self.handle(datagram.to, event);
        }
    }

    pub(super) fn run(&mut self, length: Duration) {
        let until = self.now + length;
        while self.step() < until {}
    }

    /// Runs until all agree; false if they do not within [`AGREE_WITHIN`] or
    /// [`MAX_PROCESSOR_TIME`].
    pub(super) fn run_until_agreed(&mut self) -> bool {
        let began = processor_time();
        while self.now < AGREE_WITHIN && processor_time() - began < MAX_PROCESSOR_TIME {
            self.run(AGREE_CHECK_INTERVAL);
            if self.agrees() {
                return true;
            }
        }
        false
    }

    fn alive(&self) -> impl Iterator<Item = &Swim> {
        let alive = self.members.iter().filter(|member| !member.dead);
        alive.map(|member| &member.swim)
    }

    /// Do all that are alive have the same records and see as many members as there are?
    fn agrees(&self) -> bool {
        let digest = self.alive().next().map(Swim::digest);
        let count = self.alive().count();
        self.alive()
            .all(|swim| Some(swim.digest()) == digest && swim.quorum().seen == count)
    }

    /// Bytes of a member, in and out, since the fleet had sent this many.
    pub(super) fn bytes_of_member(&self, since: u64) -> f64 {
        2.0 * (self.bytes - since) as f64 / self.members.len() as f64
    }

    /// Runs for a second; the bytes of a member in it, in and out.
    fn run_second(&mut self) -> f64 {
        let before = self.bytes;
        self.run(Duration::from_secs(1));
        self.bytes_of_member(before)
    }

    fn recover(&mut self) -> Recovery {
        let mut peak = 0.0f64;
        for second in 1..=AGREE_WITHIN.as_secs() {
            peak = peak.max(self.run_second());
            if self.agrees() {
                return Recovery {
                    peak,
                    agreed_after_s: Some(second as f64),
                };
            }
        }
        Recovery {
            peak,
            agreed_after_s: None,
        }
    }

    /// Two halves cannot reach each other for a while.
    pub(super) fn split_for(&mut self, duration: Duration) -> FailureCost {
        self.split = Some(self.members.len() / 2);
        let peak = (0..duration.as_secs())
            .map(|_| self.run_second())
            .fold(0.0, f64::max);
        self.split = None;
        let recovery = self.recover();
        FailureCost {
            peak,
            peak_after: recovery.peak,
            agreed_after_s: recovery.agreed_after_s,
        }
    }

    /// A zone's share of the members dies at once.
    pub(super) fn lose_zone(&mut self) -> FailureCost {
        let dying = (self.members.len() as f64 * ZONE_SHARE).ceil() as usize;
        for (number, member) in self.members.iter_mut().enumerate().take(dying) {
            member.dead = true;
            if let Some(at) = member.due.take() {
                self.timers.remove(&(at, number));
            }
        }
        let recovery = self.recover();
        FailureCost {
            peak: recovery.peak,
            peak_after: 0.0,
            agreed_after_s: recovery.agreed_after_s,
        }
    }
}
