//! Keeps the reputation of clients over a restart: reads the snapshot file at the start, writes it
//! on a schedule and at the end.

use super::file_writer::{unix_ms, FileWriter};
use crate::routing::{EventSource, Io};
use roseyard_admission::{AdmissionController, Snapshot, SnapshotError};
use roseyard_operator_config::SnapshotSettings;
use std::fs::File;
use std::io::{self, Read};
use std::path::Path;
use std::time::Duration;

/// The snapshot file and its writer. Without a file in the settings it does nothing.
pub(super) struct SnapshotStore {
    settings: SnapshotSettings,
    writer: FileWriter,
}

/// A snapshot and the time since it was written.
struct AgedSnapshot {
    snapshot: Snapshot,
    age: Duration,
}

/// Why a snapshot file is not used.
#[derive(Debug, thiserror::Error)]
enum RestoreError {
    #[error(transparent)]
    Unreadable(#[from] io::Error),
    #[error(transparent)]
    Invalid(#[from] SnapshotError),
}

impl SnapshotStore {
    /// Restores the controller's clients from the file. If there is none, or it is damaged, logs
    /// why and starts without.
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

    /// Applies other settings from now on.
    pub(super) fn set(&mut self, settings: SnapshotSettings) {
        self.settings = settings;
    }

    /// Sets when the file is written next; never without a file.
    pub(super) fn schedule(&self, due: &mut Option<Duration>, io: &mut Io) {
        let at = self
            .settings
            .file
            .as_ref()
            .map(|_| io.now + self.settings.interval);
        io.deadlines.set(due, at, EventSource::Snapshot);
    }

    /// Starts writing the file, unless the last write is still running.
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

    /// Writes the file for the last time, and waits for it.
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
    // One byte over the limit shows that a file is too long.
    let most = roseyard_admission::MAX_SNAPSHOT_BYTES as u64 + 1;
    let mut bytes = Vec::new();
    File::open(path)?.take(most).read_to_end(&mut bytes)?;
    let stored = Snapshot::decode(&bytes)?;
    let age_ms = unix_ms().saturating_sub(stored.written_unix_ms);
    Ok(AgedSnapshot {
        snapshot: stored.snapshot,
        age: Duration::from_millis(age_ms),
    })
}
