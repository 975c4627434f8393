//! The list of servers as discovery last told it.

use crate::list::{List, Target};
use roseyard::{ListUpdate, ServerEntry, ServerId, ServerState};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// A server of the list.
pub struct Server {
    uid: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// What discovery last said of it.
    pub state: ServerState,
    started: Option<Duration>,
    /// Version of the latest word on it.
    rev: u64,
    /// What the module was last told of it.
    told: ServerEntry,
}

/// Servers by the number that the module knows them by. A name that comes back after it was removed gets a
/// number of its own.
#[derive(Default)]
pub struct Fleet {
    servers: BTreeMap<ServerId, Server>,
    numbers: HashMap<String, ServerId>,
    /// Servers that were told gone: the version that told it, and when they had started. The latest.
    gone: VecDeque<(String, u64, Option<Duration>)>,
    next: u32,
    /// Version of the list.
    pub rev: u64,
}

/// So many of the servers that are gone are kept in mind: far more than are replaced while an agent is behind.
const GONE: usize = 512;

/// FNV-1a: the same at every ingress, whatever order it heard of the servers in.
fn rank(uid: &str) -> u64 {
    uid.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// What a list changed.
pub(crate) struct Change {
    /// For the module.
    pub update: ListUpdate,
    /// Servers that drain, are gone, have restarted or have moved: idle connections to them are of no more use.
    pub stale: Vec<ServerId>,
    /// Entries that could not be read.
    pub bad: usize,
}

impl Fleet {
    /// A server, if the list has named it.
    pub fn get(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(&id)
    }

    /// Servers that are ready.
    pub fn ready(&self) -> usize {
        self.servers.values().filter(|s| s.state == ServerState::Ready).count()
    }

    /// Takes a list in; `started` turns a Unix time in milliseconds into one of the engine's.
    pub(crate) fn apply(
        &mut self,
        list: &List,
        zones: &[String],
        started: impl Fn(f64) -> Option<Duration>,
    ) -> Change {
        let mut change = Change { update: ListUpdate::Failed, stale: Vec::new(), bad: list.unreadable };
        let mut entries = Vec::with_capacity(list.targets.len());
        for target in &list.targets {
            if self.outdated(target, list.rev, started(target.boot_ms)) {
                continue;
            }
            match self.entry(target, list.rev, zones, &started, &mut change.stale) {
                Some((entry, settled)) => {
                    if settled {
                        self.supersede(entry.server, &mut entries, &mut change.stale);
                    }
                    entries.push(entry);
                }
                None => change.bad += 1,
            }
        }
        if list.all {
            let listed: HashSet<ServerId> = entries.iter().map(|e| e.server).collect();
            for (id, server) in self.servers.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                if server.rev <= list.rev {
                    server.state = ServerState::Gone;
                    change.stale.push(*id);
                } else {
                    // Guards against an agent that is behind, or has nothing yet: what it lacks is newer than its list,
                    // is kept, and is told to the module with the rest.
                    entries.push(server.told.clone());
                }
            }
        }
        let (numbers, remembered) = (&mut self.numbers, &mut self.gone);
        self.servers.retain(|_, s| {
            let gone = s.state == ServerState::Gone;
            if gone {
                numbers.remove(&s.uid);
                remembered.push_back((s.uid.clone(), s.rev.max(list.rev), s.started));
            }
            !gone
        });
        while self.gone.len() > GONE {
            self.gone.pop_front();
        }
        self.rev = list.rev;
        change.update = if list.all { ListUpdate::Full(entries) } else { ListUpdate::Changes(entries) };
        change
    }

    /// Guards against an agent that is behind: an older word that a server serves does not bring back one that was
    /// told to leave since, nor the time of its start before the last. One that has started since counts.
    fn outdated(&self, target: &Target, rev: u64, started: Option<Duration>) -> bool {
        let later = |told: u64, since: Option<Duration>| rev < told && started <= since;
        let held = self.numbers.get(&target.uid).and_then(|id| self.servers.get(id));
        target.state == "SERVING"
            && (held.is_some_and(|s| later(s.rev, s.started))
                || self.gone.iter().any(|(uid, told, since)| later(*told, *since) && *uid == target.uid))
    }

    /// Guards against a new server at the address of one that is gone but was not told gone: the old one's
    /// connections, load and health are not the new one's.
    fn supersede(&mut self, by: ServerId, entries: &mut Vec<ServerEntry>, stale: &mut Vec<ServerId>) {
        let Some(address) = self.servers.get(&by).map(|s| s.address) else { return };
        for (id, old) in self.servers.iter_mut().filter(|(id, s)| **id != by && s.address == address) {
            old.state = ServerState::Gone;
            stale.push(*id);
            entries.retain(|e| e.server != old.told.server);
            entries.push(ServerEntry { state: ServerState::Gone, ..old.told.clone() });
        }
    }

    /// Takes an entry in; true if a ready server has settled at an address that was not its own.
    fn entry(
        &mut self,
        target: &Target,
        rev: u64,
        zones: &[String],
        started: &impl Fn(f64) -> Option<Duration>,
        stale: &mut Vec<ServerId>,
    ) -> Option<(ServerEntry, bool)> {
        let state = match target.state.as_str() {
            "SERVING" => ServerState::Ready,
            "DRAINING" => ServerState::Draining,
            "DELETED" => ServerState::Gone,
            _ => return None,
        };
        // Where one that leaves listens is known: word of its leaving counts whatever else cannot be read.
        let held = self.numbers.get(&target.uid).and_then(|id| self.servers.get(id));
        let held = held.filter(|_| state != ServerState::Ready).map(|s| s.address);
        let address: SocketAddr = target.endpoint.parse().ok().or(held)?;
        let started = started(target.boot_ms);
        let id = *self.numbers.entry(target.uid.clone()).or_insert_with(|| {
            self.next += 1;
            ServerId(self.next)
        });
        let told = ServerEntry {
            server: id,
            zone: zones.iter().position(|z| *z == target.az).unwrap_or(0) as u16,
            cell: target.pod_group,
            state,
            weight: target.capacity_hint,
            rank: rank(&target.uid),
            started_at: started,
        };
        let known = self.servers.get(&id).map(|s| s.address);
        let server = self.servers.entry(id).or_insert_with(|| Server {
            uid: target.uid.clone(),
            address,
            state,
            started,
            rev,
            told: told.clone(),
        });
        if state != ServerState::Ready || server.started != started || server.address != address {
            stale.push(id);
        }
        (server.address, server.state, server.started, server.told) = (address, state, started, told.clone());
        server.rev = server.rev.max(rev);
        Some((told, state == ServerState::Ready && known != Some(address)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn started(ms: f64) -> Option<Duration> {
        Duration::try_from_secs_f64(ms / 1000.0).ok().filter(|d| !d.is_zero())
    }

    fn list(rev: u64, all: bool, entries: &[(&str, &str, u64, f64)]) -> List {
        let target = |(uid, state, port, boot_ms): &(&str, &str, u64, f64)| Target {
            uid: (*uid).into(),
            endpoint: format!("127.0.0.1:{port}"),
            az: "b".into(),
            pod_group: 3,
            state: (*state).into(),
            capacity_hint: 1.0,
            boot_ms: *boot_ms,
        };
        List { rev, all, targets: entries.iter().map(target).collect(), unreadable: 0 }
    }

    #[test]
    fn a_server_keeps_its_number_until_it_is_gone_and_a_full_list_ends_those_it_lacks() {
        let mut fleet = Fleet::default();
        let zones = ["a".to_owned(), "b".to_owned()];
        let mut apply = |l: &List| fleet.apply(l, &zones, started).update;
        let first = [("s-1", "SERVING", 7001, 0.0), ("s-2", "SERVING", 7002, 0.0)];
        let ListUpdate::Full(entries) = apply(&list(1, true, &first)) else { panic!() };
        assert_eq!((entries[0].zone, entries[0].cell), (1, 3));
        let ids = [entries[0].server, entries[1].server];
        let ListUpdate::Changes(entries) = apply(&list(2, false, &[("s-2", "DRAINING", 7002, 0.0)])) else {
            panic!()
        };
        assert_eq!((entries[0].server, entries[0].state), (ids[1], ServerState::Draining));
        apply(&list(3, true, &[("s-1", "SERVING", 7001, 0.0)]));
        let ListUpdate::Changes(entries) = apply(&list(4, false, &[("s-2", "SERVING", 7002, 0.0)])) else {
            panic!()
        };
        assert!(!ids.contains(&entries[0].server), "a number is never used again");
        assert_eq!((fleet.ready(), fleet.rev), (2, 4));
    }

    #[test]
    fn idle_connections_go_with_what_they_led_to() {
        let booted = 4_000_000_000_000.0;
        for (state, port, boot_ms) in [
            ("DRAINING", 7001, 0.0),
            ("SERVING", 7009, 0.0),
            ("SERVING", 7001, booted),
            ("DELETED", 7001, 0.0),
        ] {
            let mut fleet = Fleet::default();
            fleet.apply(&list(1, true, &[("s-1", "SERVING", 7001, 0.0)]), &[], started);
            let same = fleet.apply(&list(2, false, &[("s-1", "SERVING", 7001, 0.0)]), &[], started);
            assert!(same.stale.is_empty());
            let change = fleet.apply(&list(3, false, &[("s-1", state, port, boot_ms)]), &[], started);
            assert_eq!(change.stale, [ServerId(1)], "{state} {port} {boot_ms}");
        }
    }

    #[test]
    fn a_new_server_at_an_old_address_is_another_and_the_old_one_is_gone() {
        let mut fleet = Fleet::default();
        fleet.apply(&list(1, true, &[("s-1", "SERVING", 7001, 0.0)]), &[], started);
        let change = fleet.apply(&list(2, false, &[("s-2", "SERVING", 7001, 0.0)]), &[], started);
        let ListUpdate::Changes(entries) = change.update else { panic!() };
        let told: Vec<_> = entries.iter().map(|e| (e.server.0, e.state, e.cell)).collect();
        assert_eq!(told, [(1, ServerState::Gone, 3), (2, ServerState::Ready, 3)]);
        assert_eq!(change.stale, [ServerId(1)], "its connections go with it");
        assert!(fleet.get(ServerId(1)).is_none() && fleet.get(ServerId(2)).is_some());
    }

    #[test]
    fn an_entry_that_cannot_be_read_leaves_the_others() {
        let mut fleet = Fleet::default();
        let mut odd = list(1, true, &[("s-1", "SERVING", 7001, 0.0), ("s-2", "ODD", 7002, 0.0)]);
        odd.targets[1].boot_ms = f64::NAN;
        let change = fleet.apply(&odd, &[], started);
        assert_eq!((change.bad, fleet.ready()), (1, 1));
    }

    #[test]
    fn word_that_a_server_leaves_counts_whatever_else_cannot_be_read() {
        let mut fleet = Fleet::default();
        fleet.apply(
            &list(1, true, &[("s-1", "SERVING", 7001, 0.0), ("s-2", "SERVING", 7002, 0.0)]),
            &[],
            started,
        );
        let mut odd = list(2, false, &[("s-2", "DRAINING", 7002, 0.0)]);
        odd.targets[0].endpoint = "nowhere".into();
        let change = fleet.apply(&odd, &[], started);
        assert_eq!((change.bad, fleet.ready(), change.stale), (0, 1, vec![ServerId(2)]));
        odd.targets[0].uid = "s-3".into();
        let change = fleet.apply(&odd, &[], started);
        assert_eq!((change.bad, fleet.ready()), (1, 1), "one that was never named is no server");
    }
}
