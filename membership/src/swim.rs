//! SWIM with suspicion, incarnations and local health, as a state machine.

use crate::record::{Facts, Name, Record, Stage, Status};
use crate::wire::{Body, Message};
use arrayvec::ArrayVec;
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

/// Confirmations of a suspicion that shorten it; with so many it has its least time.
const CONFIRMED_BY: usize = 3;
/// Local health goes up to this, and slows probes and suspicions by up to so many times and one.
const HEALTH_MOST: u32 = 8;
/// Pings relayed for others at once: guards against memory that grows with what others ask.
const RELAYS_MOST: usize = 256;
/// Pages told in answer to one question; the asker goes on from the last.
const PAGES: usize = 8;
/// Records kept after a member was gone or left, so that old news does not bring it back.
const FORGET_PERIODS: u32 = 600;

/// Times and bounds. Times between members that talk directly; `period` is the protocol's beat.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// One member is probed each period.
    pub period: Duration,
    /// A direct answer is awaited so long before others are asked; under half of the period.
    pub timeout: Duration,
    /// Others that are asked to ping one that did not answer.
    pub indirect: usize,
    /// News goes out to some members so often.
    pub gossip: Duration,
    /// Members that each round of news goes to.
    pub fanout: usize,
    /// The sums of all records are compared with one member so often.
    pub sync: Duration,
    /// Least time of a suspicion, in periods times the logarithm (base ten, at least one) of the number of members.
    pub suspicion: u32,
    /// Most time of a suspicion, in least times; what it has without confirmation.
    pub doubt: u32,
    /// Is local health heeded? Without it a slow ingress suspects the others.
    pub local_health: bool,
    /// Members that there should be, this one included.
    pub expected: usize,
    /// Members remembered at most.
    pub most: usize,
    /// Where members are asked to be let in.
    pub seeds: Vec<SocketAddr>,
    /// Where a member is reached from here, if not where it says that it listens.
    pub paths: BTreeMap<Name, SocketAddr>,
}

impl Settings {
    /// Usual times, for so many members.
    pub fn new(expected: usize) -> Settings {
        let ms = Duration::from_millis;
        Settings {
            period: ms(1000),
            timeout: ms(300),
            indirect: 3,
            gossip: ms(200),
            fanout: 3,
            sync: ms(5000),
            suspicion: 4,
            doubt: 6,
            local_health: true,
            expected,
            most: 1024,
            seeds: Vec::new(),
            paths: BTreeMap::new(),
        }
    }
}

/// What has happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The time that [`Swim::due`] told has come; also the first event of all.
    Due,
    /// An authentic datagram.
    Heard {
        /// Where it came from.
        at: SocketAddr,
        /// Who sent it.
        from: Name,
        /// The sender's life.
        life: u64,
        /// What it says.
        message: Message,
        /// The news behind it.
        news: Vec<Record>,
    },
    /// This ingress's own facts are now these.
    Facts(Facts),
    /// This ingress leaves for good.
    Leave,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Seal this body and send it.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The body.
        body: Vec<u8>,
    },
    /// A member is seen otherwise than before.
    Changed {
        /// Who.
        name: Name,
        /// Before.
        from: Standing,
        /// From now on.
        to: Standing,
    },
    /// This process's name is held by another that runs; it stays outside and goes on asking.
    Refused {
        /// Where the other listens.
        by: SocketAddr,
    },
    /// It was let in: somebody has answered.
    Joined,
}

/// How a member is seen from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Standing {
    /// No word of it has ever come here: nothing is known, not even that it is gone.
    NeverSeen,
    /// It answers, by the latest word.
    Alive,
    /// It did not answer somebody, and has not answered that yet.
    Suspected,
    /// Taken as gone: suspected for the whole time. It may be cut off from here and run.
    Gone,
    /// It said that it leaves.
    Left,
}

