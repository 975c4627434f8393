//! What membership costs each member: a whole fleet as far as that is quick, and one member among
//! answers that are made up in the real wire form, up to the size at which all records are held.

use super::measure::timed;
use super::report::{Figure, RoleReport};
use super::{targets, Run};
use roseyard_membership::{
    wire, Action, Event, Guard, Key, Metadata, Name, Received, Record, Settings, Stage, Status,
    Swim,
};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Whole fleets are played up to here; beyond it only one member is.
const WHOLE_FLEET: usize = 300;
/// Whole fleets are given up after so much processor time.
const ENOUGH: Duration = Duration::from_secs(60);
const FLIGHT: Duration = Duration::from_millis(2);
const PORT: u16 = 7946;
const GENERATION: u64 = 1_700_000_000_000;
/// Regions lose each other for so long.
const SPLIT_LASTS: Duration = Duration::from_secs(300);
/// A zone's share of the ingresses.
const ZONE_SHARE: f64 = 330.0 / 4300.0;
const AGREE_WITHIN: Duration = Duration::from_secs(120);
/// Words of restarts that a sample tells to one member.
const WORDS: usize = 40;

/// Plays fleets and single members of each size.
pub(super) fn run(run: &Run) -> RoleReport {
    let mut fleet_cost =
        Figure::measured("fleet at rest: processor time of a member", "% of a core");
    let mut fleet_bytes =
        Figure::measured("fleet at rest: bytes of a member, in and out", "bytes/s");
    let mut join_bytes =
        Figure::measured("all start at once: bytes until all agree, each", "bytes");
    let mut rest = Figure::measured("one member at rest: processor time", "% of a core");
    let mut word = Figure::measured("one member: processor time of a word", "us");
    let mut join = Figure::measured("one member: processor time to take all records", "ms");
    let mut join_one = Figure::measured("one member: bytes of all records", "bytes");
    let mut split_peak = Figure::measured(
        "halves apart for 300 s: fullest second of a member",
        "bytes/s",
    );
    let mut split_heals = Figure::measured("halves apart for 300 s: all agree after they met", "s");
    let mut zone_peak =
        Figure::measured("a zone of 7.7% dies: fullest second of a member", "bytes/s");
    let mut zone_agreed = Figure::measured("a zone of 7.7% dies: all hold it gone", "s");
    let mut notes = Vec::new();
    for &size in &run.sizes {
        run.progress(&format!("membership: one member of {size}"));
        let mut member = Member::new(size, run.seed);
        let (bytes, took) = member.learn_all(size);
        join.push(size, &[took.as_secs_f64() * 1e3]);
        join_one.push(size, &[bytes as f64]);
        // What was just learnt is told on for a while.
        member.run(Duration::from_secs(60));
        let mut rests = Vec::new();
        for _ in 0..run.repeats {
            let length = Duration::from_secs(run.seconds);
            let (_, took) = timed(|| member.run(length));
            rests.push(took.as_secs_f64() * 100.0 / length.as_secs_f64());
        }
        rest.push(size, &rests);
        let words: Vec<f64> = (0..run.repeats).map(|n| member.words(size, n)).collect();
        word.push(size, &words);
        if size > WHOLE_FLEET {
            notes.push(format!(
                "a whole fleet of {size} is not played: joining grows with more than its square"
            ));
            continue;
        }
        run.progress(&format!("membership: a fleet of {size}"));
        let (mut fleet, (agreed, spent)) = {
            let mut fleet = Fleet::new(size, run.seed);
            let played = timed(|| fleet.until_agreed());
            (fleet, played)
        };
        if !agreed {
            notes.push(format!(
                "{size} members did not agree within {AGREE_WITHIN:?} or {ENOUGH:?} of work"
            ));
            continue;
        }
        join_bytes.push(size, &[2.0 * fleet.bytes as f64 / size as f64]);
        fleet.run(Duration::from_secs(60));
        let (mut costs, mut bytes) = (Vec::new(), Vec::new());
        for _ in 0..run
            .repeats
            .min(if spent > ENOUGH / 4 { 1 } else { run.repeats })
        {
            let (length, before) = (Duration::from_secs(run.seconds), fleet.bytes);
            let (_, took) = timed(|| fleet.run(length));
            let members = size as f64 * length.as_secs_f64();
            costs.push(took.as_secs_f64() * 100.0 / members);
            bytes.push(2.0 * (fleet.bytes - before) as f64 / members);
        }
        fleet_cost.push(size, &costs);
        fleet_bytes.push(size, &bytes);
        run.progress(&format!("membership: a fleet of {size} in failures"));
        let cost = fleet.split_for(SPLIT_LASTS);
        split_peak.push(size, &[cost.peak.max(cost.peak_healing)]);
        split_heals.push(size, cost.agreed_after.as_slice());
        let cost = fleet.lose_zone();
        zone_peak.push(size, &[cost.peak]);
        zone_agreed.push(size, cost.agreed_after.as_slice());
    }
    let most = Settings::new(targets::INGRESSES).max_members;
    notes.push(format!(
        "the program remembers {most} members at most; here as many as there are"
    ));
    let whole = [
        fleet_cost,
        fleet_bytes,
        join_bytes,
        split_peak,
        split_heals,
        zone_peak,
        zone_agreed,
    ];
    let figures = whole
        .into_iter()
        .chain([rest, word, join, join_one])
        .collect();
    run.report("membership", "members", figures, notes)
}

