//! The platform's front: clients' connections, their commands in order, their answers in the same order.

use super::core::{Answer, Ask, Core};
use super::{Io, Party};
use crate::limits::Limits;
use crate::protocol::command::{self, Held};
use crate::protocol::resp;
use crate::transport::{accept, is_fd_shortage, listening_at, Fill, Key, Ready, Slots, Stream};
use roseyard::{Class, CustomerId, Effect, Settings};
use roseyard_settings::Options;
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;
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
    /// Commands that could be read; from the second on it is one that comes again.
    asked: u32,
    /// An end was told of: only then is there more to see behind a short read.
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
            asked: 0,
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

    /// The next time at which it must have moved on.
    fn next_due(&self, limits: &Limits) -> Option<Duration> {
        if self.phase == Phase::Lingering {
            return Some(self.linger);
        }
        let stall = self.stall.map(|(at, _)| at);
        let part = self.begun.map(|at| at + limits.command_part);
        let idle = if self.asked > 1 { limits.client_idle } else { limits.client_silent };
        let idle = Some(self.used + idle).filter(|_| self.free() && self.begun.is_none());
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
    pub fn new(options: &Options, settings: &Settings, limits: &Limits) -> Terms {
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
        }
    }
}

/// All clients.
pub struct Front {
    listener: Option<OwnedFd>,
    clients: Slots<Client>,
    terms: Terms,
    /// Numbers of the requests that are open, as their clients gave them.
    open: HashSet<u64>,
    /// Bytes held for all clients.
    held: usize,
    dirty: Vec<Key>,
    /// Clients that go on in the next round.
    again: Vec<Key>,
    /// The listener is not watched until this time.
    paused: Option<Duration>,
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

fn answer_bytes(answer: Answer) -> Vec<u8> {
    match answer {
        Answer::Served(value) => {
            let mut out = Vec::with_capacity(value.len() + 16);
            resp::put_bulk(&mut out, &value);
            out
        }
        Answer::Refused(None) => b"-BUSY\r\n".to_vec(),
        Answer::Refused(Some(after)) => format!("-BUSY {}\r\n", after.as_millis().max(1)).into_bytes(),
        Answer::Failed => b"-ERR failed\r\n".to_vec(),
    }
}

impl Front {
    /// Listens for clients.
    pub fn new(listener: OwnedFd, terms: Terms, io: &Io) -> rustix::io::Result<Front> {
        io.poller.add_level(&listener, Party::Listener.token())?;
        Ok(Front {
            listener: Some(listener),
            clients: Slots::default(),
            terms,
            open: HashSet::new(),
            held: 0,
            dirty: Vec::new(),
            again: Vec::new(),
            paused: None,
            draining: false,
            scratch: vec![0; io.limits.round_discard],
            ready: false,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> Option<SocketAddr> {
        listening_at(self.listener.as_ref()?)
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
        // Guards against closing one that was just taken in, before it is read, for a next one: without
        // descriptors left the system tells of the want even if nobody waits.
        let mut taken = Vec::new();
        for _ in 0..most {
            if self.clients.len() > io.limits.clients && !self.evict(&taken, io) {
                return self.pause(io);
            }
            let Some(listener) = &self.listener else { return };
            match accept(listener, io.limits.chunk_bytes) {
                Ok(stream) => {
                    let key = self.clients.insert_with(|_| Client::new(stream, io.now));
                    let client = self.clients.get(key);
                    let token = Party::Client(key).token();
                    if client.is_some_and(|c| io.poller.add(c.stream.fd(), token).is_err()) {
                        self.clients.remove(key);
                    }
                    self.arm(key, io);
                    taken.push(key);
                    if self.clients.len() > io.limits.clients {
                        self.evict(&taken, io);
                    }
                }
                Err(Errno::AGAIN) => return,
                Err(Errno::INTR | Errno::CONNABORTED) => {}
                // Guards against a loop that spins on a listener it has no descriptor to serve.
                Err(e) if is_fd_shortage(e) => {
                    if !core.evict_idle(io) && !self.evict(&taken, io) {
                        io.log.warn(io.now, format_args!("clients: no descriptor left; accepting later"));
                        return self.pause(io);
                    }
                }
                Err(e) => {
                    io.log.warn(io.now, format_args!("clients: accept: {e}"));
                    return self.pause(io);
                }
            }
        }
    }

    fn pause(&mut self, io: &mut Io) {
        if let Some(listener) = self.listener.as_ref().filter(|_| self.paused.is_none()) {
            let _ = io.poller.remove(listener);
            io.deadlines.set(&mut self.paused, Some(io.now + io.limits.accept_again), Party::Listener);
        }
    }

    /// The listener's pause is over.
    pub fn on_listener_due(&mut self, core: &mut Core, io: &mut Io) {
        self.paused = None;
        if let Some(listener) = &self.listener {
            let _ = io.poller.add_level(listener, Party::Listener.token());
        }
        self.accept(io.limits.round_accepts, core, io);
    }

    /// Closes the connection between requests that is missed least: guards against silent or reconnecting
    /// clients by the hundreds, and against those that ask once and stay, which must not take the place of
    /// those that come again.
    fn evict(&mut self, but: &[Key], io: &mut Io) -> bool {
        let rank = |c: &Client| match c.phase {
            Phase::Lingering => 1,
            _ => c.asked.min(2) + u32::from(c.asked > 0),
        };
        let free = self.clients.iter().filter(|(key, c)| c.free() && !but.contains(key));
        let Some((key, _)) = free.min_by_key(|(_, c)| (rank(c), c.used)) else { return false };
        self.close(key, io);
        true
    }

    fn close(&mut self, key: Key, io: &mut Io) -> Option<Client> {
        let mut client = self.clients.remove(key)?;
        io.deadlines.set(&mut client.due, None, Party::Client(key));
        self.held -= client.held;
        Some(client)
    }

    /// The client is gone: what it waited for is called off.
    fn gone(&mut self, key: Key, core: &mut Core, io: &mut Io) {
        let Some(client) = self.close(key, io) else { return };
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
            io.log.warn(
                io.now,
                format_args!("clients: too many bytes held; the one that holds most is dropped"),
            );
            self.gone(most, core, io);
        }
    }

    /// Sees to it that the client's next deadline is heard of; a later one waits for the one that is set.
    fn arm(&mut self, key: Key, io: &mut Io) {
        let Some(client) = self.clients.get_mut(key) else { return };
        let Some(at) = client.next_due(&io.limits) else { return };
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
            return;
        }
        client.used = io.now;
        let filled = client.stream.fill(most, io.limits.chunk_bytes, client.hup);
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
        if matches!(filled, Fill::Ended | Fill::Broken) {
            // What it could not read is told all the same to one that has only ended its sending.
            let _ = client.stream.flush();
            return self.gone(key, core, io);
        }
        if self.draining && filled == Fill::Drained && !full && !part && client.phase == Phase::Open {
            client.phase = Phase::Ending;
            self.touch(key);
        }
        if full || filled == Fill::Limited {
            self.queue(key);
        }
        self.account(key, core, io);
        self.arm(key, io);
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
                return self.gone(key, core, io);
            }
        }
        self.account(key, core, io);
    }

