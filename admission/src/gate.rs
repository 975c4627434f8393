//! The state machine: connections come, ask, are answered, rest and go; it says which are turned away and
//! which are closed for others.

use crate::book::{Book, Record, Score};
use crate::lists::Lists;
use crate::policy::Policy;
use crate::rate::Arrival;
use crate::snapshot::{Remembered, Snapshot};
use std::hash::Hash;
use std::net::IpAddr;
use std::time::Duration;

/// Names a connection. The lower 32 bits are its slot in the caller's table, which is used again after it has
/// closed; the rest tells apart those that had the same slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Conn(pub u64);

/// What has happened.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// A connection was accepted.
    Connected {
        /// It.
        conn: Conn,
        /// Where it comes from.
        peer: IpAddr,
    },
    /// A request has come whole and is to be taken in. Answered by [`Action::Refuse`] or by nothing.
    Asked {
        /// Its connection.
        conn: Conn,
        /// The customer that it names.
        customer: u64,
    },
    /// Another command has come whole and is answered at once.
    Greeted(Conn),
    /// Something has come that cannot be read or carried out.
    Wrong(Conn),
    /// A request has got its final answer.
    Answered {
        /// Its connection.
        conn: Conn,
        /// Was it a value?
        served: bool,
    },
    /// The connection waits for nothing, and all answers are written.
    Rested(Conn),
    /// No further command is read on it; only its other side's end is awaited.
    Ending(Conn),
    /// It has closed; `fault` if it was closed for silence or amid a command.
    Closed {
        /// It.
        conn: Conn,
        /// Whether that speaks against its address.
        fault: bool,
    },
    /// The system has no descriptor left for a connection that waits.
    Shortage,
}

/// Why a connection is not kept, or not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Why {
    /// Its address has as many connections as it may have.
    ClientCap,
    /// Its neighbourhood has.
    NeighbourhoodCap,
    /// Its address connects too often.
    ClientRate,
    /// Its neighbourhood does.
    NeighbourhoodRate,
    /// Every place is taken by one that is not to go for it.
    Full,
    /// Another connection needed its place.
    Displaced,
    /// Too many of its kind rest.
    Room,
}

/// Reasons, in the order of [`Gate::counts`].
pub const REASONS: [Why; 7] = [
    Why::ClientCap,
    Why::NeighbourhoodCap,
    Why::ClientRate,
    Why::NeighbourhoodRate,
    Why::Full,
    Why::Displaced,
    Why::Room,
];

impl Why {
    /// A word for logs.
    pub fn word(self) -> &'static str {
        match self {
            Why::ClientCap => "client-cap",
            Why::NeighbourhoodCap => "neighbourhood-cap",
            Why::ClientRate => "client-rate",
            Why::NeighbourhoodRate => "neighbourhood-rate",
            Why::Full => "full",
            Why::Displaced => "displaced",
            Why::Room => "room",
        }
    }
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Close this connection, which is between requests. It counts as closed already.
    Close {
        /// It.
        conn: Conn,
        /// Why.
        why: Why,
    },
    /// The connection that has just come is not taken: say when to come again and close it. It counts as
    /// closed already.
    TurnAway {
        /// It.
        conn: Conn,
        /// When to come again.
        after: Duration,
        /// Why.
        why: Why,
    },
    /// The request that has just come is refused with this advice; its connection stays.
    Refuse {
        /// When to come again.
        after: Duration,
    },
    /// Accept nothing until then.
    Pause {
        /// The time.
        until: Duration,
    },
}

/// Who a connection is taken for, the first to go first. Its order is the order of going.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It, or its address, has sent more that is wrong than it was served.
    Suspect,
    /// It has asked nothing yet.
    Silent,
    /// Its sending or ours has ended.
    Ending,
    /// It has asked once.
    Once,
    /// It comes again, or its customer vouches for it.
    Newcomer,
    /// It, or its address, has been served before.
    Known,
    /// Its address is the operator's own.
    Listed,
}

const STANDINGS: usize = 7;

