//! The simulated network: datagrams in flight, and what happens to them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// What the network does to datagrams.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Conditions {
    pub loss_ratio: f64,
    pub duplicate_ratio: f64,
    pub min_delay: Duration,
    pub max_delay: Duration,
}

pub(crate) const RELIABLE: Conditions = Conditions {
    loss_ratio: 0.0,
    duplicate_ratio: 0.0,
    min_delay: Duration::from_millis(1),
    max_delay: Duration::from_millis(3),
};

/// A datagram on its way.
pub(crate) struct Datagram {
    pub to: usize,
    pub source: SocketAddr,
    pub bytes: Vec<u8>,
}

pub(crate) struct Network {
    pub conditions: Conditions,
    /// Directions, from and to, in which nothing is delivered.
    pub blocked: BTreeSet<(usize, usize)>,
    /// By the time of delivery, then the order of sending.
    in_flight: BTreeMap<(Duration, u64), Datagram>,
    copies_sent: u64,
}

impl Network {
    pub(crate) fn new() -> Network {
        Network {
            conditions: RELIABLE,
            blocked: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            copies_sent: 0,
        }
    }

    /// Blocks both directions between these and those.
    pub(crate) fn partition(&mut self, these: &[usize], those: &[usize]) {
        for a in these {
            for b in those {
                self.blocked.insert((*a, *b));
                self.blocked.insert((*b, *a));
            }
        }
    }

    /// Sends a datagram, under the conditions.
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

    /// When the next datagram arrives.
    pub(crate) fn next_arrival(&self) -> Option<Duration> {
        let ((arrival, _), _) = self.in_flight.first_key_value()?;
        Some(*arrival)
    }

    pub(crate) fn take_next(&mut self) -> Option<Datagram> {
        let (_, datagram) = self.in_flight.pop_first()?;
        Some(datagram)
    }
}
