//! The log of a daemon, in which tests wait for lines. It spans restarts of the process.

use std::io;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How long tests wait for an expected event before they fail.
pub const MAX_WAIT: Duration = Duration::from_secs(30);

/// The lines that all processes of a daemon have logged so far.
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

    /// Returns the number of lines so far, which is the index of the next line.
    #[must_use]
    pub fn line_count(&self) -> usize {
        self.lines().len()
    }

    /// Returns the lines from this index on.
    #[must_use]
    pub fn lines_from(&self, start: usize) -> Vec<String> {
        self.lines()[start..].to_vec()
    }

    /// Waits until a line from index `start` on contains `text`, and returns the first such line.
    /// After `max_wait`, the error shows the lines from `start` on.
    pub fn wait_for_line(
        &self,
        start: usize,
        text: &str,
        max_wait: Duration,
    ) -> io::Result<String> {
        let deadline = Instant::now() + max_wait;
        let mut lines = self.lines();
        loop {
            if let Some(line) = lines[start..].iter().find(|line| line.contains(text)) {
                return Ok(line.clone());
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                let logged = lines[start..].join("\n");
                return Err(io::Error::other(format!(
                    "no line with '{text}' within {max_wait:?}; logged instead:\n{logged}"
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