const BY_RANK: [Standing; STANDINGS] = [
    Standing::Suspect,
    Standing::Silent,
    Standing::Ending,
    Standing::Once,
    Standing::Newcomer,
    Standing::Known,
    Standing::Listed,
];

/// What is known of a connection.
struct Place {
    conn: Conn,
    client: Option<u32>,
    neighbourhood: Option<u32>,
    /// The first customer that it named, where customers vouch, and whether this one does.
    customer: Option<u32>,
    vouched: bool,
    asked: u32,
    served: u32,
    faults: u32,
    listed: bool,
    ending: bool,
    /// It has requests open and counts among the newcomers' busy ones.
    busy: Option<bool>,
    /// Since when it has been on its list.
    since: Duration,
}

/// Admission of connections.
pub struct Gate {
    policy: Policy,
    places: Vec<Option<Place>>,
    /// Connections between requests by standing, the longest rested first.
    rested: Lists<STANDINGS>,
    clients: Book<u128>,
    neighbourhoods: Book<u128>,
    customers: Book<u64>,
    held: usize,
    /// Newcomers with requests open.
    busy_guests: usize,
    /// Connections that come again are known after one served request until then.
    warm_until: Duration,
    counts: [u64; REASONS.len()],
    refused: u64,
    /// Of newcomers' requests.
    pace: Arrival,
    secret: u64,
}

