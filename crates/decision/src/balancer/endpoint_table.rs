//! The endpoints of a service. An endpoint is listed if discovery's list contains it as ready, and
//! known if the ingress keeps state for it. If the list is very long, only a part of the listed
//! endpoints may be known, otherwise all are.

use crate::balancer::endpoint_ring::EndpointRing;
use crate::balancer::subset::{subset_weights, MIN_KNOWN_ENDPOINTS, MIN_SUBSET_ENDPOINTS};
use crate::endpoint::{Endpoint, Endpoints};
use crate::event::{EndpointEntry, EndpointState};
use crate::health::circuit_breaker::CircuitBreaker;
use crate::settings::Settings;
use crate::util::held_random::HeldSample;
use fastrand::Rng;
use std::collections::btree_map::Entry;

/// The listed endpoints of a service and the state of the known ones.
#[derive(Default)]
pub(crate) struct EndpointTable {
    pub endpoints: Endpoints,
    ring: EndpointRing,
}

impl EndpointTable {
    /// Returns the number of listed endpoints, or of known ones if that is higher. It can be higher
    /// because a removed endpoint stays known until its attempts have ended.
    pub(crate) fn len(&self) -> usize {
        self.endpoints.len().max(self.ring.len())
    }

    /// Returns the number of listed endpoints per known endpoint, at least 1.
    pub(crate) fn listed_per_known(&self) -> f64 {
        (self.ring.len() as f64 / self.endpoints.len().max(1) as f64).max(1.0)
    }

    /// Applies a changed entry. An endpoint that is draining or removed gets no new attempts from
    /// then on.
    pub(crate) fn update(&mut self, entry: &EndpointEntry, now: f64, rng: &mut Rng) {
        self.ring.update(entry);
        let is_list_short = self.ring.len() as f64 <= MIN_KNOWN_ENDPOINTS;
        if is_list_short || self.endpoints.contains_key(&entry.endpoint) {
            self.upsert(*entry, now, rng);
        }
    }

    /// Applies a complete list. Endpoints that it does not contain get no new attempts, and are
    /// dropped once they have no attempt in flight.
    pub(crate) fn replace(&mut self, entries: &[EndpointEntry], now: f64, rng: &mut Rng) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.ready = false;
        }
        self.ring.clear();
        for entry in entries {
            self.update(entry, now, rng);
        }
        self.drop_drained();
    }

    /// Drops the endpoints that are not ready and have no attempt in flight.
    pub(crate) fn drop_drained(&mut self) {
        self.endpoints
            .retain(|_, endpoint| endpoint.ready || !endpoint.in_flight.is_empty());
    }

    /// Determines which endpoints are known and which fraction of each, from 0 to 1, belongs to
    /// this ingress's subset (see [`subset_weights`]). Does nothing if the list has not changed
    /// since the last call.
    pub(crate) fn refresh_subset(&mut self, settings: &Settings, now: f64, rng: &mut Rng) {
        let Some(ring) = self.ring.take_changed() else {
            return;
        };
        let weights: Vec<f64> = ring.iter().map(|entry| entry.weight).collect();
        let weights_on_arc = |min_endpoints| {
            subset_weights(
                settings.ingress_index,
                settings.ingress_count,
                min_endpoints,
                &weights,
            )
        };
        let subset = weights_on_arc(MIN_SUBSET_ENDPOINTS);
        let known_weights = weights_on_arc(MIN_KNOWN_ENDPOINTS);
        for ((entry, subset_weight), known_weight) in ring.iter().zip(subset).zip(known_weights) {
            let is_known = known_weight > 0.0;
            if is_known && !self.endpoints.contains_key(&entry.endpoint) {
                self.upsert(*entry, now, rng);
            }
            if let Some(endpoint) = self.endpoints.get_mut(&entry.endpoint) {
                endpoint.subset_weight = subset_weight;
                endpoint.ready = is_known;
            }
        }
    }

    /// Updates or creates an endpoint's state from its entry. After a restart, which a new start
    /// time shows, its latency ratio, the time of its last response, its circuit breaker and
    /// whether it is unresponsive are reset. An endpoint that is not ready and has no attempt in
    /// flight is dropped.
    fn upsert(&mut self, entry: EndpointEntry, now: f64, rng: &mut Rng) {
        let sample = rng.f64();
        let mut slot = match self.endpoints.entry(entry.endpoint) {
            Entry::Occupied(slot) => slot,
            Entry::Vacant(slot) => slot.insert_entry(new_endpoint(entry, sample, now)),
        };
        let endpoint = slot.get_mut();
        if endpoint.entry.started_at != entry.started_at {
            endpoint.unresponsive = false;
            endpoint.latency_ratio = 1.0;
            endpoint.last_response_at = now;
            endpoint.circuit_breaker = CircuitBreaker::Untried;
        }
        endpoint.entry = entry;
        endpoint.ready = entry.state == EndpointState::Ready;
        if !endpoint.ready && endpoint.in_flight.is_empty() {
            slot.remove();
        }
    }
}

/// Returns the state of a new endpoint. The time of its last health check is random, so that each
/// ingress checks the endpoints in a different order. Otherwise all ingresses would know the load
/// of the same few endpoints, and use those.
fn new_endpoint(entry: EndpointEntry, sample: f64, now: f64) -> Endpoint {
    Endpoint {
        entry,
        slow_start_sample: HeldSample {
            value: sample,
            drawn_at: 0.0,
        },
        last_health_check_at: -sample,
        last_response_at: now,
        latency_ratio: 1.0,
        ..Endpoint::default()
    }
}
