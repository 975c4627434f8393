//! The faults, and the findings of a run under a fault.

use comfy_table::{presets::ASCII_MARKDOWN, Table};
use serde::Serialize;

/// Whether one rule was kept under a fault.
#[derive(Clone, Debug, Serialize)]
pub struct Finding {
    /// The name of the fault.
    pub fault: &'static str,
    /// The rule that was checked.
    pub rule: String,
    /// What was observed.
    pub seen: String,
    /// Whether the rule compares times, so that other load on the machine may violate it.
    pub timed: bool,
    /// Whether the rule was kept.
    pub kept: bool,
}

/// Returns the findings as a Markdown table.
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

/// A fault that affects one service, the victim, or a change of the operator's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault: requests arrive directly after the start of the daemon.
    Start,
    /// All servers of the victim die.
    ServersDie,
    /// All servers of the victim drain.
    ServersDrain,
    /// The victim's servers die and are removed; then they come back, half of them cold.
    ComesBackCold,
    /// Clients flood the victim with requests.
    Flood,
    /// Reloads (SIGHUP) move routes between services under load.
    RoutesMove,
    /// Reloads (SIGHUP) replace all services by others, many times.
    Churn,
}

impl Fault {
    /// All faults, in the order in which they are run.
    pub const ALL: [Fault; 7] = [
        Fault::Start,
        Fault::ServersDie,
        Fault::ServersDrain,
        Fault::ComesBackCold,
        Fault::Flood,
        Fault::RoutesMove,
        Fault::Churn,
    ];

    /// Returns the name of the fault in reports.
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

    /// Returns a finding under this fault, of a rule that does not compare times.
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
