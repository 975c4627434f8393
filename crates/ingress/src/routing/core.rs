//! Carries out what the engine hands over: its requests' attempts, its calls to the counter, its
//! probes.

use super::attempts::Link;
use super::counter::Counter;
use super::discovery::Watch;
use super::{Io, Party};
use crate::clock::Clock;
use crate::protocol::command::RequestCommand;
use crate::protocol::list::EndpointListMessage;
use crate::transport::{Key, Slots};
use roseyard_decision::*;
use roseyard_request_engine::{Directory, EngineLimits, Output, RequestEngine};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Whom an answer is for: a client's connection, and the number of its command there.
pub(super) type Owner = (Key, u64);
/// The engine as the daemon uses it.
pub type IngressEngine = RequestEngine<Owner, RequestCommand, Vec<u8>>;
/// A request as a front hands it over.
pub type Submission = roseyard_request_engine::Submission<Owner, RequestCommand>;
/// A final answer.
pub type Response = roseyard_request_engine::Response<Vec<u8>>;

/// What the core is started with.
pub struct Start {
    /// The module's settings.
    pub settings: Settings,
    /// Seed for its random numbers.
    pub seed: u64,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Services with their routes and servers.
    pub directory: Directory,
    /// The clock.
    pub clock: Clock,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// The counter's address.
    pub counter: Option<SocketAddr>,
}

/// Connections to one server that are idle, the latest used last.
#[derive(Default)]
pub(super) struct Pool {
    pub(super) idle: Vec<Key>,
    /// When bytes of it last arrived.
    pub(super) heard: Duration,
}

/// The engine with the sockets that carry out what it wants.
pub struct Core {
    pub(super) engine: IngressEngine,
    answers: Vec<(Owner, Response)>,
    pub(super) links: Slots<Link>,
    pub(super) pools: HashMap<EndpointId, Pool>,
    /// What has been learned of connections that rest.
    pub(super) idle_risk: roseyard_request_engine::IdleConnectionRisk,
    /// Idle connections to servers by the time of their last use: what goes first is found without
    /// a scan.
    pub(super) idle: BTreeSet<(Duration, Key)>,
    pub(super) counter: Option<Counter>,
    pub(super) watch: Watch,
    zones: Vec<String>,
    clock: Clock,
    timer: Option<Duration>,
}

impl Core {
    /// Starts with the list that this ingress last held.
    pub fn new(
        start: Start,
        known: &EndpointListMessage,
        io: &mut Io,
    ) -> Result<Core, SettingsError> {
        let mut settings = start.settings;
        // The settings' time-out is the simulator's, where a call that is late is never answered.
        // On sockets the total comes however late, and a late one still tells what the others use:
        // guards against throwing away the totals of a counter that is merely slow. How long a
        // request waits is the module's choice.
        if let Some(counter) = &mut settings.counter {
            counter.timeout = counter.timeout.max(io.limits.counter_call);
        }
        let timeout = settings.counter.as_ref().map(|c| c.timeout);
        let counter = start
            .counter
            .zip(timeout)
            .map(|(at, timeout)| Counter::new(at, timeout, &io.limits));
        if counter.is_none() {
            settings.counter = None;
        }
        let bounds = EngineLimits {
            requests: io.limits.requests,
            bytes: io.limits.held_bytes,
        };
        let mut core = Core {
            engine: RequestEngine::new(settings, start.seed, bounds)?,
            answers: Vec::new(),
            links: Slots::default(),
            pools: HashMap::new(),
            idle_risk: roseyard_request_engine::IdleConnectionRisk::default(),
            idle: BTreeSet::new(),
            counter,
            watch: Watch::new(start.discovery, start.seed),
            zones: start.zones,
            clock: start.clock,
            timer: None,
        };
        // Before the list: each server is put into its service at once.
        core.set_directory(&start.directory);
        core.apply_endpoint_list(known, io);
        core.watch_open(io);
        core.run(io);
        Ok(core)
    }

    /// Discovery and the counter are at these addresses from now on. What is open stays open.
    pub fn move_to(&mut self, discovery: SocketAddr, counter: Option<SocketAddr>, io: &mut Io) {
        if !self.watch.leads_to(discovery) {
            // Guards against news that the old place has told and that was not read yet.
            self.watch_read(io);
            self.watch.move_to(discovery);
            self.watch_open(io);
        }
        match (&mut self.counter, counter) {
            (Some(held), Some(address)) => held.move_to(address, io, &mut self.engine),
            (None, None) => {}
            _ => tracing::warn!(
                event = "reload.counter",
                "counter cannot be added or removed before the next start"
            ),
        }
    }

    /// Services with their routes and servers.
    pub fn directory(&self) -> &Directory {
        self.engine.directory()
    }

