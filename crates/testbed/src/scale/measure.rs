//! Processor time, resident memory, and growth exponents.

use rustix::time::{clock_gettime, ClockId};
use std::time::Duration;

/// Processor time that this thread has used. Simulated ingresses run on one thread, and tests run
/// side by side.
#[must_use]
pub fn processor_time() -> Duration {
    let used = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(used.tv_sec as u64, used.tv_nsec as u32)
}

/// What `work` returns, and the processor time that it used.
pub fn timed<T>(work: impl FnOnce() -> T) -> (T, Duration) {
    let before = processor_time();
    let result = work();
    (result, processor_time() - before)
}

/// Resident bytes of this process; 0 where the system does not report them.
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

/// Growth of the resident memory since it was `before_bytes`, in MiB.
pub(super) fn resident_growth_mib(before_bytes: u64) -> f64 {
    resident_bytes().saturating_sub(before_bytes) as f64 / f64::from(1 << 20)
}

pub(super) fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// The exponent of `y = a * x^exponent`, by least squares over the logarithms. None for fewer than
/// two points.
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
