//! The quota states of all active customers. Idle customers are removed, since many send only one
//! request.

use crate::ids::CustomerId;
use crate::quota::customer::{CustomerQuota, IDLE_TIMEOUT_SECONDS};
use std::collections::{BTreeMap, VecDeque};

/// The quota states by customer.
#[derive(Default)]
pub(crate) struct CustomerTable {
    quotas: BTreeMap<CustomerId, CustomerQuota>,
    /// When each customer is next checked for idleness, in seconds. The queue is ordered by time,
    /// because every check is scheduled [`IDLE_TIMEOUT_SECONDS`] ahead.
    idle_checks: VecDeque<(f64, CustomerId)>,
}

impl CustomerTable {
    pub(crate) fn get(&self, customer: CustomerId) -> Option<&CustomerQuota> {
        self.quotas.get(&customer)
    }

    pub(crate) fn get_mut(&mut self, customer: CustomerId) -> Option<&mut CustomerQuota> {
        self.quotas.get_mut(&customer)
    }

    /// Returns the customer's quota state. Creates it if there is none or if it has been idle for
    /// too long. Also removes other idle customers.
    pub(crate) fn get_or_create(
        &mut self,
        customer: CustomerId,
        now: f64,
        create: impl Fn() -> CustomerQuota,
    ) -> &mut CustomerQuota {
        self.drop_idle(now);
        let idle_checks = &mut self.idle_checks;
        let quota = self.quotas.entry(customer).or_insert_with(|| {
            idle_checks.push_back((now + IDLE_TIMEOUT_SECONDS, customer));
            create()
        });
        if quota.is_idle(now) {
            *quota = create();
        }
        quota
    }

    fn drop_idle(&mut self, now: f64) {
        while let Some((_, customer)) = self.idle_checks.pop_front_if(|(at, _)| *at <= now) {
            let quota = self.quotas.get(&customer);
            if quota.is_some_and(|quota| !quota.is_idle(now)) {
                self.idle_checks
                    .push_back((now + IDLE_TIMEOUT_SECONDS, customer));
            } else {
                self.quotas.remove(&customer);
            }
        }
    }
}
