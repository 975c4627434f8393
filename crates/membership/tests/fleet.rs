//! Tests with simulated fleets of 3 to 100 members: crashes, pauses, partitions, packet loss and
//! name conflicts.

mod common;
use common::*;
use roseyard_membership::*;

fn settings(expected: usize) -> Settings {
    Settings::new(expected)
}

/// Returns the maximum time until all members see the death of one: a full round of probes, the
/// longest suspicion timeout, and four probe intervals for gossip.
fn max_detection_time(members: usize) -> std::time::Duration {
    let settings = settings(members);
    let logarithm = (members as f64).log10().max(1.0);
    let longest =
        settings.probe_interval * settings.suspicion_multiplier * settings.suspicion_max_multiplier;
    settings.probe_interval * members as u32
        + longest.mul_f64(logarithm)
        + settings.probe_interval * 4
}

#[test]
fn all_members_detect_a_death_and_report_no_other_member() {
    for seed in 0..10 {
        let mut fleet = Fleet::converged(5, settings(5), seed);
        fleet.changes.clear();
        fleet.kill(3);
        let elapsed = fleet.run_until(max_detection_time(5), |fleet| {
            fleet
                .members
                .keys()
                .all(|n| fleet.state(*n, 3) == MemberState::Dead)
        });
        println!("all members see the death after {elapsed:?}");
        assert!(elapsed.is_some_and(|t| t < ms(20_000)), "{elapsed:?}");
        assert_eq!(
            (
                fleet.false_reports(MemberState::Suspect),
                fleet.false_reports(MemberState::Dead)
            ),
            (0, 0)
        );
        assert!(fleet.max_datagram_bytes <= 256);
    }
}

#[test]
fn a_restarted_member_overrides_its_old_records() {
    let mut fleet = Fleet::converged(5, settings(5), 1);
    fleet.kill(3);
    fleet.run(ms(500));
    fleet.start(3);
    assert!(fleet.run_until(ms(10_000), Fleet::has_converged).is_some());
    fleet.run(ms(40_000));
    assert!(
        fleet.has_converged(),
        "a record of the old generation replaced a newer one"
    );
    // A member also returns if it restarts long after it was seen dead.
    fleet.kill(2);
    fleet.run(ms(60_000));
    assert_eq!(fleet.state(0, 2), MemberState::Dead);
    fleet.start(2);
    assert!(fleet.run_until(ms(10_000), Fleet::has_converged).is_some());
}

#[test]
fn all_members_restart_within_a_second_without_state() {
    let mut fleet = Fleet::converged(5, settings(5), 2);
    for n in 0..5 {
        fleet.kill(n);
        fleet.run(ms(200));
        fleet.start(n);
    }
    assert!(fleet.run_until(ms(30_000), Fleet::has_converged).is_some());
}

#[test]
fn the_last_running_member_of_five_has_no_quorum() {
    let mut fleet = Fleet::converged(5, settings(5), 3);
    assert!(fleet.members[&4].swim.quorum().has_majority());
    (0..4).for_each(|n| fleet.kill(n));
    let are_others_dead = |fleet: &Fleet| (0..4).all(|n| fleet.state(4, n) == MemberState::Dead);
    assert!(fleet.run_until(ms(180_000), are_others_dead).is_some());
    assert!(!fleet.members[&4].swim.quorum().has_majority());
    (0..4).for_each(|n| fleet.start(n));
    assert!(fleet.run_until(ms(30_000), Fleet::has_converged).is_some());
}

#[test]
fn a_paused_member_does_not_suspect_the_others() {
    for (seconds, seed) in [(3, 1), (10, 2), (30, 3), (120, 4)] {
        let mut fleet = Fleet::converged(5, settings(5), seed);
        fleet.changes.clear();
        fleet.pause(1);
        fleet.run(ms(seconds * 1000));
        fleet.resume(1);
        let elapsed = fleet.run_until(ms(30_000), Fleet::has_converged);
        assert!(
            elapsed.is_some(),
            "pause of {seconds} s: no convergence within 30 s"
        );
        let reports = fleet
            .changes
            .iter()
            .filter(|change| change.observer == 1 && change.to != MemberState::Alive)
            .count();
        assert_eq!(
            reports, 0,
            "pause of {seconds} s: the paused member reported others"
        );
    }
}

