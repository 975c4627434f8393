//! The state of the members of the cluster, as the status file stores it in JSON.

use roseyard_membership::{MemberView, Name, Swim};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// The state of the cluster as this ingress sees it. `roseyard-ingress status` prints it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Name of this ingress.
    pub name: String,
    /// Address on which this ingress receives membership datagrams.
    pub address: String,
    /// When the status was written, as Unix time in milliseconds.
    pub written: u64,
    /// When this process started, as Unix time in milliseconds.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Local health score, from 0 (healthy) to 8 (worst).
    pub health: u32,
    /// Address of the process that uses the same name, while this one cannot join because of it.
    pub held: Option<String>,
    /// The number of members that are alive, including this one; 0 during a name conflict.
    pub seen: usize,
    /// The number of members that the operator's file expects.
    pub expected: usize,
    /// Whether `seen` is more than half of `expected`.
    pub quorum: bool,
    /// All other members of which this ingress has a record.
    pub members: Vec<MemberStatus>,
    /// Counts of datagrams and of protocol events since the start, by name.
    pub counts: BTreeMap<String, u64>,
}

/// The state of another member as this ingress sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the member.
    pub name: String,
    /// Address on which the member receives membership datagrams.
    pub address: String,
    /// The member's state: alive, suspected, gone, left or never seen.
    pub standing: String,
    /// Milliseconds since a message from the member itself was last received.
    pub age: u64,
    /// When the member's process started, as Unix time in milliseconds, and how often it has
    /// refuted a suspicion since.
    #[serde(rename = "life")]
    pub incarnation: (u64, u32),
    /// Zone that the member announces; empty if it has none.
    pub zone: String,
    /// Stage that the member announces: starting, serving or leaving.
    pub stage: String,
}

impl Status {
    /// Returns the state of the protocol at `now`. `written` is the current Unix time in
    /// milliseconds; `counts` are those of the driver, to which the counts of the protocol are
    /// added.
    pub(super) fn from_swim(
        swim: &Swim,
        written: u64,
        now: Duration,
        mut counts: BTreeMap<String, u64>,
    ) -> Status {
        let local = swim.local();
        let quorum = swim.quorum();
        let protocol_counts = swim.counts();
        for (name, count) in [
            ("probes", protocol_counts.probes),
            ("probes failed", protocol_counts.failed_probes),
            ("suspicions refuted", protocol_counts.refutations),
            ("stalls of its own", protocol_counts.stalls),
            ("records not remembered", protocol_counts.rejected_records),
        ] {
            counts.insert(name.into(), count);
        }
        Status {
            name: local.name.to_string(),
            address: local.address.to_string(),
            written,
            incarnation: local.generation,
            health: swim.local_health(),
            held: swim.name_conflict().map(|holder| holder.to_string()),
            seen: quorum.seen,
            expected: quorum.expected,
            quorum: quorum.has_majority(),
            members: swim.views(now).filter_map(member_status).collect(),
            counts,
        }
    }
}

/// Returns the status of a member; `None` if there is no record of it.
fn member_status((name, view): (Name, MemberView)) -> Option<MemberStatus> {
    let record = view.record?;
    Some(MemberStatus {
        name: name.to_string(),
        address: record.address.to_string(),
        standing: view.state.as_str().into(),
        age: view.age.map_or(0, |age| age.as_millis() as u64),
        incarnation: (record.generation, record.incarnation),
        zone: record.metadata.zone.to_string(),
        stage: format!("{:?}", record.metadata.stage).to_lowercase(),
    })
}
