//! Parses the input of clients into commands, and executes or rejects them.

use super::client::{PendingReply, Phase};
use super::commands::{self, Command};
use super::listener::connection_id;
use super::{reply, Frontend};
use crate::protocol::{resp, Malformed};
use crate::routing::driver::Driver;
use crate::routing::engine::{CommandId, Submission};
use crate::routing::io::Io;
use crate::transport::Key;
use roseyard_admission::{Action, Event};
use roseyard_decision::RejectReason;
use std::time::Duration;

/// Result of parsing the next command in a client's input.
enum NextCommand {
    /// A complete command and its encoded length in bytes.
    Parsed(Command, usize),
    Malformed(Malformed),
    Incomplete,
}

impl Frontend {
    /// Executes up to `max_commands` of the complete commands in the input, and notes whether a limit
    /// has left some.
    pub(super) fn execute_commands(
        &mut self,
        key: Key,
        max_commands: usize,
        driver: &mut Driver,
        io: &mut Io,
    ) {
        let mut offset = 0;
        let mut executed_count = 0;
        let mut has_more = false;
        while let Some(client) = self.clients.get_mut(key) {
            if !client.accepts_commands() {
                break;
            }
            client.is_read_blocked =
                client.phase == Phase::Open && client.has_too_many_replies(&self.limits);
            if client.is_read_blocked || executed_count >= max_commands {
                has_more = true;
                break;
            }
            match self.next_command(key, offset, driver) {
                NextCommand::Parsed(command, length) => {
                    offset += length;
                    if !self.skip_command(key) {
                        self.execute(key, command, driver, io);
                    }
                }
                NextCommand::Malformed(malformed) => {
                    self.reply_protocol_error(key, malformed.0, io);
                }
                NextCommand::Incomplete => break,
            }
            executed_count += 1;
        }
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        client.stream.consume(offset);
        if offset > 0 {
            client.incomplete_command_since = None;
        }
        client.has_unexecuted_commands = has_more;
        if client.stream.unwritten() > 0 || client.phase != Phase::Open {
            self.schedule_flush(key);
        }
    }

    /// Parses the command that begins at this offset in a client's input.
    fn next_command(&self, key: Key, offset: usize, driver: &Driver) -> NextCommand {
        let Some(client) = self.clients.get(key) else {
            return NextCommand::Incomplete;
        };
        let input = &client.stream.input()[offset..];
        match resp::command(input, &self.limits.protocol) {
            Ok(None) => NextCommand::Incomplete,
            Ok(Some((arguments, length))) => {
                let id = CommandId {
                    client: key,
                    number: client.next_number(),
                };
                let directory = driver.directory();
                let command = commands::parse(
                    arguments.as_slice(),
                    id,
                    &self.schema,
                    directory,
                    self.is_ready,
                );
                NextCommand::Parsed(command, length)
            }
            Err(malformed) => NextCommand::Malformed(malformed),
        }
    }

    /// Returns whether the command that was just parsed has been replied to before.
    fn skip_command(&mut self, key: Key) -> bool {
        let client = self.clients.get_mut(key);
        client.is_some_and(|client| std::mem::take(&mut client.skips_next_command))
    }

    /// Executes a command, or replies with the error if it is invalid.
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
                self.start_closing(key);
            }
        }
    }

    /// Submits a request to the driver, or replies with the rejection.
    fn execute_request(
        &mut self,
        key: Key,
        submission: Submission,
        id: u64,
        driver: &mut Driver,
        io: &mut Io,
    ) {
        let client = self.clients.get(key);
        if client.is_none_or(|client| client.is_peer_closed) {
            return; // The client does not wait for a reply.
        }
        // During shutdown the process might exit before the endpoint replies. Before the ingress is
        // ready, the request would be forwarded according to the endpoint list of the previous run.
        if self.is_draining || !self.is_ready {
            driver.record_rejection(RejectReason::NotServing, io);
            return self.reply(key, &reply::busy(None));
        }
        // An endpoint drops one of two open requests that have the same id.
        if self.open_request_ids.contains(&id) {
            self.notify_admission(Event::ProtocolError(connection_id(key)), io);
            return self.reply(key, b"-ERR request id in use\r\n");
        }
        if client.is_some_and(|client| client.phase != Phase::Open) || self.is_memory_short() {
            self.notify_admission(Event::CommandHandled(connection_id(key)), io);
            driver.record_rejection(RejectReason::AtCapacity, io);
            let retry_after = self.limits.retry_after_at_capacity;
            return self.reply(key, &reply::busy(Some(retry_after)));
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

    /// Reports a request to admission. If admission rejects it, returns the time after which the
    /// client may retry.
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

    /// Queues the reply to a submitted request as awaited.
    fn await_response(&mut self, key: Key, request: Key, id: u64) {
        self.open_request_ids.insert(id);
        if let Some(client) = self.clients.get_mut(key) {
            client
                .pending_replies
                .push_back(PendingReply::Awaited { request, id });
        }
    }

    /// Replies with a protocol error to input that cannot be parsed, or is not kept until it can be,
    /// and starts closing the connection.
    pub(super) fn reply_protocol_error(&mut self, key: Key, error: &str, io: &mut Io) {
        self.notify_admission(Event::ProtocolError(connection_id(key)), io);
        if let Some(client) = self.clients.get_mut(key) {
            client.protocol_error(error);
        }
        self.schedule_flush(key);
    }
}
