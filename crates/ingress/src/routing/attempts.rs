//! Attempts and probes on connections to servers: one at a time on each, as servers answer in order
//! and abandoning an attempt costs its connection.

use super::core::Core;
use super::{Io, Party};
use crate::limits::Limits;
use crate::protocol::report::{report, true_units};
use crate::protocol::resp::{self, Value};
use crate::transport::{connect, is_fd_shortage, Fill, Key, Ready, Stream};
use roseyard_admission::DescriptorUse;
use roseyard_decision::*;
use roseyard_request_engine::{AttemptResult, IdleConnectionUse};
use std::net::SocketAddr;
use std::time::Duration;

/// A connection to a server.
pub(super) struct Link {
    stream: Stream,
    endpoint: EndpointId,
    /// Where it leads: the server may have moved since.
    address: SocketAddr,
    state: State,
    used: Duration,
    /// How long it had rested when the job at hand was written; none on a new connection.
    rest: Option<Duration>,
    due: Option<Duration>,
}

#[derive(Clone, Copy)]
enum State {
    Connecting(Job),
    Idle,
    Busy(Job),
}

#[derive(Clone, Copy)]
struct Job {
    task: Task,
    begun: Duration,
    deadline: Duration,
}

#[derive(Clone, Copy, PartialEq)]
enum Task {
    Attempt(Key, u16),
    Probe,
}

impl State {
    fn job(self) -> Option<Job> {
        match self {
            State::Connecting(job) | State::Busy(job) => Some(job),
            State::Idle => None,
        }
    }
}

/// What came back for an attempt or a probe.
struct Meaning {
    outcome: Outcome,
    value: Option<Vec<u8>>,
    true_units: Option<f64>,
    load: Option<LoadReport>,
    /// It is no answer that a server gives: the connection is out of step.
    spoilt: bool,
}

impl Meaning {
    fn of(outcome: Outcome) -> Meaning {
        Meaning {
            outcome,
            value: None,
            true_units: None,
            load: None,
            spoilt: false,
        }
    }

    /// It may have run, and what came cannot be passed on.
    fn spoilt() -> Meaning {
        Meaning {
            spoilt: true,
            ..Meaning::of(Outcome::Error)
        }
    }

    /// An error line: words that can be read, of the two kinds that servers know.
    fn error(text: &[u8]) -> Meaning {
        let known = |kind: &[u8]| text == kind || text.starts_with(&[kind, b" "].concat());
        let outcome = match (known(b"BUSY"), known(b"ERR")) {
            _ if !text.iter().all(|b| (b' '..=b'~').contains(b)) => return Meaning::spoilt(),
            (true, _) => Outcome::Overloaded,
            (_, true) => Outcome::Error,
            // `-SYNTAX` and the like: said of what we wrote, and the server closes.
            _ => return Meaning::spoilt(),
        };
        Meaning {
            load: text.rsplit(|b| *b == b' ').next().and_then(report),
            ..Meaning::of(outcome)
        }
    }

    /// Served is an array of the value, the figures on use and the load report, and nothing else:
    /// guards against passing noise that happens to be a bulk string on as a value. Figures and
    /// report that cannot be read are passed over.
    fn of_attempt(value: &Value, limits: &Limits) -> Meaning {
        match value {
            Value::Array(Some(items)) => match items.as_slice() {
                [Value::Bulk(Some(text)), figures, load] => {
                    let load = if let Value::Bulk(Some(load)) = load {
                        report(load)
                    } else {
                        None
                    };
                    let true_units = match figures {
                        Value::Bulk(Some(figures)) if limits.post_paid => {
                            true_units(figures, limits.units)
                        }
                        _ => None,
                    };
                    Meaning {
                        value: Some(text.to_vec()),
                        true_units,
                        load,
                        ..Meaning::of(Outcome::Ok)
                    }
                }
                _ => Meaning::spoilt(),
            },
            Value::Error(text) => Meaning::error(text),
            _ => Meaning::spoilt(),
        }
    }