impl Standing {
    fn of(status: Status) -> Standing {
        match status {
            Status::Alive => Standing::Alive,
            Status::Suspect(_) => Standing::Suspected,
            Status::Gone => Standing::Gone,
            Status::Left => Standing::Left,
        }
    }

    /// A word for people.
    pub fn word(self) -> &'static str {
        match self {
            Standing::NeverSeen => "never seen",
            Standing::Alive => "alive",
            Standing::Suspected => "suspected",
            Standing::Gone => "gone",
            Standing::Left => "left",
        }
    }
}

/// A member as seen from here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Its standing.
    pub standing: Standing,
    /// The latest word on it, if there was one.
    pub record: Option<Record>,
    /// How long ago a datagram of its own came, or word of it by others if none ever did.
    pub age: Option<Duration>,
}

/// Does this ingress see more than half of those that there should be?
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quorum {
    /// Members that answer, this one included; suspected ones do not count.
    pub seen: usize,
    /// Members that there should be.
    pub expected: usize,
}

impl Quorum {
    /// More than half, so that two sides of a split cannot both say so.
    pub fn holds(&self) -> bool {
        2 * self.seen > self.expected
    }
}

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Probes begun.
    pub probes: u64,
    /// Probes that nobody answered.
    pub failed: u64,
    /// Suspicions of this ingress that it has refuted.
    pub refuted: u64,
    /// Stalls of this ingress's own that were seen.
    pub stalls: u64,
    /// Records that could not be remembered.
    pub crowded: u64,
}

#[derive(Clone, Debug)]
struct Member {
    record: Record,
    heard: Duration,
    /// Its standing was last so.
    since: Duration,
    /// Who has suspected it in this round, by mark; the first counts from `since`.
    by: ArrayVec<u32, CONFIRMED_BY>,
}

impl Member {
    fn suspected(&self) -> bool {
        matches!(self.record.status, Status::Suspect(_))
    }
}

#[derive(Clone, Debug)]
struct Probe {
    name: Name,
    number: u32,
    asked: u32,
    nacks: u32,
    indirect_at: Option<Duration>,
    ends: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Relay {
    to: SocketAddr,
    number: u32,
    nack_at: Duration,
    told: bool,
}

/// One member's part of the protocol.
#[derive(Clone, Debug)]
pub struct Swim {
    settings: Settings,
    rng: fastrand::Rng,
    me: Record,
    members: BTreeMap<Name, Member>,
    /// Names in the order of probing; shuffled anew after each walk.
    order: Vec<Name>,
    next: usize,
    /// What is still to be told, the least told first.
    news: BTreeSet<(u32, Name)>,
    probe: Option<Probe>,
    relays: BTreeMap<u32, Relay>,
    numbers: u32,
    health: u32,
    joined: bool,
    held: Option<SocketAddr>,
    leaving: bool,
    started: bool,
    probe_at: Duration,
    gossip_at: Duration,
    sync_at: Duration,
    join_at: Duration,
    join_wait: Duration,
    remind_at: Duration,
    sweep_at: Duration,
    counts: Counts,
}

fn mark(name: &Name) -> u32 {
    let mut hasher = SipHasher13::new();
    name.hash(&mut hasher);
    hasher.finish() as u32
}

impl Swim {
    /// A member of this name that listens there; `life` is the Unix time of its start in milliseconds.
    pub fn new(
        settings: Settings,
        name: Name,
        address: SocketAddr,
        life: u64,
        facts: Facts,
        seed: u64,
    ) -> Swim {
        let status = Status::Alive;
        let me = Record { name, address, life, round: 0, status, version: 0, facts };
        let zero = Duration::ZERO;
        Swim {
            rng: fastrand::Rng::with_seed(seed),
            join_wait: settings.period,
            settings,
            me,
            members: BTreeMap::new(),
            order: Vec::new(),
            next: 0,
            news: BTreeSet::new(),
            probe: None,
            relays: BTreeMap::new(),
            numbers: 0,
            health: 0,
            joined: false,
            held: None,
            leaving: false,
            started: false,
            probe_at: zero,
            gossip_at: zero,
            sync_at: zero,
            join_at: zero,
            remind_at: zero,
            sweep_at: zero,
            counts: Counts::default(),
        }
    }

