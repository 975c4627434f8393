//! The failure detector: in each probe interval one member is pinged directly, and then, if it does
//! not answer in time, through other members.

use super::members::MemberTable;
use super::suspicion::name_hash;
use super::Swim;
use crate::event::Action;
use crate::record::{Name, Record, Status};
use crate::wire::Message;
use std::time::Duration;

/// The probe that is in progress.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    target: Name,
    sequence: u32,
    /// Number of members that were requested to ping the target.
    ping_reqs: u32,
    /// Number of these members that answered with a nack.
    nacks: u32,
    /// When other members will be requested to ping the target; `None` once that is done.
    indirect_probe_at: Option<Duration>,
    ends_at: Duration,
}

impl Probe {
    /// Returns when the indirect probe begins or, if that has begun, when the probe ends.
    pub(super) fn next_deadline(&self) -> Duration {
        self.ends_at
            .min(self.indirect_probe_at.unwrap_or(Duration::MAX))
    }

    /// Moves the deadlines forward by the duration of a stall of this process.
    pub(super) fn postpone(&mut self, stall: Duration) {
        self.ends_at += stall;
        self.indirect_probe_at = self.indirect_probe_at.map(|at| at + stall);
    }
}

/// The order in which members are probed. Each member is probed once in a round, in random order,
/// which bounds the time until a failure is detected.
#[derive(Clone, Debug, Default)]
pub(super) struct ProbeOrder {
    names: Vec<Name>,
    next: usize,
}

impl ProbeOrder {
    /// Inserts a new member at a random position in the rest of the round.
    pub(super) fn insert(&mut self, name: Name, rng: &mut fastrand::Rng) {
        let position = rng.usize(self.next.min(self.names.len())..=self.names.len());
        self.names.insert(position, name);
    }

    /// Returns the member to probe next; `None` if no other member runs.
    fn next(&mut self, members: &MemberTable, rng: &mut fastrand::Rng) -> Option<Name> {
        if let Some(name) = self.next_in_round(members) {
            return Some(name);
        }
        self.begin_round(members, rng);
        self.next_in_round(members)
    }

    fn next_in_round(&mut self, members: &MemberTable) -> Option<Name> {
        while let Some(name) = self.names.get(self.next) {
            self.next += 1;
            if members
                .get(name)
                .is_some_and(|member| member.record.is_running())
            {
                return Some(*name);
            }
        }
        None
    }

    fn begin_round(&mut self, members: &MemberTable, rng: &mut fastrand::Rng) {
        self.names = members.running().map(|record| record.name).collect();
        rng.shuffle(&mut self.names);
        self.next = 0;
    }
}

impl Swim {
    pub(super) fn begin_probe(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(target) = self.probe_order.next(&self.members, &mut self.rng) else {
            return;
        };
        let Some(to) = self.address(&target) else {
            return;
        };
        let sequence = self.next_sequence();
        self.probe = Some(Probe {
            target,
            sequence,
            ping_reqs: 0,
            nacks: 0,
            indirect_probe_at: Some(now + self.health.scale(self.settings.probe_timeout)),
            ends_at: now + self.health.scale(self.settings.probe_interval),
        });
        self.counts.probes += 1;
        self.send_with_suspicion(to, &Message::Ping(sequence), Some(target), actions);
    }

    /// Requests indirect probes if the direct ack is late, and ends the probe when its time is
    /// over.
    pub(super) fn advance_probe(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(probe) = &mut self.probe else { return };
        if probe.indirect_probe_at.is_some_and(|at| now >= at) {
            probe.indirect_probe_at = None;
            self.probe_indirectly(actions);
        }
        self.end_probe(now, actions);
    }

    fn probe_indirectly(&mut self, actions: &mut Vec<Action>) {
        let Some(probe) = &self.probe else { return };
        let (target, sequence) = (probe.target, probe.sequence);
        let Some(address) = self
            .members
            .get(&target)
            .map(|member| member.record.address)
        else {
            return;
        };
        let relay_addresses = self.random_addresses(self.settings.indirect_probes, |record| {
            record.status == Status::Alive && record.name != target
        });
        let ping_reqs = relay_addresses.len() as u32;
        for to in relay_addresses {
            self.send_with_suspicion(
                to,
                &Message::PingReq {
                    sequence,
                    target,
                    address,
                },
                Some(target),
                actions,
            );
        }
        if let Some(probe) = &mut self.probe {
            probe.ping_reqs = ping_reqs;
        }
    }

    /// Ends a probe without an ack when its time is over, and suspects its target.
    fn end_probe(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(probe) = self.probe.take_if(|probe| now >= probe.ends_at) else {
            return;
        };
        self.counts.failed_probes += 1;
        // A relay that sent neither ack nor nack suggests that the fault is this member's own.
        self.health
            .degrade(1 + probe.ping_reqs.saturating_sub(probe.nacks));
        let target = self.members.get(&probe.target).map(|member| &member.record);
        let Some(record) = target.filter(|record| record.is_running()) else {
            return;
        };
        let suspicion = Record {
            status: Status::Suspect(name_hash(&self.local.name)),
            ..record.clone()
        };
        self.apply(&suspicion, now, actions);
    }

    /// Handles the ack of this member's own ping, or of one that it relays.
    pub(super) fn on_ack(&mut self, sequence: u32, now: Duration, actions: &mut Vec<Action>) {
        if let Some(relay) = self.relays.remove(sequence) {
            return self.send(relay.requester, &Message::Ack(relay.sequence), actions);
        }
        let Some(probe) = self.probe.take_if(|probe| probe.sequence == sequence) else {
            return;
        };
        self.health.improve();
        if let Some(member) = self.members.get_mut(&probe.target) {
            member.last_received_at = now;
        }
    }

    pub(super) fn on_nack(&mut self, sequence: u32) {
        if let Some(probe) = self
            .probe
            .as_mut()
            .filter(|probe| probe.sequence == sequence)
        {
            probe.nacks += 1;
        }
    }
}
