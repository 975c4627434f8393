//! The table of customers' ledgers. One that has rested is dropped: many customers come just once.

use crate::ids::CustomerId;
use crate::quota::{Ledger, FORGET_AFTER};
use std::collections::{BTreeMap, VecDeque};

#[derive(Default)]
pub(crate) struct Ledgers {
    table: BTreeMap<CustomerId, Ledger>,
    /// When each ledger is looked at again, in seconds: in order, as all wait for the same time.
    looked_at: VecDeque<(f64, CustomerId)>,
}

impl Ledgers {
    pub(crate) fn get(&self, customer: CustomerId) -> Option<&Ledger> {
        self.table.get(&customer)
    }

    pub(crate) fn get_mut(&mut self, customer: CustomerId) -> Option<&mut Ledger> {
        self.table.get_mut(&customer)
    }

    /// The customer's ledger; a new one where there is none or it has rested for too long.
    pub(crate) fn open(
        &mut self,
        customer: CustomerId,
        now: f64,
        new: impl Fn() -> Ledger,
    ) -> &mut Ledger {
        self.drop_rested(now);
        let looked_at = &mut self.looked_at;
        let ledger = self.table.entry(customer).or_insert_with(|| {
            looked_at.push_back((now + FORGET_AFTER, customer));
            new()
        });
        if ledger.has_rested(now) {
            *ledger = new();
        }
        ledger
    }

    fn drop_rested(&mut self, now: f64) {
        while let Some((_, customer)) = self.looked_at.pop_front_if(|(at, _)| *at <= now) {
            if self
                .table
                .get(&customer)
                .is_some_and(|ledger| !ledger.has_rested(now))
            {
                self.looked_at.push_back((now + FORGET_AFTER, customer));
            } else {
                self.table.remove(&customer);
            }
        }
    }
}
