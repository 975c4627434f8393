//! The reputation of a connection, which follows from its own behaviour and its address's history.

/// The reputation of a connection. Its order is the order of eviction: the lowest is closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reputation {
    /// It had more faults than served requests, or its address has a record of faults.
    Suspect,
    /// It has sent no command yet.
    NoCommand,
    /// Its client or this side has ended sending.
    HalfClosed,
    /// It has sent one command.
    OneCommand,
    /// It has sent several commands, or its customer is trusted.
    New,
    /// It, or its address, was served before.
    Known,
    /// Its address is on the operator's allowlist.
    Allowlisted,
}

/// All reputations, in the order of eviction.
pub(crate) const REPUTATIONS: [Reputation; 7] = [
    Reputation::Suspect,
    Reputation::NoCommand,
    Reputation::HalfClosed,
    Reputation::OneCommand,
    Reputation::New,
    Reputation::Known,
    Reputation::Allowlisted,
];
