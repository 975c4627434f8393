//! A simulated network, which delays, loses and duplicates datagrams, or blocks them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// The conditions under which the network delivers datagrams.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Conditions {
    pub loss_ratio: f64,
    pub duplicate_ratio: f64,
    pub min_delay: Duration,
    pub max_delay: Duration,
}

pub(crate) const RELIABLE_CONDITIONS: Conditions = Conditions {
    loss_ratio: 0.0,
    duplicate_ratio: 0.0,
    min_delay: Duration::from_millis(1),
    max_delay: Duration::from_millis(3),
};

/// A datagram in flight.
pub(crate) struct Datagram {
    pub to: usize,
    pub source: SocketAddr,
    pub bytes: Vec<u8>,
}

pub(crate) struct Network {
    pub conditions: Conditions,
    /// Pairs of sender and receiver between which nothing is delivered.
    pub blocked: BTreeSet<(usize, usize)>,
    /// The datagrams in flight, by the time of arrival and then in the order of sending.
    in_flight: BTreeMap<(Duration, u64), Datagram>,
    copies_sent: u64,
}

impl Network {
    pub(crate) fn new() -> Network {
        Network {
            conditions: RELIABLE_CONDITIONS,
            blocked: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            copies_sent: 0,
        }
    }

    /// Blocks both directions between the members of the two sides.
    pub(crate) fn partition(&mut self, side_a: &[usize], side_b: &[usize]) {
        for a in side_a {
            for b in side_b {
                self.blocked.insert((*a, *b));
                self.blocked.insert((*b, *a));
            }
        }
    }

    /// Sends a datagram under the current conditions, unless the direction is blocked.
    pub(crate) fn send(
        &mut self,
        now: Duration,
        from: usize,
        datagram: Datagram,
        rng: &mut fastrand::Rng,
    ) {
        if self.blocked.contains(&(from, datagram.to)) {
            return;
        }
        let conditions = self.conditions;
        let copies = 1 + usize::from(rng.f64() < conditions.duplicate_ratio);
        for _ in 0..copies {
            if rng.f64() < conditions.loss_ratio {
                continue;
            }
            let jitter = (conditions.max_delay - conditions.min_delay).mul_f64(rng.f64());
            self.copies_sent += 1;
            let arrival = now + conditions.min_delay + jitter;
            let copy = Datagram {
                to: datagram.to,
                source: datagram.source,
                bytes: datagram.bytes.clone(),
            };
            self.in_flight.insert((arrival, self.copies_sent), copy);
        }
    }

    /// Returns when the next datagram arrives; `None` if none is in flight.
    pub(crate) fn next_arrival(&self) -> Option<Duration> {
        let ((arrival, _), _) = self.in_flight.first_key_value()?;
        Some(*arrival)
    }

    pub(crate) fn take_next_datagram(&mut self) -> Option<Datagram> {
        let (_, datagram) = self.in_flight.pop_first()?;
        Some(datagram)
    }
}
