//! What clients send: it is read, parsed into commands, and each of these executed.

use super::client::{PendingReply, Phase};
use super::commands::{self, Command};
use super::listener::connection_id;
use super::{reply, Frontend};
use crate::protocol::{resp, Malformed};
use crate::routing::driver::Driver;
use crate::routing::engine::{CommandId, Submission};
use crate::routing::io::{Io, READ_BUFFER_BYTES};
use crate::transport::{Fill, Key, Ready};
use roseyard_admission::{Action, Event};
use roseyard_decision::RejectReason;
use std::time::Duration;

/// The next command in a client's input.
enum NextCommand {
    /// A command, and its length in bytes.
    Parsed(Command, usize),
    Malformed(Malformed),
    Incomplete,
}

impl Frontend {
    /// A client's connection is ready.
    pub fn on_client_ready(&mut self, key: Key, ready: Ready, driver: &mut Driver, io: &mut Io) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        client.has_ended |= ready.ended;
        if ready.writable && client.stream.unwritten() > 0 {
            self.schedule_flush(key);
        }
        if ready.readable {
            self.read(key, driver, io);
        }
    }

    /// Reads on from those that had more input than one round may read.
    pub fn read_scheduled_clients(&mut self, driver: &mut Driver, io: &mut Io) {
        for key in std::mem::take(&mut self.read_queue) {
            if let Some(client) = self.clients.get_mut(key) {
                client.is_read_scheduled = false;
                self.read(key, driver, io);
            }
        }
    }

    /// Reads what has come from a client.
    pub(super) fn read(&mut self, key: Key, driver: &mut Driver, io: &mut Io) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        if client.phase != Phase::Open {
            return self.discard(key, driver, io);
        }
        // A client may send without reading its replies, or without end.
        let has_unread_replies = client.stream.unwritten() > self.limits.max_unread_reply_bytes;
        client.is_blocked =
            has_unread_replies || client.pending.len() >= self.limits.max_pipelined_requests;
        if client.is_blocked {
            return self.read_ahead(key, has_unread_replies, driver, io);
        }
        client.last_active_at = io.now;
        let max_bytes = self.limits.protocol.max_message_bytes();
        let stream = &mut client.stream;
        let filled = stream.fill(max_bytes, READ_BUFFER_BYTES, client.has_ended);
        client.has_ended |= matches!(filled, Fill::Ended | Fill::Broken);
        let has_more = self.execute_commands(key, driver, io);
        self.after_read(key, filled, has_more, driver, io);
    }

    /// The commands that were read are executed; `has_more`: all but some, for a limit.
    fn after_read(
        &mut self,
        key: Key,
        filled: Fill,
        has_more: bool,
        driver: &mut Driver,
        io: &mut Io,
    ) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        // A command whose words are each short enough may still never end.
        let is_open = client.phase == Phase::Open;
        let is_full = client.stream.input().len() >= self.limits.protocol.max_message_bytes();
        if !has_more && is_open && is_full {
            client.protocol_error("command too long");
            self.schedule_flush(key);
        }
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let has_part =
            client.phase == Phase::Open && !has_more && !client.stream.input().is_empty();
        let part_since = client.command_part_since.or(Some(io.now));
        client.command_part_since = part_since.filter(|_| has_part);
        if client.has_ended {
            // A client that has only ended its sending still gets the error.
            let _ = client.stream.flush();
            return self.disconnect(key, has_part, driver, io);
        }
        if self.is_draining {
            self.schedule_flush(key);
        }
        if has_more || filled == Fill::Limited {
            self.schedule_read(key);
        }
        self.account(key, driver, io);
        self.arm(key, io);
    }

    /// No commands are taken for now, but the client's end must be seen, so that its requests are
    /// not forwarded for nobody. The end of one that reads its replies stands behind all that it
    /// has sent; one that does not read them resets its connection.
    fn read_ahead(&mut self, key: Key, has_unread_replies: bool, driver: &mut Driver, io: &mut Io) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        if !has_unread_replies {
            let max_bytes = self.limits.max_read_ahead_bytes;
            let stream = &mut client.stream;
            let filled = stream.fill(max_bytes, READ_BUFFER_BYTES, client.has_ended);
            client.has_ended |= matches!(filled, Fill::Ended | Fill::Broken);
        }
        if client.has_ended {
            return self.disconnect(key, false, driver, io);
        }
        self.account(key, driver, io);
    }

    /// Input is neither parsed nor held any more, but the client's end must be seen.
    fn discard(&mut self, key: Key, driver: &mut Driver, io: &mut Io) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        client.command_part_since = None;
        let max_bytes = self.limits.max_discard_bytes_per_round;
        let (filled, discarded) = client.stream.discard(max_bytes, &mut self.scratch);
        client.discarded_bytes += discarded;
        let may_go_on = client.discarded_bytes < self.limits.max_discard_bytes;
        match filled {
            Fill::Drained => {}
            Fill::Limited if may_go_on => self.schedule_read(key),
            _ => {
                let _ = client.stream.flush();
                return self.disconnect(key, false, driver, io);
            }
        }
        self.account(key, driver, io);
    }

    /// Executes the complete commands in what was read. True if it stopped for a limit.
    fn execute_commands(&mut self, key: Key, driver: &mut Driver, io: &mut Io) -> bool {
        let mut position = 0;
        let mut executed = 0;
        let mut has_more = false;
        while let Some(client) = self.clients.get_mut(key) {
            if client.phase != Phase::Open {
                break;
            }
            client.is_blocked = client.pending.len() >= self.limits.max_pipelined_requests;
            if client.is_blocked || executed >= self.limits.max_commands_per_round {
                has_more = true;
                break;
            }
            match self.next_command(key, position, driver) {
                NextCommand::Parsed(command, length) => {
                    position += length;
                    self.execute(key, command, driver, io);
                }
                NextCommand::Malformed(malformed) => {
                    self.on_malformed_command(key, malformed.0, io);
                }
                NextCommand::Incomplete => break,
            }
            executed += 1;
        }
        let Some(client) = self.clients.get_mut(key) else {
            return false;
        };
        client.stream.take(position);
        if client.stream.unwritten() > 0 || client.phase == Phase::Ending {
            self.schedule_flush(key);
        }
        has_more
    }

    /// Parses the command that begins at this position of a client's input.
    fn next_command(&self, key: Key, position: usize, driver: &Driver) -> NextCommand {
        let Some(client) = self.clients.get(key) else {
            return NextCommand::Incomplete;
        };
        let input = &client.stream.input()[position..];
        match resp::command(input, &self.limits.protocol) {
            Ok(None) => NextCommand::Incomplete,
            Ok(Some((words, length))) => {
                let id = CommandId {
                    client: key,
                    number: client.next_number(),
                };
                let directory = driver.directory();
                let command =
                    commands::parse(words.get(), id, &self.schema, directory, self.is_ready);
                NextCommand::Parsed(command, length)
            }
            Err(malformed) => NextCommand::Malformed(malformed),
        }
    }

    /// Executes a command, or replies why not.
    fn execute(&mut self, key: Key, command: Command, driver: &mut Driver, io: &mut Io) {
        match command {
            Command::Request { submission, id } => {
                self.execute_request(key, submission, id, driver, io);
            }
            Command::Reply(text) => {
                self.notify_admission(Event::CommandHandled(connection_id(key)), io);
                self.reply(key, text.as_bytes());
            }
            Command::Invalid(error) => {
                self.notify_admission(Event::ProtocolError(connection_id(key)), io);
                self.reply(key, format!("-ERR {error}\r\n").as_bytes());
            }
            Command::Quit => {
                self.reply(key, b"+OK\r\n");
                if let Some(client) = self.clients.get_mut(key) {
                    client.phase = Phase::Ending;
                }
            }
        }
    }

    /// Submits a request to the driver, unless it is rejected.
    fn execute_request(
        &mut self,
        key: Key,
        submission: Submission,
        id: u64,
        driver: &mut Driver,
        io: &mut Io,
    ) {
        let client = self.clients.get(key);
        if client.is_none_or(|client| client.has_ended) {
            return; // Nobody waits for it.
        }
        // A request that comes while the process drains might wait for an endpoint past its end;
        // one that comes before the endpoint list would be forwarded by that of the last run.
        if self.is_draining || !self.is_ready {
            driver.record_rejection(RejectReason::NotServing, io);
            return self.reply(key, &reply::busy(None));
        }
        // Endpoints would drop one of two open requests with the same id.
        if self.open_request_ids.contains(&id) {
            self.notify_admission(Event::ProtocolError(connection_id(key)), io);
            return self.reply(key, b"-ERR request id in use\r\n");
        }
        let submitted = match self.request_rejection(key, submission.customer.0, io) {
            Some(retry_after) => Err(retry_after),
            None => driver
                .submit(submission, io)
                .ok_or(self.limits.retry_after_at_capacity),
        };
        match submitted {
            Ok(request) => self.await_response(key, request, id),
            Err(retry_after) => self.reply(key, &reply::busy(Some(retry_after))),
        }
    }

    /// Consults admission on a request: the time after which to retry, if it is rejected.
    fn request_rejection(&mut self, key: Key, customer: u64, io: &mut Io) -> Option<Duration> {
        let mut rejected = None;
        let event = Event::RequestReceived {
            connection: connection_id(key),
            customer,
        };
        self.listener.handle(event, io, |action, _| {
            if let Action::RejectRequest { retry_after } = action {
                rejected = Some(retry_after);
            }
        });
        rejected
    }

    /// The client's next reply is the response to a request that the driver holds.
    fn await_response(&mut self, key: Key, request: Key, id: u64) {
        self.open_request_ids.insert(id);
        if let Some(client) = self.clients.get_mut(key) {
            client
                .pending
                .push_back(PendingReply::Awaited { request, id });
        }
    }

    /// Replies to what cannot be parsed; the connection ends.
    fn on_malformed_command(&mut self, key: Key, error: &str, io: &mut Io) {
        self.notify_admission(Event::ProtocolError(connection_id(key)), io);
        if let Some(client) = self.clients.get_mut(key) {
            client.protocol_error(error);
        }
    }
}
