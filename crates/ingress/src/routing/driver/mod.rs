//! Joins the request engine with the components that carry out its outputs: attempts and health
//! checks, calls to the counter, and the watch on discovery.

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
use rejections::Rejections;
use roseyard_admission::DescriptorUse;
use roseyard_decision::{
    CounterKey, CounterResult, EndpointId, Notice, RejectReason, SettingsError,
};
use roseyard_request_engine::{Directory, Output, RequestEngine};
use start::start_counter;
use std::net::SocketAddr;
use std::time::Duration;

/// The request engine with the components that carry out its outputs.
pub struct Driver {
    engine: IngressEngine,
    upstream: Upstream,
    counter: Option<CounterClient>,
    watch: DiscoveryWatch,
    list_applier: EndpointListApplier,
    responses: Vec<CommandResponse>,
    rejections: Rejections,
    engine_due: Option<Duration>,
}

impl Driver {
    /// Starts with the endpoint list that this ingress last held, and opens the watch.
    ///
    /// # Errors
    /// The settings' error if they do not fit together.
    pub fn new(
        config: DriverConfig,
        known: &EndpointListMessage,
        io: &mut Io,
    ) -> Result<Driver, SettingsError> {
        let limits = config.limits;
        let mut settings = config.settings;
        let counter = start_counter(config.counter, &mut settings, limits.counter);
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
            rejections: Rejections::default(),
            engine_due: None,
        };
        // Before the list: each endpoint is put into its service at once.
        driver.set_directory(&config.directory);
        driver
            .list_applier
            .apply(known, &mut driver.engine, &mut driver.upstream, io);
        driver.open_watch(io);
        driver.run(io);
        Ok(driver)
    }

    /// Discovery and the counter are at these addresses from now on. What is open stays open.
    pub fn migrate_to(&mut self, discovery: SocketAddr, counter: Option<SocketAddr>, io: &mut Io) {
        if self.watch.address() != discovery {
            // Lists that the old address has sent and that were not read yet are not lost.
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
                "counter cannot be added or removed before the next start"
            ),
        }
    }

    /// Services with their routes and endpoints.
    #[must_use]
    pub fn directory(&self) -> &Directory {
        self.engine.directory()
    }

    /// Another directory is in force from now on. Requests that are in flight keep their service
    /// and endpoint.
    pub fn set_directory(&mut self, directory: &Directory) {
        let changes = match self.engine.set_directory(directory) {
            Ok(0) => return,
            Ok(changes) => changes,
            Err(error) => {
                // A directory that has passed the file's checks fits; changes before it hold.
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

    /// Every request gets its final response now, and none is accepted any more.
    pub fn stop(&mut self) {
        self.engine.stop();
    }

    /// Has discovery sent a line on this watch?
    #[must_use]
    pub fn is_synced(&self) -> bool {
        self.watch.is_synced()
    }

    /// Revision of the endpoint list held.
    #[must_use]
    pub fn list_revision(&self) -> u64 {
        self.engine.endpoint_registry().revision()
    }

    /// Requests without a final response or with an attempt in flight.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.engine.open_request_count()
    }

    /// Connections to endpoints.
    #[must_use]
    pub fn upstream_connections(&self) -> usize {
        self.upstream.connection_count()
    }

    /// Takes a request; none if no more can be held, and it is to be rejected.
    pub fn submit(&mut self, submission: Submission, io: &mut Io) -> Option<Key> {
        let submitted = self.engine.submit(submission).ok();
        if submitted.is_none() {
            self.record_rejection(RejectReason::AtCapacity, io);
        }
        submitted
    }

    /// A request is rejected for this reason. Of those that were submitted the driver knows itself.
    pub fn record_rejection(&mut self, reason: RejectReason, io: &mut Io) {
        self.rejections.record(reason, io);
    }

    /// Logs what was rejected since this was last called.
    pub fn log_rejections(&mut self) {
        self.rejections.log();
    }

    /// The client of a request has disconnected.
    pub fn cancel_request(&mut self, request: Key) {
        self.engine.cancel_request(request);
    }

    /// Moves the responses given since the last call to `into`.
    pub fn take_responses(&mut self, into: &mut Vec<CommandResponse>) {
        into.append(&mut self.responses);
    }

    /// Are there events that the engine has not processed?
    #[must_use]
    pub fn has_pending(&self) -> bool {
        self.engine.has_pending()
    }

    /// Takes a descriptor for this use; an idle connection to an endpoint is closed if there is
    /// none.
    pub fn take_descriptor(&mut self, of: DescriptorUse, io: &mut Io) -> bool {
        self.upstream.take_descriptor(of, io)
    }

    /// Closes the idle connection to an endpoint that was used longest ago; false if none is idle.
    pub fn evict_idle(&mut self, io: &mut Io) -> bool {
        self.upstream.evict_idle(io)
    }

    /// Carries out all outputs of the engine, until there is no more.
    pub fn run(&mut self, io: &mut Io) {
        while let Some(output) = self.engine.poll(io.now) {
            self.carry_out(output, io);
        }
        let due = self.engine.due();
        if due != self.engine_due {
            io.deadlines
                .set(&mut self.engine_due, due, EventSource::Engine);
        }
        if let Some(counter) = &mut self.counter {
            counter.flush(io, &mut self.engine);
        }
    }

    fn carry_out(&mut self, output: Output<CommandId, Vec<u8>>, io: &mut Io) {
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
            // The watch is always open or being opened.
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

    /// Opens a call of the watch after the revision held.
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
