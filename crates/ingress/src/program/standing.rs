//! Keeps standing over a restart: reads the file at the start, writes it on a schedule and at the
//! end.

use super::files::{unix_ms, Writer};
use crate::routing::{Io, Party};
use roseyard_admission::{Gate, Snapshot};
use roseyard_operator_config::Standing;
use std::fs;
use std::io::Read;
use std::path::Path;
use std::time::Duration;

/// The file of standing and who writes it.
pub(super) struct Keeper {
    settings: Standing,
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
    pub(super) fn start(settings: Standing, gate: &mut Gate, now: Duration) -> Keeper {
        if let Some(path) = &settings.file {
            let file = path.display();
            match read(path) {
                Ok((snapshot, age)) => {
                    gate.recall(&snapshot, age, now);
                    let (clients, customers, age) = (
                        snapshot.clients.len(),
                        snapshot.customers.len(),
                        age.as_secs(),
                    );
                    tracing::info!(
                        event = "standing.read", %file, clients, customers, age,
                        "standing: {file}: {clients} clients and {customers} customers, written {age} s ago"
                    );
                }
                Err(why) => {
                    tracing::warn!(event = "standing.passed-over", %file, why, "standing: {file}: passed over: {why}");
                }
            }
        }
        Keeper {
            settings,
            writer: Writer::new("standing", "standing.write"),
        }
    }

    /// Other settings hold from now on.
    pub(super) fn set(&mut self, settings: Standing) {
        self.settings = settings;
    }

    /// Sets when the file is written next; never if nothing is kept.
    pub(super) fn arm(&self, due: &mut Option<Duration>, io: &mut Io) {
        let at = self
            .settings
            .file
            .as_ref()
            .map(|_| io.now + self.settings.every);
        io.deadlines.set(due, at, Party::Standing);
    }

    /// Writes the file, unless the last writing still goes on.
    pub(super) fn write(&mut self, gate: &Gate, now: Duration) {
        let Some(path) = self.settings.file.clone() else {
            return;
        };
        if self.writer.is_busy() {
            return;
        }
        let bytes = gate.snapshot(self.settings.most, now).encode(unix_ms());
        self.writer.begin(path, bytes);
    }

    /// Writes the file for the last time.
    pub(super) fn finish(&mut self, gate: &Gate, now: Duration) {
        self.writer.wait();
        if let Some(path) = &self.settings.file {
            self.writer.write(
                path,
                &gate.snapshot(self.settings.most, now).encode(unix_ms()),
            );
        }
    }
}