    /// Takes whole commands from what was read. True if it stopped for a limit.
    fn parse(&mut self, key: Key, core: &mut Core, io: &mut Io) -> bool {
        let Some(client) = self.clients.get_mut(key) else { return false };
        let (mut at, mut taken) = (0, 0);
        let mut full = false;
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
                    (Ok(read_command(words.get(), (key, number), &self.terms, self.ready)), used)
                }
                Err(wrong) => (Err(wrong), 0),
            };
            (at, taken) = (at + used, taken + 1);
            if matches!(command, Ok(Command::Request(..) | Command::Reply(_))) {
                client.asked = client.asked.saturating_add(1);
            }
            match command {
                // Guards against one client that names another's open request: servers would drop one of them.
                Ok(Command::Request(_, id)) if self.open.contains(&id) => {
                    client.reply(b"-ERR request id in use\r\n");
                }
                Ok(Command::Request(ask, id)) => match core.submit(ask, io) {
                    Some(request) => {
                        self.open.insert(id);
                        client.pending.push_back(Pending::Waiting(request, id));
                    }
                    None => client.reply(&answer_bytes(Answer::Refused(Some(io.limits.busy_again)))),
                },
                Ok(Command::Reply(text)) => client.reply(text.as_bytes()),
                Ok(Command::Wrong(what)) => client.reply(format!("-ERR {what}\r\n").as_bytes()),
                Ok(Command::Quit) => {
                    client.reply(b"+OK\r\n");
                    client.phase = Phase::Ending;
                }
                Err(wrong) => client.protocol_error(wrong.0),
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
        if let Some(id) = client.settle(number, answer_bytes(answer)) {
            self.open.remove(&id);
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
                self.gone(key, core, io);
                continue;
            };
            if unwritten > 0 {
                client.stall = client.stall.or(Some((io.now + io.limits.client_stall, unwritten)));
            } else {
                (client.stall, client.used) = (None, io.now);
                client.stream.trim(8 * io.limits.chunk_bytes);
            }
            let blocked = std::mem::take(&mut client.blocked);
            if unwritten == 0 && client.phase == Phase::Ending && client.pending.is_empty() {
                // Closing at once would send a reset if more input has come, which destroys answers on their
                // way: what comes is thrown away until the other side ends too.
                client.phase = Phase::Lingering;
                let wait = if self.draining { io.limits.last_linger } else { io.limits.linger };
                client.linger = io.now + wait;
                match client.stream.end_sending() {
                    Ok(()) => self.queue(key),
                    Err(_) => self.gone(key, core, io),
                }
            } else if blocked {
                self.queue(key);
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
        if client.next_due(&io.limits).is_none_or(|at| at > io.now) {
            return self.arm(key, io);
        }
        let stalled = client.stall.is_some_and(|(at, _)| at <= io.now);
        if client.phase == Phase::Open && !stalled {
            if client.begun.take().is_some() {
                client.protocol_error("command not finished in time");
                return self.touch(key);
            }
            // What has just come is still read.
            if !client.stream.quiet() {
                return self.read(key, core, io);
            }
        }
        self.gone(key, core, io);
    }

    /// Takes in what still waits at the listener, then ends the connections, each after its last answer.
    pub fn drain(&mut self, core: &mut Core, io: &mut Io) {
        self.accept(io.limits.clients, core, io);
        io.deadlines.set(&mut self.paused, None, Party::Listener);
        (self.listener, self.draining) = (None, true);
        let keys: Vec<Key> = self.clients.iter().map(|(key, _)| key).collect();
        for key in keys {
            if let Some(client) = self.clients.get_mut(key).filter(|c| c.phase == Phase::Lingering) {
                client.linger = client.linger.min(io.now + io.limits.last_linger);
            }
            self.read(key, core, io);
            self.arm(key, io);
        }
    }
}

fn read_command(words: &[&[u8]], owner: (Key, u64), terms: &Terms, ready: bool) -> Command {
    let Some(name) = words.first() else { return Command::Wrong("empty command") };
    if command::is_request(name) {
        return match request(words, owner, terms) {
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
fn request(words: &[&[u8]], owner: (Key, u64), terms: &Terms) -> Result<(Ask, u64), &'static str> {
    let r = command::request(words)?;
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
    let ask = Ask {
        owner,
        class,
        plan,
        customer: CustomerId(r.customer),
        units: r.units,
        spread: r.spread,
        time_left: Duration::from_secs_f64((r.wait_ms / 1000.0).min(3600.0)),
        command: Held::new(words, &r),
    };
    Ok((ask, r.id))
}
