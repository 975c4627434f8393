//! Intervals, timeouts and bounds of the protocol.

use crate::record::Name;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Intervals, timeouts and bounds. They are for members that reach each other directly.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// One member is probed each interval.
    pub probe_interval: Duration,
    /// A direct ack is awaited for so long before others are asked; under half of the interval.
    pub probe_timeout: Duration,
    /// Members that are asked to ping one that did not answer.
    pub indirect_probes: usize,
    /// Queued updates are sent to some members so often.
    pub gossip_interval: Duration,
    /// Members that each round of gossip goes to.
    pub gossip_fanout: usize,
    /// The digests of all records are compared with one member so often (anti-entropy).
    pub sync_interval: Duration,
    /// Least suspicion timeout, in probe intervals times the logarithm (base ten, at least one) of
    /// the number of members.
    pub suspicion_multiplier: u32,
    /// Longest suspicion timeout, in least ones; that of a suspicion without confirmation.
    pub suspicion_max_multiplier: u32,
    /// Is local health heeded? Without it a slow ingress suspects the others.
    pub local_health: bool,
    /// Members that there should be, this one included.
    pub expected_members: usize,
    /// Members remembered at most.
    pub max_members: usize,
    /// Addresses that are asked to let this member join.
    pub seeds: Vec<SocketAddr>,
    /// Where a member is reached from here, if not at the address it states.
    pub paths: BTreeMap<Name, SocketAddr>,
}

impl Settings {
    /// Usual values for so many members.
    pub fn new(expected_members: usize) -> Settings {
        let ms = Duration::from_millis;
        Settings {
            probe_interval: ms(1000),
            probe_timeout: ms(300),
            indirect_probes: 3,
            gossip_interval: ms(200),
            gossip_fanout: 3,
            sync_interval: ms(5000),
            suspicion_multiplier: 4,
            suspicion_max_multiplier: 6,
            local_health: true,
            expected_members,
            max_members: 1024,
            seeds: Vec::new(),
            paths: BTreeMap::new(),
        }
    }
}
