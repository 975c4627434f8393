//! Connects the request engine with the components that execute its outputs: the upstream sends
//! attempts and health checks, the counter client increments counters, and the watch on discovery
//! receives endpoint lists.

mod events;
mod rejections;
mod start;

pub use start::{DriverConfig, DriverLimits};

use super::counter_client::CounterClient;
use super::discovery::DiscoveryWatch;
use super::endpoint_list::EndpointListApplier;
use super::engine::{CommandId, CommandResponse, IngressEngine, Response, Submission};
use super::event_source::EventSource;
use super::io::Io;
use super::upstream::{AttemptId, Upstream};
use crate::protocol::list::EndpointListMessage;
use crate::transport::Key;
use rejections::RejectionLog;
use roseyard_admission::DescriptorUse;
use roseyard_decision::{
    CounterKey, CounterResult, EndpointId, Notice, RejectReason, SettingsError,
};
use roseyard_request_engine::{Directory, Output, RequestEngine};
use start::create_counter_client;
use std::net::SocketAddr;
use std::time::Duration;

/// The request engine with the components that execute its outputs.
pub struct Driver {
    engine: IngressEngine,
    upstream: Upstream,
    counter: Option<CounterClient>,
    watch: DiscoveryWatch,
    list_applier: EndpointListApplier,
    responses: Vec<CommandResponse>,
    rejections: RejectionLog,
    engine_deadline: Option<Duration>,
}

impl Driver {
    /// Creates a driver, applies the endpoint list from the configuration file, and opens the watch
    /// on discovery.
    ///
    /// # Errors
    /// Returns an error if the settings are inconsistent.
    pub fn new(
        config: DriverConfig,
        initial_list: &EndpointListMessage,
        io: &mut Io,
    ) -> Result<Driver, SettingsError> {
        let limits = config.limits;
        let mut settings = config.settings;
        let counter = create_counter_client(config.counter, &mut settings, limits.counter);
        let mut driver = Driver {
            engine: RequestEngine::new(settings, config.seed, limits.engine)?,
            upstream: Upstream::new(limits.upstream),
            counter,
            watch: DiscoveryWatch::new(config.discovery, limits.discovery, config.seed),
            list_applier: EndpointListApplier {
                zones: config.zones,
                clock: config.clock,
            },
            responses: Vec::new(),
            rejections: RejectionLog::default(),
            engine_deadline: None,
        };
        // The directory comes before the list, so that the list assigns each endpoint to its
        // service.
        driver.set_directory(&config.directory);
        driver
            .list_applier
            .apply(initial_list, &mut driver.engine, &mut driver.upstream, io);
        driver.open_watch(io);
        driver.run(io);
        Ok(driver)
    }

    /// Uses these addresses of discovery and the counter for new calls. Open calls are not
    /// interrupted.
    pub fn migrate_to(&mut self, discovery: SocketAddr, counter: Option<SocketAddr>, io: &mut Io) {
        if self.watch.address() != discovery {
            // Applies lists that the old address has sent and that have not been read yet.
            let Driver {
                watch,
                list_applier,
                engine,
                upstream,
                ..
            } = self;
            watch.read_remaining(io, &mut |list, io| {
                list_applier.apply(list, engine, upstream, io);
            });
            self.watch.migrate_to(discovery);
            self.open_watch(io);
        }
        match (&mut self.counter, counter) {
            (Some(client), Some(address)) => client.migrate_to(address, io, &mut self.engine),
            (None, None) => {}
            _ => tracing::warn!(
                event = "reload.counter",
                "adding or removing the counter requires a restart"
            ),
        }
    }

    /// Returns the directory in force: services with their routes and endpoints.
    #[must_use]
    pub fn directory(&self) -> &Directory {
        self.engine.directory()
    }

    /// Replaces the directory. Requests that are in flight keep their service and endpoint. Does
    /// nothing if the new directory is equal to the old one.
    pub fn set_directory(&mut self, directory: &Directory) {
        let changes = match self.engine.set_directory(directory) {
            Ok(0) => return,
            Ok(changes) => changes,
            Err(error) => {
                // Not expected: the directory was validated when the operator's file was read. The
                // changes made before the failing one stay in force.
                tracing::warn!(event = "services.change_failed", error = %error, "directory change failed");
                return;
            }
        };
        let directory = self.engine.directory();
        let services = directory.service_count();
        let routes = directory.route_count();
        tracing::info!(
            event = "services.changed",
            services,
            routes,
            changes,
            "services changed"
        );
    }

    /// Gives every open request its final response, and accepts no more requests.
    pub fn stop(&mut self) {
        self.engine.stop();
    }

