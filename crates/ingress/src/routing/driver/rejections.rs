//! Counts rejected requests by reason and logs a summary of them.

use crate::routing::event_source::EventSource;
use crate::routing::io::Io;
use roseyard_decision::{RejectReason, ShedLoad};
use std::time::Duration;

/// Time from the first rejected request until the summary is logged.
const SUMMARY_DELAY: Duration = Duration::from_secs(5);

/// Numbers of rejected requests by reason since the last summary.
#[derive(Clone, Copy, Debug, Default)]
struct RejectionCounts {
    over_quota: u64,
    concurrency_limit: u64,
    overloaded: u64,
    no_endpoint: u64,
    deadline_exceeded: u64,
    attempts_failed: u64,
    at_capacity: u64,
    not_serving: u64,
    unknown_class_or_plan: u64,
}

impl RejectionCounts {
    fn count_mut(&mut self, reason: RejectReason) -> &mut u64 {
        match reason {
            RejectReason::OverQuota => &mut self.over_quota,
            RejectReason::ConcurrencyLimit => &mut self.concurrency_limit,
            RejectReason::Overloaded(_) => &mut self.overloaded,
            RejectReason::NoEndpoint => &mut self.no_endpoint,
            RejectReason::DeadlineExceeded => &mut self.deadline_exceeded,
            RejectReason::AttemptsFailed => &mut self.attempts_failed,
            RejectReason::AtCapacity => &mut self.at_capacity,
            RejectReason::NotServing => &mut self.not_serving,
            RejectReason::UnknownClassOrPlan => &mut self.unknown_class_or_plan,
        }
    }
}

/// Rejected requests that have not been logged yet.
#[derive(Default)]
pub(super) struct RejectionLog {
    counts: RejectionCounts,
    /// The load that caused the most recent shedding of a request since the last summary.
    last_shed_load: Option<ShedLoad>,
    summary_deadline: Option<Duration>,
}

impl RejectionLog {
    /// Counts a rejected request, and schedules a summary if none is scheduled.
    pub(super) fn record(&mut self, reason: RejectReason, io: &mut Io) {
        *self.counts.count_mut(reason) += 1;
        if let RejectReason::Overloaded(load) = reason {
            self.last_shed_load = Some(load);
        }
        if self.summary_deadline.is_none() {
            let due = io.now + SUMMARY_DELAY;
            io.deadlines.set(
                &mut self.summary_deadline,
                Some(due),
                EventSource::RejectionSummary,
            );
        }
    }

    /// Logs the summary if one is scheduled, and resets the counts.
    pub(super) fn log(&mut self) {
        if self.summary_deadline.take().is_none() {
            return;
        }
        let counts = std::mem::take(&mut self.counts);
        let shed_load = self.last_shed_load.take();
        tracing::info!(
            event = "requests.rejected",
            over_quota = counts.over_quota,
            concurrency_limit = counts.concurrency_limit,
            overloaded = counts.overloaded,
            no_endpoint = counts.no_endpoint,
            deadline_exceeded = counts.deadline_exceeded,
            attempts_failed = counts.attempts_failed,
            at_capacity = counts.at_capacity,
            not_serving = counts.not_serving,
            unknown_class_or_plan = counts.unknown_class_or_plan,
            shed_in_flight = shed_load.map(|load| load.in_flight),
            shed_limit = shed_load.map(|load| load.limit),
            shed_latency_ratio = shed_load.map(|load| load.latency_ratio),
            "requests rejected"
        );
    }
}