    /// This member's own record.
    pub fn me(&self) -> &Record {
        &self.me
    }

    /// What was counted.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// How far this ingress trusts itself: 0 is well; probes and suspicions take one more and so many times as long.
    pub fn health(&self) -> u32 {
        self.health
    }

    /// The process that holds this one's name, while it is refused for that.
    pub fn held(&self) -> Option<SocketAddr> {
        self.held
    }

    /// How a member is seen, in a word.
    pub fn standing(&self, name: &Name) -> Standing {
        self.members.get(name).map_or(Standing::NeverSeen, |m| Standing::of(m.record.status))
    }

    /// How a member is seen.
    pub fn view(&self, name: &Name, now: Duration) -> View {
        match self.members.get(name) {
            None => View { standing: Standing::NeverSeen, record: None, age: None },
            Some(m) => View {
                standing: Standing::of(m.record.status),
                record: Some(m.record.clone()),
                age: Some(now.saturating_sub(m.heard)),
            },
        }
    }

    /// All members that were ever heard of and are remembered, this one left out.
    pub fn views(&self, now: Duration) -> impl Iterator<Item = (Name, View)> + '_ {
        self.members.keys().map(move |name| (*name, self.view(name, now)))
    }

    /// How many are seen of those that there should be. One that is refused sees nobody.
    pub fn quorum(&self) -> Quorum {
        let alive = self.members.values().filter(|m| m.record.status == Status::Alive).count();
        let seen = if self.held.is_some() { 0 } else { alive + 1 };
        Quorum { seen, expected: self.settings.expected }
    }

    /// The sum over all records, this one's own included: equal where two members hold the same.
    pub fn sum(&self) -> u64 {
        let of = |r: &Record| {
            let mut hasher = SipHasher13::new();
            // Suspicions come and go: what is compared is what stays.
            let runs = if r.runs() { 0u8 } else { 1 + u8::from(r.status == Status::Left) };
            (r.name, r.life, r.round, runs, r.version).hash(&mut hasher);
            hasher.finish()
        };
        self.members.values().map(|m| of(&m.record)).fold(of(&self.me), |sum, one| sum ^ one)
    }

    /// When [`Swim::handle`] wants [`Event::Due`] next.
    pub fn due(&self) -> Option<Duration> {
        if !self.started {
            return Some(Duration::ZERO);
        }
        let mut due = self.sweep_at.min(self.gossip_at).min(self.sync_at).min(self.probe_at);
        due = due.min(if self.may_ask() { self.join_at } else { Duration::MAX });
        if let Some(probe) = &self.probe {
            due = due.min(probe.ends).min(probe.indirect_at.unwrap_or(Duration::MAX));
        }
        Some(due)
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        if !self.started {
            self.started = true;
            let spread = |rng: &mut fastrand::Rng, of: Duration| now + of.mul_f64(rng.f64());
            self.probe_at = spread(&mut self.rng, self.settings.period);
            self.gossip_at = spread(&mut self.rng, self.settings.gossip);
            self.sync_at = spread(&mut self.rng, self.settings.sync);
            (self.join_at, self.remind_at, self.sweep_at) = (now, now, now + self.settings.gossip);
        }
        self.stalled(now);
        match event {
            Event::Due => {}
            Event::Heard { at, from, life, message, news } => {
                self.on_heard(at, from, life, message, &news, now, out)
            }
            Event::Facts(facts) => {
                if facts != self.me.facts {
                    (self.me.facts, self.me.version) = (facts, self.me.version + 1);
                    self.tell(self.me.name);
                }
            }
            Event::Leave => {
                self.leaving = true;
                self.me.status = Status::Left;
                self.me.facts.stage = Stage::Leaving;
                self.me.version += 1;
                self.tell(self.me.name);
                self.gossip_at = now;
            }
        }
        self.on_time(now, out);
    }

