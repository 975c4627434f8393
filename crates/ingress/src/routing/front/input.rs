//! What clients send: it is read, parted into commands, and each of these carried out.

use super::Front;
use crate::protocol::resp;
use crate::routing::client::{Pending, Phase};
use crate::routing::commands::{read_command, Command};
use crate::routing::core::{Core, Submission};
use crate::routing::listener::{busy_reply, connection_id};
use crate::routing::Io;
use crate::transport::{Fill, Key, Ready};
use roseyard_admission::{Action, Event};
use std::time::Duration;

impl Front {
    /// A client's connection is ready.
    pub fn on_client(&mut self, key: Key, ready: Ready, core: &mut Core, io: &mut Io) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
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

    pub(super) fn read(&mut self, key: Key, core: &mut Core, io: &mut Io) {
        let most = io.limits.value_bytes + io.limits.line_bytes;
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
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
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        // Guards against a command whose words are each short enough but which never ends: it would
        // be held, and read for more, without bound.
        if !full && client.phase == Phase::Open && client.stream.input().len() >= most {
            client.protocol_error("command too long");
            self.touch(key);
        }
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
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

    /// Commands are not taken in for now, but the client's end must be seen: guards against
    /// requests that are sent on for a client that has left meanwhile. The end of one that reads
    /// its answers stands behind all that it has sent; one that does not read them resets its
    /// connection.
    fn read_ahead(&mut self, key: Key, unread_answers: bool, core: &mut Core, io: &mut Io) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        if !unread_answers {
            let filled =
                client
                    .stream
                    .fill(io.limits.ahead_bytes, io.limits.chunk_bytes, client.hup);
            client.hup |= matches!(filled, Fill::Ended | Fill::Broken);
        }
        if client.hup {
            return self.gone(key, false, core, io);
        }
        self.account(key, core, io);
    }

    /// What still comes is not read as commands and not held, but an end must be seen.
    fn discard(&mut self, key: Key, core: &mut Core, io: &mut Io) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        client.begun = None;
        let (filled, discarded) = client
            .stream
            .discard(io.limits.round_discard, &mut self.scratch);
        client.discarded += discarded;
        match filled {
            Fill::Drained => {}
            Fill::Limited if client.discarded < io.limits.discard => self.queue(key),
            _ => {
                let _ = client.stream.flush();
                return self.gone(key, false, core, io);
            }
        }
        self.account(key, core, io);
    }

    /// Takes whole commands from what was read. True if it stopped for a limit.
    fn parse(&mut self, key: Key, core: &mut Core, io: &mut Io) -> bool {
        let (mut at, mut taken, mut full) = (0, 0, false);
        while let Some(client) = self
            .clients
            .get_mut(key)
            .filter(|client| client.phase == Phase::Open)
        {
            client.blocked = client.pending.len() >= io.limits.pipelined;
            if client.blocked || taken >= io.limits.round_commands {
                full = true;
                break;
            }
            let (command, used) = match resp::command(&client.stream.input()[at..], &io.limits) {
                Ok(None) => break,
                Ok(Some((words, used))) => {
                    let owner = (key, client.first + client.pending.len() as u64);
                    let words = words.get();
                    (
                        Ok(read_command(
                            words,
                            owner,
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
            match command {
                Ok(command) => self.execute(key, command, core, io),
                Err(wrong) => self.refuse_malformed(key, wrong.0, io),
            }
        }
        let Some(client) = self.clients.get_mut(key) else {
            return false;
        };
        client.stream.take(at);
        if client.stream.unwritten() > 0 || client.phase == Phase::Ending {
            self.touch(key);
        }
        full
    }

    /// Carries a command out, or answers why not.
    fn execute(&mut self, key: Key, command: Command, core: &mut Core, io: &mut Io) {
        match command {
            Command::Request(ask, id) => self.take_request(key, ask, id, core, io),
            Command::Reply(text) => {
                self.tell(Event::CommandHandled(connection_id(key)), io);
                self.reply(key, text.as_bytes());
            }
            Command::Wrong(what) => {
                self.tell(Event::ProtocolError(connection_id(key)), io);
                self.reply(key, format!("-ERR {what}\r\n").as_bytes());
            }
            Command::Quit => {
                self.reply(key, b"+OK\r\n");
                if let Some(client) = self.clients.get_mut(key) {
                    client.phase = Phase::Ending;
                }
            }
        }
    }

    /// Hands a request to the core, unless it is to be refused.
    fn take_request(&mut self, key: Key, ask: Submission, id: u64, core: &mut Core, io: &mut Io) {
        if self.clients.get(key).is_none_or(|client| client.hup) {
            return; // Guards against counting and sending on what nobody waits for.
        }
        if self.draining || !self.ready {
            // Guards against a request that was on its way when the drain began and would wait for
            // a server past the end of the process; and against one that is sent by a list from
            // before the start.
            return self.reply(key, &busy_reply(None));
        }
        if self.open.contains(&id) {
            // Guards against one client that names another's open request: servers would drop one
            // of them.
            self.tell(Event::ProtocolError(connection_id(key)), io);
            return self.reply(key, b"-ERR request id in use\r\n");
        }
        let submitted = match self.refusal(key, ask.customer.0, io) {
            Some(after) => Err(after),
            None => core.submit(ask).ok_or(io.limits.busy_again),
        };
        match submitted {
            Ok(request) => self.wait_for(key, request, id),
            Err(after) => self.reply(key, &busy_reply(Some(after))),
        }
    }

    /// Asks admission for a request: when to come again, if it is refused.
    fn refusal(&mut self, key: Key, customer: u64, io: &mut Io) -> Option<Duration> {
        let mut refused = None;
        let event = Event::RequestReceived {
            connection: connection_id(key),
            customer,
        };
        self.listener.handle(event, io, |action, _| {
            if let Action::RejectRequest { retry_after } = action {
                refused = Some(retry_after);
            }
        });
        refused
    }

    /// The client's next answer is that of a request which the core holds.
    fn wait_for(&mut self, key: Key, request: Key, id: u64) {
        self.open.insert(id);
        if let Some(client) = self.clients.get_mut(key) {
            client.pending.push_back(Pending::Waiting(request, id));
        }
    }

    /// Answers what cannot be read; the connection ends.
    fn refuse_malformed(&mut self, key: Key, what: &str, io: &mut Io) {
        self.tell(Event::ProtocolError(connection_id(key)), io);
        if let Some(client) = self.clients.get_mut(key) {
            client.protocol_error(what);
        }
    }
}
