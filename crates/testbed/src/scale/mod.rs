//! What each role of the platform costs at size: the real state machines and codecs, many in one
//! process, without sockets and in virtual time from a seed. Messages are counted in encoded bytes,
//! cost in processor time.
//!
//! A role is an entry of [`Role`]: its name, the sizes that it takes, and a function that runs it.

mod admission;
mod configuration;
mod counter;
pub mod daemon;
mod decision;
mod discovery;
pub mod endpoint_set;
mod events;
mod list;
pub mod measure;
mod membership;
mod quotas;
pub mod report;
mod servers;
pub mod simulated_ingress;
pub mod targets;
mod topology;

pub use events::zone_returns;
use report::{RoleReport, SizeSeries};
use std::io::IsTerminal;
use std::ops::RangeInclusive;

/// A part of the platform whose cost is measured by size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Role {
    /// The choice of a server.
    Decision,
    /// The endpoint list.
    #[value(name = "list")]
    EndpointList,
    /// Tenants' quotas.
    Quotas,
    /// Which ingresses there are.
    Membership,
    /// Who may connect.
    Admission,
    /// The operator's file.
    Configuration,
    /// The shared counter, asked by all ingresses.
    Counter,
    /// Discovery, watched by all ingresses.
    Discovery,
    /// Form servers, which bear connections and probes of all ingresses.
    Servers,
    /// Failures and restarts at size.
    Events,
    /// The real daemon on loopback; see `--daemon`.
    Daemon,
    /// Faults of one service on the real daemon, judged by what the others notice; see `--daemon`.
    Faults,
    /// All of them but the real daemon, each in a process of its own.
    All,
}

/// What there is to know of a role.
struct Entry {
    role: Role,
    /// What its sizes count.
    varied: &'static str,
    allowed: RangeInclusive<usize>,
    sizes: &'static [usize],
    run: fn(&Run) -> RoleReport,
}

/// All roles. A further one is one more entry.
const ROLES: &[Entry] = &[
    Entry {
        role: Role::Decision,
        varied: "servers",
        allowed: 1..=targets::SERVERS,
        sizes: &[17, 170, 1_000, 4_000, 16_000, 54_000],
        run: decision::run,
    },
    Entry {
        role: Role::EndpointList,
        varied: "servers",
        allowed: 1..=targets::SERVERS,
        sizes: &[17, 170, 1_000, 4_000, 16_000, 54_000],
        run: list::run,
    },
    Entry {
        role: Role::Quotas,
        varied: "tenants",
        allowed: 1..=targets::TENANTS,
        sizes: &[1, 100, 1_000, 10_000, 95_000],
        run: quotas::run,
    },
    Entry {
        role: Role::Membership,
        varied: "members",
        allowed: 3..=targets::INGRESSES,
        sizes: &[10, 30, 100, 300, 1_000, 4_300],
        run: membership::run,
    },
    Entry {
        role: Role::Admission,
        varied: "addresses",
        allowed: 100..=1_000_000,
        sizes: &[1_000, 10_000, 95_000],
        run: admission::run,
    },
    Entry {
        role: Role::Configuration,
        varied: "routes",
        allowed: 1..=targets::ROUTES,
        sizes: &[100, 1_000, 11_000],
        run: configuration::run,
    },
    Entry {
        role: Role::Counter,
        varied: "ingresses",
        allowed: 1..=targets::INGRESSES,
        sizes: &[43, 430, 4_300],
        run: counter::run,
    },
    Entry {
        role: Role::Discovery,
        varied: "ingresses",
        allowed: 1..=targets::INGRESSES,
        sizes: &[43, 430, 4_300],
        run: discovery::run,
    },
    Entry {
        role: Role::Servers,
        varied: "ingresses",
        allowed: 1..=targets::INGRESSES,
        sizes: &[43, 430, 4_300],
        run: servers::run,
    },
    Entry {
        role: Role::Events,
        varied: "ingresses",
        allowed: 10..=430,
        sizes: &[43],
        run: events::run,
    },
];

/// Numbers of servers that the real daemon is measured with, and those that it may be.
const DAEMON_SIZES: &[usize] = &[17, 1_000, 4_000, 16_000, 54_000];
const DAEMON_ALLOWED: RangeInclusive<usize> = 1..=targets::SERVERS;

