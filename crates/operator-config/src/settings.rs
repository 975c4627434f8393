//! The settings in force, after defaults.

use crate::log::LogFormat;
use roseyard_admission::{AdmissionPolicy, DescriptorLimits, DescriptorUse, DESCRIPTOR_USES};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// What the machine and the platform allow the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineLimits {
    /// File descriptors by the platform's configuration.
    pub platform_descriptors: usize,
    /// File descriptors that the system allows: the soft limit of `RLIMIT_NOFILE`.
    pub system_descriptors: usize,
}

/// Where client reputations are stored over a restart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotSettings {
    /// The file; none, the default, stores nothing.
    pub file: Option<PathBuf>,
    /// Time between two writes; 30 s by default.
    pub interval: Duration,
    /// Client addresses, and as many customers, that are stored at most; 100,000 by default.
    pub max_records: usize,
}

/// The address of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedAddress {
    /// The member's name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
}

/// How ingresses learn of one another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Where this ingress listens for the others; none, the default, turns membership off.
    pub listen: Option<SocketAddr>,
    /// The cluster's name; datagrams of other clusters are dropped. `roseyard` by default.
    pub cluster: String,
    /// The file of the key that seals datagrams.
    pub key_file: Option<PathBuf>,
    /// The file of a second key that opens datagrams, for the rotation of keys.
    pub secondary_key_file: Option<PathBuf>,
    /// Members that this one joins through.
    pub seeds: Vec<SocketAddr>,
    /// Addresses at which members are reached from here, by their names, where these differ from
    /// those that they listen at.
    pub address_overrides: Vec<NamedAddress>,
    /// Members that there should be, this one included; more than half of them are a majority. 1 by
    /// default.
    pub expected_members: usize,
    /// This ingress's zone; empty, the default, for none.
    pub zone: String,
    /// Time between two probes; 1 s by default.
    pub probe_interval: Duration,
    /// Time that a direct probe waits for its answer before others probe too; at most half of the
    /// period, 300 ms by default.
    pub probe_timeout: Duration,
    /// Time between two rounds of gossip; 200 ms by default.
    pub gossip_interval: Duration,
    /// Time between two exchanges of all records with one member; 5 s by default.
    pub sync_interval: Duration,
    /// Shortest suspicion, in probe periods; 4 by default. It grows with the logarithm of the
    /// number of members.
    pub suspicion_multiplier: u32,
    /// Datagrams sent a second at most; further ones are dropped and counted. 2,000 by default.
    pub max_datagrams_per_second: u32,
    /// The file that `roseyard-ingress status` reads; none by default.
    pub status_file: Option<PathBuf>,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings {
            listen: None,
            cluster: "roseyard".into(),
            key_file: None,
            secondary_key_file: None,
            seeds: Vec::new(),
            address_overrides: Vec::new(),
            expected_members: 1,
            zone: String::new(),
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            gossip_interval: Duration::from_millis(200),
            sync_interval: Duration::from_secs(5),
            suspicion_multiplier: 4,
            max_datagrams_per_second: 2000,
            status_file: None,
        }
    }
}

impl Default for SnapshotSettings {
    fn default() -> Self {
        SnapshotSettings {
            file: None,
            interval: Duration::from_secs(30),
            max_records: 100_000,
        }
    }
}

/// All settings in force.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorSettings {
    /// File descriptors of the process.
    pub descriptors: usize,
    /// File descriptors by use, in the order of [`DESCRIPTOR_USES`].
    pub descriptor_limits: [DescriptorLimits; DESCRIPTOR_USES.len()],
    /// Admission of connections.
    pub policy: AdmissionPolicy,
    /// The snapshot of client reputations.
    pub reputation_snapshot: SnapshotSettings,
    /// Membership of ingresses.
    pub membership: MembershipSettings,
    /// Log lines written a second at most; further ones are dropped and counted. 50 by default.
    pub max_log_lines_per_second: u32,
    /// The format of log lines; text by default.
    pub log_format: LogFormat,
}

/// Descriptors for standard streams, readiness, listener and signals.
const FIXED_DESCRIPTORS: usize = 12;
/// Descriptors for connections to the counter, unless the file sets another number.
const COUNTER_DESCRIPTORS: usize = 8;
const DISCOVERY_DESCRIPTORS: usize = 2;
const FILE_DESCRIPTORS: usize = 2;
const SPARE_DESCRIPTORS: usize = 1;
/// Descriptors that clients and servers have together at the least.
const MIN_CONNECTION_DESCRIPTORS: usize = 4;

impl OperatorSettings {
    /// The defaults on such a machine. Of the descriptors that are left to connections, three
    /// quarters are for clients and a quarter for servers; connections to servers may borrow up to
    /// half of them while clients leave them unused.
    #[must_use]
    pub fn new(machine: &MachineLimits) -> OperatorSettings {
        let descriptors = machine.platform_descriptors.min(machine.system_descriptors);
        let reserved = FIXED_DESCRIPTORS
            + COUNTER_DESCRIPTORS
            + DISCOVERY_DESCRIPTORS
            + FILE_DESCRIPTORS
            + SPARE_DESCRIPTORS;
        let connections = descriptors
            .saturating_sub(reserved)
            .max(MIN_CONNECTION_DESCRIPTORS);
        let clients = DescriptorLimits {
            guaranteed: connections / 2,
            max: connections - connections / 4,
        };
        let upstream = DescriptorLimits {
            guaranteed: connections / 4,
            max: connections / 2,
        };
        OperatorSettings {
            descriptors,
            descriptor_limits: [
                DescriptorLimits::exactly(FIXED_DESCRIPTORS),
                clients,
                upstream,
                DescriptorLimits::exactly(COUNTER_DESCRIPTORS),
                DescriptorLimits::exactly(DISCOVERY_DESCRIPTORS),
                DescriptorLimits::exactly(FILE_DESCRIPTORS),
                DescriptorLimits::exactly(SPARE_DESCRIPTORS),
                DescriptorLimits::exactly(0),
            ],
            policy: AdmissionPolicy::with_capacity(clients.max),
            reputation_snapshot: SnapshotSettings::default(),
            membership: MembershipSettings::default(),
            max_log_lines_per_second: 50,
            log_format: LogFormat::Text,
        }
    }

    /// The limits of a use of descriptors.
    #[must_use]
    pub fn descriptor_limits_of(&self, descriptor_use: DescriptorUse) -> DescriptorLimits {
        self.descriptor_limits[descriptor_use as usize]
    }
}
