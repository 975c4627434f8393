//! Short soak tests of real ingress processes. `roseyard-testbed soak --seeds 50` runs longer ones.

use roseyard_testbed::soak::{run, SoakOptions};
use std::time::Duration;

fn assert_no_rule_is_broken(seed: u64, crowd: bool) {
    let report = run(&SoakOptions {
        program: env!("CARGO_BIN_EXE_roseyard-ingress").into(),
        seed,
        members: 3,
        clients: 24,
        crowd,
        duration: Duration::from_secs(12),
    })
    .unwrap();
    let verdict = &report.verdict;
    assert!(verdict.served > 1_000, "{verdict:?}");
    assert!(report.exited > 0, "{report:?}");
    assert!(
        verdict.violations.is_empty(),
        "seed {seed}: {:#?}\n{:#?}",
        verdict.violations,
        report.evidence
    );
}

#[test]
fn restarts_under_persistent_connections_lose_and_repeat_no_request() {
    assert_no_rule_is_broken(1, false);
}

#[test]
fn consecutive_restarts_lose_and_repeat_no_request() {
    assert_no_rule_is_broken(2, false);
}

#[test]
fn restarts_with_many_idle_clients_lose_and_repeat_no_request() {
    assert_no_rule_is_broken(4, true);
}
