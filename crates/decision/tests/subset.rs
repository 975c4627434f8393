//! Checks that the subsets of all ingresses cover the endpoints evenly, are never empty, and change
//! little when an endpoint is added.

#[path = "../src/balancer/subset.rs"]
mod subset;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use subset::*;

/// Returns the length of an arc, as a number of endpoints of average weight.
fn arc_endpoints(ingress_count: u32, min_endpoints: f64, weights: &[f64]) -> f64 {
    let count = weights.len() as f64;
    min_endpoints.max(MIN_ARCS_PER_ENDPOINT * count / f64::from(ingress_count))
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(16), ..Default::default() })]

    #[test]
    fn endpoints_are_covered_evenly_and_no_subset_is_empty(
        ingress_count in 1u32..=300,
        weights in prop::collection::vec(0.5f64..4.0, 1..=200),
    ) {
        let mut sums = vec![0.0; weights.len()];
        let (count, total) = (weights.len() as f64, weights.iter().sum::<f64>());
        let arc = arc_endpoints(ingress_count, MIN_SUBSET_ENDPOINTS, &weights).min(count) / count;
        for ingress in 0..ingress_count {
            let parts = subset_weights(ingress, ingress_count, MIN_SUBSET_ENDPOINTS, &weights);
            let own: f64 = parts.iter().zip(&weights).map(|(part, weight)| part * weight).sum();
            prop_assert!(
                (own / total - arc).abs() < 1e-9,
                "the subset of ingress {ingress} has a weight of {own} out of {total}"
            );
            prop_assert!(parts.iter().all(|part| (0.0..=1.0 + 1e-9).contains(part)));
            sums.iter_mut().zip(&parts).for_each(|(sum, part)| *sum += part);
        }
        // Arcs that start at multiples of the golden ratio deviate from even coverage by less than
        // three arcs at any point.
        let even = arc * f64::from(ingress_count);
        for (endpoint, sum) in sums.iter().enumerate() {
            prop_assert!((sum - even).abs() < 3.0, "endpoint {endpoint}: {sum} of {even} arcs");
        }
    }

    #[test]
    fn known_endpoints_contain_the_subset_and_are_covered_evenly(
        ingress_count in 1u32..=300,
        weights in prop::collection::vec(0.5f64..4.0, 1..=1000),
    ) {
        let mut ingresses_of = vec![0u32; weights.len()];
        for ingress in 0..ingress_count {
            let subset = subset_weights(ingress, ingress_count, MIN_SUBSET_ENDPOINTS, &weights);
            let known = subset_weights(ingress, ingress_count, MIN_KNOWN_ENDPOINTS, &weights);
            prop_assert!(subset.iter().zip(&known).all(|(inside, near)| *inside <= near + 1e-9));
            for (ingresses, part) in ingresses_of.iter_mut().zip(&known) {
                *ingresses += u32::from(*part > 0.0);
            }
        }
        // An ingress knows an endpoint if its arc starts on the endpoint or within one arc before
        // it.
        let (count, total) = (weights.len() as f64, weights.iter().sum::<f64>());
        let known = arc_endpoints(ingress_count, MIN_KNOWN_ENDPOINTS, &weights) / count;
        for (weight, ingresses) in weights.iter().zip(ingresses_of) {
            let even = (known + weight / total).min(1.0) * f64::from(ingress_count);
            prop_assert!(
                (f64::from(ingresses) - even).abs() < 3.0,
                "{ingresses} ingresses know an endpoint, {even} if even"
            );
        }
    }

    #[test]
    fn adding_an_endpoint_changes_a_subset_little(
        ingress in 0u32..100,
        weights in prop::collection::vec(0.5f64..4.0, 30..80),
        at in 0usize..30,
    ) {
        let mut with_added = weights.clone();
        with_added.insert(at, 1.0);
        let before = subset_weights(ingress, 100, MIN_SUBSET_ENDPOINTS, &weights);
        let mut after = subset_weights(ingress, 100, MIN_SUBSET_ENDPOINTS, &with_added);
        after.remove(at);
        let moved: f64 = before.iter().zip(&after).map(|(a, b)| (a - b).abs()).sum();
        prop_assert!(moved < 3.0, "the subset changed by {moved} endpoints");
    }
}
