//! The listening socket with the admission controller of [`roseyard_admission`], which decides
//! which connections are kept.

use super::limits::FrontendLimits;
use super::rejection::reject;
use crate::routing::event_source::EventSource;
use crate::routing::io::{Io, READ_BUFFER_BYTES};
use crate::transport::{
    accept, is_fd_shortage, listener_address, open_spare_descriptor, Key, Stream,
};
use roseyard_admission::{
    Action, AdmissionController, AdmissionPolicy, ConnectionId, DescriptorUse, Event,
    RejectionCounts, RejectionReason, REJECTION_REASONS,
};
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Uses whose guaranteed descriptors are taken from the budget at start, for the whole run.
const RESERVED_DESCRIPTOR_USES: [DescriptorUse; 6] = [
    DescriptorUse::Fixed,
    DescriptorUse::Counter,
    DescriptorUse::Discovery,
    DescriptorUse::Files,
    DescriptorUse::Spare,
    DescriptorUse::Peers,
];

/// Returns the id by which admission knows a client's connection.
pub(super) fn connection_id(key: Key) -> ConnectionId {
    ConnectionId(key.pack())
}

/// Result of [`Listener::accept`].
pub(super) enum AcceptOutcome {
    /// A new connection and the address of its client.
    Connection(Stream, IpAddr),
    /// No connection is waiting, or accepting is paused.
    Nothing,
    /// The system has no file descriptor or memory left for the connection.
    DescriptorsExhausted,
    /// This connection failed, or the call was interrupted; the next one may succeed.
    Failed,
}

/// The listening socket, the admission controller and the log of rejections.
pub(super) struct Listener {
    /// `None` once the listener is closed.
    socket: Option<OwnedFd>,
    pub(super) controller: AdmissionController,
    limits: FrontendLimits,
    /// When accepting resumes; `None` if it is not paused. While it is paused, the socket is not
    /// registered with the poller.
    paused_until: Option<Duration>,
    /// A descriptor held in reserve, with which connections are accepted to reject them when the
    /// system has none left.
    rejection_descriptor: Option<OwnedFd>,
    /// Empty between events; reused for its capacity.
    actions: Vec<Action>,
    /// Totals at the time of the last summary.
    last_counts: RejectionCounts,
    /// When the next summary is logged; `None` if admission has taken no action since the last one.
    summary_deadline: Option<Duration>,
}

impl Listener {
    /// Registers the socket with the poller, and takes the descriptors of
    /// [`RESERVED_DESCRIPTOR_USES`] from the budget.
    pub(super) fn new(
        socket: OwnedFd,
        policy: AdmissionPolicy,
        secret: u64,
        limits: FrontendLimits,
        io: &mut Io,
    ) -> rustix::io::Result<Listener> {
        io.poller
            .add_level_triggered(&socket, EventSource::Listener.token())?;
        for descriptor_use in RESERVED_DESCRIPTOR_USES {
            while io.descriptor_budget.used(descriptor_use)
                < io.descriptor_budget.limits(descriptor_use).guaranteed
                && io.descriptor_budget.try_acquire(descriptor_use)
            {}
        }
        Ok(Listener {
            socket: Some(socket),
            controller: AdmissionController::new(policy, secret, io.now),
            limits,
            paused_until: None,
            rejection_descriptor: open_spare_descriptor(),
            actions: Vec::new(),
            last_counts: RejectionCounts::default(),
            summary_deadline: None,
        })
    }

    /// Returns the address of the socket; `None` once the listener is closed.
    pub(super) fn address(&self) -> Option<SocketAddr> {
        listener_address(self.socket.as_ref()?)
    }

    /// Passes an event to the admission controller, and calls `on_action` with each resulting
    /// action.
    pub(super) fn handle(
        &mut self,
        event: Event,
        io: &mut Io,
        mut on_action: impl FnMut(Action, &mut Io),
    ) {
        let mut actions = std::mem::take(&mut self.actions);
        self.controller.handle(io.now, event, &mut actions);
        self.schedule_summary(&actions, io);
        actions.drain(..).for_each(|action| on_action(action, io));
        self.actions = actions;
    }

    /// Replaces the admission policy, and returns the actions that follow from it.
    pub(super) fn set_policy(&mut self, policy: AdmissionPolicy, io: &mut Io) -> Vec<Action> {
        let mut actions = Vec::new();
        self.controller.set_policy(policy, io.now, &mut actions);
        self.schedule_summary(&actions, io);
        actions
    }

