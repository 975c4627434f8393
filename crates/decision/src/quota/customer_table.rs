//! The quotas of all customers that are in use. An idle one is dropped: many customers come once.

use crate::ids::CustomerId;
use crate::quota::customer::{CustomerQuota, IDLE_TIMEOUT_SECONDS};
use std::collections::{BTreeMap, VecDeque};

/// Customers and their quotas.
#[derive(Default)]
pub(crate) struct CustomerTable {
    quotas: BTreeMap<CustomerId, CustomerQuota>,
    /// When each quota is checked for idleness, in seconds: in order, as all wait equally long.
    idle_checks: VecDeque<(f64, CustomerId)>,
}

impl CustomerTable {
    pub(crate) fn get(&self, customer: CustomerId) -> Option<&CustomerQuota> {
        self.quotas.get(&customer)
    }

    pub(crate) fn get_mut(&mut self, customer: CustomerId) -> Option<&mut CustomerQuota> {
        self.quotas.get_mut(&customer)
    }

    /// The customer's quota; a new one if there is none or it has been idle for too long.
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
