//! Requests and the module: events go in, outputs come out.

use crate::directory::{Directory, DirectoryChange, DirectoryError};
use crate::fleet::{Change, Fleet, Reading};
use crate::list::List;
use crate::slots::{Key, Slots};
use roseyard_decision::*;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// A request as a front hands it over. `O` names whom the answer is for, `C` is what goes to a
/// server.
#[derive(Clone, Debug)]
pub struct Ask<O, C> {
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
    pub spread: u32,
    /// Time until the client gives up.
    pub time_left: Duration,
    /// The client says that it asks again.
    pub retry: bool,
    /// What goes to a server.
    pub command: C,
    /// Bytes that holding it costs.
    pub bytes: usize,
}

/// A final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer<V> {
    /// The value that a server gave.
    Served(V),
    /// Refused; come again after this time.
    Refused(Option<Duration>),
    /// Failed; whether it ran is not known.
    Failed,
}

/// How an attempt has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct End<V> {
    /// What it was.
    pub outcome: Outcome,
    /// The value, where it was served.
    pub value: Option<V>,
    /// The request's true units, where its own were a guess and this is the answer that tells.
    pub true_units: Option<f64>,
    /// The load report that came along.
    pub load: Option<LoadReport>,
}

impl<V> End<V> {
    /// An end with nothing but its outcome.
    pub fn of(outcome: Outcome) -> End<V> {
        End {
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
    /// Begin an attempt; its end is told with [`Engine::ended`], whatever becomes of it.
    Send {
        /// The request.
        request: Key,
        /// Number of the attempt, from 0.
        attempt: u16,
        /// Where to.
        server: ServerId,
        /// When it is given up.
        give_up: Duration,
    },
    /// Stop waiting on an attempt; its end is told too.
    Cancel {
        /// The request.
        request: Key,
        /// Number of the attempt.
        attempt: u16,
    },
    /// A final answer.
    Answer {
        /// Whom it is for.
        owner: O,
        /// It.
        answer: Answer<V>,
    },
    /// Make a call to the counter; its end is told with [`Engine::counted`], for one name in the
    /// order of calls.
    Count {
        /// The name.
        name: CountName,
        /// The amount.
        add: f64,
        /// Life of a new name.
        lifetime: Duration,
    },
    /// Probe a server; the end is told with [`Engine::probed`].
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Ask discovery for the list, or for its changes from now on.
    FetchList,
    /// A line for the operators.
    Log(String),
}

/// What an engine may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Requests.
    pub requests: usize,
    /// Bytes of all of them.
    pub bytes: usize,
}

/// No more can be held, or the engine is stopped; the request was not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// The attempt that is out.
#[derive(Clone, Copy)]
struct Out {
    attempt: u16,
    server: ServerId,
    begun: Duration,
}

struct Request<O, C> {
    owner: Option<O>,
    command: C,
    bytes: usize,
    /// What its class's requests do when they run twice.
    effect: Effect,
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
pub struct Engine<O, C, V> {
    gateway: Gateway,
    /// What each class's requests do when they run twice.
    effects: Vec<Effect>,
    events: VecDeque<Event>,
    outputs: VecDeque<Output<O, V>>,
    actions: Vec<Action>,
    requests: Slots<Request<O, C>>,
    held: usize,
    bounds: Bounds,
    fleet: Fleet,
    directory: Directory,
    due: Option<Duration>,
    stopped: bool,
}

impl<O, C, V> Engine<O, C, V> {
    /// An engine with nothing to do yet.
    pub fn new(
        mut settings: Settings,
        seed: u64,
        bounds: Bounds,
    ) -> Result<Engine<O, C, V>, SettingsError> {
        // One outstanding attempt a request, whatever the platform would allow.
        settings.limits.duplicates = false;
        let effects = settings.classes.iter().map(|c| c.effect).collect();
        Ok(Engine {
            effects,
            gateway: Gateway::new(settings, seed)?,
            events: VecDeque::new(),
            outputs: VecDeque::new(),
            actions: Vec::new(),
            requests: Slots::default(),
            held: 0,
            bounds,
            fleet: Fleet::default(),
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
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Where a server listens, if the list has named it.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.fleet.get(server).map(|s| s.address)
    }

    /// What goes to a server for a request.
    pub fn command(&self, request: Key) -> Option<&C> {
        self.requests.get(request).map(|r| &r.command)
    }

    /// May a request be sent twice, whatever became of it the first time?
    pub fn repeatable(&self, request: Key) -> bool {
        self.requests
            .get(request)
            .is_some_and(|r| r.effect == Effect::Safe)
    }

    /// When [`Engine::on_due`] wants to be called next.
    pub fn due(&self) -> Option<Duration> {
        self.due
    }

    /// Is there something that [`Engine::poll`] would hand over or tell the module?
    pub fn has_news(&self) -> bool {
        !self.events.is_empty() || !self.outputs.is_empty()
    }

    /// Takes a request in. Its answer comes as an [`Output::Answer`].
    pub fn submit(&mut self, ask: Ask<O, C>) -> Result<Key, Full> {
        let full = self.requests.len() >= self.bounds.requests
            || self.held + ask.bytes > self.bounds.bytes;
        if full || self.stopped {
            return Err(Full);
        }
        self.held += ask.bytes;
        let key = self.requests.insert_with(|_| Request {
            owner: Some(ask.owner),
            command: ask.command,
            bytes: ask.bytes,
            effect: self
                .effects
                .get(ask.class)
                .copied()
                .unwrap_or(Effect::Unsafe),
            out: None,
            carrier: None,
            attempts: 0,
            arrived: false,
            may_have_run: false,
            until: None,
            finished: false,
        });
        self.events.push_back(Event::Request(NewRequest {
            request: RequestId(key.pack()),
            service: ask.service,
            class: ask.class,
            plan: ask.plan,
            customer: ask.customer,
            units: ask.units,
            spread: ask.spread,
            time_left: ask.time_left,
            retry: ask.retry,
        }));
        Ok(key)
    }

    /// The owner of a request has left: it is owed nothing any more, and an attempt that is out is
    /// called off.
    pub fn abandon(&mut self, request: Key) {
        if let Some(held) = self.requests.get_mut(request).filter(|r| !r.finished) {
            (held.finished, held.owner) = (true, None);
            self.events
                .push_back(Event::ClientGone(RequestId(request.pack())));
        }
    }

    /// May the first byte of this attempt be written to its server now? Guards against sends to a
    /// server that drains or is gone, for a request that is over, too late, and where an earlier
    /// attempt may have run and its repeat would no longer be dropped; also after a wait for a
    /// connection.
    pub fn may_write(&self, request: Key, attempt: u16, give_up: Duration, now: Duration) -> bool {
        let Some(held) = self.requests.get(request).filter(|r| !r.finished) else {
            return false;
        };
        let end = held.until.map_or(give_up, |until| until.min(give_up));
        held.out
            .is_some_and(|o| o.attempt == attempt && self.takes_work(o.server))
            && now < end
    }

    /// Does this server take new work?
    pub fn takes_work(&self, server: ServerId) -> bool {
        self.fleet
            .get(server)
            .is_some_and(|s| s.state == ServerState::Ready)
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
    pub fn ended(&mut self, request: Key, attempt: u16, end: End<V>, now: Duration) {
        let Some(held) = self.requests.get_mut(request) else {
            return;
        };
        let Some(out) = held.out.take_if(|out| out.attempt == attempt) else {
            return;
        };
        held.carrier = None;
        if !matches!(
            end.outcome,
            Outcome::ConnectFailed | Outcome::Full | Outcome::Moot
        ) {
            held.may_have_run = true;
            let until = match held.effect {
                Effect::Safe => None,
                Effect::Keyed { window, .. } => Some(out.begun + window),
                Effect::Unsafe => Some(Duration::ZERO),
            };
            held.until = held.until.or(until);
        }
        held.arrived |= !matches!(end.outcome, Outcome::ConnectFailed | Outcome::Moot);
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
            server: out.server,
            outcome: end.outcome,
            elapsed: now.saturating_sub(out.begun),
            finished,
            true_units,
            load: end.load,
        }));
        if let Some(value) = served {
            self.answer(request, Answer::Served(value));
        }
    }

