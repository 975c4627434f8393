//! Several real daemons that know of one another, with faults between them.

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

fn rig(members: usize, seed: u64) -> Fleet {
    println!("seed {seed}");
    let rig = Fleet::start(FleetOptions::new(
        env!("CARGO_BIN_EXE_roseyard-ingress"),
        members,
        seed,
    ))
    .unwrap();
    let all: Vec<usize> = (0..members).collect();
    rig.agree(&all, MAX_WAIT).unwrap();
    rig
}

/// Lines that say that a member is held gone.
fn gone(rig: &Fleet, n: usize, from: usize) -> Vec<String> {
    rig.members[n]
        .log
        .since(from)
        .into_iter()
        .filter(|l| l.contains(" to=gone "))
        .collect()
}

fn served(rig: &Fleet, n: usize, id: u64) {
    let line = rig.request(n, 1 + id % 50, id).unwrap();
    assert_eq!(line, "$16", "n{n} answered {line}");
}

#[test]
fn a_killed_member_is_seen_gone_and_rejoins_under_its_name() {
    let mut rig = rig(3, 1);
    let marks: Vec<usize> = rig.members.iter().map(|m| m.log.mark()).collect();
    rig.kill(2).unwrap();
    for n in [0, 1] {
        rig.members[n]
            .log
            .wait(
                marks[n],
                "member=n2 from=suspected to=gone seen=2 expected=3",
                MAX_WAIT,
            )
            .unwrap();
        served(&rig, n, 10 + n as u64);
    }
    rig.sees(0, 2, "gone", MAX_WAIT).unwrap();
    assert_eq!(rig.status(0).unwrap()["quorum"], true, "two of three");
    rig.spawn(2).unwrap();
    rig.agree(&[0, 1, 2], MAX_WAIT).unwrap();
    served(&rig, 2, 20);
    // A table for people, from the same file.
    let shown = Command::new(env!("CARGO_BIN_EXE_roseyard-ingress"))
        .arg("status")
        .arg(rig.status_file(0))
        .output()
        .unwrap();
    let table = String::from_utf8(shown.stdout).unwrap();
    assert!(
        table.contains("3 of 3 answer (a majority)") && table.contains("n2      alive"),
        "{table}"
    );
}

#[test]
fn a_member_that_shuts_down_has_left_and_is_not_suspected() {
    let mut rig = rig(3, 2);
    let marks: Vec<usize> = rig.members.iter().map(|m| m.log.mark()).collect();
    rig.signal(1, Signal::TERM).unwrap();
    rig.reap(1).unwrap();
    for n in [0, 2] {
        rig.members[n]
            .log
            .wait(marks[n], "member=n1 from=alive to=left", MAX_WAIT)
            .unwrap();
    }
    rig.spawn(1).unwrap();
    rig.agree(&[0, 1, 2], MAX_WAIT).unwrap();
    assert!((0..3).all(|n| gone(&rig, n, marks[n]).is_empty()));
}

#[test]
fn a_stopped_member_resumes_with_a_view_that_does_not_prevail() {
    let rig = rig(4, 3);
    let marks: Vec<usize> = rig.members.iter().map(|m| m.log.mark()).collect();
    rig.signal(3, Signal::STOP).unwrap();
    for (n, mark) in marks.iter().enumerate().take(3) {
        rig.members[n]
            .log
            .wait(
                *mark,
                "member=n3 from=suspected to=gone seen=3 expected=4",
                MAX_WAIT,
            )
            .unwrap();
    }
    rig.signal(3, Signal::CONT).unwrap();
    rig.agree(&[0, 1, 2, 3], MAX_WAIT).unwrap();
    assert_eq!(
        gone(&rig, 3, marks[3]),
        Vec::<String>::new(),
        "the others never stopped"
    );
    served(&rig, 3, 30);
}

#[test]
fn the_minority_of_a_partition_knows_it_and_goes_on_serving() {
    let mut rig = rig(5, 4);
    rig.network.split(&[0, 1], &[2, 3, 4]);
    rig.until(MAX_WAIT, "two of five have no majority", |r| {
        [0, 1]
            .iter()
            .all(|n| r.status(*n).is_ok_and(|s| s["quorum"] == false))
    })
    .unwrap();
    rig.sees(2, 0, "gone", MAX_WAIT).unwrap();
    assert!([2, 3, 4]
        .iter()
        .all(|n| rig.status(*n).unwrap()["quorum"] == true));
    (0..5).for_each(|n| served(&rig, n, 40 + n as u64));
    // One on each side restarts, and the split heals.
    for n in [1, 4] {
        rig.kill(n).unwrap();
        rig.spawn(n).unwrap();
    }
    rig.network.set_all(Rules::default());
    rig.agree(&[0, 1, 2, 3, 4], MAX_WAIT).unwrap();
}