    /// Guards against a process that was stopped and takes all others for silent: what waited through its own stall
    /// proves nothing, and its clocks go on from here.
    fn stalled(&mut self, now: Duration) {
        let late = self.due().map_or(Duration::ZERO, |due| now.saturating_sub(due));
        if late < self.settings.timeout {
            return;
        }
        self.counts.stalls += 1;
        for member in self.members.values_mut() {
            member.since += late;
            member.heard += late;
        }
        if let Some(probe) = &mut self.probe {
            probe.ends += late;
            probe.indirect_at = probe.indirect_at.map(|at| at + late);
        }
        self.probe_at += late;
        self.worse(1 + (late.as_secs_f64() / self.settings.period.as_secs_f64()) as u32);
    }

    fn worse(&mut self, by: u32) {
        if self.settings.local_health {
            self.health = self.health.saturating_add(by).min(HEALTH_MOST);
        }
    }

    fn slowed(&self, time: Duration) -> Duration {
        time * (self.health + 1)
    }

    fn may_ask(&self) -> bool {
        !self.leaving
            && (!self.joined || self.held.is_some() || self.alone())
            && !self.settings.seeds.is_empty()
    }

    fn alone(&self) -> bool {
        !self.members.values().any(|m| m.record.runs())
    }

    fn on_time(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.may_ask() && now >= self.join_at {
            // One that is alone asks more and more rarely, and never not at all.
            self.join_wait = (self.join_wait * 2).min(self.settings.period * 8);
            self.join_at = now + self.join_wait.mul_f64(0.5 + 0.5 * self.rng.f64());
            for seed in self.settings.seeds.clone() {
                self.send(seed, &Message::Join, out);
            }
        }
        if now >= self.sweep_at {
            self.sweep_at = now + self.settings.gossip;
            self.sweep(now, out);
        }
        if let Some(probe) = &mut self.probe {
            if probe.indirect_at.is_some_and(|at| now >= at) {
                probe.indirect_at = None;
                self.ask_others(out);
            }
            self.end_probe(now, out);
        }
        if self.held.is_some() {
            let later = now + self.settings.period;
            (self.probe_at, self.gossip_at, self.sync_at) = (later, later, later);
            return;
        }
        if now >= self.probe_at && self.probe.is_none() {
            self.probe_at = now + self.slowed(self.settings.period);
            self.begin_probe(now, out);
        }
        if now >= self.gossip_at {
            self.gossip_at = now + self.settings.gossip;
            if !self.news.is_empty() {
                for to in self.some(self.settings.fanout, |m| m.record.runs()) {
                    self.send(to, &Message::Gossip, out);
                }
            }
        }
        if now >= self.sync_at {
            self.sync_at = now + self.settings.sync.mul_f64(0.75 + 0.5 * self.rng.f64());
            let question = Message::Sync { sum: self.sum(), after: Name::new(), back: false };
            for to in self.some(1, |m| m.record.runs()) {
                self.send(to, &question, out);
            }
            // Guards against halves of a split that hold each other gone for ever: they are asked too, one a round,
            // and the seeds, where whoever was never heard of may be found.
            for to in self.some(1, |m| m.record.status == Status::Gone) {
                self.send(to, &Message::Join, out);
            }
            if self.members.values().filter(|m| m.record.runs()).count() + 1 < self.settings.expected {
                let seeds = self.settings.seeds.len();
                if seeds > 0 {
                    let seed = self.settings.seeds[self.rng.usize(0..seeds)];
                    self.send(seed, &Message::Join, out);
                }
            }
        }
    }

    /// Addresses of some members of a kind, drawn.
    fn some(&mut self, most: usize, of: impl Fn(&Member) -> bool) -> Vec<SocketAddr> {
        let names: Vec<Name> = self.members.values().filter(|m| of(m)).map(|m| m.record.name).collect();
        let drawn =
            (0..names.len().min(most)).map(|_| self.rng.usize(0..names.len())).collect::<BTreeSet<_>>();
        drawn.into_iter().filter_map(|n| self.address(&names[n])).collect()
    }

