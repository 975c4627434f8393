//! The roles that `roseyard-testbed scale` measures, and the sizes that each role accepts.

use super::report::RoleReport;
use super::run_options::RunOptions;
use super::{
    admission, configuration, counter, decision, discovery, events, list, membership, quotas,
    servers, targets,
};
use std::ops::RangeInclusive;

/// A part of the platform whose cost is measured at several sizes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Role {
    /// Selecting a server for a request.
    Decision,
    /// Decoding and applying the endpoint list.
    #[value(name = "list")]
    EndpointList,
    /// Enforcing the quotas of tenants.
    Quotas,
    /// The membership protocol among the ingresses.
    Membership,
    /// Admitting client connections.
    Admission,
    /// Parsing and checking the operator's file.
    Configuration,
    /// The load of all ingresses on the shared counter.
    Counter,
    /// The load of all ingresses on discovery.
    Discovery,
    /// The connections and health checks that form servers receive from all ingresses.
    Servers,
    /// Failures and restarts in a large deployment.
    Events,
    /// The real daemon on the loopback interface; `--daemon` names its program.
    Daemon,
    /// The effect of faults in one service on the other services of the real daemon; `--daemon`
    /// names its program.
    Faults,
    /// All roles that do not need the real daemon, each in a separate process.
    All,
}

/// The roles that can divide their servers into services.
pub const SERVICE_ROLES: &[Role] = &[
    Role::Decision,
    Role::EndpointList,
    Role::Quotas,
    Role::Events,
];

/// The sizes that a role accepts.
struct Sizes {
    /// What the sizes count.
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

/// The roles that run in this process, in the order in which [`Role::All`] runs them.
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

/// The sizes for the real daemon.
const DAEMON_SIZES: Sizes = Sizes {
    varied: "servers",
    allowed: 1..=targets::SERVERS,
    default: &[17, 1_000, 4_000, 16_000, 54_000],
};

/// Why the values of `--sizes` were rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SizeError {
    /// A size is outside the range that the role accepts.
    #[error("--sizes: {size} {varied} is out of range: {} to {} are allowed", allowed.start(), allowed.end())]
    OutOfRange {
        /// The rejected size.
        size: usize,
        /// What the sizes count.
        varied: &'static str,
        /// The range of accepted sizes.
        allowed: RangeInclusive<usize>,
    },
    /// Sizes were given for all roles at once, although each role counts something else.
    #[error("--sizes can only be used with one role, because the sizes of each role count something else")]
    AllRoles,
    /// Sizes were given for a role that runs at a fixed size.
    #[error("--sizes cannot be used with this role, which runs at a fixed size")]
    Fixed,
}

impl Role {
    /// Returns the roles that run in this process, in the order in which [`Role::All`] runs them.
    pub fn each() -> impl Iterator<Item = Role> {
        ROLES.iter().map(|entry| entry.role)
    }

    /// Returns the name of the role on the command line.
    #[must_use]
    pub fn argument(self) -> String {
        clap::ValueEnum::to_possible_value(&self)
            .map_or_else(String::new, |value| value.get_name().to_owned())
    }

    fn entry(self) -> Option<&'static Entry> {
        ROLES.iter().find(|entry| entry.role == self)
    }

    /// Returns the sizes to run the role at, in ascending order: the given sizes, or the defaults
    /// of the role if `given` is empty.
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

    /// Runs the role in this process. Returns `None` for [`Role::All`], [`Role::Daemon`] and
    /// [`Role::Faults`], which run elsewhere.
    #[must_use]
    pub fn run(self, options: &RunOptions) -> Option<RoleReport> {
        self.entry().map(|entry| (entry.run)(options))
    }
}
