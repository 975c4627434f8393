//! The aperture over all gateways: even, never empty, steady.

#[path = "../src/balancer/subset.rs"]
mod subset;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use subset::*;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(16), ..Default::default() })]

    #[test]
    fn endpoints_are_covered_evenly_and_no_arc_is_empty(
        ingress_count in 1u32..=300,
        sizes in prop::collection::vec(0.5f64..4.0, 1..=200),
    ) {
        let mut sums = vec![0.0; sizes.len()];
        let (n, total) = (sizes.len() as f64, sizes.iter().sum::<f64>());
        let arc = (SUBSET_ENDPOINTS_MIN.max(ARCS_OVER_ENDPOINT_MIN * n / f64::from(ingress_count))).min(n) / n;
        for me in 0..ingress_count {
            let parts = subset_weights(me, ingress_count, SUBSET_ENDPOINTS_MIN, &sizes);
            let own: f64 = parts.iter().zip(&sizes).map(|(p, s)| p * s).sum();
            prop_assert!((own / total - arc).abs() < 1e-9, "gateway {me} has {own} of {total}");
            prop_assert!(parts.iter().all(|p| (0.0..=1.0 + 1e-9).contains(p)));
            sums.iter_mut().zip(&parts).for_each(|(sum, p)| *sum += p);
        }
        // Golden-ratio arcs differ from the even cover by less than three arcs at any point.
        let even = arc * f64::from(ingress_count);
        for (endpoint, sum) in sums.iter().enumerate() {
            prop_assert!((sum - even).abs() < 3.0, "server {endpoint}: {sum} arcs of {even}");
        }
    }

    #[test]
    fn the_reach_holds_the_arc_and_is_as_even(
        ingress_count in 1u32..=300,
        sizes in prop::collection::vec(0.5f64..4.0, 1..=1000),
    ) {
        let mut gateways_of = vec![0u32; sizes.len()];
        for me in 0..ingress_count {
            let arc = subset_weights(me, ingress_count, SUBSET_ENDPOINTS_MIN, &sizes);
            let reach = subset_weights(me, ingress_count, KNOWN_ENDPOINTS_MIN, &sizes);
            prop_assert!(arc.iter().zip(&reach).all(|(inside, near)| *inside <= near + 1e-9));
            gateways_of.iter_mut().zip(&reach).for_each(|(all, near)| *all += u32::from(*near > 0.0));
        }
        // As many gateways reach a server as begin on it or within one reach before it.
        let (n, total) = (sizes.len() as f64, sizes.iter().sum::<f64>());
        let reach = KNOWN_ENDPOINTS_MIN.max(ARCS_OVER_ENDPOINT_MIN * n / f64::from(ingress_count)) / n;
        for (size, all) in sizes.iter().zip(gateways_of) {
            let even = (reach + size / total).min(1.0) * f64::from(ingress_count);
            prop_assert!((f64::from(all) - even).abs() < 3.0, "{all} gateways reach a server, {even} if even");
        }
    }

    #[test]
    fn an_endpoint_more_moves_little(me in 0u32..100, sizes in prop::collection::vec(0.5f64..4.0, 30..80), at in 0usize..30) {
        let mut more = sizes.clone();
        more.insert(at, 1.0);
        let (before, mut after) = (subset_weights(me, 100, SUBSET_ENDPOINTS_MIN, &sizes), subset_weights(me, 100, SUBSET_ENDPOINTS_MIN, &more));
        after.remove(at);
        let moved: f64 = before.iter().zip(&after).map(|(a, b)| (a - b).abs()).sum();
        prop_assert!(moved < 3.0, "{moved} servers' worth of an arc moved");
    }
}
