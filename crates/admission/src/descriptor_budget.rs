//! The budget of file descriptors of the process.
//!
//! Each use has a guaranteed minimum and a maximum. Between the two it borrows what other uses
//! leave unused, and never what another use is guaranteed.

/// What a descriptor is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DescriptorUse {
    /// Standard streams, readiness, listener and signals: taken once at the start.
    Fixed,
    /// Connections of clients.
    Clients,
    /// Connections to servers.
    Upstream,
    /// Connections to the counter.
    Counter,
    /// The discovery watch.
    Discovery,
    /// Files, such as a snapshot that is being written.
    Files,
    /// Held unused, to be closed when the system has none left.
    Spare,
    /// The socket for other ingresses.
    Peers,
}

/// All uses, in the order of their indexes.
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

/// How many descriptors one use may hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DescriptorLimits {
    /// Descriptors that are always available to the use.
    pub guaranteed: usize,
    /// Descriptors that the use may hold at most, however many are unused.
    pub max: usize,
}

impl DescriptorLimits {
    /// The use always has exactly this many.
    #[must_use]
    pub fn exactly(count: usize) -> DescriptorLimits {
        DescriptorLimits {
            guaranteed: count,
            max: count,
        }
    }
}

/// The guaranteed minima are more than the descriptors of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{guaranteed} descriptors are guaranteed, and there are {total}")]
pub struct InsufficientDescriptors {
    /// The sum of the minima.
    pub guaranteed: usize,
    /// The descriptors of the process.
    pub total: usize,
}

/// Descriptors in use and their limits, by use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    total: usize,
    limits: [DescriptorLimits; DESCRIPTOR_USES.len()],
    used: [usize; DESCRIPTOR_USES.len()],
}

impl DescriptorBudget {
    /// A budget of `total` descriptors; `limits` are in the order of [`DESCRIPTOR_USES`].
    ///
    /// # Errors
    ///
    /// If the sum of the guaranteed minima is above `total`.
    pub fn new(
        total: usize,
        limits: [DescriptorLimits; DESCRIPTOR_USES.len()],
    ) -> Result<DescriptorBudget, InsufficientDescriptors> {
        let guaranteed = limits.iter().map(|limits| limits.guaranteed).sum();
        if guaranteed > total {
            return Err(InsufficientDescriptors { guaranteed, total });
        }
        Ok(DescriptorBudget {
            total,
            limits,
            used: [0; DESCRIPTOR_USES.len()],
        })
    }

    /// The limits of a use.
    #[must_use]
    pub fn limits(&self, descriptor_use: DescriptorUse) -> DescriptorLimits {
        self.limits[descriptor_use as usize]
    }

    /// Descriptors that a use holds.
    #[must_use]
    pub fn used(&self, descriptor_use: DescriptorUse) -> usize {
        self.used[descriptor_use as usize]
    }

    /// Could one more descriptor be taken for this use?
    #[must_use]
    pub fn is_available(&self, descriptor_use: DescriptorUse) -> bool {
        let limits = self.limits(descriptor_use);
        let used = self.used(descriptor_use);
        let used_or_guaranteed_to_others: usize = DESCRIPTOR_USES
            .into_iter()
            .filter(|other| *other != descriptor_use)
            .map(|other| self.used(other).max(self.limits(other).guaranteed))
            .sum();
        let is_guaranteed = used < limits.guaranteed;
        let can_borrow = used < limits.max && used + used_or_guaranteed_to_others < self.total;
        is_guaranteed || can_borrow
    }

    /// Takes one descriptor for this use; false, and nothing taken, if none is available to it.
    #[must_use]
    pub fn try_acquire(&mut self, descriptor_use: DescriptorUse) -> bool {
        let is_available = self.is_available(descriptor_use);
        self.used[descriptor_use as usize] += usize::from(is_available);
        is_available
    }

    /// Returns one descriptor of this use, which was closed.
    pub fn release(&mut self, descriptor_use: DescriptorUse) {
        let used = &mut self.used[descriptor_use as usize];
        *used = used.saturating_sub(1);
    }

    /// Replaces the limits. Descriptors held beyond the new ones stay until they are released.
    ///
    /// # Errors
    ///
    /// If the sum of the guaranteed minima is above `total`; the limits then stay as they were.
    pub fn set_limits(
        &mut self,
        total: usize,
        limits: [DescriptorLimits; DESCRIPTOR_USES.len()],
    ) -> Result<(), InsufficientDescriptors> {
        *self = DescriptorBudget {
            used: self.used,
            ..DescriptorBudget::new(total, limits)?
        };
        Ok(())
    }
}
