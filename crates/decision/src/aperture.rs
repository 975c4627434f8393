//! Deterministic aperture: which part of each server falls to one of many gateways.
//!
//! The servers lie on a ring in an order that all gateways agree on, each as long as its size. A
//! gateway takes an arc of it. Arcs begin at multiples of the golden ratio: any number of them in a
//! row covers the ring evenly, so that customers who come through neighbouring gateways reach all
//! servers, and a server that comes or goes moves little of each arc.

/// So many servers a gateway needs at least: fewer, and a few bad ones leave it no choice.
pub(crate) const LEAST_ENDPOINTS: f64 = 12.0;
/// So many arcs over each point of the ring at least: fewer, and single gateways' traffic shows at
/// servers.
pub(crate) const LEAST_OVER: f64 = 4.0;
/// So many servers a gateway keeps a state for at least: enough to go to where all of its arc fail.
pub(crate) const LEAST_REACH: f64 = 256.0;
const GOLDEN: f64 = 0.618_033_988_749_895;

/// The part, 0 to 1, of each server that lies on the arc of gateway `me` of `ingress_count`, an arc
/// of so many servers at least; sizes in ring order.
pub(crate) fn parts(me: u32, ingress_count: u32, least: f64, sizes: &[f64]) -> Vec<f64> {
    let (n, total) = (sizes.len() as f64, sizes.iter().sum::<f64>());
    let arc = total * (least.max(LEAST_OVER * n / f64::from(ingress_count)) / n.max(1.0));
    if arc >= total {
        return vec![1.0; sizes.len()];
    }
    let begin = (f64::from(me) * GOLDEN).fract() * total;
    let covered = |from: f64, to: f64| (to.min(begin + arc) - from.max(begin)).max(0.0);
    let mut at = 0.0;
    let part = |size: &f64| {
        at += size;
        // The arc may reach round the ring's end.
        (covered(at - size, at) + covered(at - size + total, at + total)) / size
    };
    sizes.iter().map(part).collect()
}
