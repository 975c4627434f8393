//! State of a client connection: replies in the order of the commands, buffers and deadlines.

use super::limits::FrontendLimits;
use super::reply::{self, FAILED};
use crate::routing::io::READ_BUFFER_BYTES;
use crate::transport::{Key, ReadOutcome, Stream};
use std::collections::VecDeque;
use std::time::Duration;

/// The reply to a command, which is not in the output buffer yet.
pub(super) enum PendingReply {
    /// The driver has not responded to the request yet.
    Awaited {
        /// The driver's key for the request.
        request: Key,
        /// The request id that the client chose.
        id: u64,
    },
    /// Encoded, but an earlier reply is still awaited.
    Complete(Vec<u8>),
}

/// The phase of a connection from open to closed.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Phase {
    /// Commands are read and executed.
    Open,
    /// No further request is executed. Once every reply is written and no command is left, this
    /// side is shut down for writing.
    Closing(RemainingInput),
    /// This side is shut down for writing. Input is discarded until the client closes too.
    Lingering,
}

/// What happens to the input of a connection in [`Phase::Closing`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RemainingInput {
    /// Its requests are rejected. `until` is set once no reply is pending; what has not been read by
    /// then is dropped, so that a client that sends without a pause does not keep the connection.
    Reject { until: Option<Duration> },
    /// It is dropped, since it is unknown where its commands begin.
    Discard,
}

/// Progress of a client that is slow to read its replies.
#[derive(Clone, Copy)]
pub(super) struct WriteStall {
    /// The client is disconnected if it has read nothing by this time.
    pub(super) deadline: Duration,
    /// The number of bytes that had been written when the deadline was set.
    pub(super) total_written: u64,
}

/// A client connection with its buffers, pending replies and deadlines.
pub(super) struct Client {
    pub(super) stream: Stream,
    /// Replies in the order of their commands.
    pub(super) pending_replies: VecDeque<PendingReply>,
    /// The number of the command that the first pending reply belongs to.
    pub(super) first_pending_number: u64,
    /// Bytes of the complete replies among the pending ones.
    pub(super) pending_reply_bytes: usize,
    /// Bytes of the values among them, which [`Client::fail_waiting_values`] can release.
    pub(super) pending_value_bytes: usize,
    pub(super) phase: Phase,
    /// The client has shut down its side for writing or has closed the connection. In both cases it
    /// is treated as disconnected.
    pub(super) is_peer_closed: bool,
    /// Commands are not read because too many replies are pending or unwritten.
    pub(super) is_read_blocked: bool,
    /// The input holds complete commands that a limit has kept from being executed.
    pub(super) has_unexecuted_commands: bool,
    /// The client is in the frontend's `read_queue`.
    pub(super) is_read_scheduled: bool,
    /// The client is in the frontend's `flush_queue`.
    pub(super) is_flush_scheduled: bool,
    /// When input was last read, or a flush last left no reply unwritten.
    pub(super) last_active_at: Duration,
    /// When the first part of the incomplete command was read; `None` if no command is incomplete,
    /// and while the ingress does not read.
    pub(super) incomplete_command_since: Option<Duration>,
    /// The next command has been replied to before its end was read, and is not executed.
    pub(super) skips_next_command: bool,
    /// Set while the socket has not accepted all replies; `None` once they are written.
    pub(super) stall: Option<WriteStall>,
    /// In [`Phase::Lingering`], when the connection is closed even if the client has not closed it.
    pub(super) linger_deadline: Duration,
    /// Bytes of input discarded since the connection left [`Phase::Open`].
    pub(super) discarded_bytes: usize,
    /// The client's share of the frontend's `buffered_bytes`.
    pub(super) buffered_bytes: usize,
    /// The time for which a timer is set; `None` if none is set.
    pub(super) deadline: Option<Duration>,
}

