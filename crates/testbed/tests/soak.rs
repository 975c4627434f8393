//! Plans of soaks: they depend on the seed, limit pauses and contain every signal.

use roseyard_testbed::soak::{plan, PlannedSignal, SoakSignal};
use std::time::Duration;

const MEMBERS: usize = 3;
const LENGTH: Duration = Duration::from_secs(20);
const SEEDS: std::ops::Range<u64> = 1..100;

fn count(signals: &[PlannedSignal], signal: SoakSignal) -> usize {
    let matching = signals.iter().filter(|planned| planned.signal == signal);
    matching.count()
}

#[test]
fn equal_seeds_give_equal_plans_and_different_seeds_different_plans() {
    assert_eq!(plan(7, MEMBERS, LENGTH), plan(7, MEMBERS, LENGTH));
    assert_ne!(plan(7, MEMBERS, LENGTH), plan(8, MEMBERS, LENGTH));
}

#[test]
fn plans_are_sorted_by_time_and_every_pause_ends_within_150_ms() {
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
fn plans_contain_every_signal() {
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