    fn of_probe(value: &Value) -> Meaning {
        match value {
            Value::Bulk(Some(text)) => Meaning {
                load: report(text),
                ..Meaning::of(Outcome::Ok)
            },
            Value::Simple(_) => Meaning::of(Outcome::Ok),
            Value::Error(text) => Meaning::error(text),
            _ => Meaning::spoilt(),
        }
    }
}

impl Core {
    pub(super) fn send(
        &mut self,
        request: Key,
        attempt: u16,
        endpoint: EndpointId,
        deadline: Duration,
        io: &mut Io,
    ) {
        let job = Job {
            task: Task::Attempt(request, attempt),
            begun: io.now,
            deadline,
        };
        self.start(endpoint, job, io);
    }

    pub(super) fn probe(&mut self, endpoint: EndpointId, io: &mut Io) {
        let job = Job {
            task: Task::Probe,
            begun: io.now,
            deadline: io.now + io.limits.probe,
        };
        self.start(endpoint, job, io);
    }

    /// May this job's first byte be written now?
    fn timely(&self, endpoint: EndpointId, job: &Job, now: Duration) -> bool {
        match job.task {
            Task::Attempt(request, attempt) => {
                self.engine.may_write(request, attempt, job.deadline, now)
            }
            Task::Probe => self.engine.takes_work(endpoint) && now < job.deadline,
        }
    }

    fn start(&mut self, endpoint: EndpointId, job: Job, io: &mut Io) {
        if !self.timely(endpoint, &job, io.now) {
            return self.on_attempt_ended(
                job,
                endpoint,
                AttemptResult::of(Outcome::NotStarted),
                io.now,
            );
        }
        let repeatable = match job.task {
            Task::Attempt(request, _) => self.engine.is_idempotent(request),
            Task::Probe => true,
        };
        if let Some(key) = self.rested(endpoint, repeatable, io) {
            return self.write(key, job, io);
        }
        let Some(address) = self.engine.address(endpoint) else {
            return self.on_attempt_ended(
                job,
                endpoint,
                AttemptResult::of(Outcome::NotStarted),
                io.now,
            );
        };
        if !self.take_descriptor(DescriptorUse::Upstream, io) {
            return self.on_attempt_ended(
                job,
                endpoint,
                AttemptResult::of(Outcome::ConnectFailed),
                io.now,
            );
        }
        let Ok(stream) = self.connect(&address, io) else {
            io.budget.release(DescriptorUse::Upstream);
            return self.on_attempt_ended(
                job,
                endpoint,
                AttemptResult::of(Outcome::ConnectFailed),
                io.now,
            );
        };
        let state = State::Connecting(job);
        let key = self.links.insert_with(|_| Link {
            stream,
            endpoint,
            address,
            state,
            used: io.now,
            rest: None,
            due: None,
        });
        if let Some(link) = self.links.get_mut(key) {
            let at = (io.now + io.limits.connect).min(job.deadline);
            io.deadlines.set(&mut link.due, Some(at), Party::Link(key));
            if io
                .poller
                .add(link.stream.fd(), Party::Link(key).token())
                .is_err()
            {
                self.break_link(key, Outcome::ConnectFailed, io);
                return;
            }
        }
        self.occupy(job, Some(key));
    }

    /// Begins a connection to a server or to discovery. Guards against running out of descriptors:
    /// an idle connection to a server makes room, or the spare one.
    pub(super) fn connect(&mut self, to: &SocketAddr, io: &mut Io) -> rustix::io::Result<Stream> {
        match connect(to, io.limits.chunk_bytes) {
            Err(e) if is_fd_shortage(e) => {
                self.evict_idle(io);
                io.connect(to)
            }
            opened => opened,
        }
    }