    /// Whether discovery has sent a line that could be read since the start.
    #[must_use]
    pub fn is_synced(&self) -> bool {
        self.watch.is_synced()
    }

    /// Returns the revision of the endpoint list in force.
    #[must_use]
    pub fn list_revision(&self) -> u64 {
        self.engine.endpoint_registry().revision()
    }

    /// Returns the number of requests without a final response or with an attempt in flight.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.engine.open_request_count()
    }

    /// Returns the number of connections to endpoints, including idle ones.
    #[must_use]
    pub fn upstream_connections(&self) -> usize {
        self.upstream.connection_count()
    }

    /// Submits a request to the engine. Returns `None` if the engine is at capacity or stopped; the
    /// caller then rejects the request.
    pub fn submit(&mut self, submission: Submission, io: &mut Io) -> Option<Key> {
        let submitted = self.engine.submit(submission).ok();
        if submitted.is_none() {
            self.record_rejection(RejectReason::AtCapacity, io);
        }
        submitted
    }

    /// Counts a rejected request for the log. Called by the frontend for requests that it rejects
    /// without submitting them; the driver counts the others itself.
    pub fn record_rejection(&mut self, reason: RejectReason, io: &mut Io) {
        self.rejections.record(reason, io);
    }

    /// Logs the summary of rejected requests. Called when its deadline expires.
    pub fn log_rejections(&mut self) {
        self.rejections.log();
    }

    /// Cancels a request whose client has disconnected.
    pub fn cancel_request(&mut self, request: Key) {
        self.engine.cancel_request(request);
    }

    /// Moves the responses that were added since the previous call to `into`.
    pub fn take_responses(&mut self, into: &mut Vec<CommandResponse>) {
        into.append(&mut self.responses);
    }

    /// Whether the engine has events that it has not processed yet.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        self.engine.has_pending()
    }

    /// Takes a descriptor for this use from the budget, if necessary by closing an idle connection
    /// to an endpoint. Returns false if none is available.
    pub fn take_descriptor(&mut self, descriptor_use: DescriptorUse, io: &mut Io) -> bool {
        self.upstream.take_descriptor(descriptor_use, io)
    }

    /// Closes the least recently used idle connection to an endpoint. Returns false if none is
    /// idle.
    pub fn evict_idle(&mut self, io: &mut Io) -> bool {
        self.upstream.evict_idle(io)
    }

    /// Executes the outputs of the engine until there are no more, sets the engine's timer, and
    /// writes the calls to the counter.
    pub fn run(&mut self, io: &mut Io) {
        while let Some(output) = self.engine.poll(io.now) {
            self.execute(output, io);
        }
        let due = self.engine.due();
        if due != self.engine_deadline {
            io.deadlines
                .set(&mut self.engine_deadline, due, EventSource::Engine);
        }
        if let Some(counter) = &mut self.counter {
            counter.flush(io, &mut self.engine);
        }
    }

    fn execute(&mut self, output: Output<CommandId, Vec<u8>>, io: &mut Io) {
        match output {
            Output::Forward {
                request,
                attempt,
                endpoint,
                deadline,
            } => {
                let attempt = AttemptId { request, attempt };
                self.upstream
                    .send_attempt(attempt, endpoint, deadline, &mut self.engine, io);
            }
            Output::Cancel { request, attempt } => {
                let attempt = AttemptId { request, attempt };
                self.upstream.cancel(attempt, &mut self.engine, io);
            }
            Output::Respond { owner, response } => {
                if let Response::Rejected { reason, .. } = response {
                    self.record_rejection(reason, io);
                }
                self.responses.push(CommandResponse {
                    command: owner,
                    response,
                });
            }
            Output::IncrementCounter {
                key,
                amount,
                time_to_live,
            } => self.increment_counter(key, amount, time_to_live, io),
            Output::CheckHealth { endpoint } => {
                self.upstream
                    .send_health_check(endpoint, &mut self.engine, io);
            }
            // The watch is always open, or scheduled to be opened.
            Output::FetchEndpointList => {}
            Output::Log(notice) => log_notice(notice),
        }
    }

    fn increment_counter(
        &mut self,
        key: CounterKey,
        amount: f64,
        time_to_live: Duration,
        io: &mut Io,
    ) {
        match &mut self.counter {
            Some(counter) => counter.increment(key, amount, time_to_live, io, &mut self.engine),
            None => self
                .engine
                .on_counter_reply(key, CounterResult::NotAdded, Duration::ZERO),
        }
    }

    /// Opens a watch call for the changes after the revision in force.
    fn open_watch(&mut self, io: &mut Io) {
        let connected = self.upstream.connect(&self.watch.address(), io);
        let revision = self.list_revision();
        self.watch.open(connected, revision, io);
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
