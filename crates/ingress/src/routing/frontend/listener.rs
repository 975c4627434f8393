//! The listener: accepts connections as admission allows, which is decided in
//! [`roseyard_admission`].

use super::limits::FrontendLimits;
use super::reply;
use crate::routing::event_source::EventSource;
use crate::routing::io::{Io, READ_BUFFER_BYTES};
use crate::transport::{accept, is_fd_shortage, listening_at, spare, Key, Stream};
use roseyard_admission::{
    Action, AdmissionController, AdmissionPolicy, ConnectionId, DescriptorUse, Event,
    RejectionCounts, RejectionReason, REJECTION_REASONS,
};
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Bytes read from a rejected connection before it is closed.
const MAX_REJECTED_INPUT_BYTES: usize = 1 << 16;
const REJECTED_SCRATCH_BYTES: usize = 512;

/// Uses whose number of descriptors is fixed: taken for the life of the process.
const RESERVED_DESCRIPTORS: [DescriptorUse; 6] = [
    DescriptorUse::Fixed,
    DescriptorUse::Counter,
    DescriptorUse::Discovery,
    DescriptorUse::Files,
    DescriptorUse::Spare,
    DescriptorUse::Peers,
];

/// The id of a client's connection in admission.
pub(super) fn connection_id(key: Key) -> ConnectionId {
    ConnectionId(key.pack())
}

/// What came of an accept.
pub(super) enum Accepted {
    /// A connection, and its peer.
    Connection(Stream, IpAddr),
    /// Nothing waits, or nothing is to be accepted now.
    Nothing,
    /// No descriptor is left.
    DescriptorsExhausted,
    /// Only this one has failed.
    Failed,
}

/// The listener and admission.
pub(super) struct Listener {
    /// None once it is closed.
    socket: Option<OwnedFd>,
    pub(super) controller: AdmissionController,
    limits: FrontendLimits,
    /// The listener is not watched until this time.
    paused_until: Option<Duration>,
    /// Kept from event to event, for its capacity.
    actions: Vec<Action>,
    /// What was last logged.
    logged: RejectionCounts,
    /// When it is logged again.
    summary_due: Option<Duration>,
}

impl Listener {
    pub(super) fn new(
        socket: OwnedFd,
        policy: AdmissionPolicy,
        secret: u64,
        limits: FrontendLimits,
        io: &mut Io,
    ) -> rustix::io::Result<Listener> {
        io.poller
            .add_level(&socket, EventSource::Listener.token())?;
        for of in RESERVED_DESCRIPTORS {
            while io.descriptor_budget.used(of) < io.descriptor_budget.limits(of).guaranteed
                && io.descriptor_budget.take(of)
            {}
        }
        Ok(Listener {
            socket: Some(socket),
            controller: AdmissionController::new(policy, secret, io.now),
            limits,
            paused_until: None,
            actions: Vec::new(),
            logged: RejectionCounts::default(),
            summary_due: None,
        })
    }

    /// Where it listens.
    pub(super) fn address(&self) -> Option<SocketAddr> {
        listening_at(self.socket.as_ref()?)
    }

    /// Hands an event to admission; `act` is called with each action.
    pub(super) fn handle(
        &mut self,
        event: Event,
        io: &mut Io,
        mut act: impl FnMut(Action, &mut Io),
    ) {
        let mut actions = std::mem::take(&mut self.actions);
        self.controller.handle(io.now, event, &mut actions);
        self.schedule_summary(&actions, io);
        actions.drain(..).for_each(|action| act(action, io));
        self.actions = actions;
    }

    /// Another policy is in force from now on.
    pub(super) fn set_policy(&mut self, policy: AdmissionPolicy, io: &mut Io) -> Vec<Action> {
        let mut actions = Vec::new();
        self.controller.set_policy(policy, io.now, &mut actions);
        self.schedule_summary(&actions, io);
        actions
    }

    fn schedule_summary(&mut self, actions: &[Action], io: &mut Io) {
        if !actions.is_empty() && self.summary_due.is_none() {
            let due = io.now + self.limits.summary_interval;
            io.deadlines.set(
                &mut self.summary_due,
                Some(due),
                EventSource::AdmissionSummary,
            );
        }
    }

