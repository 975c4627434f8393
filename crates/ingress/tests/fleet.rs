//! Fleets of real ingress processes that are members of one cluster, under signals and network
//! faults.

use roseyard_testbed::checker::Observation;
use roseyard_testbed::faulty_network::Rules;
use roseyard_testbed::fleet::{membership_state, Fleet, FleetOptions, MAX_WAIT};
use roseyard_testbed::scenario::{run, Scenario};
use rustix::process::Signal;
use std::net::UdpSocket;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

const MS: fn(u64) -> Duration = Duration::from_millis;

fn start_fleet(members: usize, seed: u64) -> Fleet {
    println!("seed {seed}");
    let fleet = Fleet::start(FleetOptions::new(
        env!("CARGO_BIN_EXE_roseyard-ingress"),
        members,
        seed,
    ))
    .unwrap();
    let all: Vec<usize> = (0..members).collect();
    fleet.wait_until_all_alive(&all, MAX_WAIT).unwrap();
    fleet
}

/// Returns the log lines since `from` by which the member `n` declared another member gone.
fn gone(fleet: &Fleet, n: usize, from: usize) -> Vec<String> {
    fleet.members[n]
        .log
        .lines_from(from)
        .into_iter()
        .filter(|l| l.contains(" to=gone "))
        .collect()
}

fn assert_served(fleet: &Fleet, n: usize, id: u64) {
    let line = fleet.request(n, 1 + id % 50, id).unwrap();
    assert_eq!(line, "$16", "n{n} answered {line}");
}

#[test]
fn a_killed_member_counts_as_gone_and_rejoins_under_its_name() {
    let mut fleet = start_fleet(3, 1);
    let marks: Vec<usize> = fleet.members.iter().map(|m| m.log.line_count()).collect();
    fleet.kill(2).unwrap();
    for n in [0, 1] {
        fleet.members[n]
            .log
            .wait_for_line(
                marks[n],
                "member=n2 from=suspected to=gone seen=2 expected=3",
                MAX_WAIT,
            )
            .unwrap();
        assert_served(&fleet, n, 10 + n as u64);
    }
    fleet.wait_for_state(0, 2, "gone", MAX_WAIT).unwrap();
    assert_eq!(
        fleet.status(0).unwrap()["quorum"],
        true,
        "two of three members are a majority"
    );
    fleet.spawn(2).unwrap();
    fleet.wait_until_all_alive(&[0, 1, 2], MAX_WAIT).unwrap();
    assert_served(&fleet, 2, 20);
    // The program prints the same status file as a table.
    let shown = Command::new(env!("CARGO_BIN_EXE_roseyard-ingress"))
        .arg("status")
        .arg(fleet.status_file(0))
        .output()
        .unwrap();
    let table = String::from_utf8(shown.stdout).unwrap();
    assert!(
        table.contains("3 of 3 answer (a majority)") && table.contains("n2      alive"),
        "{table}"
    );
}

#[test]
fn a_member_that_shuts_down_counts_as_left_and_is_not_suspected() {
    let mut fleet = start_fleet(3, 2);
    let marks: Vec<usize> = fleet.members.iter().map(|m| m.log.line_count()).collect();
    fleet.signal(1, Signal::TERM).unwrap();
    fleet.reap(1).unwrap();
    for n in [0, 2] {
        fleet.members[n]
            .log
            .wait_for_line(marks[n], "member=n1 from=alive to=left", MAX_WAIT)
            .unwrap();
    }
    fleet.spawn(1).unwrap();
    fleet.wait_until_all_alive(&[0, 1, 2], MAX_WAIT).unwrap();
    assert!((0..3).all(|n| gone(&fleet, n, marks[n]).is_empty()));
}

#[test]
fn a_stopped_member_that_resumes_does_not_declare_the_others_gone() {
    let fleet = start_fleet(4, 3);
    let marks: Vec<usize> = fleet.members.iter().map(|m| m.log.line_count()).collect();
    fleet.signal(3, Signal::STOP).unwrap();
    for (n, mark) in marks.iter().enumerate().take(3) {
        fleet.members[n]
            .log
            .wait_for_line(
                *mark,
                "member=n3 from=suspected to=gone seen=3 expected=4",
                MAX_WAIT,
            )
            .unwrap();
    }
    fleet.signal(3, Signal::CONT).unwrap();
    fleet.wait_until_all_alive(&[0, 1, 2, 3], MAX_WAIT).unwrap();
    assert_eq!(
        gone(&fleet, 3, marks[3]),
        Vec::<String>::new(),
        "the others never stopped"
    );
    assert_served(&fleet, 3, 30);
}

