//! All services of an ingress, and the order in which their timers expire.
//!
//! A [`Service`] is created for its first endpoint or request and dropped when it has neither. A
//! changed entry of the endpoint list affects only the endpoint that it describes; a complete list
//! replaces the endpoints of all services.

use crate::event::EndpointEntry;
use crate::ids::ServiceId;
use crate::service::Service;
use crate::settings::Settings;
use crate::util::seconds;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Endpoint weights below this value are raised to it.
const MIN_ENDPOINT_WEIGHT: f64 = 0.05;

/// A service and its contribution to the totals and the schedule of [`ServiceTable`].
struct ScheduledService {
    service: Service,
    /// When the service's next timer expires, as entered in [`ServiceTable::schedule`].
    next_timer_at: Option<Duration>,
    endpoint_count: usize,
    unmeasured_in_flight: usize,
}

/// The services that have endpoints or requests.
pub(crate) struct ServiceTable {
    settings: Arc<Settings>,
    seed: u64,
    services: BTreeMap<ServiceId, ScheduledService>,
    /// Number of endpoints of all services.
    endpoint_count: usize,
    /// Number of attempts in flight, summed over the services that have not responded yet.
    unmeasured_in_flight: usize,
    /// When the next timer of each service expires; services without a timer are left out.
    schedule: BTreeSet<(Duration, ServiceId)>,
}

impl ServiceTable {
    pub(crate) fn new(settings: &Arc<Settings>, seed: u64) -> ServiceTable {
        ServiceTable {
            settings: Arc::clone(settings),
            seed,
            services: BTreeMap::new(),
            endpoint_count: 0,
            unmeasured_in_flight: 0,
            schedule: BTreeSet::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.services.len()
    }

    /// The number of endpoints of all services.
    pub(crate) fn endpoint_count(&self) -> usize {
        self.endpoint_count
    }

    /// The number of attempts in flight, summed over the services that have not responded yet.
    pub(crate) fn unmeasured_in_flight(&self) -> usize {
        self.unmeasured_in_flight
    }

    /// When the next timer of any service expires; `None` if no timer is set.
    pub(crate) fn next_timer(&self) -> Option<Duration> {
        self.schedule.first().map(|(at, _)| *at)
    }

    /// The service whose timer has expired first, if any has expired by `now`.
    pub(crate) fn first_due_by(&self, now: Duration) -> Option<ServiceId> {
        let first = self.schedule.first().filter(|(at, _)| *at <= now);
        first.map(|(_, service)| *service)
    }

    pub(crate) fn get_mut(&mut self, id: ServiceId) -> Option<&mut Service> {
        let scheduled = self.services.get_mut(&id);
        scheduled.map(|scheduled| &mut scheduled.service)
    }

    /// Returns the service, which is created if it does not exist.
    pub(crate) fn get_or_create(&mut self, id: ServiceId, now: Duration) -> &mut Service {
        let settings = &self.settings;
        let seed = self.seed.wrapping_add(u64::from(id.0));
        let scheduled = self.services.entry(id).or_insert_with(|| ScheduledService {
            service: Service::new(settings, seed, seconds(now)),
            next_timer_at: None,
            endpoint_count: 0,
            unmeasured_in_flight: 0,
        });
        &mut scheduled.service
    }

    /// Called when an entry of the endpoint list has changed.
    pub(crate) fn update_endpoint(&mut self, entry: EndpointEntry, now: Duration) {
        let entry = with_valid_weight(entry);
        let service = self.get_or_create(entry.service, now);
        service.update_endpoint(&entry, seconds(now));
        self.update_counts(entry.service);
    }

    /// Called when a complete endpoint list has arrived. Removes all endpoints that it does not
    /// name.
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

    /// Called when a service has handled an event. Updates the service's entry in the schedule and
    /// the totals, and drops the service if it is unused.
    pub(crate) fn after_event(&mut self, id: ServiceId) {
        let Some(scheduled) = self.services.get_mut(&id) else {
            return;
        };
        let due = scheduled.service.next_timer();
        if due != scheduled.next_timer_at {
            if let Some(previous) = std::mem::replace(&mut scheduled.next_timer_at, due) {
                self.schedule.remove(&(previous, id));
            }
            self.schedule.extend(due.map(|at| (at, id)));
        }
        self.update_counts(id);
    }

    /// Updates the totals to include the service's current counts, and drops the service if it is
    /// unused.
    fn update_counts(&mut self, id: ServiceId) {
        let Some(scheduled) = self.services.get_mut(&id) else {
            return;
        };
        let count = scheduled.service.endpoint_count();
        let previous = std::mem::replace(&mut scheduled.endpoint_count, count);
        self.endpoint_count = self.endpoint_count - previous + count;
        let count = scheduled.service.unmeasured_in_flight();
        let previous = std::mem::replace(&mut scheduled.unmeasured_in_flight, count);
        self.unmeasured_in_flight = self.unmeasured_in_flight - previous + count;
        if scheduled.service.is_unused() {
            self.drop_service(id);
        }
    }

    fn drop_service(&mut self, id: ServiceId) {
        let dropped = self.services.remove(&id);
        if let Some(due) = dropped.and_then(|scheduled| scheduled.next_timer_at) {
            self.schedule.remove(&(due, id));
        }
    }
}

/// Returns the entry with a weight that is safe to divide by: a weight that is not a positive
/// number is replaced by 1, and a very small one by [`MIN_ENDPOINT_WEIGHT`].
fn with_valid_weight(entry: EndpointEntry) -> EndpointEntry {
    let is_valid = entry.weight.is_finite() && entry.weight > 0.0;
    let weight = if is_valid {
        entry.weight.max(MIN_ENDPOINT_WEIGHT)
    } else {
        1.0
    };
    EndpointEntry { weight, ..entry }
}
