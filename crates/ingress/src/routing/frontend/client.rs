//! A client's connection: its commands in order, their replies, and its deadlines.

use super::limits::FrontendLimits;
use crate::transport::{Key, Stream};
use std::collections::VecDeque;
use std::time::Duration;

/// The reply to one command.
pub(super) enum PendingReply {
    /// Awaited from the driver.
    Awaited {
        /// The request, as the driver holds it.
        request: Key,
        /// The request's id, as the client gave it.
        id: u64,
    },
    /// Complete, but behind one that is not.
    Complete(Vec<u8>),
}

/// How far a client's connection is.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Phase {
    /// Commands are read.
    Open,
    /// No further command is read; the connection ends once all replies are written.
    Ending,
    /// Our sending has ended; the client's end is awaited.
    Lingering,
}

/// Replies that the client does not read.
#[derive(Clone, Copy)]
pub(super) struct WriteStall {
    /// Until when some of them must have been read.
    pub(super) due: Duration,
    /// Bytes unwritten when that was set.
    pub(super) unwritten: usize,
}

/// A client's connection.
pub(super) struct Client {
    pub(super) stream: Stream,
    pub(super) pending: VecDeque<PendingReply>,
    /// Number of the first pending command.
    pub(super) first_pending: u64,
    /// Bytes of complete replies that wait behind others.
    pub(super) pending_bytes: usize,
    pub(super) phase: Phase,
    /// The client has ended its sending or the connection: nobody reads further replies.
    pub(super) has_ended: bool,
    /// Reading stopped until replies have been written.
    pub(super) is_blocked: bool,
    /// It is read on in the next round.
    pub(super) is_read_scheduled: bool,
    /// It is flushed at the end of this round.
    pub(super) is_flush_scheduled: bool,
    /// When it was last read from, or all of its replies were written.
    pub(super) last_active_at: Duration,
    /// Since when a command has been incomplete.
    pub(super) command_part_since: Option<Duration>,
    pub(super) stall: Option<WriteStall>,
    /// Until when the client's end is awaited.
    pub(super) linger_until: Duration,
    /// Bytes discarded since our sending has ended.
    pub(super) discarded_bytes: usize,
    /// Its part of the bytes buffered for all clients.
    pub(super) buffered_bytes: usize,
    /// The deadline that is set for it.
    pub(super) due: Option<Duration>,
}

impl Client {
    /// A connection that has just been accepted.
    pub(super) fn new(stream: Stream, now: Duration) -> Client {
        Client {
            stream,
            pending: VecDeque::new(),
            first_pending: 0,
            pending_bytes: 0,
            phase: Phase::Open,
            has_ended: false,
            is_blocked: false,
            is_read_scheduled: false,
            is_flush_scheduled: false,
            last_active_at: now,
            command_part_since: None,
            stall: None,
            linger_until: Duration::ZERO,
            discarded_bytes: 0,
            buffered_bytes: 0,
            due: None,
        }
    }

    /// Number of the next command.
    pub(super) fn next_number(&self) -> u64 {
        self.first_pending + self.pending.len() as u64
    }

    /// Puts the reply to a command in its place, and moves complete ones at the front to the
    /// output. The request's id, if it was awaited.
    pub(super) fn complete(&mut self, number: u64, reply: Vec<u8>) -> Option<u64> {
        let position = usize::try_from(number.checked_sub(self.first_pending)?).ok()?;
        let pending = self.pending.get_mut(position)?;
        let PendingReply::Awaited { id, .. } = *pending else {
            return None;
        };
        self.pending_bytes += reply.len();
        *pending = PendingReply::Complete(reply);
        while let Some(PendingReply::Complete(reply)) = self.pending.front() {
            self.pending_bytes -= reply.len();
            self.stream.output().extend_from_slice(reply);
            self.pending.pop_front();
            self.first_pending += 1;
        }
        Some(id)
    }

    /// Replies to a command at once, behind those that are pending.
    pub(super) fn reply(&mut self, reply: &[u8]) {
        if self.pending.is_empty() {
            self.stream.output().extend_from_slice(reply);
            self.first_pending += 1;
        } else {
            self.pending_bytes += reply.len();
            self.pending
                .push_back(PendingReply::Complete(reply.to_vec()));
        }
    }

    /// Replies with a protocol error; the connection ends, as what follows cannot be parsed.
    pub(super) fn protocol_error(&mut self, error: &str) {
        self.reply(format!("-ERR Protocol error: {error}\r\n").as_bytes());
        self.phase = Phase::Ending;
    }

    /// Is no reply pending or unwritten?
    pub(super) fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.stream.unwritten() == 0
    }

    /// May the connection end while the process shuts down? A new client's first request may still
    /// be on its way.
    pub(super) fn is_drained(&self, now: Duration, limits: &FrontendLimits) -> bool {
        let grace_until = self.last_active_at + limits.shutdown.new_client_grace;
        let has_had_its_time = self.first_pending > 0 || now >= grace_until;
        self.phase == Phase::Open
            && self.is_idle()
            && self.stream.input().is_empty()
            && has_had_its_time
    }

    /// The next time by which the client must have done something.
    pub(super) fn next_due(
        &self,
        idle_timeout: Duration,
        limits: &FrontendLimits,
    ) -> Option<Duration> {
        if self.phase == Phase::Lingering {
            return Some(self.linger_until);
        }
        let stall = self.stall.map(|stall| stall.due);
        let command = self
            .command_part_since
            .map(|since| since + limits.command_timeout);
        let is_idle = self.is_idle() && self.command_part_since.is_none();
        let idle = is_idle.then_some(self.last_active_at + idle_timeout);
        [stall, command, idle].into_iter().flatten().min()
    }
}
