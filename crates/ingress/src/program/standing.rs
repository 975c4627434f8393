//! Keeps standing over a restart: reads the file at the start, writes it on a schedule and at the
//! end.

use super::files::{unix_ms, Writer};
use crate::routing::{EventSource, Io};
use roseyard_admission::{AdmissionController, Snapshot};
use roseyard_operator_config::SnapshotSettings;
use std::fs;
use std::io::Read;
use std::path::Path;
use std::time::Duration;

/// The file of standing and who writes it.
pub(super) struct Keeper {
    settings: SnapshotSettings,
    writer: Writer,
}

/// Reads a snapshot and how old it is.
fn read(path: &Path) -> Result<(Snapshot, Duration), String> {
    let mut bytes = Vec::new();
    let file = fs::File::open(path).map_err(|e| e.to_string())?;
    let most = roseyard_admission::MOST_BYTES as u64 + 1;
    file.take(most)
        .read_to_end(&mut bytes)
        .map_err(|e| e.to_string())?;
    let (snapshot, written) = Snapshot::decode(&bytes).map_err(|e| e.to_string())?;
    Ok((
        snapshot,
        Duration::from_millis(unix_ms().saturating_sub(written)),
    ))
}

impl Keeper {
    /// Reads what was kept, if there is a file and it is whole; else says why not and goes on
    /// without.
    pub(super) fn start(
        settings: SnapshotSettings,
        controller: &mut AdmissionController,
        now: Duration,
    ) -> Keeper {
        if let Some(path) = &settings.file {
            let file = path.display();
            match read(path) {
                Ok((snapshot, age)) => {
                    controller.restore(&snapshot, age, now);
                    let (clients, customers, age) = (
                        snapshot.clients.len(),
                        snapshot.customers.len(),
                        age.as_secs(),
                    );
                    tracing::info!(
                        event = "reputation.restored", %file, clients, customers, age_seconds = age,
                        "client reputations restored"
                    );
                }
                Err(why) => {
                    tracing::warn!(event = "reputation.not_restored", %file, error = why, "client reputations not restored");
                }
            }
        }
        Keeper {
            settings,
            writer: Writer::new("reputation snapshot", "reputation.write_failed"),
        }
    }

    /// Other settings hold from now on.
    pub(super) fn set(&mut self, settings: SnapshotSettings) {
        self.settings = settings;
    }

    /// Sets when the file is written next; never if nothing is kept.
    pub(super) fn arm(&self, due: &mut Option<Duration>, io: &mut Io) {
        let at = self
            .settings
            .file
            .as_ref()
            .map(|_| io.now + self.settings.every);
        io.deadlines.set(due, at, EventSource::Snapshot);
    }

    /// Writes the file, unless the last writing still goes on.
    pub(super) fn write(&mut self, controller: &AdmissionController, now: Duration) {
        let Some(path) = self.settings.file.clone() else {
            return;
        };
        if self.writer.is_busy() {
            return;
        }
        let bytes = controller
            .snapshot(self.settings.most, now)
            .encode(unix_ms());
        self.writer.begin(path, bytes);
    }

    /// Writes the file for the last time.
    pub(super) fn finish(&mut self, controller: &AdmissionController, now: Duration) {
        self.writer.wait();
        if let Some(path) = &self.settings.file {
            self.writer.write(
                path,
                &controller
                    .snapshot(self.settings.most, now)
                    .encode(unix_ms()),
            );
        }
    }
}
