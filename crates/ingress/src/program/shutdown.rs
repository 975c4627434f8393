//! Graceful shutdown after SIGTERM or SIGINT.
//!
//! | phase | begins | what happens |
//! | --- | --- | --- |
//! | [`ShutdownPhase::Accepting`] | with the signal | connections and requests are still taken |
//! | [`ShutdownPhase::Draining`] | [`ShutdownLimits::accept_period`] later | the listener is closed, new requests are rejected, open ones are finished |
//! | [`ShutdownPhase::Stopping`] | [`ShutdownLimits::drain_timeout`] later | every open request gets its final response at once |
//! | [`ShutdownPhase::Over`] | [`ShutdownLimits::linger_timeout`] later | connections that are still open are dropped |
//!
//! The program ends earlier once a phase has nothing left to do.
//!
//! [`ShutdownLimits::accept_period`]: crate::routing::ShutdownLimits::accept_period
//! [`ShutdownLimits::drain_timeout`]: crate::routing::ShutdownLimits::drain_timeout
//! [`ShutdownLimits::linger_timeout`]: crate::routing::ShutdownLimits::linger_timeout

use super::Program;
use crate::routing::EventSource;
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
        let open_requests = self.driver.open_requests();
        tracing::info!(
            event = "shutdown.started",
            open_requests,
            "shutdown started"
        );
        self.schedule_next_phase(self.shutdown_limits.accept_period);
        if let Some(membership) = &mut self.membership {
            membership.leave(&mut self.io);
        }
    }

    /// The present phase's time is over.
    pub(super) fn on_shutdown_deadline(&mut self) {
        self.shutdown_deadline = None;
        match self.shutdown {
            ShutdownPhase::Accepting => self.start_draining(),
            ShutdownPhase::Draining => self.answer_open_requests(),
            ShutdownPhase::Stopping => self.shutdown = ShutdownPhase::Over,
            // No deadline is set in these phases.
            ShutdownPhase::Serving | ShutdownPhase::Over => {}
        }
    }

    /// Has the program nothing left to do?
    pub(super) fn is_over(&self) -> bool {
        match self.shutdown {
            ShutdownPhase::Serving | ShutdownPhase::Accepting => false,
            ShutdownPhase::Draining => self.frontend.is_empty() && self.driver.open_requests() == 0,
            ShutdownPhase::Stopping => self.frontend.is_empty(),
            ShutdownPhase::Over => true,
        }
    }

    fn start_draining(&mut self) {
        self.shutdown = ShutdownPhase::Draining;
        self.frontend.drain(&mut self.driver, &mut self.io);
        let clients = self.frontend.len();
        tracing::info!(
            event = "shutdown.draining",
            clients,
            "draining, listener closed"
        );
        self.schedule_next_phase(self.shutdown_limits.drain_timeout);
    }

    /// Prevents requests without a response when an endpoint hangs until SIGKILL.
    fn answer_open_requests(&mut self) {
        self.shutdown = ShutdownPhase::Stopping;
        let open_requests = self.driver.open_requests();
        tracing::info!(
            event = "shutdown.deadline_exceeded",
            open_requests,
            "drain deadline exceeded, open requests answered"
        );
        self.driver.stop();
        self.frontend.close_connections();
        self.schedule_next_phase(self.shutdown_limits.linger_timeout);
    }

    fn schedule_next_phase(&mut self, after: Duration) {
        let at = self.io.now + after;
        self.io
            .deadlines
            .set(&mut self.shutdown_deadline, Some(at), EventSource::Shutdown);
    }
}
