//! One owner of all descriptors of the process.
//!
//! Each use has a guaranteed minimum and a most; what is between them is borrowed from what others
//! leave unused, and never from what another use is guaranteed.

/// What a descriptor is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DescriptorUse {
    /// Standard streams, readiness, the listener, signals: taken once at the start.
    Fixed,
    /// Connections of clients.
    Clients,
    /// Connections to servers.
    Upstream,
    /// Connections to the counter.
    Counter,
    /// The watch on discovery.
    Discovery,
    /// Files, such as a snapshot being written.
    Files,
    /// Held unused, to be let go of when the system has none left.
    Spare,
    /// The socket on which ingresses speak to one another, where they may.
    Peers,
}

/// All uses, by their index.
pub const DESCRIPTOR_USES: [DescriptorUse; 8] = [
    DescriptorUse::Fixed,
    DescriptorUse::Clients,
    DescriptorUse::Upstream,
    DescriptorUse::Counter,
    DescriptorUse::Discovery,
    DescriptorUse::Files,
    DescriptorUse::Spare,
    DescriptorUse::Peers,
];

/// What a use may hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DescriptorShare {
    /// Always there for it.
    pub least: usize,
    /// Never more, however many are unused.
    pub most: usize,
}

/// Why shares do not fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{least} descriptors are guaranteed, and there are {total}")]
pub struct InsufficientDescriptors {
    /// All minima together.
    pub least: usize,
    /// Descriptors there are.
    pub total: usize,
}

/// Descriptors by use. A full set of shares costs a few additions a decision, whatever is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    total: usize,
    shares: [DescriptorShare; DESCRIPTOR_USES.len()],
    used: [usize; DESCRIPTOR_USES.len()],
}

impl DescriptorBudget {
    /// A budget of so many descriptors, by the order of [`DESCRIPTOR_USES`]. An error if the minima
    /// do not fit.
    pub fn new(
        total: usize,
        shares: [DescriptorShare; DESCRIPTOR_USES.len()],
    ) -> Result<DescriptorBudget, InsufficientDescriptors> {
        let least = shares.iter().map(|s| s.least).sum();
        if least > total {
            return Err(InsufficientDescriptors { least, total });
        }
        Ok(DescriptorBudget {
            total,
            shares,
            used: [0; DESCRIPTOR_USES.len()],
        })
    }

    /// What a use may hold.
    pub fn share(&self, of: DescriptorUse) -> DescriptorShare {
        self.shares[of as usize]
    }

    /// What a use holds.
    pub fn used(&self, of: DescriptorUse) -> usize {
        self.used[of as usize]
    }

    /// Could one more be taken for this use?
    pub fn is_available(&self, of: DescriptorUse) -> bool {
        let (share, used) = (self.share(of), self.used(of));
        // What others hold, or are guaranteed if that is more.
        let others: usize = DESCRIPTOR_USES
            .into_iter()
            .filter(|other| *other != of)
            .map(|other| self.used(other).max(self.share(other).least))
            .sum();
        used < share.least || used < share.most && used + others < self.total
    }

    /// Takes one for this use; false if it may not have it.
    #[must_use]
    pub fn take(&mut self, of: DescriptorUse) -> bool {
        let is_available = self.is_available(of);
        self.used[of as usize] += usize::from(is_available);
        is_available
    }

    /// One of this use has been closed.
    pub fn give(&mut self, of: DescriptorUse) {
        self.used[of as usize] = self.used[of as usize].saturating_sub(1);
    }

    /// Other shares hold from now on. What is held beyond them stays until it is given back.
    pub fn set(
        &mut self,
        total: usize,
        shares: [DescriptorShare; DESCRIPTOR_USES.len()],
    ) -> Result<(), InsufficientDescriptors> {
        *self = DescriptorBudget {
            used: self.used,
            ..DescriptorBudget::new(total, shares)?
        };
        Ok(())
    }
}