#[test]
fn one_way_cuts_loss_duplicates_and_delay_leave_no_member_gone() {
    let rig = rig(4, 5);
    let marks: Vec<usize> = rig.members.iter().map(|m| m.log.mark()).collect();
    let bad = Rules {
        loss: 0.2,
        twice: 0.2,
        delay: (MS(1), MS(60)),
        ..Rules::default()
    };
    rig.network.set_all(bad);
    rig.network.set((1, 0), Rules { cut: true, ..bad });
    // Long enough for each to be probed by each some times: 60 probes of the beat.
    let probes = |r: &Fleet, n: usize| r.status(n).unwrap()["counts"]["probes"].as_u64().unwrap();
    let before: Vec<u64> = (0..4).map(|n| probes(&rig, n)).collect();
    rig.until(Duration::from_secs(60), "20 probes of each", |r| {
        (0..4).all(|n| probes(r, n) >= before[n] + 20)
    })
    .unwrap();
    (0..4).for_each(|n| assert_eq!(gone(&rig, n, marks[n]), Vec::<String>::new(), "n{n}"));
    assert!(
        rig.network.trace((1, 0)).iter().any(|f| f.after.is_empty()),
        "the cut has swallowed some"
    );
    rig.network.set_all(Rules::default());
    rig.agree(&[0, 1, 2, 3], MAX_WAIT).unwrap();
}

#[test]
fn keys_are_rotated_in_a_running_fleet_across_a_restart() {
    let mut rig = rig(3, 6);
    let marks: Vec<usize> = rig.members.iter().map(|m| m.log.mark()).collect();
    rig.write_key("next", 9).unwrap();
    let (old, next) = (rig.folder().join("key"), rig.folder().join("next"));
    let other = |path: &std::path::Path| format!("other-key-file \"{}\"", path.display());
    let turn = |rig: &Fleet, key: &str, more: &str| {
        for n in 0..3 {
            let mark = rig.members[n].log.mark();
            rig.write_settings(n, key, more).unwrap();
            rig.signal(n, Signal::HUP).unwrap();
            rig.members[n]
                .log
                .wait(mark, "membership keys reloaded keys=", MAX_WAIT)
                .unwrap();
        }
    };
    turn(&rig, "key", &other(&next)); // All open both,
    let settings = rig.write_settings(1, "next", &other(&old)).unwrap();
    rig.kill(1).unwrap();
    rig.spawn_with(1, &settings).unwrap(); // one seals by the new one after a restart,
    turn(&rig, "next", &other(&old)); // then all,
    turn(&rig, "next", ""); // and the old one is forgotten.
    rig.agree(&[0, 1, 2], MAX_WAIT).unwrap();
    (0..3).for_each(|n| assert_eq!(gone(&rig, n, marks[n]), Vec::<String>::new(), "n{n}"));
    // A key that others may read changes nothing.
    use std::os::unix::fs::PermissionsExt;
    std::fs::set_permissions(&next, std::fs::Permissions::from_mode(0o644)).unwrap();
    let mark = rig.members[0].log.mark();
    rig.signal(0, Signal::HUP).unwrap();
    let rejected = "membership keys rejected, previous ones stay in force error=";
    let line = rig.members[0].log.wait(mark, rejected, MAX_WAIT).unwrap();
    assert!(
        line.contains("others may read this key (mode 0644); make it 0600"),
        "{line}"
    );
}

#[test]
fn unauthenticated_and_replayed_datagrams_are_dropped_and_a_flood_has_no_effect() {
    let rig = rig(3, 7);
    let mark = rig.members[0].log.mark();
    let at = rig.members[0].membership_address.unwrap();
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    // 20,000 datagrams that look right up to the tag, at most 20,000 a second, beside requests.
    let (over, sent) = (AtomicBool::new(false), AtomicU64::new(0));
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let mut bytes = [1u8; 120];
            for n in 0..20_000u64 {
                bytes[40..48].copy_from_slice(&n.to_le_bytes());
                let _ = stranger.send_to(&bytes, at);
                sent.fetch_add(1, Ordering::Relaxed);
                if n % 20 == 0 {
                    std::thread::sleep(MS(1));
                }
            }
            over.store(true, Ordering::Relaxed);
        });
        let mut id = 100;
        while !over.load(Ordering::Relaxed) {
            served(&rig, 0, id);
            id += 1;
        }
    });
    for bytes in [&b""[..], b"x", &[0; 300], &[0xff; 256]] {
        stranger.send_to(bytes, at).unwrap();
    }
    rig.until(MAX_WAIT, "what was dropped is counted", |r| {
        let counts = &r.status(0).unwrap()["counts"];
        counts["dropped: another cluster"].as_u64() > Some(1000)
            && counts["dropped: malformed"].as_u64() >= Some(3)
    })
    .unwrap();
    stranger.set_nonblocking(true).unwrap();
    assert!(
        stranger.recv_from(&mut [0; 8]).is_err(),
        "no stranger is answered"
    );
    rig.agree(&[0, 1, 2], MAX_WAIT).unwrap();
    assert_eq!(gone(&rig, 0, mark), Vec::<String>::new());
}

