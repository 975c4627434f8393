//! The platform's front: clients' connections, their commands in order, their answers in the same order.

use super::core::{Answer, Ask, Core};
use super::{Io, Party};
use crate::protocol::command::{self, Held};
use crate::protocol::resp;
use crate::transport::{accept, is_fd_shortage, listening_at, Fill, Key, Ready, Slots, Stream};
use roseyard::CustomerId;
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// The answer to one command.
enum Pending {
    /// A request that the core holds.
    Waiting(Key),
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
    phase: Phase,
    /// Reading stopped short, by a limit of ours.
    more: bool,
    dirty: bool,
    used: Duration,
    /// Bytes that were unwritten when the deadline was set.
    stalled: usize,
    due: Option<Duration>,
}

impl Client {
    /// Puts an answer in its place; those in front go out.
    fn settle(&mut self, number: u64, bytes: Vec<u8>) {
        let Some(n) = number.checked_sub(self.first) else { return };
        let Some(place) = self.pending.get_mut(n as usize) else { return };
        *place = Pending::Done(bytes);
        while let Some(Pending::Done(bytes)) = self.pending.front() {
            self.stream.output().extend_from_slice(bytes);
            self.pending.pop_front();
            self.first += 1;
        }
    }

    /// Answers a command at once, behind those that wait.
    fn reply(&mut self, bytes: &[u8]) {
        if self.pending.is_empty() {
            self.stream.output().extend_from_slice(bytes);
            self.first += 1;
        } else {
            self.pending.push_back(Pending::Done(bytes.to_vec()));
        }
    }
}

/// Names of classes and plans, by the index that the module knows them by.
pub struct Names {
    /// Classes.
    pub classes: Vec<String>,
    /// Plans.
    pub plans: Vec<String>,
}

/// All clients.
pub struct Front {
    listener: Option<OwnedFd>,
    clients: Slots<Client>,
    names: Names,
    dirty: Vec<Key>,
    /// The listener is not watched until this time.
    paused: Option<Duration>,
    /// Is `PING` answered?
    pub ready: bool,
}