    /// Another directory is in force from now on. Requests that are out keep the service and server
    /// that they have.
    pub fn set_directory(&mut self, directory: &Directory) {
        let changes = match self.engine.set_directory(directory) {
            Ok(0) => return,
            Ok(changes) => changes,
            Err(why) => {
                // What the file's checks have passed fits; what was changed before it holds.
                tracing::warn!(event = "services.change_failed", error = %why, "directory change failed");
                return;
            }
        };
        let directory = self.engine.directory();
        let (services, routes) = (directory.service_count(), directory.route_count());
        tracing::info!(
            event = "services.changed",
            services,
            routes,
            changes,
            "services changed"
        );
    }

    /// Every request gets its final answer now, and none is taken in any more.
    pub fn stop(&mut self) {
        self.engine.stop();
    }

    /// Has discovery answered on this watch?
    pub fn told(&self) -> bool {
        self.watch.told
    }

    /// Version of the list of servers held.
    pub fn list_version(&self) -> u64 {
        self.engine.endpoint_registry().revision()
    }

    /// Requests without a final answer or with an attempt out.
    pub fn open_requests(&self) -> usize {
        self.engine.open()
    }

    /// Connections to servers.
    pub fn open_links(&self) -> usize {
        self.links.len()
    }

    /// Takes a request in; none if no more can be held, and it is to be refused.
    pub fn submit(&mut self, ask: Submission) -> Option<Key> {
        self.engine.submit(ask).ok()
    }

    /// The client of a request has left.
    pub fn cancel_request(&mut self, key: Key) {
        self.engine.cancel_request(key);
    }

    /// Answers given since the last call.
    pub fn take_answers(&mut self, into: &mut Vec<(Owner, Response)>) {
        into.append(&mut self.answers);
    }

    /// Is there news that the module has not heard?
    pub fn has_pending(&self) -> bool {
        self.engine.has_pending()
    }

    /// The module's timer has come due.
    pub fn on_timer(&mut self) {
        self.timer = None;
        self.engine.on_due();
    }

    pub(super) fn apply_endpoint_list(&mut self, list: &EndpointListMessage, io: &mut Io) {
        let applied = self
            .engine
            .apply_endpoint_list(list, &self.zones, |ms| self.clock.from_unix_ms(ms));
        for endpoint in applied.stale {
            let idle = self
                .pools
                .get_mut(&endpoint)
                .map(|p| std::mem::take(&mut p.idle))
                .unwrap_or_default();
            for key in idle {
                self.close_link(key, io);
            }
            if self.engine.endpoint_registry().get(endpoint).is_none() {
                self.pools.remove(&endpoint);
            }
        }
        let (rev, ready) = (list.revision, self.engine.endpoint_registry().ready());
        if applied.unreadable > 0 {
            tracing::warn!(
                event = "discovery.entries_unreadable",
                count = applied.unreadable,
                revision = rev,
                "endpoint list entries unreadable"
            );
        }
        tracing::info!(
            event = "discovery.list_applied",
            revision = rev,
            ready,
            "endpoint list applied"
        );
    }

    /// Carries out all that is to be done, until there is no more.
    pub fn run(&mut self, io: &mut Io) {
        while let Some(output) = self.engine.poll(io.now) {
            match output {
                Output::Forward {
                    request,
                    attempt,
                    endpoint,
                    deadline,
                } => {
                    self.send(request, attempt, endpoint, deadline, io);
                }
                Output::Cancel { request, attempt } => self.cancel(request, attempt, io),
                Output::Respond { owner, response } => self.answers.push((owner, response)),
                Output::IncrementCounter {
                    key: name,
                    amount: add,
                    time_to_live: lifetime,
                } => match &mut self.counter {
                    Some(counter) => counter.call(name, add, lifetime, io, &mut self.engine),
                    None => {
                        self.engine
                            .on_counter_reply(name, CounterResult::NotAdded, Duration::ZERO)
                    }
                },
                Output::CheckHealth { endpoint } => self.probe(endpoint, io),
                // The watch is always open or being opened.
                Output::FetchEndpointList => {}
                Output::Log(notice) => log_notice(notice),
            }
        }
        if self.engine.due() != self.timer {
            io.deadlines
                .set(&mut self.timer, self.engine.due(), Party::Module);
        }
        if let Some(counter) = &mut self.counter {
            counter.flush(io, &mut self.engine);
        }
    }
}

fn log_notice(notice: Notice) {
    match notice {
        Notice::EndpointUnresponsive(EndpointId(endpoint)) => {
            tracing::info!(
                event = "endpoint.unresponsive",
                endpoint,
                "endpoint unresponsive"
            );
        }
        Notice::CounterDegraded => {
            tracing::info!(event = "counter.degraded", "counter degraded");
        }
        Notice::CounterRecovered => {
            tracing::info!(event = "counter.recovered", "counter recovered");
        }
    }
}
