//! What membership costs each member: a complete fleet up to [`MAX_FLEET`] members, and one member
//! among simulated peers up to the size at which all records are held.

mod fleet;
mod peers;
mod single_member;

use super::measure::{millis, timed};
use super::report::{RoleReport, SizeSeries};
use super::run_options::RunOptions;
use super::targets;
use fleet::{VirtualFleet, AGREE_WITHIN, MAX_PROCESSOR_TIME};
use roseyard_membership::Settings;
use single_member::SingleMember;
use std::time::Duration;

/// Largest complete fleet.
const MAX_FLEET: usize = 300;
/// Virtual time until gossip of the start has ended.
const SETTLE_TIME: Duration = Duration::from_secs(60);
const SPLIT_DURATION: Duration = Duration::from_secs(300);

/// Runs fleets and single members of each size.
pub(super) fn run(run: &RunOptions) -> RoleReport {
    let mut figures = Figures::new();
    let mut notes = Vec::new();
    for &size in &run.sizes {
        run.progress(&format!("membership: one member of {size}"));
        measure_single_member(run, size, &mut figures);
        if size > MAX_FLEET {
            notes.push(format!(
                "a whole fleet of {size} is not played: joining grows with more than its square"
            ));
            continue;
        }
        run.progress(&format!("membership: a fleet of {size}"));
        if !measure_fleet(run, size, &mut figures) {
            notes.push(format!(
                "{size} members did not agree within {AGREE_WITHIN:?} or {MAX_PROCESSOR_TIME:?} of work"
            ));
        }
    }
    let max_members = Settings::new(targets::INGRESSES).max_members;
    notes.push(format!(
        "the program remembers {max_members} members at most; here as many as there are"
    ));
    run.report("membership", "members", figures.series(), notes)
}

fn measure_single_member(run: &RunOptions, size: usize, figures: &mut Figures) {
    let mut member = SingleMember::new(size, run.seed);
    let join = member.receive_all_records(size);
    figures.join.push(size, &[millis(join.processor_time)]);
    figures.join_one_bytes.push(size, &[join.bytes as f64]);
    // New records are gossiped for a while.
    member.run(SETTLE_TIME);
    let length = Duration::from_secs(run.seconds);
    let idle_percent = |_| {
        let (_, took) = timed(|| member.run(length));
        took.as_secs_f64() * 100.0 / length.as_secs_f64()
    };
    let idle_percents: Vec<f64> = (0..run.repeats).map(idle_percent).collect();
    figures.idle.push(size, &idle_percents);
    let updates_us: Vec<f64> = (0..run.repeats)
        .map(|round| member.update_us(size, round))
        .collect();
    figures.update.push(size, &updates_us);
}

/// Measures a complete fleet; false if it does not agree.
fn measure_fleet(run: &RunOptions, size: usize, figures: &mut Figures) -> bool {
    let mut fleet = VirtualFleet::new(size, run.seed);
    let (agreed, spent) = timed(|| fleet.run_until_agreed());
    if !agreed {
        return false;
    }
    figures.join_bytes.push(size, &[fleet.bytes_of_member(0)]);
    fleet.run(SETTLE_TIME);
    let repeats = if spent > MAX_PROCESSOR_TIME / 4 {
        run.repeats.min(1)
    } else {
        run.repeats
    };
    let length = Duration::from_secs(run.seconds);
    let mut core_percents = Vec::new();
    let mut byte_rates = Vec::new();
    for _ in 0..repeats {
        let bytes_before = fleet.bytes;
        let (_, took) = timed(|| fleet.run(length));
        let member_seconds = size as f64 * length.as_secs_f64();
        core_percents.push(took.as_secs_f64() * 100.0 / member_seconds);
        byte_rates.push(2.0 * (fleet.bytes - bytes_before) as f64 / member_seconds);
    }
    figures.fleet_idle.push(size, &core_percents);
    figures.fleet_bytes.push(size, &byte_rates);
    run.progress(&format!("membership: a fleet of {size} in failures"));
    measure_failures(size, &mut fleet, figures);
    true
}

fn measure_failures(size: usize, fleet: &mut VirtualFleet, figures: &mut Figures) {
    let split = fleet.split_for(SPLIT_DURATION);
    let split_peak = split.peak.max(split.peak_after);
    figures.split_peak.push(size, &[split_peak]);
    figures
        .split_agreed
        .push(size, split.agreed_after_s.as_slice());
    let zone = fleet.lose_zone();
    figures.zone_peak.push(size, &[zone.peak]);
    figures
        .zone_agreed
        .push(size, zone.agreed_after_s.as_slice());
}

struct Figures {
    fleet_idle: SizeSeries,
    fleet_bytes: SizeSeries,
    join_bytes: SizeSeries,
    split_peak: SizeSeries,
    split_agreed: SizeSeries,
    zone_peak: SizeSeries,
    zone_agreed: SizeSeries,
    idle: SizeSeries,
    update: SizeSeries,
    join: SizeSeries,
    join_one_bytes: SizeSeries,
}

impl Figures {
    fn new() -> Figures {
        let measured = SizeSeries::measured;
        Figures {
            fleet_idle: measured("fleet at rest: processor time of a member", "% of a core"),
            fleet_bytes: measured("fleet at rest: bytes of a member, in and out", "bytes/s"),
            join_bytes: measured("all start at once: bytes until all agree, each", "bytes"),
            split_peak: measured(
                "halves apart for 300 s: fullest second of a member",
                "bytes/s",
            ),
            split_agreed: measured("halves apart for 300 s: all agree after they met", "s"),
            zone_peak: measured("a zone of 7.7% dies: fullest second of a member", "bytes/s"),
            zone_agreed: measured("a zone of 7.7% dies: all hold it gone", "s"),
            idle: measured("one member at rest: processor time", "% of a core"),
            update: measured("one member: processor time of a word", "us"),
            join: measured("one member: processor time to take all records", "ms"),
            join_one_bytes: measured("one member: bytes of all records", "bytes"),
        }
    }

    fn series(self) -> Vec<SizeSeries> {
        vec![
            self.fleet_idle,
            self.fleet_bytes,
            self.join_bytes,
            self.split_peak,
            self.split_agreed,
            self.zone_peak,
            self.zone_agreed,
            self.idle,
            self.update,
            self.join,
            self.join_one_bytes,
        ]
    }
}