    /// Where a member is reached from here.
    pub fn address(&self, name: &Name) -> Option<SocketAddr> {
        let held = || self.members.get(name).map(|m| m.record.address);
        self.settings.paths.get(name).copied().or_else(held)
    }

    fn sweep(&mut self, now: Duration, out: &mut Vec<Action>) {
        let least = self.least_suspicion();
        let forget = self.settings.period * FORGET_PERIODS;
        let doubt = self.settings.doubt.max(1);
        let mut over = Vec::new();
        let mut forgotten = Vec::new();
        for (name, m) in &self.members {
            let since = now.saturating_sub(m.since);
            match m.record.status {
                Status::Suspect(_) if since >= suspicion(least, doubt, m.by.len()) => over.push(*name),
                Status::Gone | Status::Left if since >= forget => forgotten.push(*name),
                _ => {}
            }
        }
        for name in over {
            let Some(m) = self.members.get(&name) else { continue };
            let word = Record { status: Status::Gone, ..m.record.clone() };
            self.take(&word, now, out);
        }
        if now >= self.remind_at && self.held.is_none() {
            self.remind_at = now + self.settings.period;
            self.remind(out);
        }
        for name in forgotten {
            self.members.remove(&name);
            self.news.retain(|(_, n)| *n != name);
        }
        let settings = &self.settings;
        let late: Vec<u32> =
            self.relays.iter().filter(|(_, r)| now >= r.nack_at && !r.told).map(|(n, _)| *n).collect();
        let gone = settings.period * HEALTH_MOST;
        self.relays.retain(|_, r| now < r.nack_at + gone);
        for number in late {
            let Some(relay) = self.relays.get_mut(&number) else { continue };
            relay.told = true;
            let (to, asked) = (relay.to, relay.number);
            self.send(to, &Message::Nack(asked), out);
        }
    }

    /// Tells suspected members that they are, and one other each time, who will tell them too. Guards against a
    /// suspicion that its subject never hears of: what the cut that caused it swallows is told only so often.
    fn remind(&mut self, out: &mut Vec<Action>) {
        let suspects: Vec<Name> =
            self.members.values().filter(|m| m.suspected()).map(|m| m.record.name).collect();
        for _ in 0..suspects.len().min(self.settings.fanout) {
            let name = suspects[self.rng.usize(0..suspects.len())];
            let Some(to) = self.address(&name) else { continue };
            self.send_about(to, &Message::Gossip, Some(name), out);
            for to in self.some(1, |m| m.record.status == Status::Alive) {
                self.send_about(to, &Message::Gossip, Some(name), out);
            }
        }
    }

    fn least_suspicion(&self) -> Duration {
        let members = self.members.values().filter(|m| m.record.runs()).count() + 1;
        let logarithm = (members as f64).log10().max(1.0);
        (self.settings.period * self.settings.suspicion).mul_f64(logarithm)
    }

    fn begin_probe(&mut self, now: Duration, out: &mut Vec<Action>) {
        let Some(name) = self.next_name() else { return };
        let Some(to) = self.address(&name) else { return };
        self.numbers = self.numbers.wrapping_add(1);
        let timeout = self.slowed(self.settings.timeout);
        let (number, ends) = (self.numbers, now + self.slowed(self.settings.period));
        self.probe = Some(Probe { name, number, asked: 0, nacks: 0, indirect_at: Some(now + timeout), ends });
        self.counts.probes += 1;
        self.send_about(to, &Message::Ping(number), Some(name), out);
    }

