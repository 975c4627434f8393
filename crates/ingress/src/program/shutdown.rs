//! Graceful shutdown after SIGTERM or SIGINT.
//!
//! | phase | begins | what happens |
//! | --- | --- | --- |
//! | [`ShutdownPhase::Accepting`] | with the signal | connections and requests are still accepted |
//! | [`ShutdownPhase::Draining`] | [`ShutdownLimits::accept_period`] later | the listener is closed, new requests are rejected, open ones are completed |
//! | [`ShutdownPhase::Stopping`] | [`ShutdownLimits::drain_timeout`] later | every open request gets its final response immediately |
//! | [`ShutdownPhase::Finished`] | [`ShutdownLimits::linger_timeout`] later | connections that are still open are dropped |
//!
//! The shutdown ends earlier if no connection and no request is left while draining, or no
//! connection while stopping.
//!
//! [`ShutdownLimits::accept_period`]: crate::routing::ShutdownLimits::accept_period
//! [`ShutdownLimits::drain_timeout`]: crate::routing::ShutdownLimits::drain_timeout
//! [`ShutdownLimits::linger_timeout`]: crate::routing::ShutdownLimits::linger_timeout

use super::Program;
use crate::routing::EventSource;
use std::time::Duration;

/// The phase of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShutdownPhase {
    /// The ingress is not shutting down.
    Serving,
    /// The shutdown has started; connections and requests are still accepted.
    Accepting,
    /// No new connections or requests are accepted; open requests are completed.
    Draining,
    /// Every request has its final response; remaining replies are being written.
    Stopping,
    /// The last phase has timed out; the process exits.
    Finished,
}

impl Program {
    /// Starts the shutdown. Does nothing if it has already started.
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

    /// Called when the deadline of the current phase expires; starts the next phase.
    pub(super) fn on_shutdown_deadline(&mut self) {
        self.shutdown_deadline = None;
        match self.shutdown {
            ShutdownPhase::Accepting => self.start_draining(),
            ShutdownPhase::Draining => self.answer_open_requests(),
            ShutdownPhase::Stopping => self.shutdown = ShutdownPhase::Finished,
            // No deadline is set in these phases.
            ShutdownPhase::Serving | ShutdownPhase::Finished => {}
        }
    }

    /// Returns whether the shutdown is complete.
    pub(super) fn is_finished(&self) -> bool {
        match self.shutdown {
            ShutdownPhase::Serving | ShutdownPhase::Accepting => false,
            ShutdownPhase::Draining => self.frontend.is_empty() && self.driver.open_requests() == 0,
            ShutdownPhase::Stopping => self.frontend.is_empty(),
            ShutdownPhase::Finished => true,
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

    /// Gives every open request its final response. Otherwise, requests to a hanging endpoint would
    /// still have no response when SIGKILL ends the process.
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
