//! The invariants of the descriptor budget under random sequences of steps.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use roseyard_admission::*;

/// The seed of the random steps. It is fixed, so that a failure can be reproduced.
const SEED: u64 = 20_261_201;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    })]

    #[test]
    fn uses_never_exceed_the_total_and_guaranteed_minima_stay_available(
        total in 30usize..60,
        steps in prop::collection::vec((0usize..8, any::<bool>()), 1..400),
    ) {
        let guaranteed = [3, 8, 6, 2, 1, 1, 1, 1];
        let limits = guaranteed.map(|guaranteed| DescriptorLimits {
            guaranteed,
            max: guaranteed * 4,
        });
        let mut budget = DescriptorBudget::new(total, limits).unwrap();
        for (use_index, take) in steps {
            let descriptor_use = DESCRIPTOR_USES[use_index];
            let used_before = budget.used(descriptor_use);
            if take {
                let granted = budget.try_acquire(descriptor_use);
                prop_assert!(
                    granted || used_before >= budget.limits(descriptor_use).guaranteed,
                    "a descriptor within the guaranteed minimum was denied"
                );
                prop_assert_eq!(
                    budget.used(descriptor_use),
                    used_before + usize::from(granted)
                );
            } else {
                budget.release(descriptor_use);
            }
            let used: usize = DESCRIPTOR_USES.iter().map(|u| budget.used(*u)).sum();
            prop_assert!(used <= total);
            let used_or_guaranteed: usize = DESCRIPTOR_USES
                .iter()
                .map(|u| budget.used(*u).max(budget.limits(*u).guaranteed))
                .sum();
            prop_assert!(
                used_or_guaranteed <= total,
                "a guaranteed minimum is no longer available"
            );
        }
    }
}
