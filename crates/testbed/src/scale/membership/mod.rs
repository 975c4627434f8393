//! The cost of the membership protocol for each member. Fleets of up to [`MAX_FLEET_SIZE`] members
//! are simulated completely; for all sizes one real member runs among simulated peers.

mod fleet;
mod peers;
mod single_member;

use super::measure::{millis, timed};
use super::report::{RoleReport, SizeSeries};
use super::run_options::RunOptions;
use super::targets;
use fleet::{VirtualFleet, MAX_AGREEMENT_TIME, MAX_PROCESSOR_TIME};
use roseyard_membership::Settings;
use single_member::SingleMember;
use std::time::Duration;

/// The size of the largest fleet that is simulated completely.
const MAX_FLEET_SIZE: usize = 300;
/// The virtual time after which the records of the start are no longer gossiped.
const SETTLE_TIME: Duration = Duration::from_secs(60);
const SPLIT_DURATION: Duration = Duration::from_secs(300);

/// Measures a single member and, up to [`MAX_FLEET_SIZE`], a complete fleet at each size.
pub(super) fn run(options: &RunOptions) -> RoleReport {
    let mut figures = Figures::new();
    let mut notes = Vec::new();
    for &size in &options.sizes {
        options.progress(&format!("membership: one member of {size}"));
        measure_single_member(options, size, &mut figures);
        if size > MAX_FLEET_SIZE {
            notes.push(format!(
                "a complete fleet of {size} is not simulated: the cost of joining grows faster than the square of its size"
            ));
            continue;
        }
        options.progress(&format!("membership: a fleet of {size}"));
        if !measure_fleet(options, size, &mut figures) {
            notes.push(format!(
                "{size} members did not agree within {MAX_AGREEMENT_TIME:?} or {MAX_PROCESSOR_TIME:?} of processor time"
            ));
        }
    }
    let max_members = Settings::new(targets::INGRESSES).max_members;
    notes.push(format!(
        "the program keeps at most {max_members} members; this run keeps all members"
    ));
    options.report("membership", "members", figures.series(), notes)
}

fn measure_single_member(options: &RunOptions, size: usize, figures: &mut Figures) {
    let mut member = SingleMember::new(size, options.seed);
    let join = member.receive_all_records(size);
    figures.join.push(size, &[millis(join.processor_time)]);
    figures.join_one_bytes.push(size, &[join.bytes as f64]);
    // The member gossips new records for some time; the idle cost is measured after that.
    member.run(SETTLE_TIME);
    let length = Duration::from_secs(options.seconds);
    let idle_percent = |_| {
        let (_, took) = timed(|| member.run(length));
        took.as_secs_f64() * 100.0 / length.as_secs_f64()
    };
    let idle_percents: Vec<f64> = (0..options.repeats).map(idle_percent).collect();
    figures.idle.push(size, &idle_percents);
    let updates_us: Vec<f64> = (0..options.repeats)
        .map(|round| member.update_us(size, round))
        .collect();
    figures.update.push(size, &updates_us);
}

/// Measures a complete fleet. Returns false if its members do not agree in time.
fn measure_fleet(options: &RunOptions, size: usize, figures: &mut Figures) -> bool {
    let mut fleet = VirtualFleet::new(size, options.seed);
    let (agreed, spent) = timed(|| fleet.run_until_agreed());
    if !agreed {
        return false;
    }
    figures.join_bytes.push(size, &[fleet.bytes_of_member(0)]);
    fleet.run(SETTLE_TIME);
    let repeats = if spent > MAX_PROCESSOR_TIME / 4 {
        options.repeats.min(1)
    } else {
        options.repeats
    };
    let length = Duration::from_secs(options.seconds);
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
    options.progress(&format!("membership: a fleet of {size} in failures"));
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
            fleet_idle: measured("idle fleet: processor time per member", "% of a core"),
            fleet_bytes: measured("idle fleet: bytes per member, received and sent", "bytes/s"),
            join_bytes: measured(
                "simultaneous start: bytes per member until all agree",
                "bytes",
            ),
            split_peak: measured(
                "partition into halves for 300 s: peak traffic per member",
                "bytes/s",
            ),
            split_agreed: measured(
                "partition into halves for 300 s: time after it until all agree",
                "s",
            ),
            zone_peak: measured(
                "failure of a zone of 7.7%: peak traffic per member",
                "bytes/s",
            ),
            zone_agreed: measured("failure of a zone of 7.7%: time until all agree", "s"),
            idle: measured("one idle member: processor time", "% of a core"),
            update: measured("one member: processor time per update", "us"),
            join: measured("one member: processor time to receive all records", "ms"),
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
