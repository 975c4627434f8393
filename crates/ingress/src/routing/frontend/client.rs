//! State of a client connection: replies in the order of the commands, buffers and deadlines.

use super::limits::FrontendLimits;
use crate::transport::{Key, Stream};
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
    /// No further command is executed. Once all replies are written, this side is shut down for
    /// writing.
    Closing,
    /// This side is shut down for writing. Input is discarded until the client closes too.
    Lingering,
}

/// Progress of a client that is slow to read its replies.
#[derive(Clone, Copy)]
pub(super) struct WriteStall {
    /// The client is disconnected if it has read nothing by this time.
    pub(super) deadline: Duration,
    /// The number of unwritten bytes when the deadline was set.
    pub(super) unwritten: usize,
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
    pub(super) phase: Phase,
    /// The client has shut down its side for writing or has closed the connection. In both cases it
    /// is treated as disconnected.
    pub(super) is_peer_closed: bool,
    /// Commands are not read because too many replies are pending or unwritten.
    pub(super) is_read_blocked: bool,
    /// The client is in the frontend's `read_queue`.
    pub(super) is_read_scheduled: bool,
    /// The client is in the frontend's `flush_queue`.
    pub(super) is_flush_scheduled: bool,
    /// When input was last read, or a flush last left no reply unwritten.
    pub(super) last_active_at: Duration,
    /// When the first part of an incomplete command was read; `None` if no command is incomplete.
    pub(super) incomplete_command_since: Option<Duration>,
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
            phase: Phase::Open,
            is_peer_closed: false,
            is_read_blocked: false,
            is_read_scheduled: false,
            is_flush_scheduled: false,
            last_active_at: now,
            incomplete_command_since: None,
            stall: None,
            linger_deadline: Duration::ZERO,
            discarded_bytes: 0,
            buffered_bytes: 0,
            deadline: None,
        }
    }

    /// Returns the number of the next command on this connection, from 0.
    pub(super) fn next_number(&self) -> u64 {
        self.first_pending_number + self.pending_replies.len() as u64
    }

    /// Stores the reply to the command with this number, and moves all complete replies at the
    /// front of the queue to the output. Returns the request's id, or `None` if no reply was
    /// awaited.
    pub(super) fn complete_reply(&mut self, number: u64, reply: Vec<u8>) -> Option<u64> {
        let index = usize::try_from(number.checked_sub(self.first_pending_number)?).ok()?;
        let pending = self.pending_replies.get_mut(index)?;
        let PendingReply::Awaited { id, .. } = *pending else {
            return None;
        };
        self.pending_reply_bytes += reply.len();
        *pending = PendingReply::Complete(reply);
        while let Some(PendingReply::Complete(reply)) = self.pending_replies.front() {
            self.pending_reply_bytes -= reply.len();
            self.stream.output().extend_from_slice(reply);
            self.pending_replies.pop_front();
            self.first_pending_number += 1;
        }
        Some(id)
    }

    /// Appends the reply to the latest command, after the replies that are still pending.
    pub(super) fn reply(&mut self, reply: &[u8]) {
        if self.pending_replies.is_empty() {
            self.stream.output().extend_from_slice(reply);
            self.first_pending_number += 1;
        } else {
            self.pending_reply_bytes += reply.len();
            self.pending_replies
                .push_back(PendingReply::Complete(reply.to_vec()));
        }
    }

    /// Replies with a protocol error and starts closing the connection, since the input that
    /// follows cannot be parsed.
    pub(super) fn protocol_error(&mut self, error: &str) {
        self.reply(format!("-ERR Protocol error: {error}\r\n").as_bytes());
        self.phase = Phase::Closing;
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
