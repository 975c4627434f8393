//! The quantities that a sample of the daemon consists of, and their conversion to report figures.

use crate::scale::report::SizeSeries;

/// The measured values of one sample.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Sample {
    /// Seconds from the start of the process until it responds to `PING`.
    pub ready_s: f64,
    /// Resident memory after all loads and changes of the list, in MiB.
    pub resident_mib: f64,
    /// Peak resident memory, in MiB.
    pub peak_mib: f64,
    /// Resident memory in MiB after every tenant has sent a request; NaN if it was not measured.
    pub all_tenants_mib: f64,
    /// CPU use in percent of a core, before any load.
    pub idle_percent: f64,
    /// CPU use in percent of a core, after the load has ended.
    pub idle_after_load_percent: f64,
    /// Microseconds of CPU time per request.
    pub request_us: f64,
    /// Median latency at the client, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency at the client, in milliseconds.
    pub p99_ms: f64,
    /// Microseconds of CPU time per change of one server, with a pause after each change.
    pub change_us: f64,
    /// Microseconds of CPU time per change of one server, with changes sent in a burst.
    pub change_burst_us: f64,
    /// Bytes sent to the shared counter per request.
    pub counter_bytes_out: f64,
    /// Bytes received from the shared counter per request.
    pub counter_bytes_in: f64,
    /// Bytes received from discovery per second, without load.
    pub discovery_bytes_per_second: f64,
    /// Connections opened to servers per second, under load.
    pub connections_per_second: f64,
    /// Rejected requests, in percent of all requests.
    pub rejected_percent: f64,
    /// Failed requests, in percent of all requests.
    pub failed_percent: f64,
}

/// One quantity of a sample, with its name and unit in reports.
struct Quantity {
    name: &'static str,
    unit: &'static str,
    /// Returns its value in a sample; NaN if it was not measured.
    value: fn(&Sample) -> f64,
}

const fn quantity(name: &'static str, unit: &'static str, value: fn(&Sample) -> f64) -> Quantity {
    Quantity { name, unit, value }
}

const QUANTITIES: [Quantity; 17] = [
    quantity("ready", "s", |sample| sample.ready_s),
    quantity("resident", "MiB", |sample| sample.resident_mib),
    quantity("resident at most", "MiB", |sample| sample.peak_mib),
    quantity("resident once each tenant has asked", "MiB", |sample| {
        sample.all_tenants_mib
    }),
    quantity("at rest after the start", "% of a core", |sample| {
        sample.idle_percent
    }),
    quantity("at rest after load", "% of a core", |sample| {
        sample.idle_after_load_percent
    }),
    quantity("processor time of a request", "us", |sample| {
        sample.request_us
    }),
    quantity("p50 at the client", "ms", |sample| sample.p50_ms),
    quantity("p99 at the client", "ms", |sample| sample.p99_ms),
    quantity(
        "processor time of a change of one server, alone",
        "us",
        |sample| sample.change_us,
    ),
    quantity(
        "processor time of a change of one server, of many at once",
        "us",
        |sample| sample.change_burst_us,
    ),
    quantity("to the counter a request", "bytes", |sample| {
        sample.counter_bytes_out
    }),
    quantity("from the counter a request", "bytes", |sample| {
        sample.counter_bytes_in
    }),
    quantity("from discovery at rest", "bytes/s", |sample| {
        sample.discovery_bytes_per_second
    }),
    quantity("connections opened to servers", "1/s", |sample| {
        sample.connections_per_second
    }),
    quantity("refused", "% of requests", |sample| sample.rejected_percent),
    quantity("failed", "% of requests", |sample| sample.failed_percent),
];

/// Returns an empty series for each of [`QUANTITIES`].
pub(super) fn empty_figures() -> Vec<SizeSeries> {
    QUANTITIES
        .iter()
        .map(|quantity| SizeSeries::measured(quantity.name, quantity.unit))
        .collect()
}

/// Adds the samples of a case of this size to the figures, which have to be in the order of
/// [`empty_figures`].
pub(super) fn push_samples(figures: &mut [SizeSeries], size: usize, samples: &[Sample]) {
    for (figure, quantity) in figures.iter_mut().zip(&QUANTITIES) {
        let values = samples.iter().map(quantity.value);
        let values: Vec<f64> = values.filter(|value| !value.is_nan()).collect();
        figure.push(size, &values);
    }
}
