//! All servers of a service die, drain, or come back with half of them cold.

use super::finding::{Fault, Finding};
use super::testbed::FaultTestbed;
use crate::scale::daemon::options::{DaemonOptions, SETTLE_TIME};
use crate::scale::topology::ServiceTopology;
use std::io;
use std::net::Ipv4Addr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time within which an ingress has to stop sending requests to a server that is reported as
/// draining.
const DRAIN_GRACE: Duration = Duration::from_millis(2_000);
/// Duration of the load after cold servers have come back.
const COLD_LOAD_DURATION: Duration = Duration::from_secs(3);
/// The maximum ratio of the attempts at cold servers to those at as many warm ones.
const MAX_COLD_TO_WARM_RATIO: f64 = 0.5;

/// All servers of the victim die, and come back after the load.
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

/// All servers of the victim are reported as draining, and as serving again after the load.
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
        format!("no requests are sent to servers more than {DRAIN_GRACE:?} after they were reported as draining"),
        format!("{late_attempts} requests"),
        late_attempts == 0,
    ));
    Ok(findings)
}

/// Counts of attempts at the cold servers and at as many warm ones.
#[derive(Default)]
struct ColdAttempts {
    cold: u64,
    warm: u64,
}

/// All servers of the victim die and are removed. Then they come back, and every second one has
/// just booted.
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
    let ratio = cold as f64 / (warm as f64).max(1.0);
    findings.push(fault.finding(
        format!(
            "in {COLD_LOAD_DURATION:?} a cold server gets at most {MAX_COLD_TO_WARM_RATIO} times the requests of a warm one"
        ),
        format!("{cold} requests to cold servers, {warm} to as many warm ones: {ratio:.2} times"),
        warm > 0 && ratio <= MAX_COLD_TO_WARM_RATIO,
    ));
    Ok(findings)
}

/// Whether the victim's server of this number comes back cold.
fn is_cold(number: usize) -> bool {
    number.is_multiple_of(2)
}

/// Kills and removes the victim's servers, and then restores them with half of them just booted.
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
    /// Counts the attempts at the victim's servers from `first_event` of the history on.
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

/// Returns the current Unix time in milliseconds.
fn unix_ms() -> f64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since_epoch.as_secs_f64() * 1000.0
}