    /// Schedules a summary if admission took an action and no summary is scheduled yet.
    fn schedule_summary(&mut self, actions: &[Action], io: &mut Io) {
        if !actions.is_empty() && self.summary_deadline.is_none() {
            let deadline = io.now + self.limits.summary_interval;
            io.deadlines.set(
                &mut self.summary_deadline,
                Some(deadline),
                EventSource::AdmissionSummary,
            );
        }
    }

    /// Accepts the next waiting connection, unless admission pauses accepting.
    pub(super) fn accept(&mut self, io: &mut Io) -> AcceptOutcome {
        if let Some(until) = self.controller.accept_paused_until(io.now) {
            self.pause(until, io);
            return AcceptOutcome::Nothing;
        }
        let Some(socket) = &self.socket else {
            return AcceptOutcome::Nothing;
        };
        match accept(socket, READ_BUFFER_BYTES) {
            Ok((stream, peer)) => AcceptOutcome::Connection(stream, peer),
            Err(Errno::AGAIN) => AcceptOutcome::Nothing,
            Err(Errno::INTR | Errno::CONNABORTED) => AcceptOutcome::Failed,
            Err(error) if is_fd_shortage(error) => AcceptOutcome::DescriptorsExhausted,
            Err(error) => {
                tracing::warn!(event = "clients.accept_failed", error = %error, "accept failed, retrying");
                self.pause(io.now + self.limits.accept_retry_interval, io);
                AcceptOutcome::Nothing
            }
        }
    }

    /// Rejects waiting connections, up to the limit of one iteration, then pauses accepting. Without
    /// descriptors the listener stays readable, and the event loop would spin on it.
    pub(super) fn reject_waiting(&mut self, io: &mut Io) {
        self.reject_up_to(self.limits.max_accepts_per_iteration);
        tracing::warn!(
            event = "clients.descriptors_exhausted",
            "descriptors exhausted, accepting paused"
        );
        self.pause(io.now + self.limits.accept_retry_interval, io);
    }

    /// Pauses accepting until this time, unless it is paused already.
    fn pause(&mut self, until: Duration, io: &mut Io) {
        if self.paused_until.is_some() {
            return;
        }
        if let Some(socket) = &self.socket {
            let _ = io.poller.remove(socket);
            io.deadlines
                .set(&mut self.paused_until, Some(until), EventSource::Listener);
        }
    }

    /// Ends the pause: registers the socket with the poller again.
    pub(super) fn resume(&mut self, io: &mut Io) {
        self.paused_until = None;
        if let Some(socket) = &self.socket {
            let _ = io
                .poller
                .add_level_triggered(socket, EventSource::Listener.token());
        }
    }

    /// Closes the listener. Connections that wait in its backlog would be reset by this, so each is
    /// first rejected with a retry time.
    pub(super) fn close(&mut self, io: &mut Io) {
        io.deadlines
            .set(&mut self.paused_until, None, EventSource::Listener);
        self.reject_up_to(self.limits.listen_backlog.unsigned_abs() as usize);
        self.socket = None;
    }

    /// Accepts up to `max` waiting connections one after another with the descriptor that is held
    /// in reserve for this, and rejects each.
    fn reject_up_to(&mut self, max: usize) {
        self.rejection_descriptor = None;
        self.accept_and_reject(max);
        self.rejection_descriptor = open_spare_descriptor();
    }

    fn accept_and_reject(&self, max: usize) {
        let Some(socket) = &self.socket else {
            return;
        };
        for _ in 0..max {
            match accept(socket, READ_BUFFER_BYTES) {
                Ok((stream, _)) => {
                    let retry_after = self.controller.policy().retry_after;
                    reject(stream, retry_after, &self.limits.protocol);
                }
                Err(Errno::INTR | Errno::CONNABORTED) => {}
                Err(_) => return,
            }
        }
    }

    /// Logs how many connections and requests were rejected since the last summary, by reason.
    pub(super) fn on_summary_deadline(&mut self) {
        self.summary_deadline = None;
        let current_counts = self.controller.rejection_counts();
        let previous_counts = std::mem::replace(&mut self.last_counts, current_counts);
        let count_since_last = |reason: RejectionReason| {
            self.last_counts.connections[reason as usize]
                - previous_counts.connections[reason as usize]
        };
        let mut rejected: Vec<String> = REJECTION_REASONS
            .iter()
            .filter(|reason| count_since_last(**reason) > 0)
            .map(|reason| format!("{} {}", reason.as_str(), count_since_last(*reason)))
            .collect();
        if self.last_counts.requests > previous_counts.requests {
            let requests = self.last_counts.requests - previous_counts.requests;
            rejected.push(format!("refused {requests}"));
        }
        let clients = self.controller.open_connections();
        let rejected = rejected.join(", ");
        tracing::info!(event = "admission.summary", clients, rejected = %rejected, "admission summary");
    }
}