fn name(number: usize) -> Name {
    Name::from(&format!("n{number}")).expect("a short name")
}

fn address(number: usize) -> SocketAddr {
    (Ipv4Addr::from_bits(0x7f01_0000 + number as u32), PORT).into()
}

fn number_at(address: SocketAddr) -> usize {
    let SocketAddr::V4(at) = address else {
        return usize::MAX;
    };
    (at.ip().to_bits() - 0x7f01_0000) as usize
}

fn record(number: usize, generation: u64) -> Record {
    let metadata = Metadata {
        stage: Stage::Serving,
        ..Metadata::default()
    };
    let (name, address, status) = (name(number), address(number), Status::Alive);
    Record {
        name,
        address,
        generation,
        incarnation: 0,
        status,
        metadata_version: 0,
        metadata,
    }
}

fn settings(members: usize) -> Settings {
    Settings {
        max_members: members.max(1024),
        seeds: (0..3).map(address).collect(),
        ..Settings::new(members)
    }
}

fn guard(number: usize, members: usize) -> Guard {
    Guard::new("scale", vec![Key::new(&[7; 32])], name(number), members + 1)
}

fn swim(number: usize, members: usize, seed: u64) -> Swim {
    let me = record(number, GENERATION);
    Swim::new(
        settings(members),
        me.name,
        me.address,
        me.generation,
        me.metadata,
        seed,
    )
}

/// One datagram on its way.
struct Datagram {
    to: usize,
    from: usize,
    bytes: Vec<u8>,
}

/// A fleet whose members are all real, in virtual time.
struct Fleet {
    now: Duration,
    members: Vec<(Swim, Guard)>,
    under_way: BTreeMap<(Duration, u64), Datagram>,
    due: BTreeMap<(Duration, usize), ()>,
    due_of: Vec<Option<Duration>>,
    sent: u64,
    bytes: u64,
    /// Members below this number and the others do not hear each other.
    split: Option<usize>,
    dead: Vec<bool>,
}

/// What a failure of many members at once has cost, in bytes a second of a member, in and out, in
/// the fullest second.
struct FailureCost {
    /// While the failure lasts.
    peak: f64,
    /// After its end.
    peak_healing: f64,
    /// Seconds until all hold the same again; none if they never did.
    agreed_after: Option<f64>,
}

impl Fleet {
    fn new(members: usize, seed: u64) -> Fleet {
        let one = |n: usize| {
            (
                swim(n, members, seed.wrapping_add(n as u64)),
                guard(n, members),
            )
        };
        let mut fleet = Fleet {
            now: Duration::ZERO,
            members: (0..members).map(one).collect(),
            under_way: BTreeMap::new(),
            due: BTreeMap::new(),
            due_of: vec![None; members],
            sent: 0,
            bytes: 0,
            split: None,
            dead: vec![false; members],
        };
        (0..members).for_each(|n| fleet.tell(n, Event::Due));
        fleet
    }