#[test]
fn the_minority_of_a_partition_reports_no_majority_and_keeps_serving() {
    let mut fleet = start_fleet(5, 4);
    fleet.network.split(&[0, 1], &[2, 3, 4]);
    fleet
        .wait_until(MAX_WAIT, "two of five have no majority", |r| {
            [0, 1]
                .iter()
                .all(|n| r.status(*n).is_ok_and(|s| s["quorum"] == false))
        })
        .unwrap();
    fleet.wait_for_state(2, 0, "gone", MAX_WAIT).unwrap();
    assert!([2, 3, 4]
        .iter()
        .all(|n| fleet.status(*n).unwrap()["quorum"] == true));
    (0..5).for_each(|n| assert_served(&fleet, n, 40 + n as u64));
    // One member of each side restarts, and then the partition heals.
    for n in [1, 4] {
        fleet.kill(n).unwrap();
        fleet.spawn(n).unwrap();
    }
    fleet.network.set_all(Rules::default());
    fleet
        .wait_until_all_alive(&[0, 1, 2, 3, 4], MAX_WAIT)
        .unwrap();
}

#[test]
fn one_way_cuts_loss_duplicates_and_delay_make_no_member_count_as_gone() {
    let fleet = start_fleet(4, 5);
    let marks: Vec<usize> = fleet.members.iter().map(|m| m.log.line_count()).collect();
    let faulty_rules = Rules {
        loss: 0.2,
        twice: 0.2,
        delay: (MS(1), MS(60)),
        ..Rules::default()
    };
    fleet.network.set_all(faulty_rules);
    fleet.network.set(
        (1, 0),
        Rules {
            cut: true,
            ..faulty_rules
        },
    );
    // After 20 more probes each member has probed each of the three others several times.
    let probes = |r: &Fleet, n: usize| r.status(n).unwrap()["counts"]["probes"].as_u64().unwrap();
    let before: Vec<u64> = (0..4).map(|n| probes(&fleet, n)).collect();
    fleet
        .wait_until(Duration::from_secs(60), "20 probes by each member", |r| {
            (0..4).all(|n| probes(r, n) >= before[n] + 20)
        })
        .unwrap();
    (0..4).for_each(|n| assert_eq!(gone(&fleet, n, marks[n]), Vec::<String>::new(), "n{n}"));
    assert!(
        fleet
            .network
            .trace((1, 0))
            .iter()
            .any(|f| f.copy_delays.is_empty()),
        "the cut path has dropped datagrams"
    );
    fleet.network.set_all(Rules::default());
    fleet.wait_until_all_alive(&[0, 1, 2, 3], MAX_WAIT).unwrap();
}

