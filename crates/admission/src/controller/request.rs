//! Requests on open connections, and what they say of a client.

use super::connections::Activity;
use super::AdmissionController;
use crate::event::{Action, ConnectionId};
use crate::reputation::Reputation;
use std::time::Duration;

impl AdmissionController {
    pub(super) fn on_asked(
        &mut self,
        now: Duration,
        conn: ConnectionId,
        customer: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(connection) = self.connections.get_mut(conn) else {
            return;
        };
        connection.asked = connection.asked.saturating_add(1);
        if connection.activity == Activity::Idle {
            if let Err(wait) = self.begin_request(conn, now) {
                self.refused += 1;
                out.push(Action::RejectRequest {
                    after: wait.max(self.policy.retry_after),
                });
                return;
            }
        }
        self.note_customer(conn, customer, now);
    }

    /// The first request of an idle connection; an error tells how long a refused one has to wait
    /// at the least.
    fn begin_request(&mut self, conn: ConnectionId, now: Duration) -> Result<(), Duration> {
        let Some(connection) = self.connections.get(conn) else {
            return Ok(());
        };
        let is_newcomer = self.reputation_of(connection, now) < Reputation::Known;
        if is_newcomer {
            let capacity = self.newcomer_places(connection.asked);
            self.take_newcomer_pace(now)?;
            if self.busy_newcomers >= capacity {
                return Err(Duration::ZERO);
            }
            self.busy_newcomers += 1;
        }
        if let Some(connection) = self.connections.get_mut(conn) {
            connection.activity = Activity::Busy { is_newcomer };
        }
        self.connections.remove_idle(conn);
        Ok(())
    }

    /// Places on which newcomers may have requests open. The reserve is lent to them only while
    /// they are idle, so that it can be given back at once. One that comes again may have half of
    /// it: guards against a flood of first requests that keeps a client which lost its connection
    /// from ever being served, and so from being known again.
    fn newcomer_places(&self, asked: u32) -> usize {
        let kept = if asked > 1 {
            self.policy.reserve / 2
        } else {
            self.policy.reserve
        };
        self.policy.capacity.saturating_sub(kept)
    }

    fn take_newcomer_pace(&mut self, now: Duration) -> Result<(), Duration> {
        match self.policy.new_client_request_rate {
            Some(rate) => self.newcomer_pace.take(now, rate),
            None => Ok(()),
        }
    }

    /// The first customer that a connection names may vouch for it.
    fn note_customer(&mut self, conn: ConnectionId, customer: u64, now: Duration) {
        let Some(connection) = self.connections.get_mut(conn) else {
            return;
        };
        if self.policy.customer_trusted_connections == 0 || connection.customer.is_some() {
            return;
        }
        let customers = &mut self.histories.customers;
        let at = customers.find_or_insert(customer);
        let history = customers.get(at);
        connection.is_vouched = history.open < self.policy.customer_trusted_connections
            && self.policy.is_known(history, now);
        connection.customer = Some(at);
        customers.connection_opened(at);
    }

    pub(super) fn on_greeted(&mut self, conn: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(conn) {
            connection.asked = connection.asked.saturating_add(1);
        }
    }

    pub(super) fn on_wrong(&mut self, now: Duration, conn: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(conn) {
            connection.faults = connection.faults.saturating_add(1);
        }
        self.note_fault(conn, now);
    }

    pub(super) fn on_served(&mut self, now: Duration, conn: ConnectionId) {
        let Some(connection) = self.connections.get_mut(conn) else {
            return;
        };
        connection.served = connection.served.saturating_add(1);
        let half_life = self.policy.known_half_life;
        if let Some(address) = connection.address {
            self.histories
                .clients
                .get_mut(address.client)
                .served
                .add(1.0, now, half_life);
        }
        if let Some(at) = connection.customer {
            self.histories
                .customers
                .get_mut(at)
                .served
                .add(1.0, now, half_life);
        }
    }

    /// Something speaks against the address of a connection.
    pub(super) fn note_fault(&mut self, conn: ConnectionId, now: Duration) {
        let half_life = self.policy.suspect_half_life;
        if let Some(address) = self
            .connections
            .get(conn)
            .and_then(|connection| connection.address)
        {
            self.histories
                .clients
                .get_mut(address.client)
                .faults
                .add(1.0, now, half_life);
        }
    }
}
