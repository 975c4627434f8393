//! All services of an ingress, and which of them is to be woken next.
//!
//! A [`Service`] is created when its first endpoint or request comes and dropped with its last. A
//! change of the endpoint list touches the endpoints that it names.

use crate::event::EndpointEntry;
use crate::ids::ServiceId;
use crate::service::Service;
use crate::settings::Settings;
use crate::util::seconds;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Least weight of an endpoint.
const ENDPOINT_WEIGHT_MIN: f64 = 0.05;

/// A service, and what the table last saw of it.
struct ScheduledService {
    service: Service,
    due: Option<Duration>,
    endpoint_count: usize,
    unmeasured_in_flight: usize,
}

/// The services that have endpoints or requests.
pub(crate) struct ServiceTable {
    settings: Arc<Settings>,
    seed: u64,
    services: BTreeMap<ServiceId, ScheduledService>,
    /// Endpoints of all services.
    endpoint_count: usize,
    /// Attempts in flight at all services that have not responded yet.
    unmeasured_in_flight: usize,
    /// When each service is to be woken.
    due: BTreeSet<(Duration, ServiceId)>,
}

impl ServiceTable {
    pub(crate) fn new(settings: &Arc<Settings>, seed: u64) -> ServiceTable {
        ServiceTable {
            settings: Arc::clone(settings),
            seed,
            services: BTreeMap::new(),
            endpoint_count: 0,
            unmeasured_in_flight: 0,
            due: BTreeSet::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.services.len()
    }

    /// Endpoints of all services.
    pub(crate) fn endpoint_count(&self) -> usize {
        self.endpoint_count
    }

    /// Attempts in flight at all services that have not responded yet.
    pub(crate) fn unmeasured_in_flight(&self) -> usize {
        self.unmeasured_in_flight
    }

    /// When the next service is to be woken.
    pub(crate) fn next_timer(&self) -> Option<Duration> {
        self.due.first().map(|(at, _)| *at)
    }

    /// The first service that is to be woken by `now`.
    pub(crate) fn first_due_by(&self, now: Duration) -> Option<ServiceId> {
        let first = self.due.first().filter(|(at, _)| *at <= now);
        first.map(|(_, service)| *service)
    }

    pub(crate) fn get_mut(&mut self, id: ServiceId) -> Option<&mut Service> {
        let scheduled = self.services.get_mut(&id);
        scheduled.map(|scheduled| &mut scheduled.service)
    }

    /// The service, created if there is none.
    pub(crate) fn get_or_create(&mut self, id: ServiceId, now: Duration) -> &mut Service {
        let settings = &self.settings;
        let seed = self.seed.wrapping_add(u64::from(id.0));
        let scheduled = self.services.entry(id).or_insert_with(|| ScheduledService {
            service: Service::new(settings, seed, seconds(now)),
            due: None,
            endpoint_count: 0,
            unmeasured_in_flight: 0,
        });
        &mut scheduled.service
    }

    /// An entry of the endpoint list has changed.
    pub(crate) fn update_endpoint(&mut self, entry: EndpointEntry, now: Duration) {
        let entry = with_valid_weight(entry);
        let service = self.get_or_create(entry.service, now);
        service.update_endpoint(&entry, seconds(now));
        self.update_counts(entry.service);
    }

    /// A complete endpoint list has come: endpoints and services that it does not name are gone.
    pub(crate) fn replace_endpoints(&mut self, entries: Vec<EndpointEntry>, now: Duration) {
        let mut by_service: BTreeMap<ServiceId, Vec<EndpointEntry>> = BTreeMap::new();
        for entry in entries {
            let listed = by_service.entry(entry.service).or_default();
            listed.push(with_valid_weight(entry));
        }
        for service in by_service.keys() {
            self.get_or_create(*service, now);
        }
        let services: Vec<ServiceId> = self.services.keys().copied().collect();
        for id in services {
            let entries = by_service.get(&id).map_or(&[][..], Vec::as_slice);
            let service = self.get_or_create(id, now);
            service.replace_endpoints(entries, seconds(now));
            self.update_counts(id);
        }
    }

    /// A service has handled an event: notes when it is due next, and drops it if it is unused.
    pub(crate) fn after_event(&mut self, id: ServiceId) {
        let Some(scheduled) = self.services.get_mut(&id) else {
            return;
        };
        let due = scheduled.service.next_timer();
        if due != scheduled.due {
            if let Some(before) = std::mem::replace(&mut scheduled.due, due) {
                self.due.remove(&(before, id));
            }
            self.due.extend(due.map(|at| (at, id)));
        }
        self.update_counts(id);
    }

    /// Takes the service's counts over into those of all, and drops it if it is unused.
    fn update_counts(&mut self, id: ServiceId) {
        let Some(scheduled) = self.services.get_mut(&id) else {
            return;
        };
        let count = scheduled.service.endpoint_count();
        let before = std::mem::replace(&mut scheduled.endpoint_count, count);
        self.endpoint_count = self.endpoint_count - before + count;
        let count = scheduled.service.unmeasured_in_flight();
        let before = std::mem::replace(&mut scheduled.unmeasured_in_flight, count);
        self.unmeasured_in_flight = self.unmeasured_in_flight - before + count;
        if scheduled.service.is_unused() {
            self.drop_service(id);
        }
    }

    fn drop_service(&mut self, id: ServiceId) {
        let dropped = self.services.remove(&id);
        if let Some(due) = dropped.and_then(|scheduled| scheduled.due) {
            self.due.remove(&(due, id));
        }
    }
}

/// The entry with a weight that can be calculated with: one that is not a positive number counts
/// as 1.
fn with_valid_weight(entry: EndpointEntry) -> EndpointEntry {
    let is_valid = entry.weight.is_finite() && entry.weight > 0.0;
    let weight = if is_valid {
        entry.weight.max(ENDPOINT_WEIGHT_MIN)
    } else {
        1.0
    };
    EndpointEntry { weight, ..entry }
}
