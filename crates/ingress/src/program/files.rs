//! Small files that are written whole, apart from the loop.

use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::thread::JoinHandle;
use std::time::{SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds.
pub(super) fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// Writes beside the file and renames: whoever reads finds the old one or the new one, whole.
fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let beside = path.with_extension("new");
    let mut file = fs::File::create(&beside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&beside, path)?;
    let folder = path
        .parent()
        .filter(|p| !p.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    fs::File::open(folder)?.sync_all()
}

/// Writes one file again and again.
pub(super) struct Writer {
    /// What it writes, in log lines and as the thread's name.
    what: &'static str,
    /// The event of a log line that says why it was not written.
    event: &'static str,
    /// Writes apart from the loop: guards against a slow disk that would hold every request up.
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// One that has written nothing yet.
    pub(super) fn new(what: &'static str, event: &'static str) -> Writer {
        Writer {
            what,
            event,
            thread: None,
        }
    }

    /// Does the last writing still go on?
    pub(super) fn is_busy(&self) -> bool {
        self.thread.as_ref().is_some_and(|w| !w.is_finished())
    }

    /// Begins to write the file.
    pub(super) fn begin(&mut self, path: PathBuf, bytes: Vec<u8>) {
        let (what, event) = (self.what, self.event);
        // One that cannot be started is like one that has failed: the next is tried again.
        let thread = std::thread::Builder::new().name(what.into());
        self.thread = thread.spawn(move || write(what, event, &path, &bytes)).ok();
    }

    /// Waits until what was begun is over.
    pub(super) fn wait(&mut self) {
        if let Some(thread) = self.thread.take() {
            // What it could not write, it has told.
            let _ = thread.join();
        }
    }

    /// Writes the file now.
    pub(super) fn write(&self, path: &Path, bytes: &[u8]) {
        write(self.what, self.event, path, bytes);
    }
}

fn write(what: &str, event: &str, path: &Path, bytes: &[u8]) {
    if let Err(e) = replace(path, bytes) {
        let file = path.display();
        tracing::warn!(event, %file, error = %e, "{what} not written");
    }
}
