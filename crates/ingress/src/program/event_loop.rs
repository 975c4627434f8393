//! One round of the event loop: wait, read, let time pass, decide, write.

use super::cli::RunOptions;
use super::signals::{PendingSignals, Signals};
use super::{Program, ProgramError};
use crate::routing::EventSource;
use crate::transport::Ready;
use std::time::Duration;

/// The status file is written this often.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);

impl Program {
    /// Answers signals from now on: SIGHUP reloads both files, SIGTERM and SIGINT shut down.
    pub fn handle_signals(
        &mut self,
        signals: Signals,
        run_options: RunOptions,
    ) -> Result<(), ProgramError> {
        self.run_options = Some(run_options);
        let token = EventSource::Signal.token();
        self.io
            .poller
            .add_level_triggered(signals.pipe(), token)
            .map_err(ProgramError::SignalRegistration)?;
        self.signals = Some(signals);
        Ok(())
    }

    /// Runs one round; waits for up to `wait` (none: until something happens) and reads `now` after
    /// that. False once the shutdown is complete.
    pub fn run_iteration(
        &mut self,
        wait: Option<Duration>,
        now: impl FnOnce() -> Duration,
    ) -> Result<bool, ProgramError> {
        let wait = if self.frontend.has_scheduled_reads() {
            Some(Duration::ZERO)
        } else {
            wait
        };
        let mut events = std::mem::take(&mut self.ready_events);
        self.io
            .poller
            .wait(wait, &mut events)
            .map_err(ProgramError::Poller)?;
        self.io.now = now();
        self.read_events(&mut events);
        self.ready_events = events;
        // Replies that have arrived count before the timeouts that they beat.
        while let Some(source) = self.io.deadlines.pop_expired(self.io.now) {
            self.on_deadline(source);
        }
        self.serve_once_synced();
        self.decide_and_write();
        self.frontend.restore_spare_descriptor(&mut self.io);
        self.accept_connections();
        Ok(!self.is_over())
    }

    /// Handles readiness, discovery first: requests of this round are decided by the latest list.
    fn read_events(&mut self, events: &mut Vec<Ready>) {
        for event in events.iter().filter(|event| is_discovery(event)) {
            self.on_ready(*event);
        }
        self.serve_once_synced();
        self.frontend
            .read_scheduled_clients(&mut self.driver, &mut self.io);
        for event in events.drain(..).filter(|event| !is_discovery(event)) {
            self.on_ready(event);
        }
    }

    /// Decides all that has happened, and writes what comes of it, until nothing more follows.
    fn decide_and_write(&mut self) {
        let mut responses = std::mem::take(&mut self.responses);
        loop {
            self.driver.run(&mut self.io);
            self.driver.take_responses(&mut responses);
            for response in responses.drain(..) {
                self.frontend
                    .respond(response, &mut self.driver, &mut self.io);
            }
            self.frontend.flush(&mut self.driver, &mut self.io);
            if !self.driver.has_pending() {
                break;
            }
        }
        self.responses = responses;
    }

    /// Accepts last: new clients must not take the descriptors that this round's attempts gave back
    /// and that retries of open requests need.
    fn accept_connections(&mut self) {
        if std::mem::take(&mut self.accept_pending) {
            self.frontend.accept(&mut self.driver, &mut self.io);
        }
    }

    /// Becomes ready once discovery has answered, or the time for that is over.
    fn serve_once_synced(&mut self) {
        if self.frontend.is_ready() || !(self.driver.is_synced() || self.ready_deadline.is_none()) {
            return;
        }
        self.frontend.set_ready();
        self.io
            .deadlines
            .set(&mut self.ready_deadline, None, EventSource::ReadyTimeout);
        tracing::info!(event = "ready", "ready");
        if let Some(membership) = &mut self.membership {
            membership.on_serving(&mut self.io);
        }
    }

    fn on_ready(&mut self, event: Ready) {
        let driver = &mut self.driver;
        let io = &mut self.io;
        match EventSource::from_token(event.token) {
            EventSource::Client(key) => self.frontend.on_client_ready(key, event, driver, io),
            EventSource::Upstream(key) => driver.on_upstream_ready(key, event, io),
            EventSource::Counter(n, serial) => driver.on_counter_ready(n, serial, event, io),
            EventSource::Discovery(serial) => driver.on_discovery_ready(serial, event, io),
            EventSource::Listener => self.accept_pending = true,
            EventSource::Membership => self.membership.iter_mut().for_each(|m| m.on_ready(io)),
            _ => self.on_signal(),
        }
    }

    fn on_deadline(&mut self, source: EventSource) {
        let driver = &mut self.driver;
        let io = &mut self.io;
        match source {
            EventSource::Engine => driver.on_engine_deadline(),
            EventSource::Client(key) => self.frontend.on_client_deadline(key, driver, io),
            EventSource::Upstream(key) => driver.on_upstream_deadline(key, io),
            EventSource::Counter(n, _) => driver.on_counter_deadline(n, io),
            EventSource::Discovery(_) => driver.on_discovery_deadline(io),
            EventSource::Listener => {
                self.frontend.on_listener_deadline(io);
                self.accept_pending = true;
            }
            EventSource::AdmissionSummary => self.frontend.on_summary_deadline(),
            EventSource::RejectionSummary => driver.log_rejections(),
            EventSource::Snapshot => self.on_snapshot_deadline(),
            EventSource::Membership => self.membership.iter_mut().for_each(|m| m.on_deadline(io)),
            EventSource::Status => self.on_status_deadline(),
            EventSource::ReadyTimeout => self.ready_deadline = None,
            EventSource::Shutdown => self.on_shutdown_deadline(),
            EventSource::Signal => {}
        }
    }

    fn on_snapshot_deadline(&mut self) {
        self.snapshot_deadline = None;
        self.snapshots.write(self.frontend.admission(), self.io.now);
        self.snapshots
            .schedule(&mut self.snapshot_deadline, &mut self.io);
    }

    fn on_status_deadline(&mut self) {
        self.status_deadline = None;
        if let (Some(status_file), Some(membership)) = (&mut self.status_file, &self.membership) {
            status_file.write(membership, self.io.now);
            let at = self.io.now + STATUS_INTERVAL;
            self.io
                .deadlines
                .set(&mut self.status_deadline, Some(at), EventSource::Status);
        }
    }

    /// Both may have come at once; a reload counts also during the shutdown, since what is still
    /// open is counted and forwarded by the new addresses.
    fn on_signal(&mut self) {
        let Some(signals) = &mut self.signals else {
            return;
        };
        let PendingSignals { reload, shut_down } = signals.take();
        if reload {
            self.reload_files();
        }
        if shut_down {
            self.shut_down();
        }
    }
}

fn is_discovery(event: &Ready) -> bool {
    matches!(
        EventSource::from_token(event.token),
        EventSource::Discovery(_)
    )
}
