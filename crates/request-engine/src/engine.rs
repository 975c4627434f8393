//! Requests and the module: events go in, outputs come out.

use crate::directory::{Directory, DirectoryChange, DirectoryError};
use crate::endpoint_registry::{EndpointRegistry, EntryContext, RegistryUpdate};
use crate::list::EndpointListMessage;
use crate::slots::{Key, Slots};
use roseyard_decision::*;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// A request as a front hands it over. `O` names whom the answer is for, `C` is what goes to a
/// server.
#[derive(Clone, Debug)]
pub struct Submission<O, C> {
    /// Whom the answer is for.
    pub owner: O,
    /// The service whose servers may answer it.
    pub service: ServiceId,
    /// Index of its class.
    pub class: usize,
    /// Index of its customer's plan.
    pub plan: usize,
    /// Its customer.
    pub customer: CustomerId,
    /// Units that it takes from the quota.
    pub units: f64,
    /// Ingresses of the customer.
    pub ingress_count: u32,
    /// Time until the client gives up.
    pub time_left: Duration,
    /// The client says that it asks again.
    pub is_retry: bool,
    /// What goes to a server.
    pub command: C,
    /// Bytes that holding it costs.
    pub bytes: usize,
}

/// A final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Response<V> {
    /// The value that a server gave.
    Served(V),
    /// Refused; come again after this time.
    Rejected(Option<Duration>),
    /// Failed; whether it ran is not known.
    Failed,
}

/// How an attempt has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult<V> {
    /// What it was.
    pub outcome: Outcome,
    /// The value, where it was served.
    pub value: Option<V>,
    /// The request's true units, where its own were a guess and this is the answer that tells.
    pub true_units: Option<f64>,
    /// The load report that came along.
    pub load: Option<LoadReport>,
}

impl<V> AttemptResult<V> {
    /// An end with nothing but its outcome.
    pub fn of(outcome: Outcome) -> AttemptResult<V> {
        AttemptResult {
            outcome,
            value: None,
            true_units: None,
            load: None,
        }
    }
}

/// What is to be carried out, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output<O, V> {
    /// Begin an attempt; its end is told with [`RequestEngine::on_attempt_ended`], whatever becomes
    /// of it.
    Forward {
        /// The request.
        request: Key,
        /// Number of the attempt, from 0.
        attempt: u16,
        /// Where to.
        endpoint: EndpointId,
        /// When it is given up.
        deadline: Duration,
    },
    /// Stop waiting on an attempt; its end is told too.
    Cancel {
        /// The request.
        request: Key,
        /// Number of the attempt.
        attempt: u16,
    },
    /// A final answer.
    Respond {
        /// Whom it is for.
        owner: O,
        /// It.
        answer: Response<V>,
    },
    /// Make a call to the counter; its end is told with [`RequestEngine::on_counter_reply`], for
    /// one name in the order of calls.
    IncrementCounter {
        /// The name.
        key: CounterKey,
        /// The amount.
        amount: f64,
        /// Life of a new name.
        time_to_live: Duration,
    },
    /// Probe a server; the end is told with [`RequestEngine::on_health_check_ended`].
    CheckHealth {
        /// The server.
        endpoint: EndpointId,
    },
    /// Ask discovery for the list, or for its changes from now on.
    FetchEndpointList,
    /// Write a line to the operators' log.
    Log(Notice),
}

/// What an engine may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLimits {
    /// Requests.
    pub requests: usize,
    /// Bytes of all of them.
    pub bytes: usize,
}

/// No more can be held, or the engine is stopped; the request was not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AtCapacity;

/// The attempt that is out.
#[derive(Clone, Copy)]
struct Out {
    attempt: u16,
    endpoint: EndpointId,
    begun: Duration,
}

struct Request<O, C> {
    owner: Option<O>,
    command: C,
    bytes: usize,
    /// What its class's requests do when they run twice.
    idempotency: Idempotency,
    out: Option<Out>,
    /// The driver's own name for what carries the attempt.
    carrier: Option<Key>,
    attempts: u16,
    /// Some attempt has reached a server, and some may have run.
    arrived: bool,
    may_have_run: bool,
    /// From then on no further attempt may be written: what may have run would run twice.
    until: Option<Duration>,
    finished: bool,
}

/// Requests, attempts and servers around the module.
pub struct RequestEngine<O, C, V> {
    dispatcher: Dispatcher,
    /// What each class's requests do when they run twice.
    idempotency_by_class: Vec<Idempotency>,
    events: VecDeque<Event>,
    outputs: VecDeque<Output<O, V>>,
    actions: Vec<Action>,
    requests: Slots<Request<O, C>>,
    held: usize,
    bounds: EngineLimits,
    endpoint_registry: EndpointRegistry,
    directory: Directory,
    due: Option<Duration>,
    stopped: bool,
}

