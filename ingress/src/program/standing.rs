//! Keeps standing over a restart: reads the file at the start, writes it on a schedule and at the end.

use crate::routing::{Io, Party};
use roseyard_admission::{Gate, Snapshot};
use roseyard_operator::Standing;
use std::fs;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The file of standing and who writes it.
pub struct Keeper {
    settings: Standing,
    /// Writes apart from the loop: guards against a slow disk that would hold every request up.
    writer: Option<JoinHandle<()>>,
}

pub(super) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Reads a snapshot and how old it is.
fn read(path: &Path) -> Result<(Snapshot, Duration), String> {
    let mut bytes = Vec::new();
    let file = fs::File::open(path).map_err(|e| e.to_string())?;
    let most = roseyard_admission::MOST_BYTES as u64 + 1;
    file.take(most).read_to_end(&mut bytes).map_err(|e| e.to_string())?;
    let (snapshot, written) = Snapshot::decode(&bytes).map_err(|e| e.to_string())?;
    Ok((snapshot, Duration::from_millis(unix_ms().saturating_sub(written))))
}

/// Writes beside the file and renames: whoever reads finds the old one or the new one, whole.
pub(super) fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let beside = path.with_extension("new");
    let mut file = fs::File::create(&beside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&beside, path)?;
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    fs::File::open(folder)?.sync_all()
}

fn write(path: PathBuf, bytes: Vec<u8>) {
    if let Err(e) = replace(&path, &bytes) {
        let file = path.display();
        tracing::warn!(event = "standing.write", %file, why = %e, "standing: {file}: not written: {e}");
    }
}

impl Keeper {
    /// Reads what was kept, if there is a file and it is whole; else says why not and goes on without.
    pub fn start(settings: Standing, gate: &mut Gate, now: Duration) -> Keeper {
        if let Some(path) = &settings.file {
            let file = path.display();
            match read(path) {
                Ok((snapshot, age)) => {
                    gate.recall(&snapshot, age, now);
                    let (clients, customers, age) =
                        (snapshot.clients.len(), snapshot.customers.len(), age.as_secs());
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
        Keeper { settings, writer: None }
    }

    /// Other settings hold from now on.
    pub fn set(&mut self, settings: Standing) {
        self.settings = settings;
    }

    /// Sets when the file is written next; never if nothing is kept.
    pub fn arm(&self, due: &mut Option<Duration>, io: &mut Io) {
        let at = self.settings.file.as_ref().map(|_| io.now + self.settings.every);
        io.deadlines.set(due, at, Party::Standing);
    }

    /// Writes the file, unless the last writing still goes on.
    pub fn write(&mut self, gate: &Gate, now: Duration) {
        let Some(path) = self.settings.file.clone() else { return };
        if self.writer.as_ref().is_some_and(|w| !w.is_finished()) {
            return;
        }
        let bytes = gate.snapshot(self.settings.most, now).encode(unix_ms());
        // One that cannot be started is like one that has failed: the next is tried again.
        self.writer = std::thread::Builder::new().name("standing".into()).spawn(|| write(path, bytes)).ok();
    }

    /// Writes the file for the last time.
    pub fn finish(&mut self, gate: &Gate, now: Duration) {
        if let Some(writer) = self.writer.take() {
            // What it could not write, it has told.
            let _ = writer.join();
        }
        if let Some(path) = self.settings.file.clone() {
            write(path, gate.snapshot(self.settings.most, now).encode(unix_ms()));
        }
    }
}