#[test]
fn the_younger_of_two_processes_with_one_name_is_rejected_with_a_reason() {
    let mut rig = rig(3, 8);
    // The third takes the second's name.
    rig.kill(2).unwrap();
    let holder = rig.members[1].membership_address.unwrap();
    rig.members[2].name = "n1".into();
    let folder = rig.folder().join("n1.kdl");
    let settings = rig.write_settings(2, "key", "").unwrap();
    assert_eq!(settings, folder);
    let mark = rig.members[2].log.mark();
    rig.spawn_with(2, &settings).unwrap();
    let line = rig.members[2]
        .log
        .wait(mark, "membership name in use", MAX_WAIT)
        .unwrap();
    assert!(
        line.contains(&format!(
            "name in use by another process, retrying name=n1 holder={holder}"
        )),
        "{line}"
    );
    served(&rig, 2, 60);
    let mark = rig.members[0].log.mark();
    rig.kill(1).unwrap();
    rig.members[0]
        .log
        .wait(mark, "member=n1 from=suspected to=gone", MAX_WAIT)
        .unwrap();
    rig.members[0]
        .log
        .wait(mark, "member=n1 from=gone to=alive", MAX_WAIT)
        .unwrap();
}

#[test]
fn all_members_restart_within_a_second_without_state() {
    let mut rig = rig(4, 9);
    let begin = Instant::now();
    (0..4).for_each(|n| rig.kill(n).unwrap());
    (0..4).for_each(|n| rig.spawn(n).unwrap());
    let took = rig.agree(&[0, 1, 2, 3], MAX_WAIT).unwrap();
    println!(
        "agreed {:?} after the kill, {took:?} after the last start",
        begin.elapsed()
    );
    let status = rig.status(0).unwrap();
    assert!((1..4).all(|n| membership_state(&status, &format!("n{n}")) == Some("alive")));
}

#[test]
fn a_scenario_played_twice_is_the_same_and_breaks_no_rule_under_load() {
    let text = "members 4; seed 11; lasts \"14s\"; rate 60
        at \"1s\" { kill 3; net loss=0.2 twice=0.2 most=\"40ms\" }
        when 0 logs=\"member=n3 from=suspected to=gone\" { start 3 }
        when 0 logs=\"member=n3 from=gone to=alive\" { stop 2 }
        at \"9s\" { wake 2; heal; hup 1 }
        at \"11s\" { term 1 }";
    let scenario = Scenario::parse(text).unwrap();
    let program = || env!("CARGO_BIN_EXE_roseyard-ingress").into();
    let (one, two) = std::thread::scope(|scope| {
        let other = scope.spawn(|| run(&scenario, program(), |_| {}).unwrap());
        (
            run(&scenario, program(), |_| {}).unwrap(),
            other.join().unwrap(),
        )
    });
    assert_eq!(one.trace, two.trace);
    for played in [one, two] {
        println!("{:?}", played.verdict);
        assert_eq!(played.verdict.violations, []);
        assert!(played.verdict.served > 400, "{:?}", played.verdict);
    }
}

#[test]
fn the_checker_records_each_attempt_at_form_endpoints_once() {
    let rig = rig(2, 12);
    served(&rig, 0, 0x77);
    let seen: Vec<Observation> = rig
        .history()
        .events()
        .iter()
        .filter(|e| e.id == 0x77)
        .map(|e| e.observation)
        .collect();
    assert!(
        matches!(seen[..], [Observation::AttemptStarted(a), Observation::AttemptFinished(b)] if a == b),
        "{seen:?}"
    );
}

#[test]
fn without_configuration_no_socket_is_opened_and_errors_are_named() {
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
    for (text, said) in [
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
        let (good, told) = check(text);
        let plain: String = told.split_whitespace().collect::<Vec<_>>().join(" ");
        assert!(!good && plain.contains(said), "{text}: {told}");
    }
    std::fs::remove_file(&file).unwrap();
}
