//! The subsets of all ingresses: even, never empty, steady.

#[path = "../src/balancer/subset.rs"]
mod subset;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use subset::*;

/// The number of endpoints in an arc, by the weights of all.
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
                "ingress {ingress} has {own} of {total}"
            );
            prop_assert!(parts.iter().all(|part| (0.0..=1.0 + 1e-9).contains(part)));
            sums.iter_mut().zip(&parts).for_each(|(sum, part)| *sum += part);
        }
        // Golden-ratio arcs differ from the even cover by less than three arcs at any point.
        let even = arc * f64::from(ingress_count);
        for (endpoint, sum) in sums.iter().enumerate() {
            prop_assert!((sum - even).abs() < 3.0, "endpoint {endpoint}: {sum} arcs of {even}");
        }
    }

    #[test]
    fn the_known_endpoints_contain_the_subset_and_are_as_even(
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
        // As many ingresses know an endpoint as begin on it or within one arc before it.
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
    fn one_more_endpoint_moves_little(
        ingress in 0u32..100,
        weights in prop::collection::vec(0.5f64..4.0, 30..80),
        at in 0usize..30,
    ) {
        let mut more = weights.clone();
        more.insert(at, 1.0);
        let before = subset_weights(ingress, 100, MIN_SUBSET_ENDPOINTS, &weights);
        let mut after = subset_weights(ingress, 100, MIN_SUBSET_ENDPOINTS, &more);
        after.remove(at);
        let moved: f64 = before.iter().zip(&after).map(|(a, b)| (a - b).abs()).sum();
        prop_assert!(moved < 3.0, "{moved} endpoints' worth of an arc moved");
    }
}