impl Client {
    /// Returns the state of a connection that was accepted at `now`.
    pub(super) fn new(stream: Stream, now: Duration) -> Client {
        Client {
            stream,
            pending_replies: VecDeque::new(),
            first_pending_number: 0,
            pending_reply_bytes: 0,
            pending_value_bytes: 0,
            phase: Phase::Open,
            is_peer_closed: false,
            is_read_blocked: false,
            has_unexecuted_commands: false,
            is_read_scheduled: false,
            is_flush_scheduled: false,
            last_active_at: now,
            incomplete_command_since: None,
            skips_next_command: false,
            stall: None,
            linger_deadline: Duration::ZERO,
            discarded_bytes: 0,
            buffered_bytes: 0,
            deadline: None,
        }
    }

    /// Reads the available input until `max_bytes` of it are buffered, and notes whether the client
    /// has closed the connection.
    pub(super) fn read_input(&mut self, max_bytes: usize) -> ReadOutcome {
        let read_outcome =
            self.stream
                .read_available(max_bytes, READ_BUFFER_BYTES, self.is_peer_closed);
        self.is_peer_closed |=
            matches!(read_outcome, ReadOutcome::EndOfStream | ReadOutcome::Failed);
        read_outcome
    }

    /// Returns the number of the next command on this connection, from 0.
    pub(super) fn next_number(&self) -> u64 {
        self.first_pending_number + self.pending_replies.len() as u64
    }

    /// Stores the reply to the command with this number. Returns the request's id, or `None` if no
    /// reply was awaited.
    pub(super) fn complete_reply(&mut self, number: u64, reply: Vec<u8>) -> Option<u64> {
        let index = usize::try_from(number.checked_sub(self.first_pending_number)?).ok()?;
        let pending = self.pending_replies.get_mut(index)?;
        let PendingReply::Awaited { id, .. } = *pending else {
            return None;
        };
        self.pending_reply_bytes += reply.len();
        self.pending_value_bytes += value_bytes(&reply);
        *pending = PendingReply::Complete(reply);
        Some(id)
    }

    /// Moves the complete replies at the front of the queue to the output and writes them, as far
    /// as the socket accepts them. While more than `max_unwritten` bytes are unwritten, no further
    /// reply is moved. Returns the number of unwritten bytes.
    pub(super) fn write_replies(&mut self, max_unwritten: usize) -> rustix::io::Result<usize> {
        loop {
            while self.stream.unwritten() <= max_unwritten {
                let Some(PendingReply::Complete(reply)) = self.pending_replies.front() else {
                    return self.stream.flush();
                };
                self.pending_reply_bytes -= reply.len();
                self.pending_value_bytes -= value_bytes(reply);
                self.stream.output().extend_from_slice(reply);
                self.pending_replies.pop_front();
                self.first_pending_number += 1;
            }
            let unwritten = self.stream.flush()?;
            if unwritten > 0 {
                return Ok(unwritten);
            }
        }
    }

    /// Appends the reply to the latest command, after the replies that are still pending.
    pub(super) fn reply(&mut self, reply: &[u8]) {
        if self.pending_replies.is_empty() {
            self.stream.output().extend_from_slice(reply);
            self.first_pending_number += 1;
            return;
        }
        self.pending_reply_bytes += reply.len();
        // No request is submitted any more, so no reply is looked up by the number of a command.
        let is_closing = self.phase != Phase::Open;
        match self.pending_replies.back_mut() {
            Some(PendingReply::Complete(last)) if is_closing && value_bytes(last) == 0 => {
                last.extend_from_slice(reply);
            }
            _ => {
                let reply = PendingReply::Complete(reply.to_vec());
                self.pending_replies.push_back(reply);
            }
        }
    }

    /// Replaces values that wait for an earlier reply by a failure, the latest first, until this
    /// many bytes are released or none is left.
    pub(super) fn fail_waiting_values(&mut self, bytes: usize) {
        let mut released = 0;
        for pending in self.pending_replies.iter_mut().rev() {
            if released >= bytes {
                break;
            }
            let PendingReply::Complete(reply) = pending else {
                continue;
            };
            let value_bytes = value_bytes(reply);
            if value_bytes > 0 {
                released += value_bytes - FAILED.len();
                self.pending_value_bytes -= value_bytes;
                *reply = FAILED.to_vec();
            }
        }
        self.pending_reply_bytes -= released;
    }