    /// A probe has ended.
    pub fn probed(&mut self, server: ServerId, outcome: Outcome, load: Option<LoadReport>) {
        let Some(service) = self.fleet.get(server).and_then(|s| s.service()) else {
            return;
        };
        self.events.push_back(Event::ProbeEnded {
            service,
            server,
            outcome,
            load,
        });
    }

    /// A call to the counter has ended.
    pub fn counted(&mut self, name: CountName, result: CountResult, elapsed: Duration) {
        self.events.push_back(Event::Counted {
            name,
            result,
            elapsed,
        });
    }

    /// Discovery has told a list or its changes; `started` turns a Unix time in milliseconds into
    /// one of the engine's, none for long ago. Hands back the servers whose idle connections are of
    /// no more use, and how many entries could not be read.
    pub fn take_list(
        &mut self,
        list: &List,
        zones: &[String],
        started: impl Fn(f64) -> Option<Duration>,
    ) -> (Vec<ServerId>, usize) {
        let reading = Reading {
            zones,
            directory: &self.directory,
            started,
        };
        let Change { update, stale, bad } = self.fleet.apply(list, &reading);
        self.events.push_back(Event::Servers(update));
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
        let effect = self.directory.apply(change)?;
        let entries = self.fleet.reassign(&effect, &self.directory);
        if !entries.is_empty() {
            self.events
                .push_back(Event::Servers(ListUpdate::Changes(entries)));
        }
        Ok(())
    }

