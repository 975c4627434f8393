//! The list of servers as discovery last told it.

use crate::clock::Clock;
use crate::protocol::list::{List, Target};
use crate::transport::Key;
use roseyard::{ListUpdate, ServerEntry, ServerId, ServerState};
use std::collections::{BTreeMap, HashMap};
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
    /// Idle connections, the latest used last.
    pub idle: Vec<Key>,
    /// When bytes of it last arrived.
    pub heard: Duration,
}

/// Servers by the number that the module knows them by. A name that comes back after it was removed gets a
/// number of its own.
#[derive(Default)]
pub struct Fleet {
    servers: BTreeMap<ServerId, Server>,
    numbers: HashMap<String, ServerId>,
    next: u32,
    /// Version of the list.
    pub rev: u64,
}

/// What a list changed.
pub struct Change {
    /// For the module.
    pub update: ListUpdate,
    /// Connections that lead to a server that drains, is gone, has restarted or has moved.
    pub stale: Vec<Key>,
    /// Entries that could not be read.
    pub bad: usize,
}

impl Fleet {
    /// A server, if the list has named it.
    pub fn get(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(&id)
    }

    /// A server for change.
    pub fn get_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.servers.get_mut(&id)
    }

    /// Servers that are ready.
    pub fn ready(&self) -> usize {
        self.servers.values().filter(|s| s.state == ServerState::Ready).count()
    }

    /// Takes a list in. Its idle connections to servers that take nothing new, or are not what they were, are
    /// handed back to be closed.
    pub fn apply(&mut self, list: &List, zones: &[String], clock: &Clock) -> Change {
        let mut change = Change { update: ListUpdate::Failed, stale: Vec::new(), bad: 0 };
        let mut entries = Vec::with_capacity(list.targets.len());
        for target in &list.targets {
            match self.entry(target, zones, clock, &mut change.stale) {
                Some(entry) => entries.push(entry),
                None => change.bad += 1,
            }
        }
        if list.all {
            for (id, server) in &mut self.servers {
                if !entries.iter().any(|e| e.server == *id) {
                    server.state = ServerState::Gone;
                    change.stale.append(&mut server.idle);
                }
            }
        }
        let numbers = &mut self.numbers;
        self.servers.retain(|_, s| {
            let gone = s.state == ServerState::Gone;
            if gone {
                numbers.remove(&s.uid);
            }
            !gone
        });
        self.rev = list.rev;
        change.update = if list.all { ListUpdate::Full(entries) } else { ListUpdate::Changes(entries) };
        change
    }

    fn entry(
        &mut self,
        target: &Target,
        zones: &[String],
        clock: &Clock,
        stale: &mut Vec<Key>,
    ) -> Option<ServerEntry> {
        let state = match target.state.as_str() {
            "SERVING" => ServerState::Ready,
            "DRAINING" => ServerState::Draining,
            "DELETED" => ServerState::Gone,
            _ => return None,
        };
        let address: SocketAddr = target.endpoint.parse().ok()?;
        let started = clock.from_unix_ms(target.boot_ms);
        let id = *self.numbers.entry(target.uid.clone()).or_insert_with(|| {
            self.next += 1;
            ServerId(self.next)
        });
        let server = self.servers.entry(id).or_insert_with(|| Server {
            uid: target.uid.clone(),
            address,
            state,
            started,
            idle: Vec::new(),
            heard: Duration::ZERO,
        });
        if state != ServerState::Ready || server.started != started || server.address != address {
            stale.append(&mut server.idle);
        }
        (server.address, server.state, server.started) = (address, state, started);
        Some(ServerEntry {
            server: id,
            zone: zones.iter().position(|z| *z == target.az).unwrap_or(0) as u16,
            cell: target.pod_group,
            state,
            weight: target.capacity_hint,
            started_at: started,
        })
    }
}
