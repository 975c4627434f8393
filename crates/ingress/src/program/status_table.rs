//! Formats the membership status as a table for operators.

use crate::routing::membership::{MemberStatus, Status};
use std::fmt::Write;

const COLUMNS: usize = 7;
const HEADINGS: [&str; COLUMNS] = [
    "member", "standing", "heard", "address", "zone", "stage", "life",
];

/// Returns the status as text. Ages are relative to the Unix time `now_unix_ms`.
pub(super) fn format(status: &Status, now_unix_ms: u64) -> String {
    let mut text = summary(status, now_unix_ms);
    let mut rows = vec![HEADINGS.map(String::from)];
    rows.extend(status.members.iter().map(row));
    let widths = widths(&rows);
    for row in &rows {
        push_row(&mut text, row, &widths);
    }
    for (name, count) in &status.counts {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{count:>10}  {name}");
    }
    text
}

fn summary(status: &Status, now_unix_ms: u64) -> String {
    let Status {
        name,
        address,
        health,
        seen,
        expected,
        ..
    } = status;
    let age = seconds(now_unix_ms.saturating_sub(status.written));
    let majority = if status.quorum {
        "a majority"
    } else {
        "no majority"
    };
    let mut text = format!(
        "{name} on {address}, written {age:.1} s ago: {seen} of {expected} answer ({majority}), \
         local health {health}\n"
    );
    if let Some(holder) = &status.held {
        let _ = writeln!(text, "refused: its name is held by a process at {holder}");
    }
    text
}

fn seconds(ms: u64) -> f64 {
    ms as f64 / 1000.0
}

fn row(member: &MemberStatus) -> [String; COLUMNS] {
    [
        member.name.clone(),
        member.standing.clone(),
        format!("{:.1} s", seconds(member.age)),
        member.address.clone(),
        member.zone.clone(),
        member.stage.clone(),
        format!("{}.{}", member.incarnation.0, member.incarnation.1),
    ]
}

fn widths(rows: &[[String; COLUMNS]]) -> [usize; COLUMNS] {
    std::array::from_fn(|column| {
        let lengths = rows.iter().map(|row| row[column].chars().count());
        lengths.max().unwrap_or(0)
    })
}

fn push_row(text: &mut String, row: &[String; COLUMNS], widths: &[usize; COLUMNS]) {
    let cells: Vec<String> = row
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:width$}"))
        .collect();
    text.push_str(cells.join("  ").trim_end());
    text.push('\n');
}
