//! The effective settings: the values of the operator's file and the defaults of all others.

use crate::log::LogFormat;
use roseyard_admission::{AdmissionPolicy, DescriptorLimits, DescriptorUse, DESCRIPTOR_USES};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The limits that the platform and the operating system set for the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineLimits {
    /// Maximum number of file descriptors according to the platform's configuration.
    pub platform_descriptors: usize,
    /// Maximum number of file descriptors according to the soft limit of `RLIMIT_NOFILE`.
    pub system_descriptors: usize,
}

/// Settings of the file that keeps client reputations across restarts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotSettings {
    /// The path of the file; `None`, the default, stores nothing.
    pub file: Option<PathBuf>,
    /// The time between two writes; 30 s by default.
    pub interval: Duration,
    /// The maximum number of client addresses in the file; the same maximum applies to customers.
    /// 100,000 by default.
    pub max_records: usize,
}

/// The name and address of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedAddress {
    /// The member's name.
    pub name: String,
    /// The address at which the member is reached.
    pub address: SocketAddr,
}

/// Settings of the membership protocol, by which ingresses discover each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// The address at which this ingress receives datagrams of the others; `None`, the default,
    /// disables membership.
    pub listen: Option<SocketAddr>,
    /// The name of the cluster; datagrams of other clusters are dropped. `roseyard` by default.
    pub cluster: String,
    /// The file of the key that authenticates datagrams; required if `listen` is set.
    pub key_file: Option<PathBuf>,
    /// The file of a second key, with which incoming datagrams may be authenticated too while keys
    /// are rotated.
    pub secondary_key_file: Option<PathBuf>,
    /// Addresses of members to which requests to join are sent.
    pub seeds: Vec<SocketAddr>,
    /// Addresses at which members are reached from this ingress, for those members where it differs
    /// from their listen address.
    pub address_overrides: Vec<NamedAddress>,
    /// The expected number of members, including this one; more than half of them are a majority. 1
    /// by default.
    pub expected_members: usize,
    /// The zone of this ingress; empty, the default, if it has none.
    pub zone: String,
    /// The time between two probes, each of one member; 1 s by default.
    pub probe_interval: Duration,
    /// The time to wait for the answer to a direct probe before other members are asked to probe;
    /// at most half of the probe interval. 300 ms by default.
    pub probe_timeout: Duration,
    /// The time between two rounds of gossip, which send queued updates; 200 ms by default.
    pub gossip_interval: Duration,
    /// The mean time between two comparisons of all records with one member; 5 s by default.
    pub sync_interval: Duration,
    /// The minimum suspicion timeout, as a multiple of the probe interval times the decimal
    /// logarithm (at least 1) of the number of members; 4 by default.
    pub suspicion_multiplier: u32,
    /// The maximum number of datagrams sent per second; excess datagrams are dropped and counted.
    /// 2,000 by default.
    pub max_datagrams_per_second: u32,
    /// The file to which this ingress's view of the members is written, for `roseyard-ingress
    /// status`; `None`, the default, writes no file.
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

/// All effective settings.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorSettings {
    /// The number of file descriptors that the process may have.
    pub descriptors: usize,
    /// The limits of each use of file descriptors, in the order of [`DESCRIPTOR_USES`].
    pub descriptor_limits: [DescriptorLimits; DESCRIPTOR_USES.len()],
    /// The limits and timeouts of client connections.
    pub policy: AdmissionPolicy,
    /// The file that keeps client reputations across restarts.
    pub reputation_snapshot: SnapshotSettings,
    /// The membership protocol of ingresses.
    pub membership: MembershipSettings,
    /// The maximum number of log lines per second; excess lines are dropped and counted. 50 by
    /// default.
    pub max_log_lines_per_second: u32,
    /// The format of log lines; text by default.
    pub log_format: LogFormat,
}

/// Descriptors for standard streams, the readiness poller, the listener and signals.
const FIXED_DESCRIPTORS: usize = 11;
/// Descriptors for connections to the counter, unless the file sets another number.
const COUNTER_DESCRIPTORS: usize = 8;
/// Descriptors for the discovery watch.
const DISCOVERY_DESCRIPTORS: usize = 2;
/// Descriptors for files, such as a snapshot that is being written.
const FILE_DESCRIPTORS: usize = 2;
/// Descriptors held unused, which are closed when the system has none left.
const SPARE_DESCRIPTORS: usize = 2;
/// Minimum number of descriptors for connections from clients and to servers together, even if
/// fewer are left.
const MIN_CONNECTION_DESCRIPTORS: usize = 4;

impl OperatorSettings {
    /// Returns the defaults on a machine with these limits. Of the descriptors that are left for
    /// connections, clients are guaranteed a half and may use up to three quarters; connections to
    /// servers are guaranteed a quarter and may use up to a half.
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

    /// Returns the limits of a use of descriptors.
    #[must_use]
    pub fn descriptor_limits_of(&self, descriptor_use: DescriptorUse) -> DescriptorLimits {
        self.descriptor_limits[descriptor_use as usize]
    }
}
