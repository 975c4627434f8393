//! Deterministic subsetting, similar to Finagle's deterministic aperture: determines which part of
//! each endpoint belongs to the subset of one ingress among many.
//!
//! The endpoints lie on a ring in an order that is the same at every ingress. The length of each is
//! its weight. The subset of an ingress is an arc of the ring. The arcs start at multiples of the
//! golden ratio, so that any number of consecutive ingresses covers the ring evenly. Customers
//! whose requests arrive at neighbouring ingresses therefore reach all endpoints, and adding or
//! removing an endpoint changes only a small part of each arc.

/// The minimum number of endpoints in a subset. In a smaller one, a few outliers could leave no
/// usable endpoint.
pub(crate) const MIN_SUBSET_ENDPOINTS: f64 = 12.0;
/// The minimum number of arcs that cover each point of the ring. With fewer, differences in traffic
/// between ingresses would lead to uneven load on the endpoints.
pub(crate) const MIN_ARCS_PER_ENDPOINT: f64 = 4.0;
/// The minimum number of endpoints that an ingress keeps state for. It leaves enough endpoints if
/// the whole subset fails.
pub(crate) const MIN_KNOWN_ENDPOINTS: f64 = 256.0;
/// The fractional part of the golden ratio.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// Returns the part of each endpoint, from 0 to 1, that lies on the arc of one ingress. The arc is
/// at least as long as `min_endpoints` endpoints of average weight. `weights` contains the weight
/// of each endpoint in ring order.
pub(crate) fn subset_weights(
    ingress_index: u32,
    ingress_count: u32,
    min_endpoints: f64,
    weights: &[f64],
) -> Vec<f64> {
    let count = weights.len() as f64;
    let total = weights.iter().sum::<f64>();
    let arc_endpoints = min_endpoints.max(MIN_ARCS_PER_ENDPOINT * count / f64::from(ingress_count));
    let arc_length = total * (arc_endpoints / count.max(1.0));
    if arc_length >= total {
        return vec![1.0; weights.len()];
    }
    let arc_start = (f64::from(ingress_index) * GOLDEN_RATIO_FRACTION).fract() * total;
    let overlap =
        |from: f64, to: f64| (to.min(arc_start + arc_length) - from.max(arc_start)).max(0.0);
    let mut position = 0.0;
    let part_on_arc = |weight: &f64| {
        position += weight;
        let direct = overlap(position - weight, position);
        // The part of an arc that extends past the end of the ring continues at its start.
        let wrapped = overlap(position - weight + total, position + total);
        (direct + wrapped) / weight
    };
    weights.iter().map(part_on_arc).collect()
}
