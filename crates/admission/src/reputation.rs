//! The reputation of a connection: what its own conduct and its address say of it.

/// The reputation of a connection. Its order is the order of eviction: the first goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reputation {
    /// It, or its address, has sent more that is wrong than it was served.
    Suspect,
    /// It has asked nothing yet.
    Silent,
    /// Its sending or ours has ended.
    Ending,
    /// It has asked once.
    Once,
    /// It comes again, or its customer vouches for it.
    Newcomer,
    /// It, or its address, has been served before.
    Known,
    /// Its address is the operator's own.
    AddressList,
}

/// All reputations, in the order of eviction.
pub(crate) const REPUTATIONS: [Reputation; 7] = [
    Reputation::Suspect,
    Reputation::Silent,
    Reputation::Ending,
    Reputation::Once,
    Reputation::Newcomer,
    Reputation::Known,
    Reputation::AddressList,
];