/// Words of a command, as a client may send it.
enum Command {
    Request(Ask),
    Reply(&'static str),
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
    pub fn new(listener: OwnedFd, names: Names, io: &Io) -> rustix::io::Result<Front> {
        io.poller.add_level(&listener, Party::Listener.token())?;
        Ok(Front {
            listener: Some(listener),
            clients: Slots::default(),
            names,
            dirty: Vec::new(),
            paused: None,
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

    /// Connections wait at the listener.
    pub fn accept(&mut self, core: &mut Core, io: &mut Io) {
        while self.listener.is_some() {
            if self.clients.len() > io.limits.clients && !self.evict(None, io) {
                return self.pause(io);
            }
            let Some(listener) = &self.listener else { return };
            match accept(listener, io.limits.chunk_bytes) {
                Ok(stream) => {
                    let key = self.clients.insert_with(|_| Client {
                        stream,
                        pending: VecDeque::new(),
                        first: 0,
                        phase: Phase::Open,
                        more: false,
                        dirty: false,
                        used: io.now,
                        stalled: 0,
                        due: None,
                    });
                    let client = self.clients.get(key);
                    let token = Party::Client(key).token();
                    if client.is_some_and(|c| io.poller.add(c.stream.fd(), token).is_err()) {
                        self.clients.remove(key);
                    }
                    // Room is made once a connection has come, not before: guards against closing the one
                    // just taken in for a next one that does not exist.
                    if self.clients.len() > io.limits.clients {
                        self.evict(Some(key), io);
                    }
                }
                Err(Errno::AGAIN) => return,
                Err(Errno::INTR | Errno::CONNABORTED) => {}
                // Guards against a loop that spins on a listener it has no descriptor to serve.
                Err(e) if is_fd_shortage(e) => {
                    if !core.evict_idle(io) && !self.evict(None, io) {
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
        self.accept(core, io);
    }

    /// Closes the connection that has been between requests for longest.
    fn evict(&mut self, but: Option<Key>, io: &mut Io) -> bool {
        let free = |c: &Client| c.pending.is_empty() && c.stream.unwritten() == 0;
        let idle = self.clients.iter().filter(|(key, c)| Some(*key) != but && free(c));
        let Some((key, _)) = idle.min_by_key(|(_, c)| c.used) else { return false };
        self.close(key, io);
        true
    }

    fn close(&mut self, key: Key, io: &mut Io) -> Option<Client> {
        let mut client = self.clients.remove(key)?;
        io.deadlines.set(&mut client.due, None, Party::Client(key));
        Some(client)
    }

    /// The client is gone: what it waited for is called off.
    fn gone(&mut self, key: Key, core: &mut Core, io: &mut Io) {
        let Some(client) = self.close(key, io) else { return };
        for pending in client.pending {
            if let Pending::Waiting(request) = pending {
                core.abandon(request);
            }
        }
    }

    /// A client's connection is ready.
    pub fn on_client(&mut self, key: Key, ready: Ready, core: &mut Core, io: &mut Io) {
        let Some(client) = self.clients.get_mut(key) else { return };
        if ready.writable && client.stream.unwritten() > 0 {
            self.touch(key);
        }
        if ready.readable {
            self.read(key, ready.ended, core, io);
        }
    }

    fn touch(&mut self, key: Key) {
        if let Some(client) = self.clients.get_mut(key).filter(|c| !c.dirty) {
            client.dirty = true;
            self.dirty.push(key);
        }
    }

    fn read(&mut self, key: Key, ended: bool, core: &mut Core, io: &mut Io) {
        let most = io.limits.value_bytes + io.limits.line_bytes;
        loop {
            let Some(client) = self.clients.get_mut(key) else { return };
            if client.phase != Phase::Open {
                // What still comes is not read as commands, but an end must be seen.
                let filled = client.stream.fill(most, io.limits.chunk_bytes, true);
                let unread = client.stream.input().len();
                client.stream.take(unread);
                match filled {
                    Fill::Limited => continue,
                    Fill::Drained => return,
                    Fill::Ended | Fill::Broken => return self.gone(key, core, io),
                }
            }
            // Guards against a client that sends without reading its answers, or without end.
            let behind = client.stream.unwritten() > io.limits.unread_bytes;
            if behind || client.pending.len() >= io.limits.pipelined {
                client.more = true;
                return;
            }
            client.more = false;
            client.used = io.now;
            let filled = client.stream.fill(most, io.limits.chunk_bytes, ended);
            let full = self.parse(key, core, io);
            if !full {
                self.refuse_unending(key, most);
            }
            match filled {
                Fill::Ended | Fill::Broken => return self.gone(key, core, io),
                Fill::Drained if !full => return,
                _ => {}
            }
        }
    }

    /// Guards against a command whose words are each short enough but which never ends: it would be held, and
    /// read for more, without bound.
    fn refuse_unending(&mut self, key: Key, most: usize) {
        let Some(client) = self.clients.get_mut(key) else { return };
        if client.phase == Phase::Open && client.stream.input().len() >= most {
            client.reply(b"-ERR Protocol error: command too long\r\n");
            client.phase = Phase::Ending;
            self.touch(key);
        }
    }

    /// Takes whole commands from what was read. True if it stopped for a limit.
    fn parse(&mut self, key: Key, core: &mut Core, io: &mut Io) -> bool {
        let Some(client) = self.clients.get_mut(key) else { return false };
        let mut at = 0;
        let mut full = false;
        while client.phase == Phase::Open {
            if client.pending.len() >= io.limits.pipelined {
                full = true;
                break;
            }
            let (command, used) = match resp::command(&client.stream.input()[at..], &io.limits) {
                Ok(None) => break,
                Ok(Some((words, used))) => {
                    let number = client.first + client.pending.len() as u64;
                    (Ok(read_command(words.get(), (key, number), &self.names, self.ready)), used)
                }
                Err(wrong) => (Err(wrong), 0),
            };
            at += used;
            match command {
                Ok(Command::Request(ask)) => match core.submit(ask, io) {
                    Some(request) => client.pending.push_back(Pending::Waiting(request)),
                    None => client.reply(&answer_bytes(Answer::Refused(Some(io.limits.busy_again)))),
                },
                Ok(Command::Reply(text)) => client.reply(text.as_bytes()),
                Ok(Command::Quit) => {
                    client.reply(b"+OK\r\n");
                    client.phase = Phase::Ending;
                }
                // Framing is lost: nothing that follows can be told apart.
                Err(wrong) => {
                    client.reply(format!("-ERR Protocol error: {}\r\n", wrong.0).as_bytes());
                    client.phase = Phase::Ending;
                }
            }
        }
        if let Some(client) = self.clients.get_mut(key) {
            client.stream.take(at);
            if client.stream.unwritten() > 0 || client.phase == Phase::Ending {
                self.touch(key);
            }
        }
        full
    }

    /// Passes an answer on.
    pub fn answer(&mut self, (key, number): (Key, u64), answer: Answer) {
        if let Some(client) = self.clients.get_mut(key) {
            client.settle(number, answer_bytes(answer));
            self.touch(key);
        }
    }

    /// Writes all answers of this round, and those to what a client could say only once it was rid of others.
    pub fn flush(&mut self, core: &mut Core, io: &mut Io) {
        while let Some(key) = self.dirty.pop() {
            let Some(client) = self.clients.get_mut(key) else { continue };
            client.dirty = false;
            let Ok(unwritten) = client.stream.flush() else {
                self.gone(key, core, io);
                continue;
            };
            if unwritten > 0 {
                if client.due.is_none() {
                    client.stalled = unwritten;
                    let at = io.now + io.limits.client_stall;
                    io.deadlines.set(&mut client.due, Some(at), Party::Client(key));
                }
            } else if client.phase != Phase::Lingering {
                io.deadlines.set(&mut client.due, None, Party::Client(key));
                client.stream.trim(8 * io.limits.chunk_bytes);
            }
            if unwritten == 0 && client.phase == Phase::Ending && client.pending.is_empty() {
                // Closing at once could destroy answers on their way if more input has come.
                client.phase = Phase::Lingering;
                let ended = client.stream.end_sending();
                io.deadlines.set(&mut client.due, Some(io.now + io.limits.linger), Party::Client(key));
                if ended.is_err() {
                    self.gone(key, core, io);
                    continue;
                }
                self.read(key, false, core, io);
                continue;
            }
            if self.clients.get(key).is_some_and(|c| c.more) {
                self.read(key, false, core, io);
            }
        }
    }

    /// A client's deadline has come: it reads nothing, or does not end.
    pub fn on_client_due(&mut self, key: Key, core: &mut Core, io: &mut Io) {
        let Some(client) = self.clients.get_mut(key) else { return };
        client.due = None;
        let unwritten = client.stream.unwritten();
        if client.phase != Phase::Lingering && unwritten < client.stalled {
            client.stalled = unwritten;
            let at = io.now + io.limits.client_stall;
            return io.deadlines.set(&mut client.due, Some(at), Party::Client(key));
        }
        self.gone(key, core, io);
    }

    /// Takes in what still waits at the listener, then ends the connections, each after its last answer.
    pub fn drain(&mut self, core: &mut Core, io: &mut Io) {
        self.accept(core, io);
        io.deadlines.set(&mut self.paused, None, Party::Listener);
        self.listener = None;
        let keys: Vec<Key> = self.clients.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.read(key, false, core, io);
            if let Some(client) = self.clients.get_mut(key).filter(|c| c.phase == Phase::Open) {
                client.phase = Phase::Ending;
                self.touch(key);
            }
        }
    }
}

fn read_command(words: &[&[u8]], owner: (Key, u64), names: &Names, ready: bool) -> Command {
    let Some(name) = words.first() else { return Command::Reply("-ERR empty command\r\n") };
    if command::is_request(name) {
        return match request(words, owner, names) {
            Ok(ask) => Command::Request(ask),
            Err(wrong) => Command::Reply(wrong),
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
        Command::Reply("-ERR unknown command\r\n")
    }
}

fn request(words: &[&[u8]], owner: (Key, u64), names: &Names) -> Result<Ask, &'static str> {
    let Ok(r) = command::request(words) else { return Err("-ERR malformed request\r\n") };
    let find = |known: &[String], name: &str| known.iter().position(|k| k == name);
    Ok(Ask {
        owner,
        class: find(&names.classes, r.class).ok_or("-ERR unknown class\r\n")?,
        plan: find(&names.plans, r.plan).ok_or("-ERR unknown plan\r\n")?,
        customer: CustomerId(r.customer),
        units: r.units,
        spread: r.spread,
        time_left: Duration::from_secs_f64((r.wait_ms / 1000.0).min(3600.0)),
        command: Held::new(words, &r),
    })
}
