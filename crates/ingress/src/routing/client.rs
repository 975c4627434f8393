//! A client's connection: what it has asked in order, and how far it is with its life.

use crate::limits::Limits;
use crate::transport::{Key, Stream};
use std::collections::VecDeque;
use std::time::Duration;

/// The answer to one command.
pub(super) enum Pending {
    /// A request that the core holds, and the number that its client gave it.
    Waiting(Key, u64),
    /// Ready, but behind one that is not.
    Done(Vec<u8>),
}

/// How far a client's connection is with its life.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Phase {
    /// Commands are read.
    Open,
    /// No further command is read; the connection ends once all answers are written.
    Ending,
    /// Our sending has ended; the other side's end is awaited.
    Lingering,
}

/// A client's connection.
pub(super) struct Client {
    pub stream: Stream,
    pub pending: VecDeque<Pending>,
    /// Number of the first pending command.
    pub first: u64,
    /// Bytes of the answers that wait behind others.
    pub waiting: usize,
    pub phase: Phase,
    /// An end was told of: only then is there more to see behind a short read. The client has left:
    /// what it asked and what it still says is of no more use.
    pub hup: bool,
    /// Reading stopped short until answers have gone out.
    pub blocked: bool,
    /// It is on the list of those that go on in the next round.
    pub queued: bool,
    /// It is on the list of those that are flushed at the end of this round.
    pub dirty: bool,
    /// When it was last read from, or all that it was owed was written.
    pub used: Duration,
    /// Since when a command has been waiting for its rest.
    pub begun: Option<Duration>,
    /// Until when answers must have been taken in, and how many bytes were unwritten when that was
    /// set.
    pub stall: Option<(Duration, usize)>,
    /// Until when the other side's end is awaited, and what was thrown away since.
    pub linger: Duration,
    pub discarded: usize,
    /// Its share of the bytes held for all clients.
    pub held: usize,
    /// The deadline that is set for it.
    pub due: Option<Duration>,
}

impl Client {
    /// A connection that has just been accepted.
    pub(super) fn new(stream: Stream, now: Duration) -> Client {
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
            discarded: 0,
            held: 0,
            due: None,
        }
    }

    /// Puts an answer in its place; those in front go out. Hands back the request's own number.
    pub(super) fn settle(&mut self, number: u64, bytes: Vec<u8>) -> Option<u64> {
        let place = self
            .pending
            .get_mut(usize::try_from(number.checked_sub(self.first)?).ok()?)?;
        let Pending::Waiting(_, id) = *place else {
            return None;
        };
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
    pub(super) fn reply(&mut self, bytes: &[u8]) {
        if self.pending.is_empty() {
            self.stream.output().extend_from_slice(bytes);
            self.first += 1;
        } else {
            self.waiting += bytes.len();
            self.pending.push_back(Pending::Done(bytes.to_vec()));
        }
    }

    /// Says what cannot be read on; nothing that follows can be told apart.
    pub(super) fn protocol_error(&mut self, what: &str) {
        self.reply(format!("-ERR Protocol error: {what}\r\n").as_bytes());
        self.phase = Phase::Ending;
    }

    /// Is it between requests?
    pub(super) fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.stream.unwritten() == 0
    }

    /// Between requests while the process ends. Guards against a newcomer whose first request is on
    /// its way when its connection ends.
    pub(super) fn is_over(&self, now: Duration, limits: &Limits) -> bool {
        let heard = self.first > 0 || now >= self.used + limits.drain_newcomer;
        self.phase == Phase::Open && self.is_idle() && self.stream.input().is_empty() && heard
    }

    /// The next time at which it must have moved on.
    pub(super) fn next_due(&self, idle_timeout_of: Duration, limits: &Limits) -> Option<Duration> {
        if self.phase == Phase::Lingering {
            return Some(self.linger);
        }
        let stall = self.stall.map(|(at, _)| at);
        let part = self.begun.map(|at| at + limits.command_part);
        let idle =
            Some(self.used + idle_timeout_of).filter(|_| self.is_idle() && self.begun.is_none());
        [stall, part, idle].into_iter().flatten().min()
    }
}