    /// Each member once a walk, in an order drawn anew: the time until a death is noticed is bounded.
    fn next_name(&mut self) -> Option<Name> {
        for _ in 0..2 {
            while self.next < self.order.len() {
                self.next += 1;
                let name = self.order[self.next - 1];
                if self.members.get(&name).is_some_and(|m| m.record.runs()) {
                    return Some(name);
                }
            }
            self.order = self.members.values().filter(|m| m.record.runs()).map(|m| m.record.name).collect();
            self.rng.shuffle(&mut self.order);
            self.next = 0;
        }
        None
    }

    fn ask_others(&mut self, out: &mut Vec<Action>) {
        let Some(probe) = &self.probe else { return };
        let (name, number) = (probe.name, probe.number);
        let Some(address) = self.members.get(&name).map(|m| m.record.address) else { return };
        let others =
            self.some(self.settings.indirect, |m| m.record.status == Status::Alive && m.record.name != name);
        let asked = others.len() as u32;
        for to in others {
            self.send_about(to, &Message::Indirect { number, name, address }, Some(name), out);
        }
        if let Some(probe) = &mut self.probe {
            probe.asked = asked;
        }
    }

    fn end_probe(&mut self, now: Duration, out: &mut Vec<Action>) {
        let Some(probe) = self.probe.take_if(|p| now >= p.ends) else { return };
        self.counts.failed += 1;
        // Those who were asked and have not even said that they hear nothing: it may be our own hearing.
        self.worse(1 + probe.asked.saturating_sub(probe.nacks));
        let Some(m) = self.members.get(&probe.name).filter(|m| m.record.runs()) else { return };
        let word = Record { status: Status::Suspect(mark(&self.me.name)), ..m.record.clone() };
        self.take(&word, now, out);
    }

