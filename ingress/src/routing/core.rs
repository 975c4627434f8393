//! Requests and the module: events go in, actions come out and are carried out.

use super::attempts::Link;
use super::counter::Counter;
use super::discovery::Watch;
use super::fleet::Fleet;
use super::{Io, Party};
use crate::clock::Clock;
use crate::protocol::command::Held;
use crate::protocol::list::List;
use crate::transport::{Key, Slots};
use roseyard::*;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// A request as a front hands it over.
pub struct Ask {
    /// Whom the answer is for.
    pub owner: (Key, u64),
    /// Index of its class.
    pub class: usize,
    /// Index of its customer's plan.
    pub plan: usize,
    /// Its customer.
    pub customer: CustomerId,
    /// Units.
    pub units: f64,
    /// Ingresses of the customer.
    pub spread: u32,
    /// Time until the client gives up.
    pub time_left: Duration,
    /// What goes to a server.
    pub command: Held,
}

/// A final answer.
#[derive(Debug, PartialEq)]
pub enum Answer {
    /// The value that a server gave.
    Served(Vec<u8>),
    /// Refused; come again after this time.
    Refused(Option<Duration>),
    /// Failed.
    Failed,
}

/// What the core is started with.
pub struct Start {
    /// The module's settings.
    pub settings: Settings,
    /// Seed for its random numbers.
    pub seed: u64,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// The clock.
    pub clock: Clock,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// The counter's address.
    pub counter: Option<SocketAddr>,
}

pub(super) struct Request {
    owner: (Key, u64),
    pub(super) command: Held,
    pub(super) link: Option<Key>,
    attempts: u16,
    pub(super) finished: bool,
}

/// Requests, attempts, servers and counter around the module.
pub struct Core {
    gateway: Gateway,
    pub(super) events: VecDeque<Event>,
    actions: Vec<Action>,
    answers: Vec<((Key, u64), Answer)>,
    pub(super) requests: Slots<Request>,
    held: usize,
    pub(super) links: Slots<Link>,
    pub(super) fleet: Fleet,
    pub(super) counter: Option<Counter>,
    pub(super) watch: Watch,
    zones: Vec<String>,
    pub(super) clock: Clock,
    timer: Option<Duration>,
    /// Idle connections to servers by the time of their last use: what goes first is found without a scan.
    pub(super) idle: BTreeSet<(Duration, Key)>,
}

impl Core {
    /// Starts with the list that this ingress last held.
    pub fn new(start: Start, known: &List, io: &mut Io) -> Result<Core, SettingsError> {
        let mut settings = start.settings;
        // One outstanding attempt a request, whatever the platform would allow.
        settings.limits.duplicates = false;
        // The settings' time-out is the simulator's, where a call that is late is never answered. On sockets the
        // total comes however late, and a late one still tells what the others use: guards against throwing
        // away the totals of a counter that is merely slow. How long a request waits is the module's choice.
        if let Some(counter) = &mut settings.counter {
            counter.timeout = counter.timeout.max(io.limits.counter_call);
        }
        let timeout = settings.counter.as_ref().map(|c| c.timeout);
        let counter = start.counter.zip(timeout).map(|(at, timeout)| Counter::new(at, timeout, &io.limits));
        if counter.is_none() {
            settings.counter = None;
        }
        let mut core = Core {
            gateway: Gateway::new(settings, start.seed)?,
            events: VecDeque::new(),
            actions: Vec::new(),
            answers: Vec::new(),
            requests: Slots::default(),
            held: 0,
            links: Slots::default(),
            fleet: Fleet::default(),
            counter,
            watch: Watch::new(start.discovery),
            zones: start.zones,
            clock: start.clock,
            timer: None,
            idle: BTreeSet::new(),
        };
        core.take_list(known, io);
        core.watch_open(io);
        core.run(io);
        Ok(core)
    }

    /// Discovery and the counter are at these addresses from now on. What is open stays open.
    pub fn move_to(&mut self, discovery: SocketAddr, counter: Option<SocketAddr>, io: &mut Io) {
        if self.watch.move_to(discovery) {
            self.watch_open(io);
        }
        match (&mut self.counter, counter) {
            (Some(held), Some(address)) => held.move_to(address, io, &mut self.events),
            (None, None) => {}
            _ => tracing::warn!(
                event = "reload.counter",
                "reload: a counter that comes or goes takes effect at the next start"
            ),
        }
    }

    /// Has discovery answered on this watch?
    pub fn told(&self) -> bool {
        self.watch.told
    }

    /// Version of the list of servers held.
    pub fn list_version(&self) -> u64 {
        self.fleet.rev
    }

    /// Requests without a final answer or with an attempt out.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Connections to servers.
    pub fn open_links(&self) -> usize {
        self.links.len()
    }

