//! The platform's front: clients' connections, their commands in order, their answers in the same order.

use super::core::{Answer, Ask, Core};
use super::doors::{busy, conn, turn_away, Came, Doors};
use super::{Io, Party};
use crate::limits::Limits;
use crate::protocol::command::{self, Held};
use crate::protocol::resp;
use crate::transport::{spare, Fill, Key, Ready, Slots, Stream};
use roseyard::{Class, CustomerId, Effect, Settings};
use roseyard_admission::{Action, Event, Gate, Policy, Reputation, Use};
use roseyard_engine::Directory;
use roseyard_settings::Options;
use rustix::fd::OwnedFd;
use std::collections::{HashSet, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// The answer to one command.
enum Pending {
    /// A request that the core holds, and the number that its client gave it.
    Waiting(Key, u64),
    /// Ready, but behind one that is not.
    Done(Vec<u8>),
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    /// Commands are read.
    Open,
    /// No further command is read; the connection ends once all answers are written.
    Ending,
    /// Our sending has ended; the other side's end is awaited.
    Lingering,
}

struct Client {
    stream: Stream,
    pending: VecDeque<Pending>,
    /// Number of the first pending command.
    first: u64,
    /// Bytes of the answers that wait behind others.
    waiting: usize,
    phase: Phase,
    /// An end was told of: only then is there more to see behind a short read. The client has left: what it asked
    /// and what it still says is of no more use.
    hup: bool,
    /// Reading stopped short until answers have gone out.
    blocked: bool,
    /// It is on the list of those that go on in the next round.
    queued: bool,
    dirty: bool,
    used: Duration,
    /// Since when a command has been waiting for its rest.
    begun: Option<Duration>,
    /// Until when answers must have been taken in, and how many bytes were unwritten when that was set.
    stall: Option<(Duration, usize)>,
    /// Until when the other side's end is awaited, and what was thrown away since.
    linger: Duration,
    thrown: usize,
    /// Its share of the bytes held for all clients.
    held: usize,
    due: Option<Duration>,
}

impl Client {
    fn new(stream: Stream, now: Duration) -> Client {
        Client {
            stream,
            pending: VecDeque::new(),
            first: 0,
            waiting: 0,
            phase: Phase::Open,
            hup: false,
            blocked: false,
            queued: false,
            dirty: false,
            used: now,
            begun: None,
            stall: None,
            linger: Duration::ZERO,
            thrown: 0,
            held: 0,
            due: None,
        }
    }

    /// Puts an answer in its place; those in front go out. Hands back the request's own number.
    fn settle(&mut self, number: u64, bytes: Vec<u8>) -> Option<u64> {
        let place = self.pending.get_mut(usize::try_from(number.checked_sub(self.first)?).ok()?)?;
        let Pending::Waiting(_, id) = *place else { return None };
        self.waiting += bytes.len();
        *place = Pending::Done(bytes);
        while let Some(Pending::Done(bytes)) = self.pending.front() {
            self.waiting -= bytes.len();
            self.stream.output().extend_from_slice(bytes);
            self.pending.pop_front();
            self.first += 1;
        }
        Some(id)
    }

    /// Answers a command at once, behind those that wait.
    fn reply(&mut self, bytes: &[u8]) {
        if self.pending.is_empty() {
            self.stream.output().extend_from_slice(bytes);
            self.first += 1;
        } else {
            self.waiting += bytes.len();
            self.pending.push_back(Pending::Done(bytes.to_vec()));
        }
    }

    /// Says what cannot be read on; nothing that follows can be told apart.
    fn protocol_error(&mut self, what: &str) {
        self.reply(format!("-ERR Protocol error: {what}\r\n").as_bytes());
        self.phase = Phase::Ending;
    }

    /// Is it between requests?
    fn free(&self) -> bool {
        self.pending.is_empty() && self.stream.unwritten() == 0
    }

    /// Between requests while the process ends. Guards against a newcomer whose first request is on its way when
    /// its connection ends.
    fn is_over(&self, now: Duration, limits: &Limits) -> bool {
        let heard = self.first > 0 || now >= self.used + limits.drain_newcomer;
        self.phase == Phase::Open && self.free() && self.stream.input().is_empty() && heard
    }

    /// The next time at which it must have moved on.
    fn next_due(&self, patience: Duration, limits: &Limits) -> Option<Duration> {
        if self.phase == Phase::Lingering {
            return Some(self.linger);
        }
        let stall = self.stall.map(|(at, _)| at);
        let part = self.begun.map(|at| at + limits.command_part);
        let idle = Some(self.used + patience).filter(|_| self.free() && self.begun.is_none());
        [stall, part, idle].into_iter().flatten().min()
    }
}

/// What a request may name, by the index that the module knows it by, and its figures.
pub struct Terms {
    /// Classes.
    pub classes: Vec<ClassTerms>,
    /// Names of plans.
    pub plans: Vec<String>,
    /// Ingresses of the tier.
    pub ingresses: u32,
    /// Most units of a request.
    pub units: f64,
    /// The name in a request's list of names and values that carries its route; none: requests have no route.
    pub route_field: Option<String>,
}

/// What is asked of a class's requests.
pub struct ClassTerms {
    /// Its name.
    pub name: String,
    /// May it safely be repeated, and comes with `API.READ`?
    pub safe: bool,
    /// Does it carry a key?
    pub keyed: bool,
}

impl Terms {
    /// The terms of these settings.
    pub fn new(options: &Options, settings: &Settings, limits: &Limits, route_field: Option<&str>) -> Terms {
        let class = |(name, class): (&str, &Class)| ClassTerms {
            name: name.to_owned(),
            safe: class.effect == Effect::Safe,
            keyed: matches!(class.effect, Effect::Keyed { .. }),
        };
        Terms {
            classes: options.class_names().into_iter().zip(&settings.classes).map(class).collect(),
            plans: options.plan_names().into_iter().map(str::to_owned).collect(),
            ingresses: settings.gateways.max(1),
            units: limits.units,
            route_field: route_field.map(str::to_owned),
        }
    }
}

/// All clients.
pub struct Front {
    doors: Doors,
    clients: Slots<Client>,
    terms: Terms,
    /// Numbers of the requests that are open, as their clients gave them.
    open: HashSet<u64>,
    /// Bytes held for all clients.
    held: usize,
    dirty: Vec<Key>,
    /// Clients that go on in the next round.
    again: Vec<Key>,
    /// Connections end once they are between requests.
    draining: bool,
    /// Stands for what is thrown away; never written to.
    scratch: Vec<u8>,
    /// Is `PING` answered?
    pub ready: bool,
}

/// Words of a command, as a client may send it.
enum Command {
    /// A request, and the number that its client gave it.
    Request(Ask, u64),
    Reply(&'static str),
    /// It cannot be carried out; what follows can still be told apart.
    Wrong(&'static str),
    Quit,
}

/// Takes a connection out of the tables; its socket closes with what is handed back.
fn close(key: Key, clients: &mut Slots<Client>, held: &mut usize, io: &mut Io) -> Option<Client> {
    let mut client = clients.remove(key)?;
    io.deadlines.set(&mut client.due, None, Party::Client(key));
    io.budget.give(Use::Clients);
    *held -= client.held;
    Some(client)
}

/// Closes a connection that admission has named. Whom it turns away or refuses is seen to where that was asked.
fn carry_out(action: Action, clients: &mut Slots<Client>, held: &mut usize, io: &mut Io) {
    if let Action::Close { conn, .. } = action {
        close(Key::unpack(conn.0), clients, held, io);
    }
}

/// How long a connection may rest; while the process ends, only as long as a newcomer's first request may take.
fn patience(gate: &Gate, key: Key, draining: bool, limits: &Limits) -> Duration {
    let patience = gate.patience(conn(key));
    if draining {
        patience.min(limits.drain_newcomer)
    } else {
        patience
    }
}

fn answer_bytes(answer: Answer) -> Vec<u8> {
    match answer {
        Answer::Served(value) => {
            let mut out = Vec::with_capacity(value.len() + 16);
            resp::put_bulk(&mut out, &value);
            out
        }
        Answer::Refused(after) => busy(after),
        Answer::Failed => b"-ERR failed\r\n".to_vec(),
    }
}

impl Front {
    /// Listens for clients; `secret` keeps others from choosing addresses that collide in tables.
    pub fn new(
        listener: OwnedFd,
        terms: Terms,
        policy: Policy,
        secret: u64,
        io: &mut Io,
    ) -> rustix::io::Result<Front> {
        Ok(Front {
            doors: Doors::new(listener, policy, secret, io)?,
            clients: Slots::default(),
            terms,
            open: HashSet::new(),
            held: 0,
            dirty: Vec::new(),
            again: Vec::new(),
            draining: false,
            scratch: vec![0; io.limits.round_discard],
            ready: false,
        })
    }

    /// Requests carry their route in this field from now on.
    pub fn set_route_field(&mut self, field: Option<&str>) {
        self.terms.route_field = field.map(str::to_owned);
    }

    /// Where it listens.
    pub fn address(&self) -> Option<SocketAddr> {
        self.doors.address()
    }

    /// Clients connected.
    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// Is nobody connected?
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// Requests that are open, by their clients' numbers, and bytes held for all clients.
    pub fn held(&self) -> (usize, usize) {
        (self.open.len(), self.held)
    }

    /// Has some client more to say that waits for the next round?
    pub fn has_more(&self) -> bool {
        !self.again.is_empty()
    }

    /// Connections wait at the listener.
    pub fn accept(&mut self, most: usize, core: &mut Core, io: &mut Io) {
        for _ in 0..most {
            match self.doors.next(io) {
                Came::Connection(stream, peer) => self.take_in(stream, peer, core, io),
                Came::Nothing => return,
                Came::Next => {}
                Came::Shortage => {
                    if !core.evict_idle(io) && !self.make_room(io) {
                        return self.doors.turn_away_one(io);
                    }
                }
            }
        }
    }

    /// Sees to it that a spare descriptor is held again after it was used.
    pub fn keep_spare(&mut self, io: &mut Io) {
        if io.spare.is_none() {
            io.spare = spare();
            if io.spare.is_none() && self.make_room(io) {
                io.spare = spare();
            }
        }
    }

    /// A connection was accepted: it stays if admission and the descriptors allow.
    fn take_in(&mut self, stream: Stream, peer: IpAddr, core: &mut Core, io: &mut Io) {
        let key = self.clients.insert_with(|_| Client::new(stream, io.now));
        let mut away = None;
        let event = Event::Connected { conn: conn(key), peer };
        let (doors, clients, held) = (&mut self.doors, &mut self.clients, &mut self.held);
        doors.tell(event, io, |action, io| match action {
            Action::TurnAway { after, .. } => away = Some(after),
            _ => carry_out(action, clients, held, io),
        });
        if let Some(after) = away {
            if let Some(client) = self.clients.remove(key) {
                turn_away(client.stream, after);
            }
            return;
        }
        // Servers may have borrowed the descriptor that this place stands for.
        if !core.take_descriptor(Use::Clients, io) {
            self.doors.tell(Event::Closed { conn: conn(key), fault: false }, io, |_, _| ());
            if let Some(client) = self.clients.remove(key) {
                turn_away(client.stream, self.doors.gate.policy().advice);
            }
            return;
        }
        let client = self.clients.get(key);
        if client.is_some_and(|c| io.poller.add(c.stream.fd(), Party::Client(key).token()).is_err()) {
            self.close(key, false, io);
        }
        self.arm(key, io);
    }

    /// Closes the connection between requests that is to go first; false if there is none.
    fn make_room(&mut self, io: &mut Io) -> bool {
        let before = self.clients.len();
        self.tell(Event::Shortage, io);
        self.clients.len() < before
    }

    /// Tells admission, and closes what is to be closed.
    fn tell(&mut self, event: Event, io: &mut Io) {
        let (doors, clients, held) = (&mut self.doors, &mut self.clients, &mut self.held);
        doors.tell(event, io, |action, io| carry_out(action, clients, held, io));
    }

    /// Admission goes by other settings from now on.
    pub fn set_policy(&mut self, policy: Policy, io: &mut Io) {
        for action in self.doors.set_policy(policy, io) {
            carry_out(action, &mut self.clients, &mut self.held, io);
        }
    }

    /// Admission, with what is known of clients.
    pub fn gate(&self) -> &Gate {
        &self.doors.gate
    }

    /// Admission, to be told what was known before the start.
    pub fn gate_mut(&mut self) -> &mut Gate {
        &mut self.doors.gate
    }

    /// It is time to tell what admission did.
    pub fn on_report_due(&mut self) {
        self.doors.on_report_due();
    }

    /// The listener's pause is over.
    pub fn on_listener_due(&mut self, io: &mut Io) {
        self.doors.go_on(io);
    }

    /// Ends a connection; `fault` if that speaks against its address.
    fn close(&mut self, key: Key, fault: bool, io: &mut Io) -> Option<Client> {
        let client = close(key, &mut self.clients, &mut self.held, io)?;
        self.tell(Event::Closed { conn: conn(key), fault }, io);
        Some(client)
    }

    /// The client is gone: what it waited for is called off.
    fn gone(&mut self, key: Key, fault: bool, core: &mut Core, io: &mut Io) {
        let Some(client) = self.close(key, fault, io) else { return };
        for pending in client.pending {
            if let Pending::Waiting(request, id) = pending {
                self.open.remove(&id);
                core.abandon(request);
            }
        }
    }

    /// Counts what a client's connection holds. Over the limit for all, those that hold most are dropped.
    fn account(&mut self, key: Key, core: &mut Core, io: &mut Io) {
        if let Some(client) = self.clients.get_mut(key) {
            let held = client.stream.input().len() + client.stream.unwritten() + client.waiting;
            self.held = self.held - client.held + held;
            client.held = held;
        }
        while self.held > io.limits.client_bytes {
            let most = self.clients.iter().max_by_key(|(_, c)| c.held).map(|(key, _)| key);
            let Some(most) = most else { return };
            tracing::warn!(
                event = "clients.bytes",
                "clients: too many bytes held; the one that holds most is dropped"
            );
            self.gone(most, true, core, io);
        }
    }

    /// Sees to it that the client's next deadline is heard of; a later one waits for the one that is set.
    fn arm(&mut self, key: Key, io: &mut Io) {
        let Some(client) = self.clients.get_mut(key) else { return };
        let patience = patience(&self.doors.gate, key, self.draining, &io.limits);
        let Some(at) = client.next_due(patience, &io.limits) else { return };
        if client.due.is_none_or(|due| at < due) {
            io.deadlines.set(&mut client.due, Some(at), Party::Client(key));
        }
    }

    /// A client's connection is ready.
    pub fn on_client(&mut self, key: Key, ready: Ready, core: &mut Core, io: &mut Io) {
        let Some(client) = self.clients.get_mut(key) else { return };
        client.hup |= ready.ended;
        if ready.writable && client.stream.unwritten() > 0 {
            self.touch(key);
        }
        if ready.readable {
            self.read(key, core, io);
        }
    }

    /// Goes on with those that had more to say than a round has room for.
    pub fn resume(&mut self, core: &mut Core, io: &mut Io) {
        for key in std::mem::take(&mut self.again) {
            if let Some(client) = self.clients.get_mut(key) {
                client.queued = false;
                self.read(key, core, io);
            }
        }
    }

    fn touch(&mut self, key: Key) {
        if let Some(client) = self.clients.get_mut(key).filter(|c| !c.dirty) {
            client.dirty = true;
            self.dirty.push(key);
        }
    }

    fn queue(&mut self, key: Key) {
        if let Some(client) = self.clients.get_mut(key).filter(|c| !c.queued) {
            client.queued = true;
            self.again.push(key);
        }
    }

    fn read(&mut self, key: Key, core: &mut Core, io: &mut Io) {
        let most = io.limits.value_bytes + io.limits.line_bytes;
        let Some(client) = self.clients.get_mut(key) else { return };
        if client.phase != Phase::Open {
            return self.discard(key, core, io);
        }
        // Guards against a client that sends without reading its answers, or without end.
        let behind = client.stream.unwritten() > io.limits.unread_bytes;
        client.blocked = behind || client.pending.len() >= io.limits.pipelined;
        if client.blocked {
            return self.read_ahead(key, behind, core, io);
        }
        client.used = io.now;
        let filled = client.stream.fill(most, io.limits.chunk_bytes, client.hup);
        client.hup |= matches!(filled, Fill::Ended | Fill::Broken);
        let full = self.parse(key, core, io);
        let Some(client) = self.clients.get_mut(key) else { return };
        // Guards against a command whose words are each short enough but which never ends: it would be held,
        // and read for more, without bound.
        if !full && client.phase == Phase::Open && client.stream.input().len() >= most {
            client.protocol_error("command too long");
            self.touch(key);
        }
        let Some(client) = self.clients.get_mut(key) else { return };
        let part = client.phase == Phase::Open && !full && !client.stream.input().is_empty();
        client.begun = client.begun.or(Some(io.now)).filter(|_| part);
        if client.hup {
            // What it could not read is told all the same to one that has only ended its sending.
            let _ = client.stream.flush();
            return self.gone(key, part, core, io);
        }
        if self.draining {
            self.touch(key);
        }
        if full || filled == Fill::Limited {
            self.queue(key);
        }
        self.account(key, core, io);
        self.arm(key, io);
    }

    /// Commands are not taken in for now, but the client's end must be seen: guards against requests that are sent on
    /// for a client that has left meanwhile. The end of one that reads its answers stands behind all that it has sent;
    /// one that does not read them resets its connection.
    fn read_ahead(&mut self, key: Key, unread_answers: bool, core: &mut Core, io: &mut Io) {
        let Some(client) = self.clients.get_mut(key) else { return };
        if !unread_answers {
            let filled = client.stream.fill(io.limits.ahead_bytes, io.limits.chunk_bytes, client.hup);
            client.hup |= matches!(filled, Fill::Ended | Fill::Broken);
        }
        if client.hup {
            return self.gone(key, false, core, io);
        }
        self.account(key, core, io);
    }

    /// What still comes is not read as commands and not held, but an end must be seen.
    fn discard(&mut self, key: Key, core: &mut Core, io: &mut Io) {
        let Some(client) = self.clients.get_mut(key) else { return };
        client.begun = None;
        let (filled, thrown) = client.stream.discard(io.limits.round_discard, &mut self.scratch);
        client.thrown += thrown;
        match filled {
            Fill::Drained => {}
            Fill::Limited if client.thrown < io.limits.discard => self.queue(key),
            _ => {
                let _ = client.stream.flush();
                return self.gone(key, false, core, io);
            }
        }
        self.account(key, core, io);
    }

    /// Takes whole commands from what was read. True if it stopped for a limit.
    fn parse(&mut self, key: Key, core: &mut Core, io: &mut Io) -> bool {
        let Some(client) = self.clients.get_mut(key) else { return false };
        let (mut at, mut taken) = (0, 0);
        let (mut full, name) = (false, conn(key));
        while client.phase == Phase::Open {
            client.blocked = client.pending.len() >= io.limits.pipelined;
            if client.blocked || taken >= io.limits.round_commands {
                full = true;
                break;
            }
            let (command, used) = match resp::command(&client.stream.input()[at..], &io.limits) {
                Ok(None) => break,
                Ok(Some((words, used))) => {
                    let number = client.first + client.pending.len() as u64;
                    (
                        Ok(read_command(
                            words.get(),
                            (key, number),
                            &self.terms,
                            core.directory(),
                            self.ready,
                        )),
                        used,
                    )
                }
                Err(wrong) => (Err(wrong), 0),
            };
            (at, taken) = (at + used, taken + 1);
            // Between requests this tells nothing to be done but whether a request is to be refused.
            let doors = &mut self.doors;
            let mut tell = |event, io: &mut Io| {
                let mut refused = None;
                doors.tell(event, io, |action, _| {
                    if let Action::Refuse { after } = action {
                        refused = Some(after);
                    }
                });
                refused
            };
            match command {
                // Guards against counting and sending on what nobody waits for.
                Ok(Command::Request(..)) if client.hup => {}
                // Guards against a request that was on its way when the drain began and would wait for a server
                // past the end of the process; and against one that is sent by a list from before the start.
                Ok(Command::Request(..)) if self.draining || !self.ready => client.reply(&busy(None)),
                // Guards against one client that names another's open request: servers would drop one of them.
                Ok(Command::Request(_, id)) if self.open.contains(&id) => {
                    tell(Event::Wrong(name), io);
                    client.reply(b"-ERR request id in use\r\n");
                }
                Ok(Command::Request(ask, id)) => {
                    let customer = ask.customer.0;
                    let refused = tell(Event::Asked { conn: name, customer }, io);
                    match refused.map_or_else(|| core.submit(ask).ok_or(io.limits.busy_again), Err) {
                        Ok(request) => {
                            self.open.insert(id);
                            client.pending.push_back(Pending::Waiting(request, id));
                        }
                        Err(after) => client.reply(&busy(Some(after))),
                    }
                }
                Ok(Command::Reply(text)) => {
                    tell(Event::Greeted(name), io);
                    client.reply(text.as_bytes());
                }
                Ok(Command::Wrong(what)) => {
                    tell(Event::Wrong(name), io);
                    client.reply(format!("-ERR {what}\r\n").as_bytes());
                }
                Ok(Command::Quit) => {
                    client.reply(b"+OK\r\n");
                    client.phase = Phase::Ending;
                }
                Err(wrong) => {
                    tell(Event::Wrong(name), io);
                    client.protocol_error(wrong.0);
                }
            }
        }
        client.stream.take(at);
        if client.stream.unwritten() > 0 || client.phase == Phase::Ending {
            self.touch(key);
        }
        full
    }

    /// Passes an answer on.
    pub fn answer(&mut self, (key, number): (Key, u64), answer: Answer, core: &mut Core, io: &mut Io) {
        let Some(client) = self.clients.get_mut(key) else { return };
        let served = matches!(answer, Answer::Served(_));
        if let Some(id) = client.settle(number, answer_bytes(answer)) {
            self.open.remove(&id);
            self.tell(Event::Answered { conn: conn(key), served }, io);
        }
        self.touch(key);
        self.account(key, core, io);
    }

    /// Writes all answers of this round.
    pub fn flush(&mut self, core: &mut Core, io: &mut Io) {
        while let Some(key) = self.dirty.pop() {
            let Some(client) = self.clients.get_mut(key) else { continue };
            client.dirty = false;
            let Ok(unwritten) = client.stream.flush() else {
                self.gone(key, false, core, io);
                continue;
            };
            if unwritten > 0 {
                client.stall = client.stall.or(Some((io.now + io.limits.client_stall, unwritten)));
            } else {
                client.stall = None;
                client.used = if client.first > 0 { io.now } else { client.used };
                client.stream.trim(8 * io.limits.chunk_bytes);
            }
            let blocked = std::mem::take(&mut client.blocked);
            if self.draining && !blocked && client.is_over(io.now, &io.limits) {
                // What has come behind the last answer is answered too.
                match client.stream.quiet() {
                    true => client.phase = Phase::Ending,
                    false => self.queue(key),
                }
            }
            let Some(client) = self.clients.get_mut(key) else { continue };
            if unwritten == 0 && client.phase == Phase::Ending && client.pending.is_empty() {
                // Closing at once would send a reset if more input has come, which destroys answers on their
                // way: what comes is thrown away until the other side ends too.
                client.phase = Phase::Lingering;
                let wait = if self.draining { io.limits.last_linger } else { io.limits.linger };
                client.linger = io.now + wait;
                match client.stream.end_sending() {
                    Ok(()) => {
                        self.queue(key);
                        self.tell(Event::Ending(conn(key)), io);
                    }
                    Err(_) => self.gone(key, false, core, io),
                }
            } else {
                let rests = client.free();
                if blocked {
                    self.queue(key);
                }
                if rests {
                    self.tell(Event::Rested(conn(key)), io);
                }
            }
            self.account(key, core, io);
            self.arm(key, io);
        }
    }

    /// A client's deadline has come: it says nothing, reads nothing, stops amid a command or does not end.
    pub fn on_client_due(&mut self, key: Key, core: &mut Core, io: &mut Io) {
        let Some(client) = self.clients.get_mut(key) else { return };
        client.due = None;
        let unwritten = client.stream.unwritten();
        client.stall = client.stall.map(|(at, before)| match at <= io.now && unwritten < before {
            true => (io.now + io.limits.client_stall, unwritten),
            false => (at, before),
        });
        let patience = patience(&self.doors.gate, key, self.draining, &io.limits);
        if client.next_due(patience, &io.limits).is_none_or(|at| at > io.now) {
            return self.arm(key, io);
        }
        let stalled = client.stall.is_some_and(|(at, _)| at <= io.now);
        let mut fault = stalled;
        if client.phase == Phase::Open && !stalled {
            if client.begun.take().is_some() {
                client.protocol_error("command not finished in time");
                self.tell(Event::Wrong(conn(key)), io);
                return self.touch(key);
            }
            // What has just come is still read.
            if !client.stream.quiet() {
                return self.read(key, core, io);
            }
            if self.draining {
                return self.touch(key);
            }
            fault = self.doors.gate.reputation(conn(key), io.now) <= Some(Reputation::Silent);
        }
        self.gone(key, fault, core, io);
    }

    /// Takes in what still waits at the listener, then ends the connections, each after its last answer. What comes
    /// from now on is refused at once: an answer to it might come later than the end of the process.
    pub fn drain(&mut self, core: &mut Core, io: &mut Io) {
        self.accept(io.limits.backlog.unsigned_abs() as usize, core, io);
        self.doors.shut(io);
        let keys: Vec<Key> = self.clients.iter().map(|(key, _)| key).collect();
        for key in &keys {
            if let Some(client) = self.clients.get_mut(*key).filter(|c| c.phase == Phase::Lingering) {
                client.linger = client.linger.min(io.now + io.limits.last_linger);
            }
            self.read(*key, core, io);
        }
        self.draining = true;
        for key in keys {
            self.touch(key);
            self.arm(key, io);
        }
    }

    /// Every request has had its answer: no connection is waited for any longer.
    pub fn stop(&mut self) {
        let keys: Vec<Key> = self.clients.iter().map(|(key, _)| key).collect();
        for key in keys {
            if let Some(client) = self.clients.get_mut(key).filter(|c| c.phase == Phase::Open) {
                client.phase = Phase::Ending;
            }
            self.touch(key);
        }
    }
}

fn read_command(
    words: &[&[u8]],
    owner: (Key, u64),
    terms: &Terms,
    directory: &Directory,
    ready: bool,
) -> Command {
    let Some(name) = words.first() else { return Command::Wrong("empty command") };
    if command::is_request(name) {
        return match request(words, owner, terms, directory) {
            Ok((ask, id)) => Command::Request(ask, id),
            Err(wrong) => Command::Wrong(wrong),
        };
    }
    let is = |known: &str| name.eq_ignore_ascii_case(known.as_bytes());
    if is("PING") {
        Command::Reply(if ready { "+PONG\r\n" } else { "-LOADING waiting for discovery\r\n" })
    } else if is("QUIT") {
        Command::Quit
    } else if is("CLIENT") || is("SELECT") {
        Command::Reply("+OK\r\n")
    } else {
        Command::Wrong("unknown command")
    }
}

/// Holds a request against what the settings know. Guards against figures that would spoil a usual customer's
/// count, and against passing on what no server takes.
fn request(
    words: &[&[u8]],
    owner: (Key, u64),
    terms: &Terms,
    directory: &Directory,
) -> Result<(Ask, u64), &'static str> {
    let r = command::request(words, terms.route_field.as_deref())?;
    let class = terms.classes.iter().position(|c| c.name == r.class).ok_or("unknown class")?;
    let plan = terms.plans.iter().position(|p| p == r.plan).ok_or("unknown plan")?;
    let wanted = &terms.classes[class];
    if wanted.safe != command::is_read(words[0]) {
        return Err("this class goes with the other command");
    }
    if wanted.keyed && r.key.is_none() {
        return Err("k is missing");
    }
    if r.units < 1.0 || r.units > terms.units {
        return Err("units out of range");
    }
    if r.spread < 1 || r.spread > terms.ingresses || r.first >= terms.ingresses {
        return Err("spread or first out of range");
    }
    if r.wait_ms <= 0.0 {
        return Err("d out of range");
    }
    let service = match r.route {
        Some(route) => directory.service_of_route(route).ok_or("unknown route")?,
        None => directory.default_service().ok_or("route is missing")?,
    };
    let command = Held::new(words, &r);
    let ask = Ask {
        service,
        bytes: command.len(),
        owner,
        class,
        plan,
        customer: CustomerId(r.customer),
        units: r.units,
        spread: r.spread,
        time_left: Duration::from_secs_f64((r.wait_ms / 1000.0).min(3600.0)),
        retry: r.retry,
        command,
    };
    Ok((ask, r.id))
}
