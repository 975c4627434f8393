//! Preserves client reputations across restarts: reads the snapshot file at startup, and writes it
//! periodically and at the end of the shutdown.

use super::file_writer::{unix_ms, FileWriter};
use crate::routing::{EventSource, Io};
use roseyard_admission::{AdmissionController, Snapshot, SnapshotError};
use roseyard_operator_config::SnapshotSettings;
use std::fs::File;
use std::io::{self, Read};
use std::path::Path;
use std::time::Duration;

/// Reads and writes the snapshot file. Does nothing if the settings name no file.
pub(super) struct SnapshotStore {
    settings: SnapshotSettings,
    writer: FileWriter,
}

/// A snapshot and the time since it was written.
struct AgedSnapshot {
    snapshot: Snapshot,
    age: Duration,
}

/// Error because of which a snapshot file is not used.
#[derive(Debug, thiserror::Error)]
enum RestoreError {
    #[error(transparent)]
    Unreadable(#[from] io::Error),
    #[error(transparent)]
    Invalid(#[from] SnapshotError),
}

impl SnapshotStore {
    /// Restores the controller's client reputations from the file. If the file is missing or
    /// invalid, logs the error and leaves the controller unchanged.
    pub(super) fn open(
        settings: SnapshotSettings,
        controller: &mut AdmissionController,
        now: Duration,
    ) -> SnapshotStore {
        if let Some(path) = &settings.file {
            restore(path, controller, now);
        }
        SnapshotStore {
            settings,
            writer: FileWriter::new("reputation snapshot", "reputation.write_failed"),
        }
    }

    /// Replaces the settings. They take effect with the next write.
    pub(super) fn set(&mut self, settings: SnapshotSettings) {
        self.settings = settings;
    }

    /// Sets the deadline of the next write; cancels it if the settings name no file.
    pub(super) fn schedule(&self, deadline: &mut Option<Duration>, io: &mut Io) {
        let at = self
            .settings
            .file
            .as_ref()
            .map(|_| io.now + self.settings.interval);
        io.deadlines.set(deadline, at, EventSource::Snapshot);
    }

    /// Starts to write the file, unless the last write is still running.
    pub(super) fn write(&mut self, controller: &AdmissionController, now: Duration) {
        let Some(path) = self.settings.file.clone() else {
            return;
        };
        if self.writer.is_busy() {
            return;
        }
        let bytes = self.encode(controller, now);
        self.writer.start(path, bytes);
    }

    /// Waits for a running write, then writes the file a last time before returning.
    pub(super) fn finish(&mut self, controller: &AdmissionController, now: Duration) {
        self.writer.wait();
        if let Some(path) = &self.settings.file {
            let bytes = self.encode(controller, now);
            self.writer.write_now(path, &bytes);
        }
    }

    fn encode(&self, controller: &AdmissionController, now: Duration) -> Vec<u8> {
        controller
            .snapshot(self.settings.max_records, now)
            .encode(unix_ms())
    }
}

fn restore(path: &Path, controller: &mut AdmissionController, now: Duration) {
    let file = path.display();
    match read(path) {
        Ok(AgedSnapshot { snapshot, age }) => {
            controller.restore(&snapshot, age, now);
            let clients = snapshot.clients.len();
            let customers = snapshot.customers.len();
            tracing::info!(
                event = "reputation.restored",
                %file,
                clients,
                customers,
                age_seconds = age.as_secs(),
                "client reputations restored"
            );
        }
        Err(error) => tracing::warn!(
            event = "reputation.not_restored",
            %file,
            %error,
            "client reputations not restored"
        ),
    }
}

fn read(path: &Path) -> Result<AgedSnapshot, RestoreError> {
    // Reading one byte more than the limit lets the decoder detect a file that is too long.
    let max_bytes = roseyard_admission::MAX_SNAPSHOT_BYTES as u64 + 1;
    let mut bytes = Vec::new();
    File::open(path)?.take(max_bytes).read_to_end(&mut bytes)?;
    let stored = Snapshot::decode(&bytes)?;
    let age_ms = unix_ms().saturating_sub(stored.written_unix_ms);
    Ok(AgedSnapshot {
        snapshot: stored.snapshot,
        age: Duration::from_millis(age_ms),
    })
}
