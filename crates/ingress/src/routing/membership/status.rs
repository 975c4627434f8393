//! What is known of the other ingresses, as the status file stores it.

use roseyard_membership::{Name, Swim, View};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// What is known of the other ingresses, for `roseyard-ingress status`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// This ingress.
    pub name: String,
    /// Where it listens for the others.
    pub address: String,
    /// When this was written, Unix time in milliseconds.
    pub written: u64,
    /// The incarnation of this process: its start, in Unix milliseconds.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Local health: 0 is healthy, 8 the worst.
    pub health: u32,
    /// Who holds its name, while it is rejected for that.
    pub held: Option<String>,
    /// Members that answer, this one included.
    pub seen: usize,
    /// Members that there should be.
    pub expected: usize,
    /// Is that more than half?
    pub quorum: bool,
    /// All members that are remembered.
    pub members: Vec<MemberStatus>,
    /// Datagrams by what became of them, and the protocol's counts.
    pub counts: BTreeMap<String, u64>,
}

/// One member.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: String,
    /// Its state, as seen from here.
    pub standing: String,
    /// Age of the latest message of its own, in milliseconds.
    pub age: u64,
    /// Its incarnation, and how often it refuted a suspicion in it.
    #[serde(rename = "life")]
    pub incarnation: (u64, u32),
    /// Its zone.
    pub zone: String,
    /// Its stage, as it says itself.
    pub stage: String,
}

impl Status {
    /// The state of the protocol at this time; `written` is the Unix time in milliseconds, `counts`
    /// those of the driver.
    pub(super) fn of(
        swim: &Swim,
        written: u64,
        now: Duration,
        mut counts: BTreeMap<String, u64>,
    ) -> Status {
        let local = swim.local();
        let quorum = swim.quorum();
        let protocol = swim.counts();
        for (name, count) in [
            ("probes", protocol.probes),
            ("probes failed", protocol.failed_probes),
            ("suspicions refuted", protocol.refutations),
            ("stalls of its own", protocol.stalls),
            ("records not remembered", protocol.rejected_records),
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
            quorum: quorum.holds(),
            members: swim.views(now).filter_map(member).collect(),
            counts,
        }
    }
}

/// The status of one member; none if nothing but its name is known.
fn member((name, view): (Name, View)) -> Option<MemberStatus> {
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