    /// The time that [`Engine::due`] told has come.
    pub fn on_due(&mut self) {
        if self.due.take().is_some() {
            self.events.push_back(Event::Timer(TimerTag(0)));
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
                Answer::Failed
            } else {
                Answer::Refused(None)
            };
            self.events
                .push_back(Event::ClientGone(RequestId(key.pack())));
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
            let ended = match &event {
                Event::ClientGone(id) => Some(*id),
                Event::AttemptEnded(end) => Some(end.request),
                _ => None,
            };
            let mut actions = std::mem::take(&mut self.actions);
            self.gateway.handle(now, event, &mut actions);
            actions.drain(..).for_each(|action| self.take(action, now));
            self.actions = actions;
            if let Some(id) = ended {
                self.forget(Key::unpack(id.0));
            }
        }
    }

    fn take(&mut self, action: Action, now: Duration) {
        let output = match action {
            Action::Send {
                request,
                server,
                give_up_at,
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
                    server,
                    begun: now,
                });
                Output::Send {
                    request,
                    attempt,
                    server,
                    give_up: give_up_at,
                }
            }
            Action::Refuse { request, retry_in } => {
                return self.answer(Key::unpack(request.0), Answer::Refused(retry_in));
            }
            Action::Fail { request } => return self.answer(Key::unpack(request.0), Answer::Failed),
            Action::Cancel { request, attempt } => Output::Cancel {
                request: Key::unpack(request.0),
                attempt,
            },
            Action::Count {
                name,
                add,
                lifetime,
            } => Output::Count {
                name,
                add,
                lifetime,
            },
            // Timers cannot be taken back, and the module sets a new one when the earliest fires.
            Action::SetTimer { after, .. } => {
                let at = now + after;
                self.due = Some(self.due.map_or(at, |due| due.min(at)));
                return;
            }
            Action::Probe { server } => Output::Probe { server },
            Action::Subscribe | Action::FetchList => Output::FetchList,
            Action::Log(text) => Output::Log(text),
        };
        self.outputs.push_back(output);
    }

    /// Gives a request its final answer, once.
    fn answer(&mut self, request: Key, answer: Answer<V>) {
        let Some(held) = self.requests.get_mut(request).filter(|r| !r.finished) else {
            return;
        };
        held.finished = true;
        if let Some(owner) = held.owner.take() {
            self.outputs.push_back(Output::Answer { owner, answer });
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
