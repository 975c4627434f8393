//! One iteration of the event loop: waits for events, reads, handles deadlines, decides, writes.

use super::cli::RunOptions;
use super::signals::{PendingSignals, Signals};
use super::{Program, ProgramError};
use crate::routing::EventSource;
use crate::transport::Ready;
use std::time::Duration;

/// Interval at which the status file is written.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);

impl Program {
    /// Starts to handle signals: SIGHUP reloads both files, SIGTERM and SIGINT start the shutdown.
    /// `run_options` names the operator's file that is reloaded.
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

    /// Runs one iteration. Waits for events for up to `wait`, or without limit if it is `None`, and
    /// calls `now` for the current time after the wait. Returns false once the shutdown is
    /// complete.
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
        self.handle_events(&mut events);
        self.ready_events = events;
        // Deadlines are handled after input, so that a reply that has arrived in time is not
        // treated as timed out.
        while let Some(source) = self.io.deadlines.pop_expired(self.io.now) {
            self.on_deadline(source);
        }
        self.set_ready_once_synced();
        self.process_and_write();
        self.frontend.restore_spare_descriptor(&mut self.io);
        self.accept_connections();
        Ok(!self.is_finished())
    }

    /// Handles readiness events. Those of discovery come first, so that requests read in this
    /// iteration are decided by the latest endpoint list.
    fn handle_events(&mut self, events: &mut Vec<Ready>) {
        for event in events.iter().filter(|event| is_discovery(event)) {
            self.on_ready(*event);
        }
        self.set_ready_once_synced();
        self.frontend
            .read_scheduled_clients(&mut self.driver, &mut self.io);
        for event in events.drain(..).filter(|event| !is_discovery(event)) {
            self.on_ready(event);
        }
    }

    /// Processes pending events in the engine and writes the resulting replies and commands, until
    /// no events are left.
    fn process_and_write(&mut self) {
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

    /// Accepts new clients. Called last in an iteration, because new clients must not take the
    /// descriptors that finished attempts have released and that retries of open requests need.
    fn accept_connections(&mut self) {
        if std::mem::take(&mut self.accept_pending) {
            self.frontend.accept(&mut self.driver, &mut self.io);
        }
    }

    /// Makes the ingress ready once discovery has replied or the ready timeout has expired.
    fn set_ready_once_synced(&mut self) {
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

    /// Handles the signals received, of which both kinds may be pending. A reload also takes effect
    /// during the shutdown, because open requests still use the counter and discovery.
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
