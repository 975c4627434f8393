//! Processor time, resident memory, and growth exponents.

use rustix::time::{clock_gettime, ClockId};
use std::time::Duration;

/// Returns the processor time that the current thread has used. Simulated ingresses run on one
/// thread, so the time of the process would include that of tests running in parallel.
#[must_use]
pub fn processor_time() -> Duration {
    let used = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(used.tv_sec as u64, used.tv_nsec as u32)
}

/// Runs `work` and returns its result and the processor time that it used.
pub fn timed<T>(work: impl FnOnce() -> T) -> (T, Duration) {
    let before = processor_time();
    let result = work();
    (result, processor_time() - before)
}

/// Returns the resident memory of this process in bytes; 0 if the system does not report it.
#[must_use]
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text
        .split(' ')
        .nth(1)
        .and_then(|field| field.parse().ok())
        .unwrap_or(0);
    pages * rustix::param::page_size() as u64
}

/// Returns the growth of the resident memory from `before_bytes`, in MiB; 0 if it has shrunk.
pub(super) fn resident_growth_mib(before_bytes: u64) -> f64 {
    resident_bytes().saturating_sub(before_bytes) as f64 / f64::from(1 << 20)
}

pub(super) fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// Fits `y = a * x^exponent` to the points by least squares over the logarithms and returns the
/// exponent. Points that are not positive are ignored. Returns `None` for fewer than two points.
#[must_use]
pub fn exponent(points: &[(f64, f64)]) -> Option<f64> {
    let logs: Vec<(f64, f64)> = points
        .iter()
        .filter(|(x, y)| *x > 0.0 && *y > 0.0)
        .map(|(x, y)| (x.ln(), y.ln()))
        .collect();
    let count = logs.len() as f64;
    let mean_x = logs.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = logs.iter().map(|(_, y)| y).sum::<f64>() / count;
    let variance: f64 = logs.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let covariance: f64 = logs.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    (logs.len() > 1 && variance > 0.0).then(|| covariance / variance)
}
