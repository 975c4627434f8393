//! The members of a fleet by index: their names, addresses, records and protocol states.

use roseyard_membership::{
    wire, Authenticator, Event, Key, Metadata, Name, Received, Record, Settings, Stage, Status,
    Swim,
};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// The time from sending a datagram to its arrival.
pub(super) const NETWORK_LATENCY: Duration = Duration::from_millis(2);
pub(super) const GENERATION: u64 = 1_700_000_000_000;
const PORT: u16 = 7946;
const FIRST_ADDRESS: u32 = u32::from_be_bytes([127, 1, 0, 0]);
/// The number of members that are configured as seeds.
const SEEDS: usize = 3;
/// The minimum of the configured limit of members, which is larger than a small fleet.
const MIN_MAX_MEMBERS: usize = 1024;

/// A datagram in flight.
pub(super) struct Datagram {
    /// The index of the receiver.
    pub to: usize,
    /// The index of the sender.
    pub from: usize,
    /// The sealed contents.
    pub bytes: Vec<u8>,
}

impl Datagram {
    /// Verifies and decodes the datagram like its receiver. Returns `None` if it is invalid.
    pub(super) fn open(&self, authenticator: &mut Authenticator) -> Option<Event> {
        let opened = authenticator.open(&self.bytes).ok()?;
        let contents = wire::decode(opened.body)?;
        Some(Event::Received(Received {
            source: address(self.from),
            sender: opened.sender,
            generation: opened.generation,
            message: contents.message,
            updates: contents.records,
        }))
    }
}

fn name(number: usize) -> Name {
    Name::from(&format!("n{number}")).expect("a short name")
}

fn address(number: usize) -> SocketAddr {
    (Ipv4Addr::from_bits(FIRST_ADDRESS + number as u32), PORT).into()
}

pub(super) fn number_at(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        return usize::MAX;
    };
    (address.ip().to_bits() - FIRST_ADDRESS) as usize
}

pub(super) fn record(number: usize, generation: u64) -> Record {
    Record {
        name: name(number),
        address: address(number),
        generation,
        incarnation: 0,
        status: Status::Alive,
        metadata_version: 0,
        metadata: Metadata {
            stage: Stage::Serving,
            ..Metadata::default()
        },
    }
}

fn settings(members: usize) -> Settings {
    Settings {
        max_members: members.max(MIN_MAX_MEMBERS),
        seeds: (0..SEEDS).map(address).collect(),
        ..Settings::new(members)
    }
}

/// Returns the authenticator of a member that can receive from `members` peers.
pub(super) fn authenticator(number: usize, members: usize) -> Authenticator {
    Authenticator::new("scale", vec![Key::new(&[7; 32])], name(number), members + 1)
}

/// Returns the initial protocol state of a member in a fleet of `members`.
pub(super) fn swim(number: usize, members: usize, seed: u64) -> Swim {
    let local = record(number, GENERATION);
    Swim::new(
        settings(members),
        local.name,
        local.address,
        local.generation,
        local.metadata,
        seed,
    )
}
