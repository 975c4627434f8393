//! The figures of a sample of the daemon.

use crate::scale::report::SizeSeries;

/// The figures of one sample.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Sample {
    /// Time from the start until it responds.
    pub ready_s: f64,
    /// Resident memory at the end.
    pub resident_mib: f64,
    /// Largest resident memory.
    pub peak_mib: f64,
    /// Resident memory once each of all tenants has sent a request; NaN where it is not measured.
    pub all_tenants_mib: f64,
    /// Share of a core without load, after the start.
    pub idle_percent: f64,
    /// Share of a core without load, after load.
    pub idle_after_load_percent: f64,
    /// Processor time of a request.
    pub request_us: f64,
    /// Median latency at the client.
    pub p50_ms: f64,
    /// 99th percentile of the latency at the client.
    pub p99_ms: f64,
    /// Processor time of a change of one server, alone.
    pub change_us: f64,
    /// Processor time of a change of one server, of many at once.
    pub change_burst_us: f64,
    /// Bytes to the counter for a request.
    pub counter_bytes_out: f64,
    /// Bytes from the counter for a request.
    pub counter_bytes_in: f64,
    /// Bytes from discovery without load.
    pub discovery_bytes_per_second: f64,
    /// Connections opened to servers.
    pub connections_per_second: f64,
    /// Requests rejected.
    pub rejected_percent: f64,
    /// Requests failed.
    pub failed_percent: f64,
}

/// A figure of a sample.
struct Quantity {
    name: &'static str,
    unit: &'static str,
    /// Its value; NaN where the sample has none.
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

/// A series without points for each figure of a sample.
pub(super) fn empty_figures() -> Vec<SizeSeries> {
    QUANTITIES
        .iter()
        .map(|quantity| SizeSeries::measured(quantity.name, quantity.unit))
        .collect()
}

/// Adds the samples of a case to the figures, which are in the order of [`empty_figures`].
pub(super) fn push_samples(figures: &mut [SizeSeries], size: usize, samples: &[Sample]) {
    for (figure, quantity) in figures.iter_mut().zip(&QUANTITIES) {
        let values = samples.iter().map(quantity.value);
        let values: Vec<f64> = values.filter(|value| !value.is_nan()).collect();
        figure.push(size, &values);
    }
}
