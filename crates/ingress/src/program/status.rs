//! `roseyard-ingress status`: what an ingress wrote of the others, and showing it.

use super::files::{unix_ms, Writer};
use crate::routing::membership::{MembershipDriver, Status};
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Longest file that is read.
const MOST_BYTES: u64 = 4 << 20;

/// Writes the status file.
pub struct Keeper {
    path: PathBuf,
    writer: Writer,
}

impl Keeper {
    /// A keeper of this file.
    pub fn new(path: &Path) -> Keeper {
        Keeper {
            path: path.to_owned(),
            writer: Writer::new("status file", "status.write_failed"),
        }
    }

    /// Writes what is known now, unless the last writing still goes on.
    pub fn write(&mut self, members: &MembershipDriver, now: Duration) {
        if self.writer.is_busy() {
            return;
        }
        if let Ok(text) = simd_json::to_string_pretty(&members.status(unix_ms(), now)) {
            self.writer.begin(self.path.clone(), text.into_bytes());
        }
    }
}

/// What a status file tells, as it is or as a table.
pub fn show(path: &Path, json: bool) -> Result<String, String> {
    let named = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    if fs::metadata(path).map_err(|e| named(&e))?.len() > MOST_BYTES {
        return Err(named(&"longer than 4 MiB"));
    }
    let text = fs::read_to_string(path).map_err(|e| named(&e))?;
    if json {
        return Ok(text);
    }
    let mut bytes = text.into_bytes();
    let status: Status =
        simd_json::from_slice(&mut bytes).map_err(|e| named(&format!("no status: {e}")))?;
    Ok(table(&status, unix_ms()))
}

fn table(status: &Status, now: u64) -> String {
    let Status {
        name,
        address,
        health,
        seen,
        expected,
        ..
    } = status;
    let age = now.saturating_sub(status.written) as f64 / 1000.0;
    let side = if status.quorum {
        "a majority"
    } else {
        "no majority"
    };
    let mut out = format!(
        "{name} on {address}, written {age:.1} s ago: {seen} of {expected} answer ({side}), local health {health}\n"
    );
    if let Some(by) = &status.held {
        out += &format!("refused: its name is held by a process at {by}\n");
    }
    let mut rows = vec![[
        "member", "standing", "heard", "address", "zone", "stage", "life",
    ]
    .map(String::from)];
    for m in &status.members {
        let heard = format!("{:.1} s", m.age as f64 / 1000.0);
        let incarnation = format!("{}.{}", m.incarnation.0, m.incarnation.1);
        let (address, zone, stage) = (m.address.clone(), m.zone.clone(), m.stage.clone());
        rows.push([
            m.name.clone(),
            m.standing.clone(),
            heard,
            address,
            zone,
            stage,
            incarnation,
        ]);
    }
    let wide: Vec<usize> = (0..7)
        .map(|c| rows.iter().map(|r| r[c].chars().count()).max().unwrap_or(0))
        .collect();
    for row in rows {
        let cells: Vec<String> = row
            .iter()
            .zip(&wide)
            .map(|(cell, w)| format!("{cell:w$}", w = *w))
            .collect();
        out += cells.join("  ").trim_end();
        out.push('\n');
    }
    for (what, n) in &status.counts {
        out += &format!("{n:>10}  {what}\n");
    }
    out
}
