//! How many ingresses a customer's requests come through.

/// Up to this many ingresses, what each one sees is enough to extrapolate from.
const FEW_INGRESSES_MAX: f64 = 6.0;

/// The number of ingresses that share a customer's quota.
#[derive(Clone, Copy, Default)]
pub(crate) struct Sharing {
    pub ingress_count: f64,
}

impl Sharing {
    /// Whether each ingress sees too few of the customer's requests to know its total use.
    pub(crate) fn is_by_many(self) -> bool {
        self.ingress_count > FEW_INGRESSES_MAX
    }
}
