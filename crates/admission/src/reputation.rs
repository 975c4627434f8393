//! The reputation of a connection, which follows from its behaviour and the history of its address.

/// The reputation of a connection. Idle connections are evicted in this order, [`Self::Suspect`]
/// first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reputation {
    /// The connection has caused more faults than it had requests served, or none was served and
    /// its address has a history of faults.
    Suspect,
    /// The connection has sent no command yet.
    NoCommand,
    /// No further command is read from the connection; it is open only until the client closes it.
    HalfClosed,
    /// The connection has sent one command.
    OneCommand,
    /// The connection has sent several commands, or has sent one and is trusted for its customer.
    New,
    /// The connection has sent a command, and it or its address had enough requests served.
    Known,
    /// The address is on the operator's allowlist.
    Allowlisted,
}

/// All reputations in eviction order, which is the order of their discriminants.
pub(crate) const REPUTATIONS: [Reputation; 7] = [
    Reputation::Suspect,
    Reputation::NoCommand,
    Reputation::HalfClosed,
    Reputation::OneCommand,
    Reputation::New,
    Reputation::Known,
    Reputation::Allowlisted,
];
