//! Small files that are replaced as a whole, without holding up the event loop.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::thread::JoinHandle;
use std::time::{SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds.
pub(super) fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

/// Writes one kind of file again and again, on a thread of its own: a slow disk must not hold up
/// requests. A failed write is logged, and the next one tries again.
pub(super) struct FileWriter {
    /// What is written: names the thread and stands in log lines.
    content: &'static str,
    /// The event of the log line for a failed write.
    failure_event: &'static str,
    thread: Option<JoinHandle<()>>,
}

impl FileWriter {
    /// A writer that has written nothing yet.
    pub(super) fn new(content: &'static str, failure_event: &'static str) -> FileWriter {
        FileWriter {
            content,
            failure_event,
            thread: None,
        }
    }

    /// Is the last write still running?
    pub(super) fn is_busy(&self) -> bool {
        self.thread
            .as_ref()
            .is_some_and(|thread| !thread.is_finished())
    }

    /// Starts to replace the file.
    pub(super) fn start(&mut self, path: PathBuf, bytes: Vec<u8>) {
        let content = self.content;
        let failure_event = self.failure_event;
        let thread = std::thread::Builder::new().name(content.into());
        self.thread = thread
            .spawn(move || replace_or_log(content, failure_event, &path, &bytes))
            .ok();
    }

    /// Waits for the write that was started.
    pub(super) fn wait(&mut self) {
        if let Some(thread) = self.thread.take() {
            // A failure is logged by the thread itself.
            let _ = thread.join();
        }
    }

    /// Replaces the file before it returns.
    pub(super) fn write_now(&self, path: &Path, bytes: &[u8]) {
        replace_or_log(self.content, self.failure_event, path, bytes);
    }
}

fn replace_or_log(content: &str, event: &str, path: &Path, bytes: &[u8]) {
    if let Err(error) = replace(path, bytes) {
        let file = path.display();
        tracing::warn!(event, %file, %error, "{content} not written");
    }
}

/// Writes a file beside the old one and renames it: readers find either of them complete.
fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let temporary = path.with_extension("new");
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&temporary, path)?;
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}
