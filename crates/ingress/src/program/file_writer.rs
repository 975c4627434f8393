//! Replaces small files atomically without blocking the event loop.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::thread::JoinHandle;
use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the current Unix time in milliseconds.
pub(super) fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

/// Writes one file repeatedly. Each write runs on a separate thread, so that a slow disk does not
/// delay requests. A failed write is logged and not retried until the next one is due.
pub(super) struct FileWriter {
    /// Description of the file, used as the thread's name and in log messages.
    description: &'static str,
    /// Event name of the log line for a failed write.
    failure_event: &'static str,
    thread: Option<JoinHandle<()>>,
}

impl FileWriter {
    /// Creates a writer. Nothing is written until [`FileWriter::start`].
    pub(super) fn new(description: &'static str, failure_event: &'static str) -> FileWriter {
        FileWriter {
            description,
            failure_event,
            thread: None,
        }
    }

    /// Returns whether the last write is still running.
    pub(super) fn is_busy(&self) -> bool {
        self.thread
            .as_ref()
            .is_some_and(|thread| !thread.is_finished())
    }

    /// Starts to replace the file on a new thread.
    pub(super) fn start(&mut self, path: PathBuf, bytes: Vec<u8>) {
        let description = self.description;
        let failure_event = self.failure_event;
        let thread = std::thread::Builder::new().name(description.into());
        self.thread = thread
            .spawn(move || replace_or_log(description, failure_event, &path, &bytes))
            .ok();
    }

    /// Waits until the last write has finished.
    pub(super) fn wait(&mut self) {
        if let Some(thread) = self.thread.take() {
            // The thread logs a failed write itself.
            let _ = thread.join();
        }
    }

    /// Replaces the file on the calling thread.
    pub(super) fn write_now(&self, path: &Path, bytes: &[u8]) {
        replace_or_log(self.description, self.failure_event, path, bytes);
    }
}

fn replace_or_log(description: &str, event: &str, path: &Path, bytes: &[u8]) {
    if let Err(error) = replace(path, bytes) {
        let file = path.display();
        tracing::warn!(event, %file, %error, "{description} not written");
    }
}

/// Writes a temporary file next to the target and renames it, so that readers always see either the
/// complete old or the complete new content.
fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let temporary = path.with_extension("new");
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&temporary, path)?;
    let directory = path
        .parent()
        .filter(|directory| !directory.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    File::open(directory)?.sync_all()
}
