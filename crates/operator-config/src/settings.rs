//! All settings after defaults, as the program goes by them.

use roseyard_admission::{AdmissionPolicy, DescriptorLimits, DescriptorUse, DESCRIPTOR_USES};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// What the process may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineLimits {
    /// Descriptors by the platform's configuration.
    pub sockets: usize,
    /// Descriptors that the system allows (RLIMIT_NOFILE, the soft limit).
    pub allowed: usize,
}

/// Where standing is kept over a restart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotSettings {
    /// The file; none to keep nothing.
    pub file: Option<PathBuf>,
    /// How often it is written.
    pub every: Duration,
    /// Most addresses, and most customers, that it holds.
    pub most: usize,
}

/// How ingresses learn of one another, where they may speak.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    /// Where this ingress listens for the others; none: no socket is opened.
    pub listen: Option<SocketAddr>,
    /// The cluster's name: others' datagrams are dropped.
    pub cluster: String,
    /// The file of the key that seals.
    pub key_file: Option<PathBuf>,
    /// The file of a second key that opens too, during a rotation.
    pub other_key_file: Option<PathBuf>,
    /// Where members are asked to be let in.
    pub seeds: Vec<SocketAddr>,
    /// Where members are reached from here, if not where they say that they listen.
    pub paths: Vec<(String, SocketAddr)>,
    /// Members that there should be, this one included.
    pub expected: usize,
    /// This ingress's zone; empty for none.
    pub zone: String,
    /// One member is probed so often.
    pub period: Duration,
    /// A direct answer is awaited so long.
    pub timeout: Duration,
    /// News goes out so often.
    pub gossip: Duration,
    /// All that is held is compared with one member so often.
    pub sync: Duration,
    /// Least time of a suspicion, in periods.
    pub suspicion: u32,
    /// Datagrams sent a second at most.
    pub datagrams: u32,
    /// Where `roseyard-ingress status` reads.
    pub status: Option<PathBuf>,
}

/// All settings after defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorSettings {
    /// Descriptors in all.
    pub sockets: usize,
    /// Descriptors by use, in the order of [`DESCRIPTOR_USES`].
    pub shares: [DescriptorLimits; DESCRIPTOR_USES.len()],
    /// Admission of connections.
    pub policy: AdmissionPolicy,
    /// Standing over a restart.
    pub standing: SnapshotSettings,
    /// Ingresses that learn of one another.
    pub membership: Membership,
    /// Log lines a second; further ones are counted.
    pub log_lines: u32,
    /// Log lines as JSON objects?
    pub log_json: bool,
}

/// Descriptors for standard streams, readiness, listener and signals.
const FIXED: usize = 12;

impl OperatorSettings {
    /// The defaults on such a machine. Three quarters of the descriptors that are left are for
    /// clients and a quarter for servers; servers may borrow up to half of them while clients leave
    /// them unused.
    pub fn new(machine: &MachineLimits) -> OperatorSettings {
        let sockets = machine.sockets.min(machine.allowed);
        let share = |guaranteed: usize, max: usize| DescriptorLimits { guaranteed, max };
        let kept = FIXED + 8 + 2 + 2 + 1;
        let left = sockets.saturating_sub(kept).max(4);
        let shares = [
            share(FIXED, FIXED),
            share(left / 2, left - left / 4),
            share(left / 4, left / 2),
            share(8, 8),
            share(2, 2),
            share(2, 2),
            share(1, 1),
            share(0, 0),
        ];
        OperatorSettings {
            sockets,
            shares,
            policy: AdmissionPolicy::with_capacity(left - left / 4),
            standing: SnapshotSettings {
                file: None,
                every: Duration::from_secs(30),
                most: 100_000,
            },
            membership: Membership {
                listen: None,
                cluster: "roseyard".into(),
                key_file: None,
                other_key_file: None,
                seeds: Vec::new(),
                paths: Vec::new(),
                expected: 1,
                zone: String::new(),
                period: Duration::from_millis(1000),
                timeout: Duration::from_millis(300),
                gossip: Duration::from_millis(200),
                sync: Duration::from_millis(5000),
                suspicion: 4,
                datagrams: 2000,
                status: None,
            },
            log_lines: 50,
            log_json: false,
        }
    }

    /// What a use of descriptors may hold.
    pub fn share(&self, of: DescriptorUse) -> DescriptorLimits {
        self.shares[of as usize]
    }
}
