//! The roles, and the sizes that each takes.

use super::report::RoleReport;
use super::run_options::RunOptions;
use super::{
    admission, configuration, counter, decision, discovery, events, list, membership, quotas,
    servers, targets,
};
use std::ops::RangeInclusive;

/// A part of the platform whose cost is measured by size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Role {
    /// The choice of a server.
    Decision,
    /// The endpoint list.
    #[value(name = "list")]
    EndpointList,
    /// The quotas of tenants.
    Quotas,
    /// Membership of the ingresses.
    Membership,
    /// Admission of connections.
    Admission,
    /// The operator's file.
    Configuration,
    /// The shared counter, called by all ingresses.
    Counter,
    /// Discovery, watched by all ingresses.
    Discovery,
    /// Form servers, which get connections and health checks of all ingresses.
    Servers,
    /// Failures and restarts at size.
    Events,
    /// The real daemon on loopback; see `--daemon`.
    Daemon,
    /// Faults of one service on the real daemon, by what the others notice; see `--daemon`.
    Faults,
    /// All of them but the real daemon, each in a process of its own.
    All,
}

/// The roles whose servers can be divided into services.
pub const SERVICE_ROLES: &[Role] = &[
    Role::Decision,
    Role::EndpointList,
    Role::Quotas,
    Role::Events,
];

/// The sizes of a role.
struct Sizes {
    /// What they count.
    varied: &'static str,
    allowed: RangeInclusive<usize>,
    default: &'static [usize],
}

/// A role that runs in this process.
struct Entry {
    role: Role,
    sizes: Sizes,
    run: fn(&RunOptions) -> RoleReport,
}

/// All roles that run in this process.
const ROLES: &[Entry] = &[
    Entry {
        role: Role::Decision,
        sizes: Sizes {
            varied: "servers",
            allowed: 1..=targets::SERVERS,
            default: &[17, 170, 1_000, 4_000, 16_000, 54_000],
        },
        run: decision::run,
    },
    Entry {
        role: Role::EndpointList,
        sizes: Sizes {
            varied: "servers",
            allowed: 1..=targets::SERVERS,
            default: &[17, 170, 1_000, 4_000, 16_000, 54_000],
        },
        run: list::run,
    },
    Entry {
        role: Role::Quotas,
        sizes: Sizes {
            varied: "tenants",
            allowed: 1..=targets::TENANTS,
            default: &[1, 100, 1_000, 10_000, 95_000],
        },
        run: quotas::run,
    },
    Entry {
        role: Role::Membership,
        sizes: Sizes {
            varied: "members",
            allowed: 3..=targets::INGRESSES,
            default: &[10, 30, 100, 300, 1_000, 4_300],
        },
        run: membership::run,
    },
    Entry {
        role: Role::Admission,
        sizes: Sizes {
            varied: "addresses",
            allowed: 100..=1_000_000,
            default: &[1_000, 10_000, 95_000],
        },
        run: admission::run,
    },
    Entry {
        role: Role::Configuration,
        sizes: Sizes {
            varied: "routes",
            allowed: 1..=targets::ROUTES,
            default: &[100, 1_000, 11_000],
        },
        run: configuration::run,
    },
    Entry {
        role: Role::Counter,
        sizes: Sizes {
            varied: "ingresses",
            allowed: 1..=targets::INGRESSES,
            default: &[43, 430, 4_300],
        },
        run: counter::run,
    },
    Entry {
        role: Role::Discovery,
        sizes: Sizes {
            varied: "ingresses",
            allowed: 1..=targets::INGRESSES,
            default: &[43, 430, 4_300],
        },
        run: discovery::run,
    },
    Entry {
        role: Role::Servers,
        sizes: Sizes {
            varied: "ingresses",
            allowed: 1..=targets::INGRESSES,
            default: &[43, 430, 4_300],
        },
        run: servers::run,
    },
    Entry {
        role: Role::Events,
        sizes: Sizes {
            varied: "ingresses",
            allowed: 10..=430,
            default: &[43],
        },
        run: events::run,
    },
];

/// Sizes of the real daemon.
const DAEMON_SIZES: Sizes = Sizes {
    varied: "servers",
    allowed: 1..=targets::SERVERS,
    default: &[17, 1_000, 4_000, 16_000, 54_000],
};

/// Sizes that a role does not take.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SizeError {
    /// A size outside of the role's range.
    #[error("--sizes: {size} {varied}: {} to {} are allowed", allowed.start(), allowed.end())]
    OutOfRange {
        /// The size.
        size: usize,
        /// What the sizes count.
        varied: &'static str,
        /// The smallest and the largest that are allowed.
        allowed: RangeInclusive<usize>,
    },
    /// Sizes with all roles at once, whose sizes count different things.
    #[error("--sizes goes with one role: each counts something else")]
    AllRoles,
    /// Sizes with a role that has only one.
    #[error("--sizes: this role has a size of its own")]
    Fixed,
}

impl Role {
    /// The roles that run in this process, in their order.
    pub fn each() -> impl Iterator<Item = Role> {
        ROLES.iter().map(|entry| entry.role)
    }

    /// Its name on the command line.
    #[must_use]
    pub fn argument(self) -> String {
        clap::ValueEnum::to_possible_value(&self)
            .map_or_else(String::new, |value| value.get_name().to_owned())
    }

    fn entry(self) -> Option<&'static Entry> {
        ROLES.iter().find(|entry| entry.role == self)
    }

    /// The sizes to run it with, the smallest first: those given, or its own if none are.
    pub fn sizes(self, given: &[usize]) -> Result<Vec<usize>, SizeError> {
        let sizes = match self {
            Role::Daemon => &DAEMON_SIZES,
            Role::Faults if !given.is_empty() => return Err(SizeError::Fixed),
            _ => match self.entry() {
                Some(entry) => &entry.sizes,
                None if given.is_empty() => return Ok(Vec::new()),
                None => return Err(SizeError::AllRoles),
            },
        };
        if let Some(&size) = given.iter().find(|size| !sizes.allowed.contains(size)) {
            return Err(SizeError::OutOfRange {
                size,
                varied: sizes.varied,
                allowed: sizes.allowed.clone(),
            });
        }
        let chosen = if given.is_empty() {
            sizes.default
        } else {
            given
        };
        let mut chosen = chosen.to_vec();
        chosen.sort_unstable();
        chosen.dedup();
        Ok(chosen)
    }

    /// Runs it in this process; nothing for [`Role::All`], [`Role::Daemon`] and [`Role::Faults`].
    #[must_use]
    pub fn run(self, run: &RunOptions) -> Option<RoleReport> {
        self.entry().map(|entry| (entry.run)(run))
    }
}
