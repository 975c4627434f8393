//! The daemons to which clients open new connections, as the platform's load balancer would.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A daemon that accepts new connections, with its fault counts when a client chose it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Target {
    pub member: usize,
    pub address: SocketAddr,
    /// The number of times its process had crashed: SIGKILL without a preceding SIGTERM.
    pub crashes: u64,
    /// The number of times its process had been killed because it did not exit in time.
    pub kills: u64,
}

struct Member {
    /// The address for new connections; `None` if the member accepts none.
    address: Option<SocketAddr>,
    crashes: u64,
    kills: u64,
}

/// The addresses and fault counts of all daemons, shared by the clients and the soak runner.
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

    /// Sets the address of a member for new connections; with `None`, clients open none.
    pub(super) fn set_address(&self, member: usize, address: Option<SocketAddr>) {
        self.lock()[member].address = address;
    }

    /// Records that the process of a member is about to be killed without SIGTERM.
    pub(super) fn record_crash(&self, member: usize) {
        let mut members = self.lock();
        members[member].address = None;
        members[member].crashes += 1;
    }

    /// Records that the process of a member is about to be killed because it did not exit in time.
    pub(super) fn record_kill(&self, member: usize) {
        self.lock()[member].kills += 1;
    }

    /// Returns all members that accept new connections.
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

    /// Whether the process of this target has crashed since the target was chosen.
    pub(super) fn has_crashed(&self, target: &Target) -> bool {
        self.lock()[target.member].crashes != target.crashes
    }

    /// Whether the process of this target has been killed because it did not exit in time since the
    /// target was chosen.
    pub(super) fn was_killed(&self, target: &Target) -> bool {
        self.lock()[target.member].kills != target.kills
    }
}
