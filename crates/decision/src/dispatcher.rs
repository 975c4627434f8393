//! One gateway: hands each event to the service that it is for. It decides nothing itself.
//!
//! Ordinary path: a request's units go in one add to its customer's count (`Service::on_request`);
//! the total that comes back is held against the allowance (`Quotas::on_counted`,
//! `Ledger::settle`); what passes goes to the server of its service that promises most
//! (`Service::decided`, `Service::pick`). Everything else guards that path.
//!
//! A [`Service`] is made when its first server or request comes and dropped with its last.
//! Customers' quotas span services and stand above them. The cost of an event is that of the one
//! service: a service without requests is never woken, and a change of the list touches the servers
//! that it names.

use crate::quota::{CounterDecision, CustomerQuotas};
use crate::service::Service;
use crate::util::seconds;
use crate::{action::*, event::*, ids::*, settings::*};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Discovery is asked again so long after a call that failed.
const SUBSCRIBE_AGAIN: Duration = Duration::from_secs(1);
/// A gap so long between events, while services have maintenance to do, is our own stall.
const STALL_SECONDS: f64 = 0.25;
/// Least size of a server, relative to the others.
const LEAST_SIZE: f64 = 0.05;

/// What stands around a service while it takes an event in; the time is in seconds.
pub(crate) struct Context<'a> {
    pub t: f64,
    pub resumed_at: f64,
    pub quotas: &'a mut CustomerQuotas,
    pub out: &'a mut Vec<Action>,
    /// Requests and servers of all services.
    pub requests: usize,
    pub endpoints: usize,
    /// Requests of which nothing more is to come.
    pub over: &'a mut Vec<RequestId>,
}

/// A service and when it is to be woken.
struct Scheduled {
    service: Service,
    due: Option<Duration>,
    /// Its servers, as they were last counted.
    endpoints: usize,
}

impl Scheduled {
    /// Its servers: those that are ready, or those that have a state where these are more.
    fn size(&self) -> usize {
        self.service.endpoints.len().max(self.service.roster.len())
    }

    /// Has it neither servers nor requests?
    fn is_unused(&self) -> bool {
        self.size() == 0 && self.service.requests.is_empty()
    }
}

/// The entry with a size that can be reckoned with: one that is no size counts as 1.
fn with_a_size(entry: EndpointEntry) -> EndpointEntry {
    let is_size = entry.weight.is_finite() && entry.weight > 0.0;
    EndpointEntry {
        weight: if is_size {
            entry.weight.max(LEAST_SIZE)
        } else {
            1.0
        },
        ..entry
    }
}

/// One gateway's decisions. Feed it events, carry out its actions.
pub struct Dispatcher {
    settings: Arc<Settings>,
    seed: u64,
    quotas: CustomerQuotas,
    /// When the last stall of this ingress ended, in seconds.
    resumed_at: f64,
    services: BTreeMap<ServiceId, Scheduled>,
    /// The service of each request of which something is still to come.
    requests: HashMap<RequestId, ServiceId>,
    /// Servers of all services.
    endpoints: usize,
    due: BTreeSet<(Duration, ServiceId)>,
    subscribe_at: Option<Duration>,
    timer: Option<Duration>,
    clock: Duration,
    started: bool,
    over: Vec<RequestId>,
}

impl Dispatcher {
    /// Checks the settings and starts with no memory.
    pub fn new(settings: Settings, seed: u64) -> Result<Dispatcher, SettingsError> {
        settings.check()?;
        let settings = Arc::new(settings);
        Ok(Dispatcher {
            quotas: CustomerQuotas::new(&settings),
            resumed_at: 0.0,
            settings,
            seed,
            services: BTreeMap::new(),
            requests: HashMap::new(),
            endpoints: 0,
            due: BTreeSet::new(),
            subscribe_at: None,
            timer: None,
            clock: Duration::ZERO,
            started: false,
            over: Vec::new(),
        })
    }

