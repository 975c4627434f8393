//! The log of a daemon over all of its processes, in which tests wait for lines.

use std::io;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Longest wait for an expected event.
pub const MAX_WAIT: Duration = Duration::from_secs(30);

/// The lines that a daemon has logged, over all of its processes.
#[derive(Default)]
pub struct DaemonLog {
    lines: Mutex<Vec<String>>,
    line_added: Condvar,
}

impl DaemonLog {
    fn lines(&self) -> MutexGuard<'_, Vec<String>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn push(&self, line: String) {
        self.lines().push(line);
        self.line_added.notify_all();
    }

    /// The number of lines so far, which is the number of the next line.
    #[must_use]
    pub fn line_count(&self) -> usize {
        self.lines().len()
    }

    /// The lines from this number on.
    #[must_use]
    pub fn lines_from(&self, mark: usize) -> Vec<String> {
        self.lines()[mark..].to_vec()
    }

    /// Waits for a line from this number on that contains the text. An error shows the lines that
    /// were logged instead.
    pub fn wait_for_line(&self, mark: usize, text: &str, max_wait: Duration) -> io::Result<String> {
        let deadline = Instant::now() + max_wait;
        let mut lines = self.lines();
        loop {
            if let Some(line) = lines[mark..].iter().find(|line| line.contains(text)) {
                return Ok(line.clone());
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                let logged = lines[mark..].join("\n");
                return Err(io::Error::other(format!(
                    "never logged: '{text}'; what was:\n{logged}"
                )));
            }
            lines = self
                .line_added
                .wait_timeout(lines, remaining)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}
