//! Estimates, for each plan, the probability that a request is within its customer's quota. The
//! estimate comes from the counter totals received so far. It is used for requests without a total
//! where so many ingresses share the quota that the local bucket says little about the total use.

/// The estimates before the first total, for first attempts and for retries. Most customers stay
/// within their quota; retries come mostly from customers that were rejected.
const INITIAL_WITHIN_QUOTA_RATIOS: [f64; 2] = [0.6, 0.3];
/// The initial estimate has the weight of this many totals.
const INITIAL_WEIGHT_TOTALS: f64 = 5.0;
/// The estimate is averaged over at most this many totals, so that older ones lose weight.
const MAX_WEIGHT_TOTALS: f64 = 40.0;

/// The share of requests that were within the quota according to their totals.
#[derive(Clone, Copy)]
struct WithinQuotaRatio {
    ratio: f64,
    /// The number of totals that `ratio` is averaged over.
    totals: f64,
}

/// The estimates for all plans.
pub(crate) struct AdmissionOdds {
    /// For each plan, the estimates for first attempts and for retries.
    by_plan: Vec<[WithinQuotaRatio; 2]>,
}

impl AdmissionOdds {
    pub(crate) fn new(plan_count: usize) -> AdmissionOdds {
        let initial = INITIAL_WITHIN_QUOTA_RATIOS.map(|ratio| WithinQuotaRatio {
            ratio,
            totals: INITIAL_WEIGHT_TOTALS,
        });
        AdmissionOdds {
            by_plan: vec![initial; plan_count],
        }
    }

    /// Records whether a request was within its quota according to the counter's total.
    pub(crate) fn record(&mut self, plan: usize, is_retry: bool, is_within_quota: bool) {
        let odds = &mut self.by_plan[plan][usize::from(is_retry)];
        odds.totals = (odds.totals + 1.0).min(MAX_WEIGHT_TOTALS);
        odds.ratio += (f64::from(u8::from(is_within_quota)) - odds.ratio) / odds.totals;
    }

    /// Whether forwarding a request without a total has a positive expected value: a request within
    /// the quota earns its weight, one over the quota costs `over_quota_cost` times that weight.
    pub(crate) fn favours_admission(
        &self,
        plan: usize,
        is_retry: bool,
        over_quota_cost: f64,
    ) -> bool {
        let odds = &self.by_plan[plan][usize::from(is_retry)];
        odds.ratio * (1.0 + over_quota_cost) > over_quota_cost
    }
}