    fn tell(&mut self, number: usize, event: Event) {
        let mut actions = Vec::new();
        let (swim, guard) = &mut self.members[number];
        swim.handle(self.now, event, &mut actions);
        for action in actions {
            let Action::Send { to, body } = action else {
                continue;
            };
            let bytes = guard.seal(swim.local().generation, &body);
            (self.sent, self.bytes) = (self.sent + 1, self.bytes + bytes.len() as u64);
            let datagram = Datagram {
                to: number_at(to),
                from: number,
                bytes,
            };
            self.under_way
                .insert((self.now + FLIGHT, self.sent), datagram);
        }
        let due = swim.due();
        if let Some(at) = std::mem::replace(&mut self.due_of[number], due) {
            self.due.remove(&(at, number));
        }
        if let Some(at) = due {
            self.due.insert((at, number), ());
        }
    }

    fn step(&mut self) -> Duration {
        let due = self.due.keys().next().copied();
        let arrival = self.under_way.keys().next().copied();
        match (arrival, due) {
            (Some(key), due) if due.is_none_or(|(at, _)| key.0 <= at) => {
                self.now = self.now.max(key.0);
                if let Some(datagram) = self.under_way.remove(&key) {
                    self.deliver(&datagram);
                }
            }
            (_, Some((at, number))) => {
                self.now = self.now.max(at);
                self.tell(number, Event::Due);
            }
            _ => {}
        }
        self.now
    }

    fn deliver(&mut self, datagram: &Datagram) {
        let cut = |at: usize| (datagram.from < at) != (datagram.to < at);
        if self.split.is_some_and(cut) || self.dead.get(datagram.to).is_none_or(|dead| *dead) {
            return;
        }
        let Some((_, guard)) = self.members.get_mut(datagram.to) else {
            return;
        };
        if let Some(event) = heard(guard, datagram) {
            self.tell(datagram.to, event);
        }
    }

    fn run(&mut self, length: Duration) {
        let until = self.now + length;
        while self.step() < until {}
    }

    fn until_agreed(&mut self) -> bool {
        let began = super::measure::processor_time();
        while self.now < AGREE_WITHIN && super::measure::processor_time() - began < ENOUGH {
            self.run(Duration::from_millis(500));
            if self.agrees() {
                return true;
            }
        }
        false
    }

    fn agrees(&self) -> bool {
        let alive = || {
            self.members
                .iter()
                .zip(&self.dead)
                .filter(|(_, dead)| !**dead)
                .map(|((swim, _), _)| swim)
        };
        let (sum, seen) = (alive().next().map(Swim::digest), alive().count());
        alive().all(|swim| Some(swim.digest()) == sum && swim.quorum().seen == seen)
    }

    /// Goes on for a second: bytes of a member in it, in and out.
    fn second(&mut self) -> f64 {
        let before = self.bytes;
        self.run(Duration::from_secs(1));
        2.0 * (self.bytes - before) as f64 / self.members.len() as f64
    }

    /// The fullest second until all agree, and after how many seconds they do.
    fn heal(&mut self) -> (f64, Option<f64>) {
        let mut peak = 0.0f64;
        for after in 1..=AGREE_WITHIN.as_secs() {
            peak = peak.max(self.second());
            if self.agrees() {
                return (peak, Some(after as f64));
            }
        }
        (peak, None)
    }

    /// Two halves do not hear each other for a while.
    fn split_for(&mut self, lasts: Duration) -> FailureCost {
        self.split = Some(self.members.len() / 2);
        let peak = (0..lasts.as_secs())
            .map(|_| self.second())
            .fold(0.0, f64::max);
        self.split = None;
        let (peak_healing, agreed_after) = self.heal();
        FailureCost {
            peak,
            peak_healing,
            agreed_after,
        }
    }

    /// A zone's share of the members dies at once.
    fn lose_zone(&mut self) -> FailureCost {
        let dying = (self.members.len() as f64 * ZONE_SHARE).ceil() as usize;
        for number in 0..dying {
            self.dead[number] = true;
            if let Some(at) = self.due_of[number].take() {
                self.due.remove(&(at, number));
            }
        }
        let (peak, agreed_after) = self.heal();
        FailureCost {
            peak,
            peak_healing: 0.0,
            agreed_after,
        }
    }
}

fn heard(guard: &mut Guard, datagram: &Datagram) -> Option<Event> {
    let opened = guard.open(&datagram.bytes).ok()?;
    let wire::Contents {
        message,
        records: updates,
    } = wire::read(opened.body)?;
    let (source, sender, generation) = (address(datagram.from), opened.sender, opened.generation);
    Some(Event::Received(Received {
        source,
        sender,
        generation,
        message,
        updates,
    }))
}

