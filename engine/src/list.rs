//! The list of servers as discovery and the configuration word it.

use serde::Deserialize;

/// One list, or the changes since another.
#[derive(Clone, Debug, Deserialize)]
pub struct List {
    /// Its version.
    #[serde(default)]
    pub rev: u64,
    /// Is it the whole list?
    #[serde(default)]
    pub all: bool,
    /// Its entries.
    #[serde(default)]
    pub targets: Vec<Target>,
}

/// One server.
#[derive(Clone, Debug, Deserialize)]
pub struct Target {
    /// Its name, the same at every ingress.
    pub uid: String,
    /// Where it listens for this ingress.
    pub endpoint: String,
    /// Its zone.
    #[serde(default)]
    pub az: String,
    /// Its pod.
    #[serde(default)]
    pub pod_group: u16,
    /// `SERVING`, `DRAINING` or `DELETED`.
    pub state: String,
    /// Its size beside the others.
    #[serde(default = "one")]
    pub capacity_hint: f64,
    /// Unix time of its start in milliseconds, or 0.
    #[serde(default)]
    pub boot_ms: f64,
}

fn one() -> f64 {
    1.0
}