/// What a role is run with.
#[derive(Clone, Debug)]
pub struct Run {
    /// Sizes, the least first.
    pub sizes: Vec<usize>,
    /// Virtual seconds that a sample takes, where it is one of time.
    pub seconds: u64,
    /// The seed of all that is drawn.
    pub seed: u64,
    /// Samples at each size.
    pub repeats: usize,
    /// Are the servers divided into services, as many in proportion as the plan has?
    pub services: bool,
    /// Is progress told on the terminal?
    pub progress: bool,
}

impl Run {
    fn progress(&self, what: &str) {
        if self.progress {
            eprintln!("{what}");
        }
    }

    /// How the servers are divided into services, for the notes of a report.
    fn shape(&self) -> String {
        if self.services {
            let (services, servers) = (targets::SERVICES, targets::SERVERS);
            format!(
                "servers in services by a power law: {services} for {servers} servers, fewer in proportion"
            )
        } else {
            "all servers in one service".into()
        }
    }

    fn report(
        &self,
        role: &str,
        varied: &str,
        figures: Vec<SizeSeries>,
        notes: Vec<String>,
    ) -> RoleReport {
        let role = if self.services {
            format!("{role} by service")
        } else {
            role.into()
        };
        let (varied, resident_bytes) = (varied.into(), measure::resident_bytes());
        RoleReport {
            role,
            varied,
            figures,
            notes,
            resident_bytes,
        }
    }
}

/// Sizes that a role does not take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BadSizes {
    /// Outside of what the role takes.
    Outside {
        /// The size.
        size: usize,
        /// What the sizes count.
        varied: &'static str,
        /// The least and the greatest that are taken.
        allowed: RangeInclusive<usize>,
    },
    /// Sizes with all roles at once, which count different things.
    AllRoles,
    /// Sizes with a role that has but one.
    Fixed,
}

/// The roles whose servers may be divided into services.
pub const SERVICE_ROLES: &[Role] = &[
    Role::Decision,
    Role::EndpointList,
    Role::Quotas,
    Role::Events,
];

impl std::error::Error for BadSizes {}

impl std::fmt::Display for BadSizes {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            BadSizes::Outside {
                size,
                varied,
                allowed,
            } => {
                write!(
                    f,
                    "--sizes: {size} {varied}: {} to {} are allowed",
                    allowed.start(),
                    allowed.end()
                )
            }
            BadSizes::Fixed => write!(f, "--sizes: this role has a size of its own"),
            BadSizes::AllRoles => {
                write!(f, "--sizes goes with one role: each counts something else")
            }
        }
    }
}

impl Role {
    /// The roles that are measured, in their order.
    pub fn each() -> impl Iterator<Item = Role> {
        ROLES.iter().map(|entry| entry.role)
    }

    /// The word for it on the command line.
    pub fn argument(self) -> String {
        clap::ValueEnum::to_possible_value(&self)
            .map_or_else(String::new, |value| value.get_name().to_owned())
    }

    /// The sizes to run it with: those given, or its own; the least first.
    pub fn sizes(self, given: &[usize]) -> Result<Vec<usize>, BadSizes> {
        let entry = ROLES.iter().find(|entry| entry.role == self);
        let told = entry.map(|entry| (entry.varied, &entry.allowed, entry.sizes));
        let daemon = (self == Role::Daemon).then_some(("servers", &DAEMON_ALLOWED, DAEMON_SIZES));
        if self == Role::Faults {
            return if given.is_empty() {
                Ok(Vec::new())
            } else {
                Err(BadSizes::Fixed)
            };
        }
        let Some((varied, allowed, own)) = told.or(daemon) else {
            return if given.is_empty() {
                Ok(Vec::new())
            } else {
                Err(BadSizes::AllRoles)
            };
        };
        if let Some(&size) = given.iter().find(|size| !allowed.contains(size)) {
            let allowed = allowed.clone();
            return Err(BadSizes::Outside {
                size,
                varied,
                allowed,
            });
        }
        let mut sizes = if given.is_empty() {
            own.to_vec()
        } else {
            given.to_vec()
        };
        sizes.sort_unstable();
        sizes.dedup();
        Ok(sizes)
    }

    /// Runs it in this process; nothing for [`Role::All`], [`Role::Daemon`] and [`Role::Faults`].
    pub fn run(self, run: &Run) -> Option<RoleReport> {
        let entry = ROLES.iter().find(|entry| entry.role == self)?;
        Some((entry.run)(run))
    }
}

/// Is somebody there to read progress?
pub fn stderr_is_terminal() -> bool {
    std::io::stderr().is_terminal()
}