#[test]
fn a_partition_leaves_one_side_without_quorum_and_heals_despite_restarts() {
    for seed in 0..6 {
        let mut fleet = Fleet::converged(5, settings(5), seed);
        fleet.network.partition(&[0, 1], &[2, 3, 4]);
        fleet.run(ms(10_000));
        fleet.kill(1);
        fleet.kill(4);
        fleet.run(ms(500));
        fleet.start(1);
        fleet.start(4);
        fleet.run(ms(30_000));
        assert!(
            !fleet.members[&0].swim.quorum().has_majority()
                && fleet.members[&2].swim.quorum().has_majority()
        );
        fleet.network.blocked.clear();
        let elapsed = fleet.run_until(ms(40_000), Fleet::has_converged);
        println!("healed after {elapsed:?}");
        assert!(elapsed.is_some());
    }
}

#[test]
fn repeated_partitions_end_in_convergence() {
    let mut fleet = Fleet::converged(6, settings(6), 4);
    for _ in 0..15 {
        fleet.network.partition(&[0, 1, 2], &[3, 4, 5]);
        fleet.run(ms(2000));
        fleet.network.blocked.clear();
        fleet.run(ms(2000));
    }
    assert!(fleet.run_until(ms(40_000), Fleet::has_converged).is_some());
    assert_eq!(
        fleet.false_reports(MemberState::Dead),
        0,
        "a partition of 2 s is shorter than the shortest suspicion timeout"
    );
}

#[test]
fn indirect_probes_prevent_false_deaths_when_a_direction_is_blocked() {
    let mut fleet = Fleet::converged(5, settings(5), 5);
    fleet.changes.clear();
    fleet.network.blocked.insert((1, 0));
    fleet.run(ms(60_000));
    assert_eq!(
        fleet.false_reports(MemberState::Dead),
        0,
        "member 0 receives the acks of member 1 through the others"
    );
    // Every member is blocked from sending to the next one.
    for n in 0..5 {
        fleet.network.blocked.insert((n, (n + 1) % 5));
    }
    fleet.run(ms(60_000));
    assert_eq!(fleet.false_reports(MemberState::Dead), 0);
}

#[test]
fn loss_duplicates_and_delay_for_a_minute_cause_no_false_death() {
    for seed in 0..5 {
        let mut fleet = Fleet::converged(5, settings(5), seed);
        fleet.changes.clear();
        fleet.network.conditions = Conditions {
            loss_ratio: 0.3,
            duplicate_ratio: 0.3,
            min_delay: ms(1),
            max_delay: ms(200),
        };
        fleet.run(ms(60_000));
        println!(
            "{} false suspicions",
            fleet.false_reports(MemberState::Suspect)
        );
        assert_eq!(fleet.false_reports(MemberState::Dead), 0);
        fleet.network.conditions = RELIABLE_CONDITIONS;
        assert!(fleet.run_until(ms(30_000), Fleet::has_converged).is_some());
    }
}

#[test]
fn a_blocked_direction_with_loss_and_delay_causes_no_false_death() {
    let mut false_deaths = 0;
    for seed in 0..20 {
        let mut fleet = Fleet::converged(4, settings(4), seed);
        fleet.changes.clear();
        fleet.network.conditions = Conditions {
            loss_ratio: 0.2,
            duplicate_ratio: 0.2,
            min_delay: ms(1),
            max_delay: ms(240),
        };
        fleet.network.blocked.insert((1, 0));
        fleet.run(ms(60_000));
        false_deaths += fleet.false_reports(MemberState::Dead);
    }
    assert_eq!(
        false_deaths, 0,
        "the suspicion and its refutation reach members 1 and 0 through the others"
    );
}

#[test]
fn old_records_do_not_bring_back_a_member_that_left() {
    for seed in 0..5 {
        let mut fleet = Fleet::converged(6, settings(6), seed);
        // Member 5 is partitioned and still sees member 2 as alive.
        fleet.network.partition(&[5], &[0, 1, 2, 3, 4]);
        fleet.run(ms(500));
        fleet.handle(2, Event::Leave);
        fleet.run(ms(2000));
        fleet.kill(2);
        assert!([0, 1, 3, 4]
            .iter()
            .all(|n| fleet.state(*n, 2) == MemberState::Left));
        fleet.network.blocked.clear();
        fleet.run(ms(60_000));
        assert!([0, 1, 3, 4, 5]
            .iter()
            .all(|n| fleet.state(*n, 2) == MemberState::Left));
        let returns = fleet
            .changes
            .iter()
            .filter(|change| change.from == MemberState::Left)
            .count();
        assert_eq!(returns, 0);
    }
}

