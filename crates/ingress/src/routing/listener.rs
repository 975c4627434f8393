//! The listener: accepts connections as admission allows, which is decided in
//! [`roseyard_admission`].

use super::{Io, Party};
use crate::transport::{accept, is_fd_shortage, listening_at, spare, Key, Stream};
use roseyard_admission::{
    Action, AdmissionController, AdmissionPolicy, ConnectionId, DescriptorUse, Event,
    RejectionCounts, RejectionReason, REJECTION_REASONS,
};
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// The name of a client's connection to admission.
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
    Shortage,
    /// Only this one has failed.
    Failed,
}

/// The listener and admission.
pub(super) struct Listener {
    /// None once it is closed.
    socket: Option<OwnedFd>,
    pub controller: AdmissionController,
    /// The listener is not watched until this time.
    paused: Option<Duration>,
    /// Room for what is to be done, kept from event to event.
    actions: Vec<Action>,
    /// What was reported last.
    reported: RejectionCounts,
    /// When that is reported again.
    report_due: Option<Duration>,
}

impl Listener {
    pub(super) fn new(
        socket: OwnedFd,
        policy: AdmissionPolicy,
        secret: u64,
        io: &mut Io,
    ) -> rustix::io::Result<Listener> {
        io.poller.add_level(&socket, Party::Listener.token())?;
        // Their number is fixed by their tables: taken for the whole of the process's life.
        for of in [
            DescriptorUse::Fixed,
            DescriptorUse::Counter,
            DescriptorUse::Discovery,
            DescriptorUse::Files,
            DescriptorUse::Spare,
            DescriptorUse::Peers,
        ] {
            while io.budget.used(of) < io.budget.limits(of).guaranteed && io.budget.take(of) {}
        }
        Ok(Listener {
            socket: Some(socket),
            controller: AdmissionController::new(policy, secret, io.now),
            paused: None,
            actions: Vec::new(),
            reported: RejectionCounts::default(),
            report_due: None,
        })
    }

    /// Where it listens.
    pub(super) fn address(&self) -> Option<SocketAddr> {
        listening_at(self.socket.as_ref()?)
    }

    /// Hands an event to admission; what is to be done goes to `act`.
    pub(super) fn handle(
        &mut self,
        event: Event,
        io: &mut Io,
        mut act: impl FnMut(Action, &mut Io),
    ) {
        let mut actions = std::mem::take(&mut self.actions);
        self.controller.handle(io.now, event, &mut actions);
        self.schedule_report(&actions, io);
        actions.drain(..).for_each(|action| act(action, io));
        self.actions = actions;
    }

    /// Other settings hold from now on.
    pub(super) fn set_policy(&mut self, policy: AdmissionPolicy, io: &mut Io) -> Vec<Action> {
        let mut actions = Vec::new();
        self.controller.set_policy(policy, io.now, &mut actions);
        self.schedule_report(&actions, io);
        actions
    }

    /// Sees to it that what was done is reported before long.
    fn schedule_report(&mut self, actions: &[Action], io: &mut Io) {
        if !actions.is_empty() && self.report_due.is_none() {
            let at = io.now + io.limits.report;
            io.deadlines
                .set(&mut self.report_due, Some(at), Party::Report);
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
        match accept(socket, io.limits.chunk_bytes) {
            Ok((stream, peer)) => Accepted::Connection(stream, peer),
            Err(Errno::AGAIN) => Accepted::Nothing,
            Err(Errno::INTR | Errno::CONNABORTED) => Accepted::Failed,
            Err(e) if is_fd_shortage(e) => Accepted::Shortage,
            Err(e) => {
                tracing::warn!(event = "clients.accept_failed", error = %e, "accept failed, retrying");
                self.pause(io.now + io.limits.accept_again, io);
                Accepted::Nothing
            }
        }
    }

    /// No descriptor is left and none can be had: the spare one serves to tell one that waits when
    /// to come again. Guards against a loop that spins on a listener it has no descriptor to serve.
    pub(super) fn turn_away_one(&mut self, io: &mut Io) {
        io.spare = None;
        if let Some(Ok((stream, _))) = self
            .socket
            .as_ref()
            .map(|socket| accept(socket, io.limits.chunk_bytes))
        {
            turn_away(stream, self.controller.policy().retry_after);
        }
        io.spare = spare();
        tracing::warn!(
            event = "clients.descriptors_exhausted",
            "descriptors exhausted, accepting paused"
        );
        self.pause(io.now + io.limits.accept_again, io);
    }

    /// Accepts nothing until then.
    pub(super) fn pause(&mut self, until: Duration, io: &mut Io) {
        if let Some(socket) = self.socket.as_ref().filter(|_| self.paused.is_none()) {
            let _ = io.poller.remove(socket);
            io.deadlines
                .set(&mut self.paused, Some(until), Party::Listener);
        }
    }

    /// The pause is over.
    pub(super) fn resume(&mut self, io: &mut Io) {
        self.paused = None;
        if let Some(socket) = &self.socket {
            let _ = io.poller.add_level(socket, Party::Listener.token());
        }
    }

    /// Nothing is accepted any more. Guards against connections that the system has taken and that
    /// would be reset with the listener: each that could not be taken in is told to come again.
    pub(super) fn close(&mut self, io: &mut Io) {
        io.deadlines.set(&mut self.paused, None, Party::Listener);
        let Some(socket) = self.socket.take() else {
            return;
        };
        io.spare = None;
        for _ in 0..io.limits.backlog {
            match accept(&socket, io.limits.chunk_bytes) {
                Ok((stream, _)) => turn_away(stream, self.controller.policy().retry_after),
                Err(Errno::INTR | Errno::CONNABORTED) => {}
                Err(_) => break,
            }
        }
        io.spare = spare();
    }

    /// It is time to report what was done, each limit for itself.
    pub(super) fn on_report_due(&mut self) {
        self.report_due = None;
        let counts = self.controller.rejection_counts();
        let before = std::mem::replace(&mut self.reported, counts);
        let since = |why: RejectionReason| {
            counts.connections[why as usize] - before.connections[why as usize]
        };
        let changed = REJECTION_REASONS.iter().filter(|why| since(**why) > 0);
        let mut words: Vec<String> = changed
            .map(|why| format!("{} {}", why.as_str(), since(*why)))
            .collect();
        if counts.requests > before.requests {
            words.push(format!("refused {}", counts.requests - before.requests));
        }
        let (held, words) = (self.controller.open_connections(), words.join(", "));
        tracing::info!(event = "admission.summary", clients = held, rejected = %words, "admission summary");
    }
}

/// Tells one that is not taken when to come again, and closes it.
pub(super) fn turn_away(mut stream: Stream, after: Duration) {
    stream.output().extend_from_slice(&busy_reply(Some(after)));
    // Closing with input unread would send a reset, which destroys the answer on its way.
    let _ = stream.flush();
    let _ = stream.end_sending();
    let _ = stream.discard(1 << 16, &mut [0; 512]);
}

/// The answer that refuses, with word of when to come again.
pub(super) fn busy_reply(after: Option<Duration>) -> Vec<u8> {
    match after {
        Some(after) => format!("-BUSY {}\r\n", after.as_millis().max(1)).into_bytes(),
        None => b"-BUSY\r\n".to_vec(),
    }
}
