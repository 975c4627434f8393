//! What tenants' quotas cost an ingress: memory, processor time and calls to the counter.

use super::endpoint_set::EndpointSet;
use super::measure::{resident_bytes, timed};
use super::report::{RoleReport, SizeSeries};
use super::simulated_ingress::{Demand, Load, SimulatedEnvironment, SimulatedIngress, Traffic};
use super::{targets, Run};
use std::sync::Arc;
use std::time::Duration;

/// Few servers, so that the choice among them weighs little.
const SERVERS: usize = 17;
/// An ingress forgets a tenant that has not come for 30 s: all of them come within this.
const FILL: Duration = Duration::from_secs(20);

/// Plays one ingress at each number of tenants, all of whom it has just heard of.
pub(super) fn run(run: &Run) -> RoleReport {
    let mut request = SizeSeries::measured("processor time a request", "us");
    let mut rest = SizeSeries::measured("processor time at rest", "% of a core");
    let mut memory = SizeSeries::measured("memory of all ledgers", "MiB");
    let mut calls = SizeSeries::measured("calls to the counter a request", "calls");
    let mut out = SizeSeries::measured("bytes of a call", "bytes");
    let mut back = SizeSeries::measured("bytes of its answer", "bytes");
    let mut rate = SizeSeries::derived(
        "to and from the counter at 256 requests a second",
        "bytes/s",
    );
    let mut held = Vec::new();
    for &size in &run.sizes {
        run.progress(&format!("quotas: {size} tenants"));
        let mut environment = SimulatedEnvironment::new(run.seed);
        let servers = if run.services {
            targets::SERVERS
        } else {
            SERVERS
        };
        let endpoint_set = Arc::new(EndpointSet::new(servers, run.services));
        let mut simulated_ingress =
            SimulatedIngress::new(&endpoint_set, targets::INGRESSES, 0, run.seed);
        simulated_ingress.receive_line(&endpoint_set.whole(), &mut environment);
        let before = resident_bytes();
        for tenant in 0..size {
            let at = FILL.mul_f64((tenant + 1) as f64 / size as f64);
            simulated_ingress.run(at, None, &mut environment);
            simulated_ingress.request(tenant as u64, Demand::ByServers, &mut environment);
        }
        memory.push(
            size,
            &[resident_bytes().saturating_sub(before) as f64 / f64::from(1 << 20)],
        );
        let load = Load {
            rate: targets::REQUESTS_PER_INGRESS,
            tenants: size,
            demand: Demand::ByServers,
        };
        let (mut resting, mut requests, mut traffic) = (Vec::new(), Vec::new(), Traffic::default());
        let length = Duration::from_millis(1000 * run.seconds / run.repeats as u64);
        for _ in 0..run.repeats {
            let (_, took) = timed(|| {
                simulated_ingress.run(simulated_ingress.now() + length, None, &mut environment)
            });
            let idle = took.as_secs_f64() / length.as_secs_f64();
            simulated_ingress.traffic = Traffic::default();
            let (_, took) = timed(|| {
                simulated_ingress.run(
                    simulated_ingress.now() + length,
                    Some(load),
                    &mut environment,
                )
            });
            let ended = simulated_ingress.traffic.attempts + simulated_ingress.traffic.rejected;
            let each =
                (took.as_secs_f64() - idle * length.as_secs_f64()).max(0.0) / ended.max(1) as f64;
            resting.push(idle * 100.0);
            requests.push(each * 1e6);
            traffic += simulated_ingress.traffic;
        }
        rest.push(size, &resting);
        request.push(size, &requests);
        let (asked, ended) = (
            traffic.counter_calls as f64,
            (traffic.attempts + traffic.rejected) as f64,
        );
        let (bytes_out, bytes_in) = (
            traffic.counter_bytes_out as f64 / asked,
            traffic.counter_bytes_in as f64 / asked,
        );
        calls.push(size, &[asked / ended]);
        out.push(size, &[bytes_out]);
        back.push(size, &[bytes_in]);
        rate.push(
            size,
            &[asked / ended * (bytes_out + bytes_in) * targets::REQUESTS_PER_INGRESS],
        );
        held.push(simulated_ingress);
    }
    let figures = vec![request, rest, memory, calls, out, back, rate];
    let note = "bytes are those of the calls and answers alone, without TCP's and IP's".to_owned();
    run.report("quotas", "tenants", figures, vec![run.shape(), note])
}
