//! The number of ingresses that receive a customer's requests.

/// Up to this many ingresses, each one receives enough of a customer's requests to extrapolate the
/// total use from them.
const MANY_INGRESSES_THRESHOLD: f64 = 6.0;

/// The number of ingresses that share a customer's quota.
#[derive(Clone, Copy, Default)]
pub(crate) struct Sharing {
    pub ingress_count: f64,
}

impl Sharing {
    /// Whether so many ingresses share the quota that each one receives too few requests to
    /// estimate the customer's total use.
    pub(crate) fn has_many_ingresses(self) -> bool {
        self.ingress_count > MANY_INGRESSES_THRESHOLD
    }
}