    /// Takes a connection out of a server's pool: the latest used that has rested, unless it is
    /// likely to be dead by now. Guards against a second answer, noise or an end that follows an
    /// answer: read as the next answer it would be another's value, and a request written before an
    /// end was seen may have run.
    fn rested(&mut self, endpoint: EndpointId, repeatable: bool, io: &mut Io) -> Option<Key> {
        loop {
            let pool = &self.pools.get(&endpoint)?.idle;
            let rested = |k: &Key| {
                self.links
                    .get(*k)
                    .is_some_and(|l| l.used + io.limits.link_rest <= io.now)
            };
            let at = pool.iter().rposition(rested)?;
            let key = pool[at];
            let link = self.links.get(key)?;
            let rest = io.now.saturating_sub(link.used);
            let choice = if link.stream.quiet() {
                self.idle_risk.choose(rest, repeatable, io.now)
            } else {
                IdleConnectionUse::Close
            };
            match choice {
                IdleConnectionUse::Reuse => {
                    self.pools.get_mut(&endpoint)?.idle.remove(at);
                    return Some(key);
                }
                IdleConnectionUse::LeaveForIdempotent => return None,
                IdleConnectionUse::Close => self.close_link(key, io),
            }
        }
    }

    /// Takes a descriptor for this use; an idle connection to a server makes room if there is none.
    pub(super) fn take_descriptor(&mut self, of: DescriptorUse, io: &mut Io) -> bool {
        io.budget.take(of) || self.evict_idle(io) && io.budget.take(of)
    }

    /// Closes the idle connection that was used longest ago.
    pub(super) fn evict_idle(&mut self, io: &mut Io) -> bool {
        let Some((_, key)) = self.idle.first().copied() else {
            return false;
        };
        self.close_link(key, io);
        true
    }

    fn occupy(&mut self, job: Job, link: Option<Key>) {
        if let Task::Attempt(request, _) = job.task {
            self.engine.set_carrier(request, link);
        }
    }

