//! Lists of servers as discovery words them, each server at an address of its own.

use super::targets;
use std::net::{Ipv4Addr, SocketAddr};

const PORT: u16 = 7000;
const ZONES: usize = 13;

/// State of a server in a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It takes work.
    Serving,
    /// It finishes its work.
    Draining,
    /// It is removed.
    Deleted,
}

/// One server of a list. A server that is replaced keeps its address and gets another generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Which of the servers, from 0.
    pub server: usize,
    /// Counts the processes that have been this server.
    pub generation: u32,
    /// Its state.
    pub state: State,
    /// Unix time of its start in milliseconds, 0 for long ago.
    pub started_ms: u64,
}

impl Entry {
    /// A server that has served for long.
    pub fn serving(server: usize) -> Entry {
        Entry { server, generation: 0, state: State::Serving, started_ms: 0 }
    }
}

/// Where a server listens.
pub fn address(server: usize) -> SocketAddr {
    (Ipv4Addr::from_bits(0x7f01_0000 + server as u32), PORT).into()
}

/// Which server listens at an address.
pub fn server_at(address: SocketAddr) -> usize {
    let SocketAddr::V4(at) = address else { return usize::MAX };
    (at.ip().to_bits() - 0x7f01_0000) as usize
}

/// One line of a watch, without its end.
pub fn encode(revision: u64, whole: bool, entries: &[Entry]) -> Vec<u8> {
    let targets: Vec<String> = entries.iter().map(target).collect();
    format!(r#"{{"rev":{revision},"all":{whole},"targets":[{}]}}"#, targets.join(",")).into_bytes()
}

/// The whole list of so many servers.
pub fn whole(servers: usize) -> Vec<u8> {
    encode(1, true, &(0..servers).map(Entry::serving).collect::<Vec<_>>())
}

fn target(entry: &Entry) -> String {
    let state = match entry.state {
        State::Serving => "SERVING",
        State::Draining => "DRAINING",
        State::Deleted => "DELETED",
    };
    let Entry { server, generation, started_ms, .. } = entry;
    let (zone, pod, at) = (server % ZONES, server % 1_000, address(*server));
    format!(
        r#"{{"uid":"fs-{server:05}-{generation}","endpoint":"{at}","az":"zone-{zone:02}","model":"std","pod_group":{pod},"state":"{state}","capacity_hint":1.0,"boot_ms":{started_ms}}}"#
    )
}

/// Sizes of so many services that hold so many servers together: the size falls with the rank by a power law, the
/// largest has what the plan says of it or its even multiple, and none is empty.
pub fn service_sizes(services: usize, servers: usize) -> Vec<usize> {
    if services <= 1 {
        return vec![servers];
    }
    let largest = (targets::LARGEST_SERVICE * servers / targets::SERVERS).clamp(1, servers);
    // The exponent that makes the sizes come to all the servers, found by halving.
    let sizes = |exponent: f64| -> Vec<usize> {
        let of_rank = |rank: usize| largest as f64 / (rank as f64).powf(exponent);
        (1..=services).map(|rank| (of_rank(rank) as usize).max(1)).collect()
    };
    let (mut flat, mut steep) = (0.0, 8.0);
    for _ in 0..60 {
        let middle = (flat + steep) / 2.0;
        if sizes(middle).iter().sum::<usize>() > servers {
            flat = middle;
        } else {
            steep = middle;
        }
    }
    let mut sizes = sizes(steep);
    let missing = servers.saturating_sub(sizes.iter().sum());
    // What rounding has left over goes to the smallest, one each.
    for n in 0..missing {
        sizes[services - 1 - n % services] += 1;
    }
    sizes
}
