//! The endpoints of a service that have a state: all listed ones, unless there are very many.

use crate::balancer::endpoint_ring::EndpointRing;
use crate::balancer::subset::{subset_weights, MIN_KNOWN_ENDPOINTS, MIN_SUBSET_ENDPOINTS};
use crate::endpoint::{Endpoint, Endpoints};
use crate::event::{EndpointEntry, EndpointState};
use crate::health::circuit_breaker::CircuitBreaker;
use crate::settings::Settings;
use crate::util::held_random::HeldSample;
use fastrand::Rng;
use std::collections::btree_map::Entry;

/// The listed endpoints, and the state of those that this ingress uses.
#[derive(Default)]
pub(crate) struct EndpointTable {
    pub endpoints: Endpoints,
    ring: EndpointRing,
}

impl EndpointTable {
    /// The endpoints that are listed, or those that have a state if these are more.
    pub(crate) fn len(&self) -> usize {
        self.endpoints.len().max(self.ring.len())
    }

    /// Listed endpoints for each one that has a state.
    pub(crate) fn listed_per_known(&self) -> f64 {
        (self.ring.len() as f64 / self.endpoints.len().max(1) as f64).max(1.0)
    }

    /// Takes in a changed entry. From then on nothing new goes to an endpoint that is draining or
    /// removed.
    pub(crate) fn update(&mut self, entry: &EndpointEntry, now: f64, rng: &mut Rng) {
        self.ring.update(entry);
        let is_list_short = self.ring.len() as f64 <= MIN_KNOWN_ENDPOINTS;
        if is_list_short || self.endpoints.contains_key(&entry.endpoint) {
            self.upsert(*entry, now, rng);
        }
    }

    /// Takes in a complete list: what it does not contain is removed.
    pub(crate) fn replace(&mut self, entries: &[EndpointEntry], now: f64, rng: &mut Rng) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.ready = false;
        }
        self.ring.clear();
        for entry in entries {
            self.update(entry, now, rng);
        }
        self.drop_removed();
    }

    /// Drops endpoints that are not ready and have nothing in flight.
    pub(crate) fn drop_removed(&mut self) {
        self.endpoints
            .retain(|_, endpoint| endpoint.ready || !endpoint.in_flight.is_empty());
    }

    /// After a change of the list: determines which endpoints have a state here and which part of
    /// each is in this ingress's subset.
    pub(crate) fn refresh_subset(&mut self, settings: &Settings, now: f64, rng: &mut Rng) {
        let Some(ring) = self.ring.take_changed() else {
            return;
        };
        let weights: Vec<f64> = ring.iter().map(|entry| entry.weight).collect();
        let arc = |min_endpoints| {
            subset_weights(
                settings.ingress_index,
                settings.ingress_count,
                min_endpoints,
                &weights,
            )
        };
        let subset = arc(MIN_SUBSET_ENDPOINTS);
        let known = arc(MIN_KNOWN_ENDPOINTS);
        for ((entry, subset_weight), known_weight) in ring.iter().zip(subset).zip(known) {
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

    /// Takes an entry into its endpoint's state, which is created if there is none.
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

/// A new endpoint's state. Each ingress checks endpoints in an order of its own: otherwise all
/// would know, and use, the same few.
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
