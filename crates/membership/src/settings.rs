//! Intervals, timeouts and bounds of the protocol.

use crate::record::Name;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Intervals, timeouts and bounds; the defaults of [`Settings::new`] are for members that reach
/// each other directly.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time between two probes; 1 s by default.
    pub probe_interval: Duration,
    /// Time that a direct ack is awaited before other members probe too; under half of the
    /// interval, 300 ms by default.
    pub probe_timeout: Duration,
    /// Members that are requested to ping one that did not answer; 3 by default.
    pub indirect_probes: usize,
    /// Time between two rounds of gossip, which send queued updates; 200 ms by default.
    pub gossip_interval: Duration,
    /// Members that each round of gossip is sent to; 3 by default.
    pub gossip_fanout: usize,
    /// Mean time between two comparisons of all records with one member (anti-entropy); 5 s by
    /// default.
    pub sync_interval: Duration,
    /// Shortest suspicion timeout, in probe intervals times the logarithm (base ten, at least one)
    /// of the number of members; 4 by default.
    pub suspicion_multiplier: u32,
    /// Longest suspicion timeout, that of a suspicion without confirmation, as a multiple of the
    /// shortest one; 6 by default.
    pub suspicion_max_multiplier: u32,
    /// Does local health slow this ingress's probes? Prevents a slow ingress from suspecting the
    /// others. True by default.
    pub local_health: bool,
    /// Members that there should be, this one included.
    pub expected_members: usize,
    /// Records of other members that are kept at most; further ones are dropped and counted. 1,024
    /// by default.
    pub max_members: usize,
    /// Addresses that this member sends its requests to join to.
    pub seeds: Vec<SocketAddr>,
    /// Addresses at which members are reached from here, where these differ from those in their
    /// records.
    pub address_overrides: BTreeMap<Name, SocketAddr>,
}

impl Settings {
    /// The defaults for this many members.
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
            address_overrides: BTreeMap::new(),
        }
    }
}
