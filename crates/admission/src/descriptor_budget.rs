//! The budget of the process's file descriptors.
//!
//! Each use has a guaranteed minimum and a maximum. Beyond its minimum, a use may borrow
//! descriptors that are neither in use nor guaranteed to another use.

/// The purpose that a descriptor is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DescriptorUse {
    /// The standard streams, the poller, the listener and the signal handler; acquired once at
    /// startup.
    Fixed,
    /// Client connections.
    Clients,
    /// Connections to endpoints.
    Upstream,
    /// Connections to the counter.
    Counter,
    /// The connection that watches discovery.
    Discovery,
    /// Open files, such as a snapshot that is being written.
    Files,
    /// A spare descriptor, which is closed to free one when the system has none left.
    Spare,
    /// The socket for membership messages from other ingresses.
    Peers,
}

/// All uses in the order of their discriminants, which is also the order of the limits that
/// [`DescriptorBudget::new`] takes.
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

/// The minimum and maximum number of descriptors of one use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DescriptorLimits {
    /// The number of descriptors that are always available to the use.
    pub guaranteed: usize,
    /// The number of descriptors that the use never exceeds, even if more are unused.
    pub max: usize,
}

impl DescriptorLimits {
    /// Returns limits whose minimum and maximum are both `count`.
    #[must_use]
    pub fn exactly(count: usize) -> DescriptorLimits {
        DescriptorLimits {
            guaranteed: count,
            max: count,
        }
    }
}

/// Error for guaranteed minima whose sum exceeds the total number of descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the guaranteed minima add up to {guaranteed} descriptors, but the total is {total}")]
pub struct InsufficientDescriptors {
    /// The sum of the guaranteed minima.
    pub guaranteed: usize,
    /// The total number of descriptors.
    pub total: usize,
}

/// Counts the descriptors of each use against its limits and the total. It opens and closes none
/// itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    total: usize,
    limits: [DescriptorLimits; DESCRIPTOR_USES.len()],
    used: [usize; DESCRIPTOR_USES.len()],
}

impl DescriptorBudget {
    /// Creates a budget of `total` descriptors, none of which is in use. `limits` are in the order
    /// of [`DESCRIPTOR_USES`].
    ///
    /// # Errors
    ///
    /// Returns an error if the sum of the guaranteed minima exceeds `total`.
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

    /// Returns the limits of a use.
    #[must_use]
    pub fn limits(&self, descriptor_use: DescriptorUse) -> DescriptorLimits {
        self.limits[descriptor_use as usize]
    }

    /// Returns the number of descriptors that a use holds.
    #[must_use]
    pub fn used(&self, descriptor_use: DescriptorUse) -> usize {
        self.used[descriptor_use as usize]
    }

    /// Whether [`Self::try_acquire`] would succeed for this use.
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

    /// Acquires one descriptor for this use. Returns false, without acquiring one, if none is
    /// available to this use.
    #[must_use]
    pub fn try_acquire(&mut self, descriptor_use: DescriptorUse) -> bool {
        let is_available = self.is_available(descriptor_use);
        self.used[descriptor_use as usize] += usize::from(is_available);
        is_available
    }

    /// Releases one descriptor of this use. Called when the descriptor has been closed.
    pub fn release(&mut self, descriptor_use: DescriptorUse) {
        let used = &mut self.used[descriptor_use as usize];
        *used = used.saturating_sub(1);
    }

    /// Replaces the total and the limits. Descriptors that exceed the new limits stay in use until
    /// they are released.
    ///
    /// # Errors
    ///
    /// Returns an error, and leaves the limits unchanged, if the sum of the guaranteed minima
    /// exceeds `total`.
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
