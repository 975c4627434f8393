//! The periodic tasks and their deadlines.

use super::Swim;
use crate::event::Action;
use std::time::Duration;

/// The time between two rounds of anti-entropy is the sync interval times a random ratio from this
/// minimum to the minimum plus [`SYNC_JITTER_RATIO_RANGE`]. The jitter prevents members from
/// comparing their records all at the same time.
const MIN_SYNC_JITTER_RATIO: f64 = 0.75;
const SYNC_JITTER_RATIO_RANGE: f64 = 0.5;

/// The time at which each periodic task is next due.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Timers {
    pub probe: Duration,
    pub gossip: Duration,
    pub sync: Duration,
    pub join: Duration,
    pub reminder: Duration,
    pub cleanup: Duration,
}

impl Swim {
    /// Returns the time at which the caller has to pass the next
    /// [`Event::Timeout`](crate::Event::Timeout).
    pub fn next_timeout(&self) -> Option<Duration> {
        if !self.started {
            return Some(Duration::ZERO);
        }
        let timers = &self.timers;
        let mut due = timers
            .cleanup
            .min(timers.gossip)
            .min(timers.sync)
            .min(timers.probe);
        if self.should_join() {
            due = due.min(timers.join);
        }
        if let Some(probe) = &self.probe {
            due = due.min(probe.next_deadline());
        }
        Some(due)
    }

    /// Sets the first deadlines to random times, so that members that start at the same time do not
    /// run their tasks at the same times.
    pub(super) fn start(&mut self, now: Duration) {
        self.started = true;
        let random_deadline =
            |rng: &mut fastrand::Rng, interval: Duration| now + interval.mul_f64(rng.f64());
        self.timers = Timers {
            probe: random_deadline(&mut self.rng, self.settings.probe_interval),
            gossip: random_deadline(&mut self.rng, self.settings.gossip_interval),
            sync: random_deadline(&mut self.rng, self.settings.sync_interval),
            join: now,
            reminder: now,
            cleanup: now + self.settings.gossip_interval,
        };
    }

    /// Detects a stall of this process, in which a deadline was missed by at least the probe
    /// timeout, and moves the deadlines forward by the duration of the stall. Otherwise this member
    /// would suspect the others because of its own stall.
    pub(super) fn compensate_for_stall(&mut self, now: Duration) {
        let stall = self
            .next_timeout()
            .map_or(Duration::ZERO, |due| now.saturating_sub(due));
        if stall < self.settings.probe_timeout {
            return;
        }
        self.counts.stalls += 1;
        self.members.postpone(stall);
        if let Some(probe) = &mut self.probe {
            probe.postpone(stall);
        }
        self.timers.probe += stall;
        let missed_probes = stall.as_secs_f64() / self.settings.probe_interval.as_secs_f64();
        self.health.degrade(1 + missed_probes as u32);
    }

    /// Runs the periodic tasks that are due.
    pub(super) fn run_timers(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.should_join() && now >= self.timers.join {
            self.send_join_requests(now, actions);
        }
        if now >= self.timers.cleanup {
            self.timers.cleanup = now + self.settings.gossip_interval;
            self.cleanup(now, actions);
        }
        self.advance_probe(now, actions);
        if self.join.name_conflict.is_some() {
            return self.postpone_tasks(now);
        }
        if now >= self.timers.probe && self.probe.is_none() {
            self.timers.probe = now + self.health.scale(self.settings.probe_interval);
            self.begin_probe(now, actions);
        }
        if now >= self.timers.gossip {
            self.timers.gossip = now + self.settings.gossip_interval;
            self.gossip(actions);
        }
        if now >= self.timers.sync {
            self.timers.sync = now
                + self
                    .settings
                    .sync_interval
                    .mul_f64(MIN_SYNC_JITTER_RATIO + SYNC_JITTER_RATIO_RANGE * self.rng.f64());
            self.sync(actions);
        }
    }

    /// Postpones the periodic tasks while this member has a name conflict. In this state it only
    /// sends requests to join.
    fn postpone_tasks(&mut self, now: Duration) {
        let later = now + self.settings.probe_interval;
        self.timers.probe = later;
        self.timers.gossip = later;
        self.timers.sync = later;
    }

    /// Expires suspicions, records of members that are dead or have left, and relayed pings, and
    /// reminds suspects.
    fn cleanup(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.expire_suspicions(now, actions);
        if now >= self.timers.reminder && self.join.name_conflict.is_none() {
            self.timers.reminder = now + self.settings.probe_interval;
            self.remind_suspects(actions);
        }
        self.remove_expired_members(now);
        self.expire_relays(now, actions);
    }
}