    /// Services that have servers or requests.
    pub fn services(&self) -> usize {
        self.services.len()
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        self.advance(now);
        if !std::mem::replace(&mut self.started, true)
            && self.settings.discovery == DiscoveryMode::Poll
        {
            out.push(Action::Subscribe);
        }
        self.dispatch(event, out);
        self.wake_due(out);
        self.set_timer(out);
    }

    /// While there are requests the sweep of their services wakes us all the time: a gap is our own
    /// stall, and what waited through it proves nothing of servers or counter. Guards against mass
    /// silence after a stall.
    fn advance(&mut self, now: Duration) {
        let before = self.clock;
        self.clock = before.max(now);
        if seconds(self.clock - before) > STALL_SECONDS && !self.requests.is_empty() {
            self.resumed_at = seconds(self.clock);
        }
    }

    fn dispatch(&mut self, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::RequestReceived(request) => self.on_request(request, out),
            Event::CounterReply {
                key: name,
                result,
                elapsed,
            } => self.on_counted(name, result, elapsed, out),
            Event::AttemptEnded(end) => {
                self.with_request(end.request, out, |service, cx| service.on_ended(&end, cx));
            }
            Event::StreamStarted { request, attempt } => {
                self.with_request(request, out, |service, cx| {
                    service.on_stream(request, attempt, cx)
                });
            }
            Event::ClientDisconnected(request) => {
                self.with_request(request, out, |service, cx| service.close(request, cx));
            }
            Event::EndpointListChanged(update) => self.on_endpoints(update),
            Event::HealthCheckEnded {
                service,
                endpoint,
                outcome,
                load,
            } => {
                if let Some(scheduled) = self.services.get_mut(&service) {
                    scheduled
                        .service
                        .on_probed(endpoint, outcome, load, seconds(self.clock));
                }
            }
            Event::TimerExpired(_) => self.timer = None,
        }
    }

    fn on_request(&mut self, mut request: IncomingRequest, out: &mut Vec<Action>) {
        if self.requests.contains_key(&request.request) {
            return;
        }
        if request.class >= self.settings.classes.len() || request.plan >= self.settings.plans.len()
        {
            return out.push(Action::Reject {
                request: request.request,
                retry_after: None,
            });
        }
        request.units = if request.units.is_finite() {
            request.units.max(0.0)
        } else {
            1.0
        };
        self.ensure(request.service);
        self.requests.insert(request.request, request.service);
        self.with(request.service, out, |service, cx| {
            service.on_request(&request, cx)
        });
    }

    fn on_counted(
        &mut self,
        name: CounterKey,
        result: CounterResult,
        elapsed: Duration,
        out: &mut Vec<Action>,
    ) {
        let t = seconds(self.clock);
        let undecided = self.quotas.on_counter_reply(name, result, t);
        self.quotas.sampling.record_counter_latency(
            result,
            seconds(elapsed),
            t,
            self.resumed_at,
            out,
        );
        let Some(CounterDecision {
            request,
            is_within_quota: room,
        }) = undecided
        else {
            return;
        };
        self.with_request(request, out, |service, cx| match room {
            Some(room) => service.decided(request, room, true, cx),
            None => service.decide_alone(request, false, cx),
        });
    }

    fn on_endpoints(&mut self, update: EndpointListUpdate) {
        match update {
            EndpointListUpdate::Changes(entries) => {
                entries.iter().for_each(|entry| self.on_change(entry))
            }
            EndpointListUpdate::Full(entries) => self.on_whole_list(entries),
            EndpointListUpdate::Unavailable => {
                self.subscribe_at = Some(self.clock + SUBSCRIBE_AGAIN)
            }
        }
    }

    fn on_change(&mut self, entry: &EndpointEntry) {
        let t = seconds(self.clock);
        self.ensure(entry.service)
            .service
            .update(&with_a_size(*entry), t);
        self.count_endpoints(entry.service);
    }

    fn on_whole_list(&mut self, entries: Vec<EndpointEntry>) {
        let t = seconds(self.clock);
        let mut named: BTreeMap<ServiceId, Vec<EndpointEntry>> = BTreeMap::new();
        for entry in entries {
            named
                .entry(entry.service)
                .or_default()
                .push(with_a_size(entry));
        }
        for service in named.keys() {
            self.ensure(*service);
        }
        let services: Vec<ServiceId> = self.services.keys().copied().collect();
        for service in services {
            let entries = named.get(&service).map_or(&[][..], Vec::as_slice);
            self.ensure(service).service.replace(entries, t);
            self.count_endpoints(service);
        }
    }

    /// The service, made if there is none.
    fn ensure(&mut self, id: ServiceId) -> &mut Scheduled {
        let (settings, clock) = (&self.settings, self.clock);
        let seed = self.seed.wrapping_add(u64::from(id.0));
        self.services.entry(id).or_insert_with(|| Scheduled {
            service: Service::new(settings, seed, seconds(clock)),
            due: None,
            endpoints: 0,
        })
    }

    /// A service's servers have changed: counts them, and drops it if nothing is left of it.
    fn count_endpoints(&mut self, id: ServiceId) {
        let Some(scheduled) = self.services.get_mut(&id) else {
            return;
        };
        let size = scheduled.size();
        let before = std::mem::replace(&mut scheduled.endpoints, size);
        self.endpoints = self.endpoints - before + scheduled.endpoints;
        if scheduled.is_unused() {
            self.drop_service(id);
        }
    }

    fn drop_service(&mut self, id: ServiceId) {
        if let Some(due) = self
            .services
            .remove(&id)
            .and_then(|scheduled| scheduled.due)
        {
            self.due.remove(&(due, id));
        }
    }

    fn with_request(
        &mut self,
        request: RequestId,
        out: &mut Vec<Action>,
        act: impl FnOnce(&mut Service, &mut Context),
    ) {
        if let Some(&service) = self.requests.get(&request) {
            self.with(service, out, act);
        }
    }

    /// Lets a service take something in, and notes what has become of its requests and when it is
    /// due next.
    fn with(
        &mut self,
        id: ServiceId,
        out: &mut Vec<Action>,
        act: impl FnOnce(&mut Service, &mut Context),
    ) {
        let Some(scheduled) = self.services.get_mut(&id) else {
            return;
        };
        let t = seconds(self.clock);
        let (requests, endpoints) = (self.requests.len(), self.endpoints);
        let resumed_at = self.resumed_at;
        let (quotas, over) = (&mut self.quotas, &mut self.over);
        act(
            &mut scheduled.service,
            &mut Context {
                t,
                resumed_at,
                quotas,
                out,
                requests,
                endpoints,
                over,
            },
        );
        let due = scheduled.service.timers.first_due();
        if due != scheduled.due {
            if let Some(before) = std::mem::replace(&mut scheduled.due, due) {
                self.due.remove(&(before, id));
            }
            self.due.extend(due.map(|at| (at, id)));
        }
        for request in self.over.drain(..) {
            self.requests.remove(&request);
        }
        self.count_endpoints(id);
    }

    fn wake_due(&mut self, out: &mut Vec<Action>) {
        let clock = self.clock;
        while let Some((_, service)) = self.due.first().copied().filter(|(at, _)| *at <= clock) {
            self.with(service, out, |service, cx| {
                while let Some(timer) = service.timers.pop_due(clock) {
                    service.on_timer(timer, cx);
                }
            });
        }
        if self.subscribe_at.take_if(|at| *at <= clock).is_some() {
            out.push(Action::Subscribe);
        }
    }

    fn set_timer(&mut self, out: &mut Vec<Action>) {
        let first = self.due.first().map(|(at, _)| *at);
        let Some(due) = first.into_iter().chain(self.subscribe_at).min() else {
            return;
        };
        if self.timer.is_none_or(|at| due < at) {
            self.timer = Some(due);
            out.push(Action::SetTimer {
                after: due.saturating_sub(self.clock),
                tag: TimerTag(0),
            });
        }
    }
}
