//! The status file, which shows how this ingress sees the other members. The command
//! `roseyard-ingress status` prints it.

use super::file_writer::{unix_ms, FileWriter};
use super::status_table;
use crate::routing::membership::{MembershipDriver, Status};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A status file above this size is not read.
const MAX_FILE_BYTES: u64 = 4 << 20;

/// Writes the status file in the background.
pub struct StatusFile {
    path: PathBuf,
    writer: FileWriter,
}

/// The error of [`show`]: a status file could not be shown.
#[derive(Debug, thiserror::Error)]
#[error("{}: {reason}", path.display())]
pub struct StatusError {
    path: PathBuf,
    reason: StatusErrorReason,
}

/// The reason why a status file cannot be shown.
#[derive(Debug, thiserror::Error)]
enum StatusErrorReason {
    #[error(transparent)]
    Unreadable(#[from] io::Error),
    #[error("status file is longer than 4 MiB")]
    TooLong,
    #[error("invalid status file: {0}")]
    Invalid(#[from] simd_json::Error),
}

impl StatusFile {
    /// Creates a writer for the file at `path`.
    pub fn new(path: &Path) -> StatusFile {
        StatusFile {
            path: path.to_owned(),
            writer: FileWriter::new("status file", "status.write_failed"),
        }
    }

    /// Starts to write the current status, unless the last write is still running.
    pub fn write(&mut self, membership: &MembershipDriver, now: Duration) {
        if self.writer.is_busy() {
            return;
        }
        if let Ok(text) = simd_json::to_string_pretty(&membership.status(unix_ms(), now)) {
            self.writer.start(self.path.clone(), text.into_bytes());
        }
    }
}

/// Reads a status file and returns it as a table, or as unchanged JSON if `json` is set.
pub fn show(path: &Path, json: bool) -> Result<String, StatusError> {
    read(path, json).map_err(|reason| StatusError {
        path: path.to_owned(),
        reason,
    })
}

fn read(path: &Path, json: bool) -> Result<String, StatusErrorReason> {
    if fs::metadata(path)?.len() > MAX_FILE_BYTES {
        return Err(StatusErrorReason::TooLong);
    }
    let text = fs::read_to_string(path)?;
    if json {
        return Ok(text);
    }
    let status: Status = simd_json::from_slice(&mut text.into_bytes())?;
    Ok(status_table::format(&status, unix_ms()))
}
