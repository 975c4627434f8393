//! Benchmark of simulated fleets in virtual time. Prints detection and convergence times, false
//! reports, traffic and processing cost as Markdown tables.
//!
//!     cargo bench -p roseyard-membership --bench fleet

#[path = "../tests/common/mod.rs"]
mod common;

use common::*;
use roseyard_membership::*;
use std::time::{Duration, Instant};

const SEED_COUNT: u64 = 20;

fn quantile(times: &mut [Duration], q: f64) -> f64 {
    times.sort();
    let index = ((times.len() as f64 * q) as usize).min(times.len().saturating_sub(1));
    times.get(index).map_or(f64::NAN, Duration::as_secs_f64)
}

fn yes_or_no(flag: bool) -> &'static str {
    if flag {
        "yes"
    } else {
        "no"
    }
}

/// The times from the death of a member until the first, and the last, of the other members saw it
/// dead. Each list holds one time per seed.
struct DetectionTimes {
    first: Vec<Duration>,
    last: Vec<Duration>,
}

fn detection_times(members: usize, loss_ratio: f64, seeds: u64) -> DetectionTimes {
    let mut times = DetectionTimes {
        first: Vec::new(),
        last: Vec::new(),
    };
    for seed in 0..seeds {
        let mut fleet = Fleet::converged(members, Settings::new(members), seed);
        fleet.network.conditions.loss_ratio = loss_ratio;
        fleet.run(ms(seed * 97));
        fleet.changes.clear();
        let begin = fleet.now;
        let dead = members / 2;
        fleet.kill(dead);
        let have_all_detected_it = |fleet: &Fleet| {
            fleet
                .members
                .keys()
                .all(|n| fleet.state(*n, dead) == MemberState::Dead)
        };
        fleet
            .run_until(ms(300_000), have_all_detected_it)
            .expect("the death is detected within 300 s");
        let mut detections: Vec<Duration> = fleet
            .changes
            .iter()
            .filter(|change| change.subject == name(dead) && change.to == MemberState::Dead)
            .map(|change| change.at - begin)
            .collect();
        detections.sort();
        times.first.push(detections[0]);
        times.last.push(detections[detections.len() - 1]);
    }
    times
}

fn print_detection() {
    println!("## Detection of a death, s ({SEED_COUNT} seeds; 5 seeds with 300 members)\n");
    println!("| members | loss | first detection: median, p99 | last detection: median, p99 |");
    println!("| --- | --- | --- | --- |");
    for (members, loss_ratios) in [
        (5, &[0.0, 0.2][..]),
        (10, &[0.0, 0.2]),
        (100, &[0.0, 0.2]),
        (300, &[0.0]),
    ] {
        for loss_ratio in loss_ratios {
            let seeds = match members {
                300 => 5,
                _ => SEED_COUNT,
            };
            let DetectionTimes {
                mut first,
                mut last,
            } = detection_times(members, *loss_ratio, seeds);
            println!(
                "| {members} | {loss_ratio} | {:.1}, {:.1} | {:.1}, {:.1} |",
                quantile(&mut first, 0.5),
                quantile(&mut first, 0.99),
                quantile(&mut last, 0.5),
                quantile(&mut last, 0.99)
            );
        }
    }
}

fn print_convergence() {
    println!("\n## Convergence after a join and after a partition, s\n");
    println!(
        "| members | after a join: median | after a partition into halves for 60 s: median, max |"
    );
    println!("| --- | --- | --- |");
    for (members, seeds) in [(5usize, SEED_COUNT), (10, SEED_COUNT), (100, 5)] {
        let mut join_times = Vec::new();
        let mut heal_times = Vec::new();
        for seed in 0..seeds {
            let mut fleet = Fleet::converged(members, Settings::new(members + 1), seed);
            let begin = fleet.now;
            fleet.start(members);
            fleet
                .run_until(ms(60_000), Fleet::has_converged)
                .expect("a new member joins within 60 s");
            join_times.push(fleet.now - begin);
            let (even, odd): (Vec<usize>, Vec<usize>) = (0..=members).partition(|n| n % 2 == 0);
            fleet.network.partition(&even, &odd);
            fleet.run(ms(60_000));
            fleet.network.blocked.clear();
            heal_times.push(
                fleet
                    .run_until(ms(300_000), Fleet::has_converged)
                    .expect("the partition heals within 300 s"),
            );
        }
        let max = heal_times.iter().max().map_or(0.0, Duration::as_secs_f64);
        println!(
            "| {members} | {:.2} | {:.1}, {max:.1} |",
            quantile(&mut join_times, 0.5),
            quantile(&mut heal_times, 0.5)
        );
    }
}