    /// Takes a request in; none if no more can be held, and it is to be refused.
    pub fn submit(&mut self, ask: Ask, io: &Io) -> Option<Key> {
        let bytes = ask.command.len();
        if self.requests.len() >= io.limits.requests || self.held + bytes > io.limits.held_bytes {
            return None;
        }
        self.held += bytes;
        let (owner, command) = (ask.owner, ask.command);
        let key = self.requests.insert_with(|_| Request {
            owner,
            command,
            link: None,
            attempts: 0,
            finished: false,
        });
        self.events.push_back(Event::Request(NewRequest {
            request: RequestId(key.pack()),
            class: ask.class,
            plan: ask.plan,
            customer: ask.customer,
            units: ask.units,
            spread: ask.spread,
            time_left: ask.time_left,
        }));
        Some(key)
    }

    /// The client of a request has left.
    pub fn abandon(&mut self, key: Key) {
        if let Some(request) = self.requests.get_mut(key).filter(|r| !r.finished) {
            request.finished = true;
            self.events.push_back(Event::ClientGone(RequestId(key.pack())));
        }
    }

    /// Answers given since the last call.
    pub fn take_answers(&mut self, into: &mut Vec<((Key, u64), Answer)>) {
        into.append(&mut self.answers);
    }

    /// Does the module have news to hear?
    pub fn has_news(&self) -> bool {
        !self.events.is_empty()
    }

    /// The module's timer has come due.
    pub fn on_timer(&mut self) {
        self.timer = None;
        self.events.push_back(Event::Timer(TimerTag(0)));
    }

    pub(super) fn take_list(&mut self, list: &List, io: &mut Io) {
        let change = self.fleet.apply(list, &self.zones, &self.clock);
        for key in change.stale {
            self.close_link(key, io);
        }
        if change.bad > 0 {
            let (bad, rev) = (change.bad, list.rev);
            tracing::warn!(
                event = "discovery.entries",
                bad,
                rev,
                "discovery: {bad} entries of rev {rev} unreadable"
            );
        }
        let (rev, ready) = (list.rev, self.fleet.ready());
        tracing::info!(event = "discovery.list", rev, ready, "discovery: rev {rev}, {ready} servers ready");
        self.events.push_back(Event::Servers(change.update));
    }

    /// Tells the module all that has happened and carries out what it wants, until there is no more.
    pub fn run(&mut self, io: &mut Io) {
        while let Some(event) = self.events.pop_front() {
            let ended = match &event {
                Event::ClientGone(id) => Some(*id),
                Event::AttemptEnded(end) => Some(end.request),
                _ => None,
            };
            let mut actions = std::mem::take(&mut self.actions);
            self.gateway.handle(io.now, event, &mut actions);
            for action in actions.drain(..) {
                self.perform(action, io);
            }
            self.actions = actions;
            if let Some(id) = ended {
                self.forget(id);
            }
        }
        if let Some(counter) = &mut self.counter {
            counter.flush(io, &mut self.events);
        }
    }

    fn perform(&mut self, action: Action, io: &mut Io) {
        match action {
            Action::Send { request, server, give_up_at } => self.send(request, server, give_up_at, io),
            Action::Refuse { request, retry_in } => self.answer(request, Answer::Refused(retry_in)),
            Action::Fail { request } => self.answer(request, Answer::Failed),
            Action::Cancel { request, attempt } => self.cancel(request, attempt, io),
            Action::Count { name, add, lifetime } => match &mut self.counter {
                Some(counter) => counter.call(name, add, lifetime, io, &mut self.events),
                None => self.events.push_back(Event::Counted {
                    name,
                    result: CountResult::NotAdded,
                    elapsed: Duration::ZERO,
                }),
            },
            // Timers cannot be taken back, and the module sets a new one when the earliest fires.
            Action::SetTimer { after, .. } => {
                let at = self.timer.map_or(io.now + after, |t| t.min(io.now + after));
                io.deadlines.set(&mut self.timer, Some(at), Party::Module);
            }
            Action::Probe { server } => self.probe(server, io),
            // The watch is always open or being opened.
            Action::Subscribe | Action::FetchList => {}
            Action::Log(text) => tracing::info!(event = "module", "module: {text}"),
        }
    }

    /// Gives a request its final answer, once.
    pub(super) fn answer(&mut self, id: RequestId, answer: Answer) {
        let Some(request) = self.requests.get_mut(Key::unpack(id.0)).filter(|r| !r.finished) else { return };
        request.finished = true;
        self.answers.push((request.owner, answer));
        self.forget(id);
    }

    /// Drops a request that is answered and has no attempt out.
    fn forget(&mut self, id: RequestId) {
        let key = Key::unpack(id.0);
        if self.requests.get(key).is_some_and(|r| r.finished && r.link.is_none()) {
            if let Some(request) = self.requests.remove(key) {
                self.held -= request.command.len();
            }
        }
    }

    pub(super) fn next_attempt(&mut self, id: RequestId) -> Option<u16> {
        let request = self.requests.get_mut(Key::unpack(id.0))?;
        request.attempts += 1;
        Some(request.attempts - 1)
    }
}
