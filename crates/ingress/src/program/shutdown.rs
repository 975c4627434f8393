//! Graceful shutdown after SIGTERM or SIGINT.
//!
//! | phase | begins | what happens |
//! | --- | --- | --- |
//! | [`ShutdownPhase::Accepting`] | with the signal | connections and requests are still taken |
//! | [`ShutdownPhase::Draining`] | [`Limits::drain_accept`] later | the listener is closed, new requests are rejected, open ones are finished |
//! | [`ShutdownPhase::Stopping`] | [`Limits::drain`] later | every open request gets its final response at once |
//! | [`ShutdownPhase::Over`] | [`Limits::last_linger`] later | connections that are still open are dropped |
//!
//! The program ends earlier once a phase has nothing left to do.
//!
//! [`Limits::drain_accept`]: crate::limits::Limits::drain_accept
//! [`Limits::drain`]: crate::limits::Limits::drain
//! [`Limits::last_linger`]: crate::limits::Limits::last_linger

use super::Program;
use crate::routing::Party;
use std::time::Duration;

/// How far the shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShutdownPhase {
    /// No signal has come.
    Serving,
    /// A signal has come; connections are still accepted.
    Accepting,
    /// Nothing new is accepted; what is open is finished.
    Draining,
    /// Every request has its response; responses are being written.
    Stopping,
    /// The time is over.
    Over,
}

impl Program {
    /// Begins the shutdown. Later calls do nothing.
    pub fn shut_down(&mut self) {
        if self.shutdown != ShutdownPhase::Serving {
            return;
        }
        self.shutdown = ShutdownPhase::Accepting;
        let open_requests = self.core.open_requests();
        tracing::info!(
            event = "shutdown.started",
            open_requests,
            "shutdown started"
        );
        self.schedule_next_phase(self.io.limits.drain_accept);
        if let Some(members) = &mut self.members {
            members.leave(&mut self.io);
        }
    }

    /// The present phase's time is over.
    pub(super) fn on_shutdown_due(&mut self) {
        self.shutdown_due = None;
        match self.shutdown {
            ShutdownPhase::Accepting => self.start_draining(),
            ShutdownPhase::Draining => self.answer_open_requests(),
            ShutdownPhase::Serving | ShutdownPhase::Stopping | ShutdownPhase::Over => {
                self.shutdown = ShutdownPhase::Over;
            }
        }
    }

    /// Has the program nothing left to do?
    pub(super) fn is_over(&self) -> bool {
        match self.shutdown {
            ShutdownPhase::Serving | ShutdownPhase::Accepting => false,
            ShutdownPhase::Draining => self.front.is_empty() && self.core.open_requests() == 0,
            ShutdownPhase::Stopping => self.front.is_empty(),
            ShutdownPhase::Over => true,
        }
    }

    fn start_draining(&mut self) {
        self.shutdown = ShutdownPhase::Draining;
        self.front.drain(&mut self.core, &mut self.io);
        let clients = self.front.len();
        tracing::info!(
            event = "shutdown.draining",
            clients,
            "draining, listener closed"
        );
        self.schedule_next_phase(self.io.limits.drain);
    }

    /// Prevents requests without a response when an endpoint hangs until SIGKILL.
    fn answer_open_requests(&mut self) {
        self.shutdown = ShutdownPhase::Stopping;
        let open_requests = self.core.open_requests();
        tracing::info!(
            event = "shutdown.deadline_exceeded",
            open_requests,
            "drain deadline exceeded, open requests answered"
        );
        self.core.stop();
        self.front.stop();
        self.schedule_next_phase(self.io.limits.last_linger);
    }

    fn schedule_next_phase(&mut self, after: Duration) {
        let at = self.io.now + after;
        self.io
            .deadlines
            .set(&mut self.shutdown_due, Some(at), Party::Drain);
    }
}