    /// Replies with a protocol error and starts closing the connection, since the input that
    /// follows cannot be parsed.
    pub(super) fn protocol_error(&mut self, error: &str) {
        if !std::mem::take(&mut self.skips_next_command) {
            self.reply(&reply::protocol_error(error));
        }
        self.phase = Phase::Closing(RemainingInput::Discard);
        self.incomplete_command_since = None;
        self.has_unexecuted_commands = false;
        self.stream.clear_input();
    }

    /// Starts to close an open connection. Requests that are still read are rejected.
    pub(super) fn start_closing(&mut self) {
        if self.phase == Phase::Open {
            self.phase = Phase::Closing(RemainingInput::Reject { until: None });
            self.incomplete_command_since = None;
        }
    }

    /// Replies with an error to the incomplete command, and starts to close the connection. What
    /// follows the command can be parsed once the rest of it has been read.
    pub(super) fn time_out_command(&mut self) {
        self.reply(&reply::protocol_error("command not finished in time"));
        self.skips_next_command = true;
        self.start_closing();
    }

    /// Whether commands in the input are parsed. In [`Phase::Closing`] their requests are rejected.
    pub(super) fn accepts_commands(&self) -> bool {
        use RemainingInput::Reject;
        matches!(self.phase, Phase::Open | Phase::Closing(Reject { .. }))
    }

    /// Whether a connection that is being closed, and awaits no reply, has commands left to reject.
    /// They are rejected for up to `timeout`.
    pub(super) fn has_commands_to_reject(&mut self, now: Duration, timeout: Duration) -> bool {
        let Phase::Closing(RemainingInput::Reject { until }) = &mut self.phase else {
            return false;
        };
        let until = *until.get_or_insert(now + timeout);
        now < until && (self.has_unexecuted_commands || self.stream.is_readable())
    }

    /// Whether no further commands are read because too many replies are pending.
    pub(super) fn has_too_many_replies(&self, limits: &FrontendLimits) -> bool {
        match self.phase {
            Phase::Open => self.pending_replies.len() >= limits.max_pipelined_requests,
            _ => self.pending_reply_bytes > limits.max_unread_reply_bytes,
        }
    }

    /// Returns the number of bytes of input and of replies that are buffered.
    pub(super) fn count_buffered_bytes(&self) -> usize {
        self.stream.input().len() + self.stream.unwritten() + self.pending_reply_bytes
    }

    /// Whether no reply is pending or unwritten.
    pub(super) fn is_idle(&self) -> bool {
        self.pending_replies.is_empty() && self.stream.unwritten() == 0
    }

    /// Whether the connection may be closed during shutdown. A new connection gets a grace period,
    /// as its first request may still be in transit.
    pub(super) fn is_drained(&self, now: Duration, limits: &FrontendLimits) -> bool {
        let grace_deadline = self.last_active_at + limits.shutdown.new_client_grace;
        let is_grace_over = self.first_pending_number > 0 || now >= grace_deadline;
        self.phase == Phase::Open
            && self.is_idle()
            && self.stream.input().is_empty()
            && is_grace_over
    }

    /// Returns the earliest deadline of the connection. `None` if no timeout applies, as while a
    /// request is open.
    pub(super) fn next_deadline(
        &self,
        idle_timeout: Duration,
        limits: &FrontendLimits,
    ) -> Option<Duration> {
        if self.phase == Phase::Lingering {
            return Some(self.linger_deadline);
        }
        let stall = self.stall.map(|stall| stall.deadline);
        let command = self
            .incomplete_command_since
            .map(|since| since + limits.command_timeout);
        let is_idle = self.is_idle() && self.incomplete_command_since.is_none();
        let idle = is_idle.then_some(self.last_active_at + idle_timeout);
        [stall, command, idle].into_iter().flatten().min()
    }
}

/// Returns the length of a reply that [`Client::fail_waiting_values`] replaces, and 0 for others.
fn value_bytes(reply: &[u8]) -> usize {
    if reply.starts_with(b"$") && reply.len() > FAILED.len() {
        reply.len()
    } else {
        0
    }
}