impl<O, C, V> RequestEngine<O, C, V> {
    /// An engine with nothing to do yet.
    pub fn new(
        mut settings: Settings,
        seed: u64,
        bounds: EngineLimits,
    ) -> Result<RequestEngine<O, C, V>, SettingsError> {
        // One outstanding attempt a request, whatever the platform would allow.
        settings.permissions.hedging = false;
        let idempotency_by_class = settings.classes.iter().map(|c| c.idempotency).collect();
        Ok(RequestEngine {
            idempotency_by_class,
            dispatcher: Dispatcher::new(settings, seed)?,
            events: VecDeque::new(),
            outputs: VecDeque::new(),
            actions: Vec::new(),
            requests: Slots::default(),
            held: 0,
            bounds,
            endpoint_registry: EndpointRegistry::default(),
            directory: Directory::single(),
            due: None,
            stopped: false,
        })
    }

    /// Requests without a final answer or with an attempt out.
    pub fn open(&self) -> usize {
        self.requests.len()
    }

    /// The list of servers as it was last told.
    pub fn endpoint_registry(&self) -> &EndpointRegistry {
        &self.endpoint_registry
    }

    /// Where a server listens, if the list has named it.
    pub fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.endpoint_registry.get(endpoint).map(|s| s.address)
    }

    /// What goes to a server for a request.
    pub fn command(&self, request: Key) -> Option<&C> {
        self.requests.get(request).map(|r| &r.command)
    }

    /// May a request be sent twice, whatever became of it the first time?
    pub fn is_idempotent(&self, request: Key) -> bool {
        self.requests
            .get(request)
            .is_some_and(|r| r.idempotency == Idempotency::Idempotent)
    }

    /// When [`RequestEngine::on_due`] wants to be called next.
    pub fn due(&self) -> Option<Duration> {
        self.due
    }

    /// Is there something that [`RequestEngine::poll`] would hand over or tell the module?
    pub fn has_pending(&self) -> bool {
        !self.events.is_empty() || !self.outputs.is_empty()
    }

    /// Takes a request in. Its answer comes as an [`Output::Respond`].
    pub fn submit(&mut self, ask: Submission<O, C>) -> Result<Key, AtCapacity> {
        let full = self.requests.len() >= self.bounds.requests
            || self.held + ask.bytes > self.bounds.bytes;
        if full || self.stopped {
            return Err(AtCapacity);
        }
        self.held += ask.bytes;
        let key = self.requests.insert_with(|_| Request {
            owner: Some(ask.owner),
            command: ask.command,
            bytes: ask.bytes,
            idempotency: self
                .idempotency_by_class
                .get(ask.class)
                .copied()
                .unwrap_or(Idempotency::NonIdempotent),
            out: None,
            carrier: None,
            attempts: 0,
            arrived: false,
            may_have_run: false,
            until: None,
            finished: false,
        });
        self.events
            .push_back(Event::RequestReceived(IncomingRequest {
                request: RequestId(key.pack()),
                service: ask.service,
                class: ask.class,
                plan: ask.plan,
                customer: ask.customer,
                units: ask.units,
                ingress_count: ask.ingress_count,
                time_left: ask.time_left,
                is_retry: ask.is_retry,
            }));
        Ok(key)
    }

    /// The owner of a request has left: it is owed nothing any more, and an attempt that is out is
    /// called off.
    pub fn cancel_request(&mut self, request: Key) {
        if let Some(held) = self.requests.get_mut(request).filter(|r| !r.finished) {
            (held.finished, held.owner) = (true, None);
            self.events
                .push_back(Event::ClientDisconnected(RequestId(request.pack())));
        }
    }

    /// May the first byte of this attempt be written to its server now? Guards against sends to a
    /// server that drains or is gone, for a request that is over, too late, and where an earlier
    /// attempt may have run and its repeat would no longer be dropped; also after a wait for a
    /// connection.
    pub fn may_write(&self, request: Key, attempt: u16, deadline: Duration, now: Duration) -> bool {
        let Some(held) = self.requests.get(request).filter(|r| !r.finished) else {
            return false;
        };
        let end = held.until.map_or(deadline, |until| until.min(deadline));
        held.out
            .is_some_and(|o| o.attempt == attempt && self.takes_work(o.endpoint))
            && now < end
    }

    /// Does this server take new work?
    pub fn takes_work(&self, endpoint: EndpointId) -> bool {
        self.endpoint_registry
            .get(endpoint)
            .is_some_and(|s| s.state == EndpointState::Ready)
    }

    /// Notes what carries the attempt that is out.
    pub fn carry(&mut self, request: Key, carrier: Option<Key>) {
        if let Some(held) = self.requests.get_mut(request) {
            held.carrier = carrier;
        }
    }

    /// What carries the attempt that is out.
    pub fn carrier(&self, request: Key) -> Option<Key> {
        self.requests.get(request)?.carrier
    }

    /// An attempt has ended. An end that was told before, or of an attempt that is not the one out,
    /// is passed over: guards against counting one attempt twice, and against an answer to
    /// another's request.
    pub fn on_attempt_ended(
        &mut self,
        request: Key,
        attempt: u16,
        end: AttemptResult<V>,
        now: Duration,
    ) {
        let Some(held) = self.requests.get_mut(request) else {
            return;
        };
        let Some(out) = held.out.take_if(|out| out.attempt == attempt) else {
            return;
        };
        held.carrier = None;
        if !matches!(
            end.outcome,
            Outcome::ConnectFailed | Outcome::Overloaded | Outcome::NotStarted
        ) {
            held.may_have_run = true;
            let until = match held.idempotency {
                Idempotency::Idempotent => None,
                Idempotency::IdempotencyKey { window, .. } => Some(out.begun + window),
                Idempotency::NonIdempotent => Some(Duration::ZERO),
            };
            held.until = held.until.or(until);
        }
        held.arrived |= !matches!(end.outcome, Outcome::ConnectFailed | Outcome::NotStarted);
        // Guards against a quota that is counted twice for a client that has left and comes again:
        // what has never reached a server has taken nothing.
        let unsent = held.finished && !held.arrived;
        let true_units = if unsent { Some(0.0) } else { end.true_units };
        let served = end
            .value
            .filter(|_| end.outcome == Outcome::Ok && !held.finished);
        // A value that nobody can be given is an end like any other.
        let finished = held.finished || served.is_some();
        self.events.push_back(Event::AttemptEnded(AttemptEnd {
            request: RequestId(request.pack()),
            attempt,
            endpoint: out.endpoint,
            outcome: end.outcome,
            elapsed: now.saturating_sub(out.begun),
            finished,
            true_units,
            load: end.load,
        }));
        if let Some(value) = served {
            self.answer(request, Response::Served(value));
        }
    }

    /// A probe has ended.
    pub fn on_health_check_ended(
        &mut self,
        endpoint: EndpointId,
        outcome: Outcome,
        load: Option<LoadReport>,
    ) {
        let Some(service) = self
            .endpoint_registry
            .get(endpoint)
            .and_then(|s| s.service())
        else {
            return;
        };
        self.events.push_back(Event::HealthCheckEnded {
            service,
            endpoint,
            outcome,
            load,
        });
    }

    /// A call to the counter has ended.
    pub fn on_counter_reply(&mut self, name: CounterKey, result: CounterResult, elapsed: Duration) {
        self.events.push_back(Event::CounterReply {
            key: name,
            result,
            elapsed,
        });
    }

    /// Discovery has told a list or its changes; `started` turns a Unix time in milliseconds into
    /// one of the engine's, none for long ago. Hands back the servers whose idle connections are of
    /// no more use, and how many entries could not be read.
    pub fn apply_endpoint_list(
        &mut self,
        list: &EndpointListMessage,
        zones: &[String],
        started: impl Fn(f64) -> Option<Duration>,
    ) -> (Vec<EndpointId>, usize) {
        let reading = EntryContext {
            zones,
            directory: &self.directory,
            started,
        };
        let RegistryUpdate { update, stale, bad } = self.endpoint_registry.apply(list, &reading);
        self.events.push_back(Event::EndpointListChanged(update));
        (stale, bad)
    }

    /// Services with their routes and servers. Until one is set, one service holds everything.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Another directory is in force from now on. Services keep their ids, and what is known of
    /// them, by their names; only servers that have moved to another service are told to the
    /// module. Returns the number of changes.
    pub fn set_directory(&mut self, directory: &Directory) -> Result<usize, DirectoryError> {
        let changes = self.directory.difference(directory);
        let count = changes.len();
        for change in changes {
            self.change_directory(change)?;
        }
        Ok(count)
    }

    /// Changes the directory, at the cost of the change: requests that are out stay with the
    /// service and server that they have. An error changes nothing.
    pub fn change_directory(&mut self, change: DirectoryChange) -> Result<(), DirectoryError> {
        let idempotency = self.directory.apply(change)?;
        let entries = self
            .endpoint_registry
            .reassign(&idempotency, &self.directory);
        if !entries.is_empty() {
            self.events
                .push_back(Event::EndpointListChanged(EndpointListUpdate::Changes(
                    entries,
                )));
        }
        Ok(())
    }

    /// The time that [`RequestEngine::due`] told has come.
    pub fn on_due(&mut self) {
        if self.due.take().is_some() {
            self.events.push_back(Event::TimerExpired(TimerTag(0)));
        }
    }

    /// Nothing more is taken in, and every request that is held gets its final answer now: failed
    /// if it may have run, refused if it never did.
    pub fn stop(&mut self) {
        self.stopped = true;
        let open: Vec<Key> = self
            .requests
            .iter()
            .filter(|(_, r)| !r.finished)
            .map(|(key, _)| key)
            .collect();
        for key in open {
            let Some(held) = self.requests.get(key) else {
                continue;
            };
            let may_have_run = held.may_have_run || held.out.is_some();
            let answer = if may_have_run {
                Response::Failed
            } else {
                Response::Rejected(None)
            };
            self.events
                .push_back(Event::ClientDisconnected(RequestId(key.pack())));
            self.answer(key, answer);
        }
    }

    /// The next thing to be carried out. None once all that was told has been decided.
    pub fn poll(&mut self, now: Duration) -> Option<Output<O, V>> {
        loop {
            if let Some(output) = self.outputs.pop_front() {
                return Some(output);
            }
            let event = self.events.pop_front()?;
            let on_attempt_ended = match &event {
                Event::ClientDisconnected(id) => Some(*id),
                Event::AttemptEnded(end) => Some(end.request),
                _ => None,
            };
            let mut actions = std::mem::take(&mut self.actions);
            self.dispatcher.handle(now, event, &mut actions);
            actions.drain(..).for_each(|action| self.take(action, now));
            self.actions = actions;
            if let Some(id) = on_attempt_ended {
                self.forget(Key::unpack(id.0));
            }
        }
    }

    fn take(&mut self, action: Action, now: Duration) {
        let output = match action {
            Action::Forward {
                request,
                endpoint,
                deadline,
            } => {
                let request = Key::unpack(request.0);
                let Some(held) = self.requests.get_mut(request) else {
                    return;
                };
                // Guards against a second attempt beside one that is out: the first stays the one
                // there is.
                if held.out.is_some() {
                    return;
                }
                let attempt = held.attempts;
                held.attempts += 1;
                held.out = Some(Out {
                    attempt,
                    endpoint,
                    begun: now,
                });
                Output::Forward {
                    request,
                    attempt,
                    endpoint,
                    deadline: deadline,
                }
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                return self.answer(Key::unpack(request.0), Response::Rejected(retry_after));
            }
            Action::Fail { request } => {
                return self.answer(Key::unpack(request.0), Response::Failed)
            }
            Action::Cancel { request, attempt } => Output::Cancel {
                request: Key::unpack(request.0),
                attempt,
            },
            Action::IncrementCounter {
                key: name,
                amount: add,
                time_to_live: lifetime,
            } => Output::IncrementCounter {
                key: name,
                amount: add,
                time_to_live: lifetime,
            },
            // Timers cannot be taken back, and the module sets a new one when the earliest fires.
            Action::SetTimer { after, .. } => {
                let at = now + after;
                self.due = Some(self.due.map_or(at, |due| due.min(at)));
                return;
            }
            Action::CheckHealth { endpoint } => Output::CheckHealth { endpoint },
            Action::Subscribe | Action::FetchEndpointList => Output::FetchEndpointList,
            Action::Log(notice) => Output::Log(notice),
        };
        self.outputs.push_back(output);
    }

    /// Gives a request its final answer, once.
    fn answer(&mut self, request: Key, answer: Response<V>) {
        let Some(held) = self.requests.get_mut(request).filter(|r| !r.finished) else {
            return;
        };
        held.finished = true;
        if let Some(owner) = held.owner.take() {
            self.outputs.push_back(Output::Respond { owner, answer });
        }
        self.forget(request);
    }

    /// Drops a request that is answered and has no attempt out.
    fn forget(&mut self, request: Key) {
        if self
            .requests
            .get(request)
            .is_some_and(|r| r.finished && r.out.is_none())
        {
            if let Some(held) = self.requests.remove(request) {
                self.held -= held.bytes;
            }
        }
    }
}