    /// Takes the next connection that waits, unless nothing is to be accepted just now.
    pub(super) fn accept(&mut self, io: &mut Io) -> Accepted {
        if let Some(until) = self.controller.accept_paused_until(io.now) {
            self.pause(until, io);
            return Accepted::Nothing;
        }
        let Some(socket) = &self.socket else {
            return Accepted::Nothing;
        };
        match accept(socket, READ_BUFFER_BYTES) {
            Ok((stream, peer)) => Accepted::Connection(stream, peer),
            Err(Errno::AGAIN) => Accepted::Nothing,
            Err(Errno::INTR | Errno::CONNABORTED) => Accepted::Failed,
            Err(error) if is_fd_shortage(error) => Accepted::DescriptorsExhausted,
            Err(error) => {
                tracing::warn!(event = "clients.accept_failed", error = %error, "accept failed, retrying");
                self.pause(io.now + self.limits.accept_retry_interval, io);
                Accepted::Nothing
            }
        }
    }

    /// Rejects one connection with the spare descriptor, and pauses. Prevents a loop that spins on
    /// a listener when no descriptor is left.
    pub(super) fn reject_one(&mut self, io: &mut Io) {
        io.spare_descriptor = None;
        let socket = self.socket.as_ref();
        if let Some(Ok((stream, _))) = socket.map(|socket| accept(socket, READ_BUFFER_BYTES)) {
            reject(stream, self.controller.policy().retry_after);
        }
        io.spare_descriptor = spare();
        tracing::warn!(
            event = "clients.descriptors_exhausted",
            "descriptors exhausted, accepting paused"
        );
        self.pause(io.now + self.limits.accept_retry_interval, io);
    }

    /// Accepts nothing until then.
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

    /// The pause is over.
    pub(super) fn resume(&mut self, io: &mut Io) {
        self.paused_until = None;
        if let Some(socket) = &self.socket {
            let _ = io.poller.add_level(socket, EventSource::Listener.token());
        }
    }

    /// Accepts nothing any more. Connections that the system has accepted would be reset with the
    /// listener: each is rejected with a retry time.
    pub(super) fn close(&mut self, io: &mut Io) {
        io.deadlines
            .set(&mut self.paused_until, None, EventSource::Listener);
        let Some(socket) = self.socket.take() else {
            return;
        };
        io.spare_descriptor = None;
        for _ in 0..self.limits.listen_backlog {
            match accept(&socket, READ_BUFFER_BYTES) {
                Ok((stream, _)) => reject(stream, self.controller.policy().retry_after),
                Err(Errno::INTR | Errno::CONNABORTED) => {}
                Err(_) => break,
            }
        }
        io.spare_descriptor = spare();
    }

    /// Logs what was rejected since the last summary, by reason.
    pub(super) fn on_summary_due(&mut self) {
        self.summary_due = None;
        let totals = self.controller.rejection_counts();
        let logged = std::mem::replace(&mut self.logged, totals);
        let since = |reason: RejectionReason| {
            self.logged.connections[reason as usize] - logged.connections[reason as usize]
        };
        let mut rejected: Vec<String> = REJECTION_REASONS
            .iter()
            .filter(|reason| since(**reason) > 0)
            .map(|reason| format!("{} {}", reason.as_str(), since(*reason)))
            .collect();
        if self.logged.requests > logged.requests {
            let requests = self.logged.requests - logged.requests;
            rejected.push(format!("refused {requests}"));
        }
        let clients = self.controller.open_connections();
        let rejected = rejected.join(", ");
        tracing::info!(event = "admission.summary", clients, rejected = %rejected, "admission summary");
    }
}

/// Rejects a connection with the time after which to retry, and closes it.
pub(super) fn reject(mut stream: Stream, retry_after: Duration) {
    stream
        .output()
        .extend_from_slice(&reply::busy(Some(retry_after)));
    // Closing with input unread would send a reset, which destroys the reply on its way.
    let _ = stream.flush();
    let _ = stream.end_sending();
    let _ = stream.discard(MAX_REJECTED_INPUT_BYTES, &mut [0; REJECTED_SCRATCH_BYTES]);
}
