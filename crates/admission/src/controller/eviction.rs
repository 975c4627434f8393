//! Idle connections, and which of them goes where one has to.

use super::connections::Activity;
use super::AdmissionController;
use crate::event::{Action, ConnectionId, RejectionReason};
use crate::reputation::{Reputation, REPUTATIONS};
use std::time::Duration;

impl AdmissionController {
    pub(super) fn on_ending(&mut self, now: Duration, conn: ConnectionId, out: &mut Vec<Action>) {
        if let Some(connection) = self.connections.get_mut(conn) {
            connection.is_ending = true;
        }
        self.on_rested(now, conn, out);
    }

    pub(super) fn on_rested(&mut self, now: Duration, conn: ConnectionId, out: &mut Vec<Action>) {
        let Some(connection) = self.connections.get_mut(conn) else {
            return;
        };
        connection.idle_since = now;
        self.busy_newcomers -= usize::from(connection.is_busy_newcomer());
        connection.activity = Activity::Idle;
        if let Some(why) = self.exceeded_cap(conn) {
            return self.close(conn, why, now, out);
        }
        self.line_up(conn, now, out);
        if self.held() > self.policy.capacity {
            if let Some(victim) = self.connections.first_to_evict() {
                self.close(victim, RejectionReason::Displaced, now, out);
            }
        }
    }

    /// Puts an idle connection behind those of its reputation; where these are more than may be,
    /// the first goes.
    pub(super) fn line_up(&mut self, conn: ConnectionId, now: Duration, out: &mut Vec<Action>) {
        let Some(connection) = self.connections.get(conn) else {
            return;
        };
        let reputation = self.reputation_of(connection, now);
        self.connections.push_idle(conn, reputation);
        if self.connections.idle_len(reputation) <= self.max_idle(reputation) {
            return;
        }
        let Some(first) = self.connections.longest_idle_of(reputation) else {
            return;
        };
        let has_had_time = now.saturating_sub(first.idle_since) >= self.policy.first_command_grace;
        if reputation != Reputation::Silent || has_had_time {
            self.close(first.id, RejectionReason::IdleCapacity, now, out);
        }
    }

    fn max_idle(&self, reputation: Reputation) -> usize {
        match reputation {
            Reputation::Silent => self.policy.max_idle_without_request,
            Reputation::Once => self.policy.max_idle_after_one_request,
            _ => usize::MAX,
        }
    }

    /// The idle connection that goes first for one of this reputation, if any may go. Looks at the
    /// longest idle of each reputation only.
    pub(super) fn victim(&self, for_one: Reputation, now: Duration) -> Option<ConnectionId> {
        REPUTATIONS.into_iter().find_map(|reputation| {
            let connection = self.connections.longest_idle_of(reputation)?;
            let idle = now.saturating_sub(connection.idle_since);
            self.may_evict(reputation, idle, for_one)
                .then_some(connection.id)
        })
    }

    /// May a connection of this reputation that has been idle for so long go for another?
    fn may_evict(&self, reputation: Reputation, idle: Duration, for_one: Reputation) -> bool {
        match reputation {
            Reputation::Suspect | Reputation::Ending | Reputation::Once | Reputation::Newcomer => {
                true
            }
            Reputation::Silent => {
                for_one >= Reputation::Known || idle >= self.policy.first_command_grace
            }
            // While some have only just come, a newcomer waits its breath rather than a known
            // client go: guards against a flood fast enough that none of its connections has had
            // time to speak.
            Reputation::Known => {
                let some_just_came = self.connections.idle_len(Reputation::Silent) > 0;
                for_one >= Reputation::Known
                    || idle >= self.policy.known_client_grace && !some_just_came
            }
            Reputation::AddressList => for_one >= Reputation::AddressList,
        }
    }

    pub(super) fn close(
        &mut self,
        conn: ConnectionId,
        why: RejectionReason,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        self.counts[why as usize] += 1;
        self.remove(conn, now);
        out.push(Action::Close { conn, why });
    }

    /// The connection is no more.
    pub(super) fn remove(&mut self, conn: ConnectionId, now: Duration) {
        let Some(connection) = self.connections.remove(conn) else {
            return;
        };
        self.busy_newcomers -= usize::from(connection.is_busy_newcomer());
        if let Some(address) = connection.address {
            let is_known = self.policy.is_known(self.histories.client(address), now);
            self.histories.connection_closed(address, is_known);
        }
        if let Some(at) = connection.customer {
            let is_known = self.policy.is_known(self.histories.customers.get(at), now);
            self.histories.customers.connection_closed(at, is_known);
        }
    }
}
