//! Counts of rejected requests by reason, and the log line that summarizes them.

use crate::routing::event_source::EventSource;
use crate::routing::io::Io;
use roseyard_decision::{RejectReason, ShedLoad};
use std::time::Duration;

/// Shortest time between two log lines.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(5);

/// Rejected requests by reason, since the last log line.
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

/// Rejected requests that are still to be logged.
#[derive(Default)]
pub(super) struct Rejections {
    counts: RejectionCounts,
    /// The load that the last request was shed for.
    last_shed: Option<ShedLoad>,
    summary_due: Option<Duration>,
}

impl Rejections {
    /// A request has been rejected.
    pub(super) fn record(&mut self, reason: RejectReason, io: &mut Io) {
        *self.counts.count_mut(reason) += 1;
        if let RejectReason::Overloaded(load) = reason {
            self.last_shed = Some(load);
        }
        if self.summary_due.is_none() {
            let due = io.now + SUMMARY_INTERVAL;
            io.deadlines.set(
                &mut self.summary_due,
                Some(due),
                EventSource::RejectionSummary,
            );
        }
    }

    /// Logs what was rejected since the last line, if anything was.
    pub(super) fn log(&mut self) {
        if self.summary_due.take().is_none() {
            return;
        }
        let counts = std::mem::take(&mut self.counts);
        let shed = self.last_shed.take();
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
            shed_in_flight = shed.map(|load| load.in_flight),
            shed_limit = shed.map(|load| load.limit),
            shed_latency_ratio = shed.map(|load| load.latency_ratio),
            "requests rejected"
        );
    }
}
