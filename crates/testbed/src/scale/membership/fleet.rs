//! A complete fleet in virtual time, in which each member runs the real protocol.

use super::peers::{authenticator, number_at, swim, Datagram, NETWORK_LATENCY};
use crate::scale::measure::processor_time;
use roseyard_membership::{Action, Authenticator, Event, Swim};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The processor time after which the wait for agreement ends.
pub(super) const MAX_PROCESSOR_TIME: Duration = Duration::from_secs(60);
/// The virtual time after which the wait for agreement ends.
pub(super) const MAX_AGREEMENT_TIME: Duration = Duration::from_secs(120);
/// The ratio of the ingresses of a zone to all ingresses.
const ZONE_RATIO: f64 = 330.0 / 4300.0;
/// The virtual time between two checks whether all members agree.
const AGREEMENT_CHECK_INTERVAL: Duration = Duration::from_millis(500);

struct FleetMember {
    swim: Swim,
    authenticator: Authenticator,
    /// When the next timer of the member is due; `None` if no timer is set.
    due: Option<Duration>,
    dead: bool,
}

pub(super) struct VirtualFleet {
    now: Duration,
    members: Vec<FleetMember>,
    /// Datagrams by arrival time, then by sending order.
    in_flight: BTreeMap<(Duration, u64), Datagram>,
    timers: BTreeSet<(Duration, usize)>,
    datagrams_sent: u64,
    /// The bytes of all datagrams sent so far.
    pub bytes: u64,
    /// A network partition between the members below this index and the others; `None` if there is
    /// no partition.
    split: Option<usize>,
}

/// The traffic that a failure of many members causes, and the time until the members agree again.
/// The peak traffic is that of the busiest second, as the mean of the members, in bytes per second
/// received and sent.
pub(super) struct FailureCost {
    /// The peak traffic during the failure.
    pub peak: f64,
    /// The peak traffic after the failure.
    pub peak_after: f64,
    /// The seconds until all members agree again; `None` if they do not agree within
    /// [`MAX_AGREEMENT_TIME`].
    pub agreed_after_s: Option<f64>,
}

/// The peak traffic and the time until a fleet agrees again after a failure.
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

    /// Handles the next datagram or timer and returns the virtual time after it.
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

    /// Runs until all members agree. Returns false if they do not agree within
    /// [`MAX_AGREEMENT_TIME`] or [`MAX_PROCESSOR_TIME`].
    pub(super) fn run_until_agreed(&mut self) -> bool {
        let began = processor_time();
        while self.now < MAX_AGREEMENT_TIME && processor_time() - began < MAX_PROCESSOR_TIME {
            self.run(AGREEMENT_CHECK_INTERVAL);
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

    /// Returns whether all live members have the same records and see exactly the live members.
    fn agrees(&self) -> bool {
        let digest = self.alive().next().map(Swim::digest);
        let count = self.alive().count();
        self.alive()
            .all(|swim| Some(swim.digest()) == digest && swim.quorum().seen == count)
    }

    /// Returns the mean bytes that a member has received and sent since the total of the fleet was
    /// `since`.
    pub(super) fn bytes_of_member(&self, since: u64) -> f64 {
        2.0 * (self.bytes - since) as f64 / self.members.len() as f64
    }

    /// Runs for one second and returns the mean bytes that a member received and sent in it.
    fn run_second(&mut self) -> f64 {
        let before = self.bytes;
        self.run(Duration::from_secs(1));
        self.bytes_of_member(before)
    }

    fn recover(&mut self) -> Recovery {
        let mut peak = 0.0f64;
        for second in 1..=MAX_AGREEMENT_TIME.as_secs() {
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

    /// Separates the two halves of the fleet for this duration, then waits until all agree.
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

    /// Stops the members of one zone at once, then waits until the others agree.
    pub(super) fn lose_zone(&mut self) -> FailureCost {
        let dying = (self.members.len() as f64 * ZONE_RATIO).ceil() as usize;
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
