//! The faults, and what is found under each.

use comfy_table::{presets::ASCII_MARKDOWN, Table};
use serde::Serialize;

/// A rule, and what was observed of it.
#[derive(Clone, Debug, Serialize)]
pub struct Finding {
    /// The fault.
    pub fault: &'static str,
    /// The rule.
    pub rule: String,
    /// What was observed.
    pub seen: String,
    /// Does it compare times? Whatever else the machine does may violate such a rule.
    pub timed: bool,
    /// Was it kept?
    pub kept: bool,
}

/// Findings as a table in Markdown.
#[must_use]
pub fn table(findings: &[Finding]) -> String {
    let mut table = Table::new();
    table
        .load_preset(ASCII_MARKDOWN)
        .set_header(["fault", "rule", "seen", "kept"]);
    for finding in findings {
        let kept = if finding.kept { "yes" } else { "NO" };
        table.add_row([finding.fault, &finding.rule, &finding.seen, kept]);
    }
    table.to_string()
}

/// A fault of one service, the victim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// None but that the daemon has just started.
    Start,
    /// All of its servers die.
    ServersDie,
    /// All of its servers drain.
    ServersDrain,
    /// Its servers die and are removed; then they come back, half of them cold.
    ComesBackCold,
    /// Clients flood it.
    Flood,
    /// Routes move between services under load, by SIGHUP.
    RoutesMove,
    /// All services are replaced by others, many times, by SIGHUP.
    Churn,
}

impl Fault {
    /// All of them.
    pub const ALL: [Fault; 7] = [
        Fault::Start,
        Fault::ServersDie,
        Fault::ServersDrain,
        Fault::ComesBackCold,
        Fault::Flood,
        Fault::RoutesMove,
        Fault::Churn,
    ];

    pub(super) fn name(self) -> &'static str {
        match self {
            Fault::Start => "the daemon has just started",
            Fault::ServersDie => "all servers of a service die",
            Fault::ServersDrain => "all servers of a service drain",
            Fault::ComesBackCold => "a service comes back, half of it cold",
            Fault::Flood => "a flood on one service",
            Fault::RoutesMove => "routes move between services",
            Fault::Churn => "services churn",
        }
    }

    pub(super) fn finding(
        self,
        rule: impl Into<String>,
        seen: impl Into<String>,
        kept: bool,
    ) -> Finding {
        Finding {
            fault: self.name(),
            rule: rule.into(),
            seen: seen.into(),
            timed: false,
            kept,
        }
    }
}