    /// Writes a job on a connection that is up and free.
    fn write(&mut self, key: Key, job: Job, io: &mut Io) {
        let Some(link) = self.links.get_mut(key) else {
            return;
        };
        self.idle.remove(&(link.used, key));
        link.rest = matches!(link.state, State::Idle).then(|| io.now.saturating_sub(link.used));
        link.state = State::Busy(job);
        link.used = io.now;
        io.deadlines
            .set(&mut link.due, Some(job.deadline), Party::Link(key));
        match job.task {
            Task::Attempt(request, _) => {
                let Some(command) = self.engine.command(request) else {
                    return;
                };
                let wait = (job.deadline - io.now).as_secs_f64() * 1000.0;
                command.put(wait.round().max(1.0) as u64, link.stream.output());
            }
            Task::Probe => link
                .stream
                .output()
                .extend_from_slice(b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n"),
        }
        let failed = link.stream.flush().is_err();
        self.occupy(job, Some(key));
        if failed {
            self.broken(key, io);
        }
    }

    /// A connection has broken or ended: the request may have run if its last byte was written.
    fn broken(&mut self, key: Key, io: &mut Io) {
        let Some(link) = self.links.get(key) else {
            return;
        };
        let sent = matches!(link.state, State::Busy(_)) && link.stream.unwritten() == 0;
        if sent {
            self.idle_risk.record_outcome(link.rest, true, io.now);
        }
        self.break_link(
            key,
            if sent {
                Outcome::Reset
            } else {
                Outcome::ConnectFailed
            },
            io,
        );
    }

    /// Closes a connection and ends what is out on it.
    fn break_link(&mut self, key: Key, outcome: Outcome, io: &mut Io) {
        let Some(link) = self.links.get(key) else {
            return;
        };
        let (endpoint, job) = (link.endpoint, link.state.job());
        self.close_link(key, io);
        if let Some(job) = job {
            self.on_attempt_ended(job, endpoint, AttemptResult::of(outcome), io.now);
        }
    }

    pub(super) fn close_link(&mut self, key: Key, io: &mut Io) {
        let Some(mut link) = self.links.remove(key) else {
            return;
        };
        io.budget.release(DescriptorUse::Upstream);
        self.idle.remove(&(link.used, key));
        io.deadlines.set(&mut link.due, None, Party::Link(key));
        if let Some(pool) = self.pools.get_mut(&link.endpoint) {
            pool.idle.retain(|k| *k != key);
        }
    }

    fn on_attempt_ended(
        &mut self,
        job: Job,
        endpoint: EndpointId,
        end: AttemptResult<Vec<u8>>,
        now: Duration,
    ) {
        match job.task {
            Task::Attempt(request, attempt) => {
                self.engine.on_attempt_ended(request, attempt, end, now)
            }
            Task::Probe => self
                .engine
                .on_health_check_ended(endpoint, end.outcome, end.load),
        }
    }

    /// Stops waiting on an attempt: its connection goes with it.
    pub(super) fn cancel(&mut self, request: Key, attempt: u16, io: &mut Io) {
        let Some(key) = self.engine.carrier(request) else {
            return;
        };
        let Some(link) = self.links.get(key) else {
            return;
        };
        if link
            .state
            .job()
            .is_some_and(|j| j.task == Task::Attempt(request, attempt))
        {
            // A server begins a request when its last byte has come.
            let written = matches!(link.state, State::Busy(_)) && link.stream.unwritten() == 0;
            self.break_link(
                key,
                if written {
                    Outcome::Cancelled
                } else {
                    Outcome::NotStarted
                },
                io,
            );
        }
    }

    /// A connection to a server is ready.
    pub fn on_link(&mut self, key: Key, ready: Ready, io: &mut Io) {
        let Some(link) = self.links.get_mut(key) else {
            return;
        };
        if let State::Connecting(job) = link.state {
            if !ready.writable {
                return;
            }
            // Guards against what a server says unasked, and an end, before the first request: read
            // behind the request, as readiness is told once, it would be taken for its answer.
            if link.stream.connected().is_err() || !link.stream.quiet() {
                return self.break_link(key, Outcome::ConnectFailed, io);
            }
            let endpoint = link.endpoint;
            // Guards against a request to a server's old address after it has moved.
            let moved = self
                .engine
                .address(endpoint)
                .is_some_and(|at| at != link.address);
            if moved || !self.timely(endpoint, &job, io.now) {
                self.rest(key, io);
                return self.on_attempt_ended(
                    job,
                    endpoint,
                    AttemptResult::of(Outcome::NotStarted),
                    io.now,
                );
            }
            return self.write(key, job, io);
        }
        if ready.writable && link.stream.unwritten() > 0 && link.stream.flush().is_err() {
            return self.broken(key, io);
        }
        if !ready.readable {
            return;
        }
        let most = io.limits.value_bytes + io.limits.line_bytes;
        let filled = link.stream.fill(most, io.limits.chunk_bytes, ready.ended);
        if !link.stream.input().is_empty() {
            if let Some(pool) = self.pools.get_mut(&link.endpoint) {
                pool.heard = io.now;
            }
            self.on_answer(key, io);
        }
        if self.links.get(key).is_some() && filled != Fill::Drained {
            self.broken(key, io);
        }
    }

    fn on_answer(&mut self, key: Key, io: &mut Io) {
        let Some(link) = self.links.get_mut(key) else {
            return;
        };
        let State::Busy(job) = link.state else {
            // An answer that nobody asked for: what follows could not be told apart.
            return self.close_link(key, io);
        };
        if link.stream.unwritten() > 0 {
            // Guards against what is no answer to this request: a server begins one when its last
            // byte has come.
            return self.break_link(key, Outcome::ConnectFailed, io);
        }
        let (value, used) = match resp::value(link.stream.input(), &io.limits) {
            Ok(None) => {
                // Guards against an answer that is shorter than it says, or has no end.
                let at = (io.now + io.limits.answer_part).min(job.deadline);
                return io.deadlines.set(&mut link.due, Some(at), Party::Link(key));
            }
            Ok(Some(found)) => found,
            Err(wrong) => {
                let endpoint = link.endpoint.0;
                let why = wrong.0;
                tracing::warn!(
                    event = "endpoint.malformed_reply",
                    endpoint,
                    error = why,
                    "malformed reply from endpoint"
                );
                return self.break_link(key, Outcome::Error, io);
            }
        };
        let Meaning {
            outcome,
            value: served,
            true_units,
            load,
            spoilt,
        } = match job.task {
            Task::Attempt(..) => Meaning::of_attempt(&value, &io.limits),
            Task::Probe => Meaning::of_probe(&value),
        };
        if spoilt && !matches!(value, Value::Error(_)) {
            let endpoint = link.endpoint.0;
            tracing::warn!(
                event = "endpoint.unexpected_reply",
                endpoint,
                "unexpected reply from endpoint"
            );
        }
        if let Value::Error(text) = value {
            let probe = job.task == Task::Probe;
            if !probe && !text.starts_with(b"BUSY") && !text.starts_with(b"ERR failed") {
                let text = text[..text.len().min(80)].escape_ascii();
                let endpoint = link.endpoint.0;
                tracing::warn!(event = "endpoint.error_reply", endpoint, error = %text, "unknown error reply from endpoint");
            }
        }
        link.stream.take(used);
        let endpoint = link.endpoint;
        self.idle_risk.record_outcome(link.rest, false, io.now);
        // Whole and alone, or the connection is of no further use.
        let clean = !spoilt && link.stream.input().is_empty();
        // Guards against a request that runs twice: a refusal with more behind it may be another
        // request's.
        let outcome = if outcome == Outcome::Overloaded && !clean {
            Outcome::Error
        } else {
            outcome
        };
        if clean {
            self.rest(key, io);
        } else {
            self.close_link(key, io);
        }
        self.on_attempt_ended(
            job,
            endpoint,
            AttemptResult {
                outcome,
                value: served,
                true_units,
                load,
            },
            io.now,
        );
    }

    /// Puts a connection that is up and free into its server's pool.
    fn rest(&mut self, key: Key, io: &mut Io) {
        let Some(link) = self.links.get_mut(key) else {
            return;
        };
        let endpoint = link.endpoint;
        if !self.engine.takes_work(endpoint) || self.engine.address(endpoint) != Some(link.address)
        {
            return self.close_link(key, io);
        }
        (link.state, link.used) = (State::Idle, io.now);
        link.stream.trim(8 * io.limits.chunk_bytes);
        io.deadlines.set(
            &mut link.due,
            Some(io.now + io.limits.link_idle),
            Party::Link(key),
        );
        self.pools.entry(endpoint).or_default().idle.push(key);
        self.idle.insert((io.now, key));
    }

    /// A connection's deadline has come: not up, no answer, or idle for long.
    pub fn on_link_due(&mut self, key: Key, io: &mut Io) {
        let Some(link) = self.links.get_mut(key) else {
            return;
        };
        link.due = None;
        let (endpoint, unwritten) = (link.endpoint, link.stream.unwritten());
        match link.state {
            State::Idle => self.close_link(key, io),
            State::Connecting(_) => self.break_link(key, Outcome::ConnectFailed, io),
            // We end it before its last byte: it never runs.
            State::Busy(_) if unwritten > 0 => self.break_link(key, Outcome::ConnectFailed, io),
            State::Busy(job) if io.now < job.deadline => {
                let endpoint = endpoint.0;
                tracing::warn!(
                    event = "endpoint.malformed_reply",
                    endpoint,
                    error = "reply incomplete",
                    "malformed reply from endpoint"
                );
                self.break_link(key, Outcome::Error, io);
            }
            State::Busy(job) => {
                self.break_link(key, Outcome::Timeout, io);
                // Guards against a machine that vanished: its idle connections are silent too, and
                // a request written there may have run, while a new connection tells at once that
                // it never did.
                let silent = self
                    .pools
                    .get_mut(&endpoint)
                    .filter(|p| p.heard < job.begun);
                let idle = silent
                    .map(|p| std::mem::take(&mut p.idle))
                    .unwrap_or_default();
                for key in idle {
                    self.close_link(key, io);
                }
            }
        }
    }
}
