//! Intervals, timeouts and limits of the protocol.

use crate::record::Name;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Intervals, timeouts and limits. The defaults of [`Settings::new`] suit members that reach each
/// other directly.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time between two probes; 1 s by default.
    pub probe_interval: Duration,
    /// Time to wait for a direct ack before other members are requested to ping the target; less
    /// than half of the probe interval, 300 ms by default.
    pub probe_timeout: Duration,
    /// Number of members that are requested to ping a member that did not answer; 3 by default.
    pub indirect_probes: usize,
    /// Time between two rounds of gossip, in which queued updates are sent; 200 ms by default.
    pub gossip_interval: Duration,
    /// Number of members to which each round of gossip is sent; 3 by default.
    pub gossip_fanout: usize,
    /// Mean time between two rounds of anti-entropy, in each of which all records are compared with
    /// those of one member; 5 s by default.
    pub sync_interval: Duration,
    /// Shortest suspicion timeout, in units of the probe interval times the decimal logarithm (at
    /// least one) of the number of members; 4 by default.
    pub suspicion_multiplier: u32,
    /// Longest suspicion timeout, which applies to a suspicion without confirmations, as a multiple
    /// of the shortest one; 6 by default.
    pub suspicion_max_multiplier: u32,
    /// Whether the local health score lengthens this member's probe intervals and timeouts, so that
    /// a slow member does not suspect the others; true by default.
    pub local_health: bool,
    /// Number of members that the cluster should have, including this one.
    pub expected_members: usize,
    /// Maximum number of other members whose records are kept; 1,024 by default. Records of further
    /// members are dropped and counted.
    pub max_members: usize,
    /// Addresses to which this member sends its requests to join.
    pub seeds: Vec<SocketAddr>,
    /// Addresses at which this member reaches others, where they differ from the addresses in the
    /// others' records.
    pub address_overrides: BTreeMap<Name, SocketAddr>,
}

impl Settings {
    /// Returns the default settings for a cluster of this many members.
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
