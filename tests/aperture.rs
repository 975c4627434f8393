//! The aperture over all gateways: even, never empty, steady.

#[path = "../src/aperture.rs"]
mod aperture;
use aperture::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(16), ..Default::default() })]

    #[test]
    fn servers_are_covered_evenly_and_no_arc_is_empty(
        gateways in 1u32..=300,
        sizes in prop::collection::vec(0.5f64..4.0, 1..=200),
    ) {
        let mut sums = vec![0.0; sizes.len()];
        let (n, total) = (sizes.len() as f64, sizes.iter().sum::<f64>());
        let arc = (LEAST_SERVERS.max(LEAST_OVER * n / f64::from(gateways))).min(n) / n;
        for me in 0..gateways {
            let parts = parts(me, gateways, &sizes);
            let own: f64 = parts.iter().zip(&sizes).map(|(p, s)| p * s).sum();
            prop_assert!((own / total - arc).abs() < 1e-9, "gateway {me} has {own} of {total}");
            prop_assert!(parts.iter().all(|p| (0.0..=1.0 + 1e-9).contains(p)));
            sums.iter_mut().zip(&parts).for_each(|(sum, p)| *sum += p);
        }
        // Golden-ratio arcs differ from the even cover by less than three arcs at any point.
        let even = arc * f64::from(gateways);
        for (server, sum) in sums.iter().enumerate() {
            prop_assert!((sum - even).abs() < 3.0, "server {server}: {sum} arcs of {even}");
        }
    }

    #[test]
    fn a_server_more_moves_little(me in 0u32..100, sizes in prop::collection::vec(0.5f64..4.0, 30..80), at in 0usize..30) {
        let mut more = sizes.clone();
        more.insert(at, 1.0);
        let (before, mut after) = (parts(me, 100, &sizes), parts(me, 100, &more));
        after.remove(at);
        let moved: f64 = before.iter().zip(&after).map(|(a, b)| (a - b).abs()).sum();
        prop_assert!(moved < 3.0, "{moved} servers' worth of an arc moved");
    }
}
