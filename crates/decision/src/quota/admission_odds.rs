//! How likely a request is within its customer's quota, by plan, from the totals seen so far. It
//! decides the requests of infrequent customers that have no total.

/// Ratios before any total, for first attempts and for retries: most customers stay within their
/// quota, and rejected ones retry.
const INITIAL_RATIO: [f64; 2] = [0.6, 0.3];
/// The initial ratio weighs as much as this many totals.
const INITIAL_WEIGHT_TOTALS: f64 = 5.0;
/// Older totals fade beyond this number.
const WEIGHT_MAX_TOTALS: f64 = 40.0;

/// The share of requests that totals showed to be within the quota.
#[derive(Clone, Copy)]
struct WithinQuotaRatio {
    ratio: f64,
    totals: f64,
}

/// The odds of each plan, of first attempts and of retries.
pub(crate) struct AdmissionOdds {
    by_plan: Vec<[WithinQuotaRatio; 2]>,
}

impl AdmissionOdds {
    pub(crate) fn new(plan_count: usize) -> AdmissionOdds {
        let initial = INITIAL_RATIO.map(|ratio| WithinQuotaRatio {
            ratio,
            totals: INITIAL_WEIGHT_TOTALS,
        });
        AdmissionOdds {
            by_plan: vec![initial; plan_count],
        }
    }

    /// Records whether a request was within its quota by the counter's total.
    pub(crate) fn record(&mut self, plan: usize, is_retry: bool, is_within_quota: bool) {
        let odds = &mut self.by_plan[plan][usize::from(is_retry)];
        odds.totals = (odds.totals + 1.0).min(WEIGHT_MAX_TOTALS);
        odds.ratio += (f64::from(u8::from(is_within_quota)) - odds.ratio) / odds.totals;
    }

    /// Whether forwarding a request without a total is expected to earn more than it costs where
    /// the request is beyond the quota.
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
