//! The plan of a soak.

use roseyard_testbed::soak::{plan, PlannedSignal, SoakSignal};
use std::time::Duration;

const MEMBERS: usize = 3;
const LENGTH: Duration = Duration::from_secs(20);
const SEEDS: std::ops::Range<u64> = 1..100;

fn count(signals: &[PlannedSignal], signal: SoakSignal) -> usize {
    let alike = signals.iter().filter(|planned| planned.signal == signal);
    alike.count()
}

#[test]
fn a_seed_gives_the_same_plan_and_others_give_others() {
    assert_eq!(plan(7, MEMBERS, LENGTH), plan(7, MEMBERS, LENGTH));
    assert_ne!(plan(7, MEMBERS, LENGTH), plan(8, MEMBERS, LENGTH));
}

#[test]
fn plans_are_in_order_and_every_pause_ends_within_the_platforms_bound() {
    for seed in SEEDS {
        let signals = plan(seed, MEMBERS, LENGTH);
        assert!(
            signals.is_sorted_by_key(|planned| planned.at),
            "seed {seed}"
        );
        let pauses = signals
            .iter()
            .filter(|planned| planned.signal == SoakSignal::Pause);
        for pause in pauses {
            let bound = pause.at + Duration::from_millis(150);
            let ends = signals.iter().any(|planned| {
                planned.signal == SoakSignal::Resume
                    && planned.member == pause.member
                    && (pause.at..=bound).contains(&planned.at)
            });
            assert!(ends, "seed {seed}: {pause:?}");
        }
    }
}

#[test]
fn plans_hold_every_signal() {
    let all: Vec<PlannedSignal> = SEEDS.flat_map(|seed| plan(seed, MEMBERS, LENGTH)).collect();
    for signal in [
        SoakSignal::Reload,
        SoakSignal::Restart,
        SoakSignal::TerminateAgain,
        SoakSignal::Interrupt,
        SoakSignal::Pause,
        SoakSignal::Resume,
        SoakSignal::Crash,
    ] {
        assert!(count(&all, signal) > 10, "{signal:?}");
    }
}
