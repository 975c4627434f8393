//! Admission of requests on open connections, and the recording of their results for the reputation
//! of the client.

use super::connection_table::Activity;
use super::AdmissionController;
use crate::event::{Action, ConnectionId};
use crate::reputation::Reputation;
use std::time::Duration;

impl AdmissionController {
    pub(super) fn on_request_received(
        &mut self,
        now: Duration,
        id: ConnectionId,
        customer: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        connection.command_count = connection.command_count.saturating_add(1);
        if connection.activity == Activity::Idle {
            if let Err(wait) = self.admit_request_on_idle(id, now) {
                self.rejection_counts.requests += 1;
                actions.push(Action::RejectRequest {
                    retry_after: wait.max(self.policy.retry_after),
                });
                return;
            }
        }
        self.record_customer(id, customer, now);
    }

    /// Admits a request on an idle connection, which becomes busy. If the request is not admitted,
    /// returns the time after which it could be; zero if that time is not known.
    fn admit_request_on_idle(&mut self, id: ConnectionId, now: Duration) -> Result<(), Duration> {
        let Some(connection) = self.connections.get(id) else {
            return Ok(());
        };
        let as_new_client = self.reputation_of(connection, now) < Reputation::Known;
        if as_new_client {
            let capacity = self.new_client_capacity(connection.command_count);
            self.check_new_client_request_rate(now)?;
            if self.busy_new_clients >= capacity {
                return Err(Duration::ZERO);
            }
            self.busy_new_clients += 1;
        }
        if let Some(connection) = self.connections.get_mut(id) {
            connection.activity = Activity::Busy { as_new_client };
        }
        self.connections.remove_idle(id);
        Ok(())
    }

    /// Returns the maximum number of new clients' connections with open requests. New clients may
    /// use the reserve only for idle connections, which can be evicted at once. A client that has
    /// sent several commands may also use half of the reserve for open requests; otherwise, during
    /// a flood of first requests, a client that lost its connection would not be served and could
    /// not become known again.
    fn new_client_capacity(&self, command_count: u32) -> usize {
        let reserve = if command_count > 1 {
            self.policy.reserve / 2
        } else {
            self.policy.reserve
        };
        self.policy.capacity.saturating_sub(reserve)
    }

    /// Applies the rate limit of new clients' requests. If the request exceeds it, returns the time
    /// after which it would be admitted.
    fn check_new_client_request_rate(&mut self, now: Duration) -> Result<(), Duration> {
        match self.policy.new_client_request_rate {
            Some(rate) => self.new_client_request_limiter.take(now, rate),
            None => Ok(()),
        }
    }

    /// Records the first customer that a connection names, and whether the connection is trusted
    /// because that customer is known.
    fn record_customer(&mut self, id: ConnectionId, customer: u64, now: Duration) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let max_trusted = self.policy.max_trusted_connections_per_customer;
        if max_trusted == 0 || connection.customer.is_some() {
            return;
        }
        let customers = &mut self.histories.customers;
        let index = customers.find_or_insert(customer);
        let history = customers.get(index);
        connection.is_trusted_by_customer =
            history.open_connections < max_trusted && self.policy.is_known(history, now);
        connection.customer = Some(index);
        customers.connection_opened(index);
    }

    pub(super) fn on_command_handled(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.command_count = connection.command_count.saturating_add(1);
        }
    }

    pub(super) fn on_protocol_error(&mut self, now: Duration, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.fault_count = connection.fault_count.saturating_add(1);
        }
        self.record_fault(id, now);
    }

    pub(super) fn on_request_served(&mut self, now: Duration, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        connection.served_count = connection.served_count.saturating_add(1);
        let half_life = self.policy.known_half_life;
        if let Some(address) = connection.address {
            let client = self.histories.clients.get_mut(address.client);
            client.served.add(1.0, now, half_life);
        }
        if let Some(index) = connection.customer {
            let customer = self.histories.customers.get_mut(index);
            customer.served.add(1.0, now, half_life);
        }
    }

    /// Adds a fault to the history of a connection's address.
    pub(super) fn record_fault(&mut self, id: ConnectionId, now: Duration) {
        let Some(connection) = self.connections.get(id) else {
            return;
        };
        if let Some(address) = connection.address {
            let client = self.histories.clients.get_mut(address.client);
            client.faults.add(1.0, now, self.policy.suspect_half_life);
        }
    }
}