/// A secret for each table.
fn keyed(secret: u64, table: u64) -> (u64, u64) {
    (secret, secret.rotate_left(29) ^ table.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

impl Gate {
    /// An empty gate; `secret` keeps others from choosing addresses that collide in its tables.
    pub fn new(policy: Policy, secret: u64, now: Duration) -> Gate {
        let book = policy.remembered;
        Gate {
            places: Vec::new(),
            rested: Lists::default(),
            clients: Book::new(book, keyed(secret, 1)),
            neighbourhoods: Book::new(book, keyed(secret, 2)),
            customers: Book::new(book, keyed(secret, 3)),
            held: 0,
            busy_guests: 0,
            warm_until: now + policy.warm_up,
            counts: [0; REASONS.len()],
            refused: 0,
            pace: Arrival::default(),
            secret,
            policy,
        }
    }

    /// The settings in force.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Connections held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Connections turned away or closed so far, by [`REASONS`].
    pub fn counts(&self) -> [u64; REASONS.len()] {
        self.counts
    }

    /// Requests refused so far because their place was lent, or for the pace of newcomers.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Client addresses, neighbourhoods and customers remembered, and the bytes that these take.
    pub fn remembered(&self) -> (usize, usize, usize, usize) {
        let bytes = self.clients.bytes() + self.neighbourhoods.bytes() + self.customers.bytes();
        (self.clients.len(), self.neighbourhoods.len(), self.customers.len(), bytes)
    }

    /// Who a connection is taken for; none if it is not held.
    pub fn standing(&self, conn: Conn, now: Duration) -> Option<Standing> {
        self.place(conn).map(|place| self.rank(place, now))
    }

    /// How long a connection may rest.
    pub fn patience(&self, conn: Conn) -> Duration {
        match self.place(conn).map(|p| (p.listed, p.asked)) {
            Some((false, 0)) | None => self.policy.silent,
            Some((false, 1)) => self.policy.once,
            Some(_) => self.policy.idle,
        }
    }

    /// Until when nothing is to be accepted: every place is held, and the only ones that could go have not yet
    /// had time to speak.
    pub fn pause(&self, now: Duration) -> Option<Duration> {
        if self.held < self.policy.places || self.victim(Standing::Newcomer, now).is_some() {
            return None;
        }
        let first = self.rested.first(Standing::Silent as usize)?;
        Some(self.places[first as usize].as_ref()?.since + self.policy.breath).filter(|at| *at > now)
    }

    /// Takes in what has happened; what is to be done is added to `out`.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Connected { conn, peer } => self.connect(now, conn, peer, out),
            Event::Asked { conn, customer } => self.ask(now, conn, customer, out),
            Event::Greeted(conn) => self.change(conn, |p| p.asked = p.asked.saturating_add(1)),
            Event::Wrong(conn) => {
                self.change(conn, |p| p.faults = p.faults.saturating_add(1));
                self.fault(conn, now);
            }
            Event::Answered { conn, served: true } => self.serve(now, conn),
            Event::Answered { served: false, .. } => {}
            Event::Rested(conn) => self.rest(now, conn, out),
            Event::Ending(conn) => {
                self.change(conn, |p| p.ending = true);
                self.rest(now, conn, out);
            }
            Event::Closed { conn, fault } => {
                if fault {
                    self.fault(conn, now);
                }
                self.remove(conn, now);
            }
            Event::Shortage => match self.victim(Standing::Newcomer, now) {
                Some(conn) => self.close(conn, Why::Displaced, now, out),
                None => {
                    out.push(Action::Pause { until: now + self.policy.breath.max(Duration::from_millis(1)) })
                }
            },
        }
    }

    /// Other settings hold from now on. What is open beyond a lowered bound goes once it is between requests.
    pub fn set_policy(&mut self, policy: Policy, now: Duration, out: &mut Vec<Action>) {
        if policy.prefixes != self.policy.prefixes {
            // Keys mean something else now: what is remembered under the old ones is dropped with its counts.
            for place in self.places.iter_mut().flatten() {
                (place.client, place.neighbourhood) = (None, None);
            }
            self.clients = Book::new(policy.remembered, keyed(self.secret, 1));
            self.neighbourhoods = Book::new(policy.remembered, keyed(self.secret, 2));
        }
        self.clients.resize(policy.remembered);
        self.neighbourhoods.resize(policy.remembered);
        self.customers.resize(policy.remembered);
        self.policy = policy;
        for rank in 0..STANDINGS {
            let mut next = self.rested.first(rank);
            while let Some(at) = next {
                next = self.rested.after(at);
                let Some(conn) = self.places[at as usize].as_ref().map(|p| p.conn) else { continue };
                if let Some(why) = self.beyond(conn) {
                    self.close(conn, why, now, out);
                }
            }
        }
        while self.held > self.policy.places {
            let Some(conn) = self.longest_rested() else { break };
            self.close(conn, Why::Displaced, now, out);
        }
    }

    /// What is worth keeping over a restart: up to `most` client addresses and as many customers that were
    /// served, those with a connection open and the latest first.
    pub fn snapshot(&self, most: usize, now: Duration) -> Snapshot {
        let half_life = self.policy.known_half_life;
        fn taken<K>(now: Duration, half_life: Duration, (key, record): (K, &Record)) -> Remembered<K> {
            Remembered { key, served: record.served.at(now, half_life) }
        }
        let worth = |served: f32| served >= 0.5;
        let clients = self.clients.known().map(|e| taken(now, half_life, e)).filter(|r| worth(r.served));
        let customers = self.customers.known().map(|e| taken(now, half_life, e)).filter(|r| worth(r.served));
        Snapshot { clients: clients.take(most).collect(), customers: customers.take(most).collect() }
    }

    /// Takes a snapshot in that was made so long ago.
    pub fn recall(&mut self, snapshot: &Snapshot, age: Duration, now: Duration) {
        let Policy { known_half_life: half_life, known_after: after, .. } = self.policy;
        let faded = |served: f32| Score::new(served.clamp(0.0, 1e6), Duration::ZERO).at(age, half_life);
        fn put<K: Hash + Eq + Copy>(book: &mut Book<K>, key: K, served: f32, after: f32, now: Duration) {
            let at = book.place(key);
            book.get_mut(at).served = Score::new(served, now);
            book.rest(at, served >= after);
        }
        // The latest stand first: they are put in last, as the latest.
        for held in snapshot.clients.iter().rev() {
            put(&mut self.clients, held.key, faded(held.served), after, now);
        }
        for held in snapshot.customers.iter().rev() {
            put(&mut self.customers, held.key, faded(held.served), after, now);
        }
    }

    fn place(&self, conn: Conn) -> Option<&Place> {
        self.places.get(conn.0 as u32 as usize)?.as_ref().filter(|p| p.conn == conn)
    }

    fn place_mut(&mut self, conn: Conn) -> Option<&mut Place> {
        self.places.get_mut(conn.0 as u32 as usize)?.as_mut().filter(|p| p.conn == conn)
    }

    fn change(&mut self, conn: Conn, how: impl FnOnce(&mut Place)) {
        if let Some(place) = self.place_mut(conn) {
            how(place);
        }
    }

    fn known(&self, record: &Record, now: Duration) -> bool {
        record.served.at(now, self.policy.known_half_life) >= self.policy.known_after
    }

    fn suspect(&self, record: &Record, now: Duration) -> bool {
        record.faults.at(now, self.policy.suspect_half_life) >= self.policy.suspect_after
    }

    /// Who a connection is taken for. Its own conduct goes first; its address speaks where addresses count, and
    /// never for one that has asked nothing: guards against a known address that only connects.
    fn rank(&self, place: &Place, now: Duration) -> Standing {
        let client = place.client.map(|at| self.clients.get(at));
        // After a start many requests are refused that would not be later: one that comes again is known by one.
        let own = if now < self.warm_until { 1 } else { 2 };
        if place.ending {
            Standing::Ending
        } else if place.listed {
            Standing::Listed
        } else if place.faults > place.served
            || place.served == 0 && client.is_some_and(|r| self.suspect(r, now))
        {
            Standing::Suspect
        } else if place.asked == 0 {
            Standing::Silent
        } else if place.asked > 1 && place.served >= own || client.is_some_and(|r| self.known(r, now)) {
            Standing::Known
        } else if place.asked > 1 || place.vouched {
            Standing::Newcomer
        } else {
            Standing::Once
        }
    }

    fn room(&self, standing: Standing) -> usize {
        match standing {
            Standing::Silent => self.policy.silent_room,
            Standing::Once => self.policy.once_room,
            _ => usize::MAX,
        }
    }

    /// The connection that goes first for one of this standing, between requests, if any may go. Looks at the
    /// longest rested of each standing only.
    fn victim(&self, for_one: Standing, now: Duration) -> Option<Conn> {
        BY_RANK.into_iter().find_map(|standing| {
            let place = self.places[self.rested.first(standing as usize)? as usize].as_ref()?;
            let rested = now.saturating_sub(place.since);
            let may = match standing {
                Standing::Suspect | Standing::Ending | Standing::Once | Standing::Newcomer => true,
                Standing::Silent => for_one >= Standing::Known || rested >= self.policy.breath,
                // While some have only just come, a newcomer waits its breath rather than a known client go:
                // guards against a flood fast enough that none of its connections has had time to speak.
                Standing::Known => {
                    let some_just_came = self.rested.len(Standing::Silent as usize) > 0;
                    for_one >= Standing::Known || rested >= self.policy.guard && !some_just_came
                }
                Standing::Listed => for_one >= Standing::Listed,
            };
            may.then_some(place.conn)
        })
    }

    /// The first in the order of going, however short it has rested: for bounds that were lowered.
    fn longest_rested(&self) -> Option<Conn> {
        let first = (0..STANDINGS).find_map(|rank| self.rested.first(rank))?;
        self.places[first as usize].as_ref().map(|p| p.conn)
    }

    fn connect(&mut self, now: Duration, conn: Conn, peer: IpAddr, out: &mut Vec<Action>) {
        // Guards against a caller that names two connections alike: the first one's counts would stay for ever.
        self.remove(conn, now);
        let listed = self.policy.listed.contains(peer);
        let (mut client, mut neighbourhood, mut standing) = (None, None, Standing::Newcomer);
        if listed {
            standing = Standing::Listed;
        } else if self.policy.by_address {
            let at = self.clients.place(self.policy.prefixes.client(peer));
            let next = self.neighbourhoods.place(self.policy.prefixes.neighbourhood(peer));
            let known = self.known(self.clients.get(at), now);
            if let Some((why, wait)) = self.capped(at, next, now) {
                self.counts[why as usize] += 1;
                // Hammering speaks against an address, a full one that comes again does not.
                if matches!(why, Why::ClientRate) {
                    let half_life = self.policy.suspect_half_life;
                    self.clients.get_mut(at).faults.add(0.25, now, half_life);
                }
                self.clients.rest(at, known);
                self.neighbourhoods.rest(next, false);
                out.push(Action::TurnAway { conn, after: wait.max(self.policy.advice), why });
                return;
            }
            if known {
                standing = Standing::Known;
            }
            (client, neighbourhood) = (Some(at), Some(next));
        }
        if self.held >= self.policy.places {
            match self.victim(standing, now) {
                Some(victim) => self.close(victim, Why::Displaced, now, out),
                None => {
                    self.counts[Why::Full as usize] += 1;
                    if let Some((at, next)) = client.zip(neighbourhood) {
                        self.clients.rest(at, standing == Standing::Known);
                        self.neighbourhoods.rest(next, false);
                    }
                    out.push(Action::TurnAway { conn, after: self.policy.advice, why: Why::Full });
                    return;
                }
            }
        }
        if let Some(at) = client {
            self.clients.opened(at);
        }
        if let Some(at) = neighbourhood {
            self.neighbourhoods.opened(at);
        }
        let index = conn.0 as u32 as usize;
        if index >= self.places.len() {
            self.places.resize_with(index + 1, || None);
        }
        self.places[index] = Some(Place {
            conn,
            client,
            neighbourhood,
            customer: None,
            vouched: false,
            asked: 0,
            served: 0,
            faults: 0,
            listed,
            ending: false,
            busy: None,
            since: now,
        });
        self.held += 1;
        self.line_up(conn, now, out);
    }

    /// Is the address or its neighbourhood at its cap or too fast? The longest wait goes with it.
    fn capped(&mut self, client: u32, neighbourhood: u32, now: Duration) -> Option<(Why, Duration)> {
        let policy = &self.policy;
        let none = Duration::ZERO;
        if policy.per_client.is_some_and(|cap| self.clients.get(client).open >= cap) {
            return Some((Why::ClientCap, none));
        }
        if policy.per_neighbourhood.is_some_and(|cap| self.neighbourhoods.get(neighbourhood).open >= cap) {
            return Some((Why::NeighbourhoodCap, none));
        }
        if let Some(rate) = policy.rate_client {
            if let Err(wait) = self.clients.get_mut(client).arrival.take(now, rate) {
                return Some((Why::ClientRate, wait));
            }
        }
        if let Some(rate) = policy.rate_neighbourhood {
            if let Err(wait) = self.neighbourhoods.get_mut(neighbourhood).arrival.take(now, rate) {
                return Some((Why::NeighbourhoodRate, wait));
            }
        }
        None
    }

    /// The bound that a connection's address is beyond, after one was lowered.
    fn beyond(&self, conn: Conn) -> Option<Why> {
        let place = self.place(conn)?;
        let over = |cap: Option<u32>, open: u32| cap.is_some_and(|cap| open > cap);
        if place.client.is_some_and(|at| over(self.policy.per_client, self.clients.get(at).open)) {
            return Some(Why::ClientCap);
        }
        let open = |at: u32| self.neighbourhoods.get(at).open;
        let next = place.neighbourhood.is_some_and(|at| over(self.policy.per_neighbourhood, open(at)));
        next.then_some(Why::NeighbourhoodCap)
    }

    fn ask(&mut self, now: Duration, conn: Conn, customer: u64, out: &mut Vec<Action>) {
        self.change(conn, |p| p.asked = p.asked.saturating_add(1));
        let Some(place) = self.place(conn) else { return };
        let (busy, customer_of) = (place.busy, place.customer);
        if busy.is_none() {
            let guest = self.rank(place, now) < Standing::Known;
            // The reserve is lent to newcomers only while they rest, so that it can be given back at once. One
            // that comes again may have half of it: guards against a flood of first requests that keeps a client
            // which lost its connection from ever being served, and so from being known again.
            let kept = if place.asked > 1 { self.policy.reserve / 2 } else { self.policy.reserve };
            let lent = self.policy.places.saturating_sub(kept);
            let paced = match self.policy.pace_newcomers.filter(|_| guest) {
                Some(rate) => self.pace.take(now, rate),
                None => Ok(()),
            };
            if guest && self.busy_guests >= lent || paced.is_err() {
                self.refused += 1;
                let wait = paced.err().unwrap_or_default();
                out.push(Action::Refuse { after: wait.max(self.policy.advice) });
                return;
            }
            self.busy_guests += usize::from(guest);
            self.change(conn, |p| p.busy = Some(guest));
            self.rested.remove(conn.0 as u32);
        }
        if self.policy.vouched > 0 && customer_of.is_none() {
            let at = self.customers.place(customer);
            let record = self.customers.get(at);
            let vouched = record.open < self.policy.vouched && self.known(record, now);
            self.customers.opened(at);
            self.change(conn, |p| (p.customer, p.vouched) = (Some(at), vouched));
        }
    }

    fn serve(&mut self, now: Duration, conn: Conn) {
        let half_life = self.policy.known_half_life;
        self.change(conn, |p| p.served = p.served.saturating_add(1));
        let Some((client, customer)) = self.place(conn).map(|p| (p.client, p.customer)) else { return };
        if let Some(at) = client {
            self.clients.get_mut(at).served.add(1.0, now, half_life);
        }
        if let Some(at) = customer {
            self.customers.get_mut(at).served.add(1.0, now, half_life);
        }
    }

    /// Something speaks against the address of a connection.
    fn fault(&mut self, conn: Conn, now: Duration) {
        let half_life = self.policy.suspect_half_life;
        if let Some(at) = self.place(conn).and_then(|p| p.client) {
            self.clients.get_mut(at).faults.add(1.0, now, half_life);
        }
    }

    fn rest(&mut self, now: Duration, conn: Conn, out: &mut Vec<Action>) {
        let Some(place) = self.place_mut(conn) else { return };
        place.since = now;
        if place.busy.take() == Some(true) {
            self.busy_guests -= 1;
        }
        if let Some(why) = self.beyond(conn) {
            return self.close(conn, why, now, out);
        }
        self.line_up(conn, now, out);
        if self.held > self.policy.places {
            if let Some(victim) = self.longest_rested() {
                self.close(victim, Why::Displaced, now, out);
            }
        }
    }

    /// Puts a connection at the end of its standing's list; where that is longer than it may be, the first goes.
    fn line_up(&mut self, conn: Conn, now: Duration, out: &mut Vec<Action>) {
        let Some(standing) = self.place(conn).map(|place| self.rank(place, now)) else { return };
        self.rested.push(standing as usize, conn.0 as u32);
        if self.rested.len(standing as usize) <= self.room(standing) {
            return;
        }
        let first = self.rested.first(standing as usize).and_then(|at| self.places[at as usize].as_ref());
        if let Some((victim, since)) = first.map(|p| (p.conn, p.since)) {
            if standing != Standing::Silent || now.saturating_sub(since) >= self.policy.breath {
                self.close(victim, Why::Room, now, out);
            }
        }
    }

    fn close(&mut self, conn: Conn, why: Why, now: Duration, out: &mut Vec<Action>) {
        self.counts[why as usize] += 1;
        self.remove(conn, now);
        out.push(Action::Close { conn, why });
    }

    fn remove(&mut self, conn: Conn, now: Duration) {
        let Some(place) = self.place(conn) else { return };
        let (client, neighbourhood, customer, busy) =
            (place.client, place.neighbourhood, place.customer, place.busy);
        self.rested.remove(conn.0 as u32);
        self.places[conn.0 as u32 as usize] = None;
        self.held -= 1;
        self.busy_guests -= usize::from(busy == Some(true));
        if let Some(at) = client {
            let known = self.known(self.clients.get(at), now);
            self.clients.closed(at, known);
        }
        if let Some(at) = neighbourhood {
            self.neighbourhoods.closed(at, false);
        }
        if let Some(at) = customer {
            let known = self.known(self.customers.get(at), now);
            self.customers.closed(at, known);
        }
    }
}
