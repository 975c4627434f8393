//! The daemons as the platform's front sees them.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// One daemon that accepts new connections.
#[derive(Clone, Copy, Debug)]
pub(super) struct Target {
    pub member: usize,
    pub address: SocketAddr,
    /// How often its process had been killed without a warning.
    pub crashes: u64,
    /// How often it had been killed because it did not end in time.
    pub kills: u64,
}

struct Member {
    /// Where new connections go, if it accepts any.
    address: Option<SocketAddr>,
    crashes: u64,
    kills: u64,
}

/// The daemons that accept new connections, and the crashes of each.
pub(super) struct Targets(Mutex<Vec<Member>>);

impl Targets {
    pub(super) fn new(addresses: impl Iterator<Item = Option<SocketAddr>>) -> Targets {
        let member = |address| Member {
            address,
            crashes: 0,
            kills: 0,
        };
        Targets(Mutex::new(addresses.map(member).collect()))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Member>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// New connections go to this address of a member from now on, if any.
    pub(super) fn set_address(&self, member: usize, address: Option<SocketAddr>) {
        self.lock()[member].address = address;
    }

    /// A member's process is killed without a warning.
    pub(super) fn crash(&self, member: usize) {
        let mut members = self.lock();
        members[member].address = None;
        members[member].crashes += 1;
    }

    /// A member's process is killed because it has not ended in time.
    pub(super) fn kill(&self, member: usize) {
        self.lock()[member].kills += 1;
    }

    /// All that accept new connections.
    pub(super) fn accepting(&self) -> Vec<Target> {
        let members = self.lock();
        let targets = members.iter().enumerate().filter_map(|(number, member)| {
            member.address.map(|address| Target {
                member: number,
                address,
                crashes: member.crashes,
                kills: member.kills,
            })
        });
        targets.collect()
    }

    /// Whether new connections still go to this target.
    pub(super) fn is_accepting(&self, target: &Target) -> bool {
        self.lock()[target.member].address == Some(target.address)
    }

    /// Whether the target's process has been killed without a warning.
    pub(super) fn has_crashed(&self, target: &Target) -> bool {
        self.lock()[target.member].crashes != target.crashes
    }

    /// Whether the target's process has been killed because it did not end in time.
    pub(super) fn was_killed(&self, target: &Target) -> bool {
        self.lock()[target.member].kills != target.kills
    }
}