#[test]
fn a_process_is_refused_until_an_older_one_with_the_same_name_is_dead() {
    let mut fleet = Fleet::converged(5, settings(5), 6);
    fleet.start_with_name_of(9, 3);
    fleet.run(ms(5000));
    assert_eq!(
        fleet.name_conflicts,
        [(9, address(3))],
        "the conflict is reported once, with the address of the older process"
    );
    assert_eq!(fleet.members[&9].swim.quorum().seen, 0);
    assert!([0, 1, 2, 4].iter().all(|n| {
        let view = fleet.members[n].swim.view(&name(3), fleet.now);
        view.state == MemberState::Alive && view.record.unwrap().address == address(3)
    }));
    fleet.kill(3);
    let has_newer_process_joined = |fleet: &Fleet| {
        [0, 1, 2, 4].iter().all(|n| {
            let view = fleet.members[n].swim.view(&name(3), fleet.now);
            view.state == MemberState::Alive && view.record.unwrap().address == address(9)
        })
    };
    assert!(
        fleet
            .run_until(ms(60_000), has_newer_process_joined)
            .is_some(),
        "the newer process did not join after the death of the older one"
    );
    assert_eq!(fleet.members[&9].swim.name_conflict(), None);
}

#[test]
fn a_member_without_any_record_is_not_dead() {
    let fleet = Fleet::converged(3, settings(5), 7);
    let view = fleet.members[&0].swim.view(&name(4), fleet.now);
    assert_eq!(
        (view.state, view.age, view.record),
        (MemberState::NeverSeen, None, None)
    );
    assert!(
        fleet.members[&0].swim.quorum().has_majority(),
        "three of five members are a majority"
    );
}

#[test]
fn metadata_changes_reach_all_members_unaltered() {
    let mut fleet = Fleet::converged(20, settings(20), 8);
    let metadata = Metadata {
        zone: "east".try_into().unwrap(),
        stage: Stage::Leaving,
        ..Metadata::default()
    };
    fleet.handle(7, Event::MetadataChanged(metadata.clone()));
    let is_metadata_known = |fleet: &Fleet| {
        (0..20).filter(|n| *n != 7).all(|n| {
            fleet.members[&n]
                .swim
                .view(&name(7), fleet.now)
                .record
                .is_some_and(|record| record.metadata == metadata)
        })
    };
    let elapsed = fleet.run_until(ms(5000), is_metadata_known);
    println!("all members have the metadata after {elapsed:?}");
    assert!(elapsed.is_some_and(|t| t <= ms(2000)), "{elapsed:?}");
}

#[test]
fn a_hundred_members_converge_and_detect_deaths_in_time() {
    let mut fleet = Fleet::converged(100, settings(100), 9);
    fleet.changes.clear();
    for n in [10, 50, 90] {
        fleet.kill(n);
    }
    let is_seen_dead = |fleet: &Fleet| {
        fleet.members.keys().all(|n| {
            [10, 50, 90]
                .iter()
                .all(|d| fleet.state(*n, *d) == MemberState::Dead)
        })
    };
    let elapsed = fleet.run_until(max_detection_time(100), is_seen_dead);
    println!("all members see the deaths after {elapsed:?}");
    assert!(elapsed.is_some());
    assert_eq!(fleet.false_reports(MemberState::Dead), 0);
}

#[test]
fn runs_with_the_same_seed_are_equal() {
    let outcome = |seed| {
        let mut fleet = Fleet::converged(10, settings(10), seed);
        fleet.network.conditions.loss_ratio = 0.2;
        fleet.kill(4);
        fleet.run(ms(30_000));
        (
            fleet.datagram_count,
            fleet.byte_count,
            fleet.changes.len(),
            fleet.members[&0].swim.digest(),
        )
    };
    assert_eq!(outcome(11), outcome(11));
    assert_ne!(outcome(11), outcome(12));
}

#[test]
fn members_join_when_seeds_are_dead_or_their_own_address() {
    // The seeds are the addresses of members 0, 1 and 2. Members 0 and 2 do not run, and member 1
    // is its own seed.
    let mut fleet = Fleet::new(settings(3), 13);
    fleet.start(1);
    fleet.run(ms(20_000));
    fleet.start(5);
    assert!(fleet.run_until(ms(20_000), Fleet::has_converged).is_some());
    fleet.start(0);
    assert!(fleet.run_until(ms(20_000), Fleet::has_converged).is_some());
}