    fn answered(&mut self, number: u32, now: Duration, out: &mut Vec<Action>) {
        if let Some(relay) = self.relays.remove(&number) {
            return self.send(relay.to, &Message::Ack(relay.number), out);
        }
        if let Some(probe) = self.probe.take_if(|p| p.number == number) {
            self.health = self.health.saturating_sub(1);
            if let Some(m) = self.members.get_mut(&probe.name) {
                m.heard = now;
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn on_heard(
        &mut self,
        at: SocketAddr,
        from: Name,
        life: u64,
        message: Message,
        news: &[Record],
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        if from == self.me.name {
            if life == self.me.life {
                return; // Our own, come back: a seed that is this ingress.
            }
            // Another process of our name has asked us. It is the younger, and we are here.
            if message == Message::Join && life > self.me.life && self.held.is_none() {
                self.send(at, &Message::Held(self.me.address), out);
            }
            return;
        }
        let known = self.members.get_mut(&from).filter(|m| m.record.life == life);
        if let Some(m) = known {
            m.heard = now;
        } else if message == Message::Join {
            let own = news.iter().find(|r| r.name == from && r.life == life);
            let Some(own) = own else { return };
            if let Some(held) = self.holder(own) {
                return self.send(at, &Message::Held(held), out);
            }
        }
        let refuted = self.counts.refuted;
        for word in news {
            self.take(word, now, out);
        }
        if self.counts.refuted > refuted {
            // Who told us hears first.
            self.send(at, &Message::Gossip, out);
        }
        if self.held.is_some() && !matches!(message, Message::Held(_) | Message::Page(_)) {
            return;
        }
        match message {
            Message::Ping(number) => self.send(at, &Message::Ack(number), out),
            Message::Ack(number) => self.answered(number, now, out),
            Message::Nack(number) => {
                if let Some(probe) = self.probe.as_mut().filter(|p| p.number == number) {
                    probe.nacks += 1;
                }
            }
            Message::Indirect { number, name, address } => self.relay(at, number, name, address, now, out),
            Message::Join => {
                if !self.joined {
                    self.joined = true;
                    out.push(Action::Joined);
                }
                self.pages(at, Name::new(), out);
            }
            Message::Gossip => {}
            Message::Sync { sum, after, back } => {
                if sum != self.sum() {
                    self.pages(at, after, out);
                    if !back && after.is_empty() {
                        let question = Message::Sync { sum: self.sum(), after: Name::new(), back: true };
                        self.send(at, &question, out);
                    }
                }
            }
            Message::Page(next) => {
                if !self.joined || self.held.take().is_some() {
                    (self.joined, self.join_wait) = (true, self.settings.period);
                    out.push(Action::Joined);
                }
                if !next.is_empty() {
                    self.send(at, &Message::Sync { sum: 0, after: next, back: true }, out);
                }
            }
            Message::Held(by) => {
                // Word of one that was let in already is stale.
                if self.held != Some(by) && !self.joined {
                    self.held = Some(by);
                    out.push(Action::Refused { by });
                }
            }
        }
    }

    /// Who holds a name that a process asks for: a live member of that name elsewhere. At the same address it is a
    /// restart, since two cannot listen there.
    fn holder(&self, own: &Record) -> Option<SocketAddr> {
        let held = self.members.get(&own.name)?;
        let other = held.record.life != own.life && held.record.address != own.address;
        (other && held.record.runs()).then_some(held.record.address)
    }

    fn relay(
        &mut self,
        at: SocketAddr,
        number: u32,
        name: Name,
        address: SocketAddr,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        if self.relays.len() >= RELAYS_MOST || name == self.me.name {
            return;
        }
        self.numbers = self.numbers.wrapping_add(1);
        let nack_at = now + self.settings.timeout.mul_f64(0.8);
        self.relays.insert(self.numbers, Relay { to: at, number, nack_at, told: false });
        let to = self.address(&name).unwrap_or(address);
        self.send_about(to, &Message::Ping(self.numbers), Some(name), out);
    }

    /// Tells what is held of the names after this one, in some pages.
    fn pages(&mut self, to: SocketAddr, after: Name, out: &mut Vec<Action>) {
        let mut records: Vec<Record> = Vec::new();
        if after.is_empty() {
            records.push(self.me.clone());
        }
        let held = self.members.range(after..).map(|(_, m)| &m.record).filter(|r| r.name != after);
        // More than the pages hold, so that the last one knows whether there is more.
        records.extend(held.take(PAGES * 16).cloned());
        let mut rest = records.iter().peekable();
        for page in 1..=PAGES {
            let mut held = Vec::new();
            let mut body = Body::new(&Message::Page(Name::new()));
            while rest.peek().is_some_and(|r| body.add(r)) {
                held.extend(rest.next());
            }
            let Some(last) = held.last() else { return };
            let more = page == PAGES && rest.peek().is_some() && last.name != self.me.name;
            if more {
                // A name takes room: what no longer fits comes first on the next page.
                held.truncate(held.len().saturating_sub(1).max(1));
                let next = held.last().map_or(after, |r| r.name);
                body = Body::new(&Message::Page(next));
                let _ = held.iter().all(|r| body.add(r));
            }
            out.push(Action::Send { to, body: body.bytes() });
            if rest.peek().is_none() {
                return;
            }
        }
    }

    /// Takes in a word on a member, on any path that it may come.
    fn take(&mut self, word: &Record, now: Duration, out: &mut Vec<Action>) {
        if word.name == self.me.name {
            return self.on_own(word, out);
        }
        if self.holder(word).is_some() && word.life > self.members[&word.name].record.life {
            return; // Its name is held: first that one has to be gone.
        }
        let Some(m) = self.members.get_mut(&word.name) else {
            if self.members.len() >= self.settings.most {
                self.counts.crowded += 1;
                return;
            }
            let standing = Standing::of(word.status);
            let mut by = ArrayVec::new();
            if let Status::Suspect(mark) = word.status {
                by.push(mark);
            }
            self.members.insert(word.name, Member { record: word.clone(), heard: now, since: now, by });
            self.tell(word.name);
            // The newcomer is probed somewhere in this walk, not first or last of all.
            let at = self.rng.usize(self.next.min(self.order.len())..=self.order.len());
            self.order.insert(at, word.name);
            return out.push(Action::Changed { name: word.name, from: Standing::NeverSeen, to: standing });
        };
        let before = m.record.clone();
        let new = m.record.merge(word);
        let same = (before.life, before.round) == (m.record.life, m.record.round);
        // Another's suspicion of the same round confirms the one that is held.
        let mut confirms = false;
        let again = (before.life, before.round) == (word.life, word.round);
        if let (true, Status::Suspect(_), Status::Suspect(mark)) = (again, before.status, word.status) {
            confirms = !m.by.contains(&mark) && m.by.try_push(mark).is_ok();
            if confirms {
                // Told on under the new mark, so that others count it too.
                m.record.status = word.status;
            }
        }
        let (from, to) = (Standing::of(before.status), Standing::of(m.record.status));
        if from != to || !same {
            m.since = now;
            m.by.clear();
            if let Status::Suspect(mark) = m.record.status {
                m.by.push(mark);
            }
        }
        if new || confirms {
            self.tell(word.name);
        }
        if from != to {
            out.push(Action::Changed { name: word.name, from, to });
        }
    }

    /// Word on this member itself.
    fn on_own(&mut self, word: &Record, out: &mut Vec<Action>) {
        if word.life > self.me.life {
            if word.address == self.me.address {
                // Our clock went back over a restart: this life must outlive the one that they know.
                self.me.life = word.life + 1;
                self.tell(self.me.name);
            } else if self.held != Some(word.address) {
                // They took us for gone and let another in under our name.
                self.held = Some(word.address);
                out.push(Action::Refused { by: word.address });
            }
            return;
        }
        let gainsaid =
            word.life == self.me.life && word.status != Status::Alive && word.round >= self.me.round;
        if gainsaid && !self.leaving {
            self.me.round = word.round + 1;
            self.counts.refuted += 1;
            self.worse(1);
        }
        if gainsaid || word.newer(&self.me).is_lt() {
            self.tell(self.me.name);
        }
    }

    /// Puts a member's record among the news, as told to nobody.
    fn tell(&mut self, name: Name) {
        self.news.retain(|(_, n)| *n != name);
        self.news.insert((0, name));
    }

    /// Sends a message with as much news as there is room for, the least told first.
    fn send(&mut self, to: SocketAddr, message: &Message, out: &mut Vec<Action>) {
        self.send_about(to, message, None, out);
    }

    /// The same to a member that is to hear what is held of itself, where that is not that it is well.
    fn send_about(&mut self, to: SocketAddr, message: &Message, about: Option<Name>, out: &mut Vec<Action>) {
        let mut body = Body::new(message);
        if let Some(m) = about.and_then(|name| self.members.get(&name)).filter(|m| m.suspected()) {
            let _ = body.add(&m.record);
        }
        if *message == Message::Join {
            // Who asks is told first of all.
            let _ = body.add(&self.me);
        }
        if self.held.is_none() {
            let members = (self.members.len() + 1) as f64;
            let most = 4 * members.log10().ceil().max(1.0) as u32;
            let mut told = Vec::new();
            for (times, name) in &self.news {
                let record = if *name == self.me.name {
                    Some(&self.me)
                } else {
                    self.members.get(name).map(|m| &m.record)
                };
                if !record.is_some_and(|r| body.add(r)) {
                    break;
                }
                told.push((*times, *name));
            }
            for (times, name) in told {
                self.news.remove(&(times, name));
                if times + 1 < most {
                    self.news.insert((times + 1, name));
                }
            }
        }
        out.push(Action::Send { to, body: body.bytes() });
    }
}

/// How long a suspicion lasts that so many have: from the most down to the least, by the logarithm of the
/// confirmations (the Lifeguard paper's form).
fn suspicion(least: Duration, doubt: u32, by: usize) -> Duration {
    let most = least * doubt;
    let confirmed = by.saturating_sub(1) as f64;
    let part = (confirmed + 1.0).ln() / (CONFIRMED_BY as f64).ln();
    most.saturating_sub((most - least).mul_f64(part)).max(least)
}