#[test]
fn keys_are_rotated_in_a_running_fleet_across_a_restart() {
    let mut fleet = start_fleet(3, 6);
    let marks: Vec<usize> = fleet.members.iter().map(|m| m.log.line_count()).collect();
    fleet.write_key_file("next", 9).unwrap();
    let (old, next) = (
        fleet.directory().join("key"),
        fleet.directory().join("next"),
    );
    let other_key_file = |path: &std::path::Path| format!("other-key-file \"{}\"", path.display());
    let reload_keys = |fleet: &Fleet, key: &str, other_key_setting: &str| {
        for n in 0..3 {
            let mark = fleet.members[n].log.line_count();
            fleet
                .write_operator_file(n, key, other_key_setting)
                .unwrap();
            fleet.signal(n, Signal::HUP).unwrap();
            fleet.members[n]
                .log
                .wait_for_line(mark, "membership keys reloaded keys=", MAX_WAIT)
                .unwrap();
        }
    };
    // All members accept both keys.
    reload_keys(&fleet, "key", &other_key_file(&next));
    // One member is restarted and sends with the new key.
    let settings = fleet
        .write_operator_file(1, "next", &other_key_file(&old))
        .unwrap();
    fleet.kill(1).unwrap();
    fleet.spawn_with_operator_file(1, &settings).unwrap();
    // All members send with the new key, and then the old one is removed.
    reload_keys(&fleet, "next", &other_key_file(&old));
    reload_keys(&fleet, "next", "");
    fleet.wait_until_all_alive(&[0, 1, 2], MAX_WAIT).unwrap();
    (0..3).for_each(|n| assert_eq!(gone(&fleet, n, marks[n]), Vec::<String>::new(), "n{n}"));
    // A key file that other users may read is rejected, and the previous keys stay in force.
    use std::os::unix::fs::PermissionsExt;
    std::fs::set_permissions(&next, std::fs::Permissions::from_mode(0o644)).unwrap();
    let mark = fleet.members[0].log.line_count();
    fleet.signal(0, Signal::HUP).unwrap();
    let rejected = "membership keys rejected, previous ones stay in force error=";
    let line = fleet.members[0]
        .log
        .wait_for_line(mark, rejected, MAX_WAIT)
        .unwrap();
    assert!(
        line.contains("others may read this key (mode 0644); make it 0600"),
        "{line}"
    );
}

#[test]
fn forged_and_malformed_datagrams_are_dropped_and_a_flood_has_no_effect() {
    let fleet = start_fleet(3, 7);
    let mark = fleet.members[0].log.line_count();
    let address = fleet.members[0].membership_address.unwrap();
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    // Sends 20,000 forged datagrams, at most 20,000 a second, while requests are served.
    let (is_done, sent) = (AtomicBool::new(false), AtomicU64::new(0));
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let mut bytes = [1u8; 120];
            for n in 0..20_000u64 {
                bytes[40..48].copy_from_slice(&n.to_le_bytes());
                let _ = unknown_sender.send_to(&bytes, address);
                sent.fetch_add(1, Ordering::Relaxed);
                if n % 20 == 0 {
                    std::thread::sleep(MS(1));
                }
            }
            is_done.store(true, Ordering::Relaxed);
        });
        let mut id = 100;
        while !is_done.load(Ordering::Relaxed) {
            assert_served(&fleet, 0, id);
            id += 1;
        }
    });
    for bytes in [&b""[..], b"x", &[0; 300], &[0xff; 256]] {
        unknown_sender.send_to(bytes, address).unwrap();
    }
    fleet
        .wait_until(MAX_WAIT, "the dropped datagrams are counted", |r| {
            let counts = &r.status(0).unwrap()["counts"];
            counts["dropped: another cluster"].as_u64() > Some(1000)
                && counts["dropped: malformed"].as_u64() >= Some(3)
        })
        .unwrap();
    unknown_sender.set_nonblocking(true).unwrap();
    assert!(
        unknown_sender.recv_from(&mut [0; 8]).is_err(),
        "an unknown sender gets no reply"
    );
    fleet.wait_until_all_alive(&[0, 1, 2], MAX_WAIT).unwrap();
    assert_eq!(gone(&fleet, 0, mark), Vec::<String>::new());
}

#[test]
fn the_younger_of_two_processes_with_the_same_name_is_rejected_with_a_reason() {
    let mut fleet = start_fleet(3, 8);
    // The third member restarts under the name of the second.
    fleet.kill(2).unwrap();
    let holder = fleet.members[1].membership_address.unwrap();
    fleet.members[2].name = "n1".into();
    let folder = fleet.directory().join("n1.kdl");
    let settings = fleet.write_operator_file(2, "key", "").unwrap();
    assert_eq!(settings, folder);
    let mark = fleet.members[2].log.line_count();
    fleet.spawn_with_operator_file(2, &settings).unwrap();
    let line = fleet.members[2]
        .log
        .wait_for_line(mark, "membership name in use", MAX_WAIT)
        .unwrap();
    assert!(
        line.contains(&format!(
            "name in use by another process, retrying name=n1 holder={holder}"
        )),
        "{line}"
    );
    assert_served(&fleet, 2, 60);
    let mark = fleet.members[0].log.line_count();
    fleet.kill(1).unwrap();
    fleet.members[0]
        .log
        .wait_for_line(mark, "member=n1 from=suspected to=gone", MAX_WAIT)
        .unwrap();
    fleet.members[0]
        .log
        .wait_for_line(mark, "member=n1 from=gone to=alive", MAX_WAIT)
        .unwrap();
}

