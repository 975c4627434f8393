//! One round of the event loop: wait, read, let time pass, decide, write.

use super::cli::RunOptions;
use super::signals::{PendingSignals, Signals};
use super::{Program, ProgramError};
use crate::routing::Party;
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
        let token = Party::Signal.token();
        self.io
            .poller
            .add_level(signals.pipe(), token)
            .map_err(ProgramError::SignalRegistration)?;
        self.signals = Some(signals);
        Ok(())
    }

    /// Runs one round; waits for up to `wait` (none: until something happens) and reads `now` after
    /// that. False once the shutdown is complete.
    pub fn round(
        &mut self,
        wait: Option<Duration>,
        now: impl FnOnce() -> Duration,
    ) -> Result<bool, ProgramError> {
        let wait = if self.front.has_more() {
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
        while let Some(source) = self.io.deadlines.pop(self.io.now) {
            self.on_due(source);
        }
        self.serve_once_synced();
        self.decide_and_write();
        self.front.keep_spare(&mut self.io);
        self.accept_connections();
        Ok(!self.is_over())
    }

    /// Handles readiness, discovery first: requests of this round are decided by the latest list.
    fn read_events(&mut self, events: &mut Vec<Ready>) {
        for event in events.iter().filter(|event| is_discovery(event)) {
            self.on_ready(*event);
        }
        self.serve_once_synced();
        self.front.resume(&mut self.core, &mut self.io);
        for event in events.drain(..).filter(|event| !is_discovery(event)) {
            self.on_ready(event);
        }
    }

    /// Decides all that has happened, and writes what comes of it, until nothing more follows.
    fn decide_and_write(&mut self) {
        let mut responses = std::mem::take(&mut self.responses);
        loop {
            self.core.run(&mut self.io);
            self.core.take_answers(&mut responses);
            for (owner, response) in responses.drain(..) {
                self.front
                    .answer(owner, response, &mut self.core, &mut self.io);
            }
            self.front.flush(&mut self.core, &mut self.io);
            if !self.core.has_pending() {
                break;
            }
        }
        self.responses = responses;
    }

    /// Accepts last: new clients must not take the descriptors that this round's attempts gave back
    /// and that retries of open requests need.
    fn accept_connections(&mut self) {
        if std::mem::take(&mut self.accept_pending) {
            let most = self.io.limits.round_accepts;
            self.front.accept(most, &mut self.core, &mut self.io);
        }
    }

    /// Becomes ready once discovery has sent a list or has had [`Limits::ready`] for it.
    ///
    /// [`Limits::ready`]: crate::limits::Limits::ready
    fn serve_once_synced(&mut self) {
        if self.front.ready || !(self.core.told() || self.ready_due.is_none()) {
            return;
        }
        self.front.ready = true;
        self.io
            .deadlines
            .set(&mut self.ready_due, None, Party::Ready);
        tracing::info!(event = "ready", "ready");
        if let Some(members) = &mut self.members {
            members.serving(&mut self.io);
        }
    }

    fn on_ready(&mut self, event: Ready) {
        let core = &mut self.core;
        let io = &mut self.io;
        match Party::of_token(event.token) {
            Party::Client(key) => self.front.on_client(key, event, core, io),
            Party::Link(key) => core.on_link(key, event, io),
            Party::Counter(n, serial) => core.on_counter((n, serial), event, io),
            Party::Watch(serial) => core.on_watch(serial, event, io),
            Party::Listener => self.accept_pending = true,
            Party::Members => self.members.iter_mut().for_each(|m| m.on_ready(io)),
            _ => self.on_signal(),
        }
    }

    fn on_due(&mut self, source: Party) {
        let core = &mut self.core;
        let io = &mut self.io;
        match source {
            Party::Module => core.on_timer(),
            Party::Client(key) => self.front.on_client_due(key, core, io),
            Party::Link(key) => core.on_link_due(key, io),
            Party::Counter(n, _) => core.on_counter_due(n, io),
            Party::Watch(_) => core.on_watch_due(io),
            Party::Listener => {
                self.front.on_listener_due(io);
                self.accept_pending = true;
            }
            Party::Report => self.front.on_report_due(),
            Party::SnapshotSettings => self.on_snapshot_due(),
            Party::Members => self.members.iter_mut().for_each(|m| m.on_due(io)),
            Party::Status => self.on_status_due(),
            Party::Ready => self.ready_due = None,
            Party::Drain => self.on_shutdown_due(),
            Party::Signal => {}
        }
    }

    fn on_snapshot_due(&mut self) {
        self.snapshot_due = None;
        self.snapshots.write(self.front.controller(), self.io.now);
        self.snapshots
            .schedule(&mut self.snapshot_due, &mut self.io);
    }

    fn on_status_due(&mut self) {
        self.status_due = None;
        if let (Some(status_file), Some(members)) = (&mut self.status_file, &self.members) {
            status_file.write(members, self.io.now);
            let at = self.io.now + STATUS_INTERVAL;
            self.io
                .deadlines
                .set(&mut self.status_due, Some(at), Party::Status);
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
    matches!(Party::of_token(event.token), Party::Watch(_))
}
