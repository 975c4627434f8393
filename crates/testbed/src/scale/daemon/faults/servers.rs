//! All servers of a service die, drain, or come back cold.

use super::finding::{Fault, Finding};
use super::testbed::FaultTestbed;
use crate::scale::daemon::options::{DaemonOptions, SETTLE_TIME};
use crate::scale::topology::ServiceTopology;
use std::io;
use std::net::Ipv4Addr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time after which a server that was reported as draining gets nothing more.
const DRAIN_GRACE: Duration = Duration::from_millis(2_000);
/// Time over which a cold server is observed.
const COLD_LOAD_DURATION: Duration = Duration::from_secs(3);
/// Largest share of a cold server, compared with a warm one.
const MAX_COLD_TO_WARM_RATIO: f64 = 0.5;

pub(super) fn die(options: &DaemonOptions) -> io::Result<Vec<Finding>> {
    let testbed = FaultTestbed::start_warm(options)?;
    let service = testbed.victim_service();
    let outcomes = testbed.compare(|on| {
        if on {
            testbed.platform.servers.kill(service.addresses());
            testbed.spawn_detached_load(&testbed.victim);
        } else {
            testbed.platform.servers.revive(service.addresses());
        }
    });
    Ok(outcomes.findings(Fault::ServersDie))
}

pub(super) fn drain(options: &DaemonOptions) -> io::Result<Vec<Finding>> {
    let fault = Fault::ServersDrain;
    let testbed = FaultTestbed::start_warm(options)?;
    let mut late_attempts = 0;
    let mut first_event = 0;
    let outcomes = testbed.compare(|on| {
        if on {
            testbed.send_victim_state("DRAINING", |_| 0.0);
            std::thread::sleep(DRAIN_GRACE);
            first_event = testbed.events().len();
            testbed.spawn_detached_load(&testbed.victim);
        } else {
            late_attempts += testbed
                .attempts_at_victim(first_event)
                .values()
                .sum::<u64>();
            testbed.send_victim_state("SERVING", |_| 0.0);
        }
    });
    let mut findings = outcomes.findings(fault);
    findings.push(fault.finding(
        format!("nothing is sent to them {DRAIN_GRACE:?} after they were told"),
        format!("{late_attempts} requests"),
        late_attempts == 0,
    ));
    Ok(findings)
}

/// Attempts at the cold servers, and at as many warm ones.
#[derive(Default)]
struct ColdAttempts {
    cold: u64,
    warm: u64,
}

/// All servers of the service die and are removed. Then they come back: every second one has just
/// started.
pub(super) fn restart_cold_servers(options: &DaemonOptions) -> io::Result<Vec<Finding>> {
    let fault = Fault::ComesBackCold;
    let testbed = FaultTestbed::start_warm(options)?;
    let mut attempts = ColdAttempts::default();
    let outcomes = testbed.compare(|on| {
        if on {
            restart_half_cold(&testbed);
            let first_event = testbed.events().len();
            testbed.wait(testbed.spawn_load(&testbed.victim, COLD_LOAD_DURATION));
            attempts.add(&testbed, first_event);
        }
    });
    let mut findings = outcomes.findings(fault);
    let ColdAttempts { cold, warm } = attempts;
    let share = cold as f64 / (warm as f64).max(1.0);
    findings.push(fault.finding(
        format!(
            "in {COLD_LOAD_DURATION:?} a cold server gets at most {MAX_COLD_TO_WARM_RATIO} of what a warm one gets"
        ),
        format!("{cold} to cold, {warm} to as many warm ones: {share:.2}"),
        warm > 0 && share <= MAX_COLD_TO_WARM_RATIO,
    ));
    Ok(findings)
}

fn is_cold(number: usize) -> bool {
    number.is_multiple_of(2)
}

fn restart_half_cold(testbed: &FaultTestbed) {
    let service = testbed.victim_service();
    testbed.platform.servers.kill(service.addresses());
    testbed.send_victim_state("DELETED", |_| 0.0);
    std::thread::sleep(SETTLE_TIME);
    testbed.platform.servers.revive(service.addresses());
    let now = unix_ms();
    testbed.send_victim_state("SERVING", |number| if is_cold(number) { now } else { 0.0 });
}

impl ColdAttempts {
    /// Adds the attempts since this many events.
    fn add(&mut self, testbed: &FaultTestbed, first_event: usize) {
        let addresses: Vec<Ipv4Addr> = testbed.victim_service().addresses().collect();
        for (slot, attempts) in testbed.attempts_at_victim(first_event) {
            let number = addresses
                .iter()
                .position(|address| ServiceTopology::slot(*address) == Some(slot));
            if number.is_some_and(is_cold) {
                self.cold += attempts;
            } else {
                self.warm += attempts;
            }
        }
    }
}

fn unix_ms() -> f64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since_epoch.as_secs_f64() * 1000.0
}