fn print_false_reports() {
    println!("\n## False reports per fleet and hour, by packet loss (delay 1 to 50 ms)\n");
    println!("| members | loss | local health | suspected | dead |");
    println!("| --- | --- | --- | --- | --- |");
    for members in [5usize, 10, 100] {
        for loss_ratio in [0.0, 0.05, 0.2, 0.3] {
            for local_health in [true, false] {
                print_false_reports_of(members, loss_ratio, local_health);
            }
        }
    }
}

fn print_false_reports_of(members: usize, loss_ratio: f64, local_health: bool) {
    let mut suspected = 0;
    let mut dead = 0;
    let (seeds, minutes) = if members == 100 { (2, 3) } else { (10, 6) };
    for seed in 0..seeds {
        let settings = Settings {
            local_health,
            ..Settings::new(members)
        };
        let mut fleet = Fleet::converged(members, settings, seed);
        fleet.changes.clear();
        fleet.network.conditions = Conditions {
            loss_ratio,
            duplicate_ratio: 0.0,
            min_delay: ms(1),
            max_delay: ms(50),
        };
        fleet.run(ms(minutes * 60_000));
        suspected += fleet.false_reports(MemberState::Suspect);
        dead += fleet.false_reports(MemberState::Dead);
    }
    let hours = (seeds * minutes) as f64 / 60.0;
    // Each change of one member is reported by all of the others.
    let changes_per_hour = |reports: usize| reports as f64 / hours / (members - 1) as f64;
    println!(
        "| {members} | {loss_ratio} | {} | {:.1} | {:.2} |",
        yes_or_no(local_health),
        changes_per_hour(suspected),
        changes_per_hour(dead)
    );
}

fn print_slow_member() {
    println!("\n## One slow member of ten, paused for 0.9 s of each 1.5 s, in one hour\n");
    println!("| local health | others reported dead | suspected by the slow member | slow member suspected |");
    println!("| --- | --- | --- | --- |");
    for local_health in [true, false] {
        let settings = Settings {
            local_health,
            ..Settings::new(10)
        };
        let mut fleet = Fleet::converged(10, settings, 1);
        fleet.changes.clear();
        for _ in 0..2400 {
            fleet.pause(4);
            fleet.run(ms(900));
            fleet.resume(4);
            fleet.run(ms(600));
        }
        let changes = |is_slow_member: bool, to| {
            fleet.changes.iter().filter(move |change| {
                (change.subject == name(4)) == is_slow_member && change.to == to
            })
        };
        println!(
            "| {} | {} | {} | {} |",
            yes_or_no(local_health),
            changes(false, MemberState::Dead).count(),
            changes(false, MemberState::Suspect)
                .filter(|change| change.observer == 4)
                .count(),
            changes(true, MemberState::Suspect).count()
        );
    }
}

fn print_traffic() {
    println!("\n## Traffic and cost per member of an idle fleet, 60 s\n");
    println!(
        "| members | datagrams/s | bytes/s | longest datagram, bytes | time per event, us | records, KiB |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for members in [5usize, 10, 100, 300, 1000] {
        let mut fleet = Fleet::converged(members, Settings::new(members), 1);
        fleet.run(ms(10_000));
        fleet.datagram_count = 0;
        fleet.byte_count = 0;
        let begin = Instant::now();
        fleet.run(ms(60_000));
        let run_time = begin.elapsed();
        let rate = |count: u64| count as f64 / 60.0 / members as f64;
        // Each datagram accounts for about two events: the timeout at which it is sent, and its
        // delivery.
        let events = (2 * fleet.datagram_count).max(1) as f64;
        let record_bytes = members * (size_of::<Record>() + size_of::<Name>() + 48);
        println!(
            "| {members} | {:.2} | {:.0} | {} | {:.1} | {} |",
            rate(fleet.datagram_count),
            rate(fleet.byte_count),
            fleet.max_datagram_bytes,
            run_time.as_secs_f64() * 1e6 / events,
            record_bytes / 1024
        );
    }
}

fn main() {
    print_detection();
    print_convergence();
    print_false_reports();
    print_slow_member();
    print_traffic();
}