/// One real member whose pings are answered by peers that are made up.
struct Member {
    now: Duration,
    swim: Swim,
    guard: Guard,
    peers: Vec<Guard>,
    answers: BTreeMap<(Duration, u64), Datagram>,
    serial: u64,
}

impl Member {
    fn new(members: usize, seed: u64) -> Member {
        Member {
            now: Duration::ZERO,
            swim: swim(0, members, seed),
            guard: guard(0, members),
            peers: (0..members).map(|n| guard(n, 4)).collect(),
            answers: BTreeMap::new(),
            serial: 0,
        }
    }

    /// Takes the records of all members, as pages in answer to its join: their bytes, and the
    /// processor time.
    fn learn_all(&mut self, members: usize) -> (usize, Duration) {
        let (mut bytes, mut spent, mut next) = (0, Duration::ZERO, 1);
        self.tell(Event::Due);
        while next < members {
            let mut body = wire::Body::new(&wire::Message::Page(Name::new()));
            while next < members && body.add(&record(next, GENERATION)) {
                next += 1;
            }
            let sealed = self.peers[1].seal(GENERATION, &body.bytes());
            bytes += sealed.len();
            let (_, took) = timed(|| {
                self.deliver(&Datagram {
                    to: 0,
                    from: 1,
                    bytes: sealed,
                })
            });
            spent += took;
        }
        (bytes, spent)
    }

    fn deliver(&mut self, datagram: &Datagram) {
        if let Some(event) = heard(&mut self.guard, datagram) {
            self.tell(event);
        }
    }

    fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.swim.handle(self.now, event, &mut actions);
        for action in actions {
            let Action::Send { to, body } = action else {
                continue;
            };
            let sealed = self.guard.seal(GENERATION, &body);
            let Some(wire::Contents {
                message: wire::Message::Ping(number),
                ..
            }) = wire::read(&body)
            else {
                continue;
            };
            std::hint::black_box(sealed);
            let from = number_at(to);
            let answer = wire::Body::new(&wire::Message::Ack(number)).bytes();
            let bytes = self.peers[from].seal(GENERATION, &answer);
            self.serial += 1;
            self.answers.insert(
                (self.now + FLIGHT, self.serial),
                Datagram { to: 0, from, bytes },
            );
        }
    }

    /// Goes on so long. Once a period one of the others probes it, as in a fleet where each probes
    /// one.
    fn run(&mut self, length: Duration) {
        let until = self.now + length;
        let mut ping_at = self.now;
        while self.now < until {
            let answer = self.answers.keys().next().copied();
            let due = self.swim.due().unwrap_or(until);
            let next = answer
                .map_or(due, |(at, _)| at.min(due))
                .min(ping_at)
                .min(until);
            self.now = self.now.max(next);
            if let Some(datagram) = answer
                .filter(|(at, _)| *at <= self.now)
                .and_then(|k| self.answers.remove(&k))
            {
                self.deliver(&datagram);
            } else if ping_at <= self.now {
                ping_at += Duration::from_secs(1);
                self.serial += 1;
                let from = 1 + self.serial as usize % (self.peers.len() - 1).max(1);
                let body = wire::Body::new(&wire::Message::Ping(self.serial as u32)).bytes();
                let bytes = self.peers[from].seal(GENERATION, &body);
                self.deliver(&Datagram { to: 0, from, bytes });
            } else {
                self.tell(Event::Due);
            }
        }
    }

    /// Microseconds for each word of a restart that one of the others tells.
    fn words(&mut self, members: usize, round: usize) -> f64 {
        let mut spent = Duration::ZERO;
        for n in 0..WORDS {
            let about = 2 + (round * WORDS + n) % members.saturating_sub(2).max(1);
            let mut body = wire::Body::new(&wire::Message::Gossip);
            let _ = body.add(&record(about, GENERATION + 1 + (round * WORDS + n) as u64));
            let bytes = self.peers[1].seal(GENERATION, &body.bytes());
            let (_, took) = timed(|| {
                self.deliver(&Datagram {
                    to: 0,
                    from: 1,
                    bytes,
                })
            });
            spent += took;
        }
        spent.as_secs_f64() * 1e6 / WORDS as f64
    }
}
