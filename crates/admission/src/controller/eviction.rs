//! The queues of idle connections, and the selection of those that are closed to free capacity.

use super::connection_table::Activity;
use super::AdmissionController;
use crate::event::{Action, ConnectionId, RejectionReason};
use crate::reputation::{Reputation, REPUTATIONS};
use std::time::Duration;

impl AdmissionController {
    pub(super) fn on_half_closed(
        &mut self,
        now: Duration,
        id: ConnectionId,
        actions: &mut Vec<Action>,
    ) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.is_half_closed = true;
        }
        self.on_became_idle(now, id, actions);
    }

    pub(super) fn on_became_idle(
        &mut self,
        now: Duration,
        id: ConnectionId,
        actions: &mut Vec<Action>,
    ) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        connection.idle_since = now;
        self.busy_new_clients -= usize::from(connection.is_busy_new_client());
        connection.activity = Activity::Idle;
        if let Some(reason) = self.exceeded_cap(id) {
            return self.close(id, reason, now, actions);
        }
        self.queue_idle(id, now, actions);
        if self.open_connections() > self.policy.capacity {
            if let Some(evicted) = self.connections.first_to_evict() {
                self.close(evicted, RejectionReason::Evicted, now, actions);
            }
        }
    }

    /// Appends an idle connection to the queue of its reputation. If the queue exceeds its maximum
    /// length, closes the first connection in it, unless that connection is still in the grace
    /// period for its first command.
    pub(super) fn queue_idle(
        &mut self,
        id: ConnectionId,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(connection) = self.connections.get(id) else {
            return;
        };
        let reputation = self.reputation_of(connection, now);
        self.connections.push_idle(id, reputation);
        if self.connections.idle_len(reputation) <= self.max_idle(reputation) {
            return;
        }
        let Some(first) = self.connections.longest_idle_of(reputation) else {
            return;
        };
        let idle_time = now.saturating_sub(first.idle_since);
        let is_grace_over = idle_time >= self.policy.first_command_grace_period;
        if reputation != Reputation::NoCommand || is_grace_over {
            self.close(first.id, RejectionReason::IdleCap, now, actions);
        }
    }

    /// Returns the maximum number of idle connections of this reputation.
    fn max_idle(&self, reputation: Reputation) -> usize {
        match reputation {
            Reputation::NoCommand => self.policy.max_idle_without_command,
            Reputation::OneCommand => self.policy.max_idle_after_one_command,
            _ => usize::MAX,
        }
    }

    /// Returns the idle connection that is evicted for a connection of the reputation
    /// `evicted_for`; `None` if none may be evicted. Of each reputation, only the connection that
    /// has been idle for longest is considered.
    pub(super) fn eviction_candidate(
        &self,
        evicted_for: Reputation,
        now: Duration,
    ) -> Option<ConnectionId> {
        REPUTATIONS.into_iter().find_map(|reputation| {
            let connection = self.connections.longest_idle_of(reputation)?;
            let idle_time = now.saturating_sub(connection.idle_since);
            self.may_evict(reputation, idle_time, evicted_for)
                .then_some(connection.id)
        })
    }

    /// Whether a connection of this reputation and idle time may be evicted for a connection of the
    /// reputation `evicted_for`.
    fn may_evict(
        &self,
        reputation: Reputation,
        idle_time: Duration,
        evicted_for: Reputation,
    ) -> bool {
        match reputation {
            Reputation::Suspect
            | Reputation::HalfClosed
            | Reputation::OneCommand
            | Reputation::New => true,
            Reputation::NoCommand => {
                evicted_for >= Reputation::Known
                    || idle_time >= self.policy.first_command_grace_period
            }
            // While there are idle connections without a command, a new client is admitted only
            // once the grace period of one of them has ended. Otherwise a flood that connects so
            // fast that all of its connections are in their grace periods would evict known
            // clients.
            Reputation::Known => {
                let has_idle_without_command = self.connections.idle_len(Reputation::NoCommand) > 0;
                evicted_for >= Reputation::Known
                    || idle_time >= self.policy.known_client_grace_period
                        && !has_idle_without_command
            }
            Reputation::Allowlisted => evicted_for >= Reputation::Allowlisted,
        }
    }

    /// Closes an idle connection, and counts it under this reason.
    pub(super) fn close(
        &mut self,
        id: ConnectionId,
        reason: RejectionReason,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        self.rejection_counts.connections[reason as usize] += 1;
        self.remove(id, now);
        actions.push(Action::Close {
            connection: id,
            reason,
        });
    }

    /// Removes a connection from the table and from the histories' counts, if it is open.
    pub(super) fn remove(&mut self, id: ConnectionId, now: Duration) {
        let Some(connection) = self.connections.remove(id) else {
            return;
        };
        self.busy_new_clients -= usize::from(connection.is_busy_new_client());
        if let Some(address) = connection.address {
            let is_known = self.policy.is_known(self.histories.client(address), now);
            self.histories.connection_closed(address, is_known);
        }
        if let Some(customer) = connection.customer {
            let customers = &mut self.histories.customers;
            let is_known = self.policy.is_known(customers.get(customer), now);
            customers.connection_closed(customer, is_known);
        }
    }
}