#[test]
fn all_members_restart_within_a_second_without_state() {
    let mut fleet = start_fleet(4, 9);
    let begin = Instant::now();
    (0..4).for_each(|n| fleet.kill(n).unwrap());
    (0..4).for_each(|n| fleet.spawn(n).unwrap());
    let took = fleet.wait_until_all_alive(&[0, 1, 2, 3], MAX_WAIT).unwrap();
    println!(
        "agreed {:?} after the kill, {took:?} after the last start",
        begin.elapsed()
    );
    let status = fleet.status(0).unwrap();
    assert!((1..4).all(|n| membership_state(&status, &format!("n{n}")) == Some("alive")));
}

#[test]
fn a_scenario_run_twice_has_the_same_trace_and_breaks_no_rule_under_load() {
    let text = "members 4; seed 11; lasts \"14s\"; rate 60
        at \"1s\" { kill 3; net loss=0.2 twice=0.2 most=\"40ms\" }
        when 0 logs=\"member=n3 from=suspected to=gone\" { start 3 }
        when 0 logs=\"member=n3 from=gone to=alive\" { stop 2 }
        at \"9s\" { wake 2; heal; hup 1 }
        at \"11s\" { term 1 }";
    let scenario = Scenario::parse(text).unwrap();
    let program = || env!("CARGO_BIN_EXE_roseyard-ingress").into();
    let (first, second) = std::thread::scope(|scope| {
        let second_run = scope.spawn(|| run(&scenario, program(), |_| {}).unwrap());
        (
            run(&scenario, program(), |_| {}).unwrap(),
            second_run.join().unwrap(),
        )
    });
    assert_eq!(first.trace, second.trace);
    for outcome in [first, second] {
        println!("{:?}", outcome.verdict);
        assert_eq!(outcome.verdict.violations, []);
        assert!(outcome.verdict.served > 400, "{:?}", outcome.verdict);
    }
}

#[test]
fn the_checker_records_each_attempt_at_form_endpoints_once() {
    let fleet = start_fleet(2, 12);
    assert_served(&fleet, 0, 0x77);
    let observations: Vec<Observation> = fleet
        .history()
        .events()
        .iter()
        .filter(|e| e.id == 0x77)
        .map(|e| e.observation)
        .collect();
    assert!(
        matches!(observations[..], [Observation::AttemptStarted(a), Observation::AttemptFinished(b)] if a == b),
        "{observations:?}"
    );
}

#[test]
fn errors_in_the_membership_section_are_named() {
    let file = std::env::temp_dir().join(format!("roseyard-members-{}.kdl", std::process::id()));
    let check = |text: &str| {
        std::fs::write(&file, text).unwrap();
        let out = Command::new(env!("CARGO_BIN_EXE_roseyard-ingress"))
            .arg("check")
            .arg(&file)
            .output()
            .unwrap();
        (
            out.status.success(),
            String::from_utf8_lossy(&out.stderr).into_owned(),
        )
    };
    for (text, expected) in [
        (
            "membership { listen \"127.0.0.1:1\" }",
            "'listen' has no effect without 'key-file'",
        ),
        (
            "membership { zone \"a\" }",
            "'zone' has no effect without 'listen'",
        ),
        (
            "membership { listen \"here\"; key-file \"k\" }",
            "invalid value \"here\"; 'listen' takes an address",
        ),
        (
            "membership { paths \"n1\" }",
            "'paths' takes 1 to 1024 names with addresses",
        ),
        (
            "membership { listen \"127.0.0.1:1\"; key-file \"k\"; timeout \"600ms\" }",
            "'timeout' is longer than half of 'period'",
        ),
    ] {
        let (is_valid, errors) = check(text);
        let unwrapped: String = errors.split_whitespace().collect::<Vec<_>>().join(" ");
        assert!(
            !is_valid && unwrapped.contains(expected),
            "{text}: {errors}"
        );
    }
    std::fs::remove_file(&file).unwrap();
}
