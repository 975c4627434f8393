//! Deterministic subsetting: which part of each endpoint falls to one of many ingresses (Finagle's
//! deterministic aperture).
//!
//! The endpoints lie on a ring in an order that all ingresses agree on, each as long as its weight.
//! An ingress takes an arc of it. Arcs begin at multiples of the golden ratio: any number of
//! consecutive ingresses covers the ring evenly, so that customers who come through neighbouring
//! ingresses reach all endpoints, and an endpoint that comes or goes moves little of each arc.

/// Least number of endpoints in a subset: with fewer, a few outliers leave no choice.
pub(crate) const MIN_SUBSET_ENDPOINTS: f64 = 12.0;
/// Least number of arcs over each point of the ring: with fewer, the traffic of single ingresses
/// shows at endpoints.
pub(crate) const MIN_ARCS_PER_ENDPOINT: f64 = 4.0;
/// Least number of endpoints that an ingress keeps state for: enough for the case that its whole
/// subset fails.
pub(crate) const MIN_KNOWN_ENDPOINTS: f64 = 256.0;
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// The part, 0 to 1, of each endpoint that lies on the arc of one ingress, an arc of at least
/// `min_endpoints`; weights in the order of the ring.
pub(crate) fn subset_weights(
    ingress_index: u32,
    ingress_count: u32,
    min_endpoints: f64,
    weights: &[f64],
) -> Vec<f64> {
    let count = weights.len() as f64;
    let total = weights.iter().sum::<f64>();
    let endpoints = min_endpoints.max(MIN_ARCS_PER_ENDPOINT * count / f64::from(ingress_count));
    let arc = total * (endpoints / count.max(1.0));
    if arc >= total {
        return vec![1.0; weights.len()];
    }
    let begin = (f64::from(ingress_index) * GOLDEN_RATIO).fract() * total;
    let covered = |from: f64, to: f64| (to.min(begin + arc) - from.max(begin)).max(0.0);
    let mut position = 0.0;
    let part = |weight: &f64| {
        position += weight;
        let direct = covered(position - weight, position);
        // The arc may extend past the end of the ring.
        let wrapped = covered(position - weight + total, position + total);
        (direct + wrapped) / weight
    };
    weights.iter().map(part).collect()
}
