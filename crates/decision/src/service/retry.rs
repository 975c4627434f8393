//! Retries: the budget that requests earn for them, and where a request may be executed again.

use crate::endpoint::{Endpoint, Endpoints};
use crate::service::request::Request;
use crate::settings::{DeduplicationScope, Idempotency, Settings};
use crate::util::seconds;

/// Retries earned by each forwarded request: a small part of the load.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Most retries that are saved up.
const RETRY_BUDGET_MAX: f64 = 20.0;
const RETRY_BUDGET_INITIAL: f64 = 1.0;
/// What a retry costs, in retries, if the attempt before it was provably not executed.
const COST_WHERE_NOT_EXECUTED: f64 = 0.5;
/// Ticks that a retry is given to reach its endpoint, when it is checked against the deduplication
/// window.
const RETRY_TICKS: f64 = 2.0;

/// The retries and hedged requests that a service may forward.
pub(crate) struct RetryBudget {
    retries: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            retries: RETRY_BUDGET_INITIAL,
        }
    }
}

impl RetryBudget {
    /// A request is forwarded for the first time.
    pub(crate) fn earn(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(RETRY_BUDGET_MAX);
    }

    /// Whether one more retry or hedged request may go out.
    pub(crate) fn is_available(&self) -> bool {
        self.retries >= 1.0
    }

    /// A retry goes out after an attempt that may or may not have been executed.
    pub(crate) fn spend_retry(&mut self, provably_not_executed: bool) {
        self.retries -= if provably_not_executed {
            COST_WHERE_NOT_EXECUTED
        } else {
            1.0
        };
    }

    /// A hedged request goes out.
    pub(crate) fn spend_hedge(&mut self) {
        self.retries -= 1.0;
    }
}

/// The endpoints that may get the next attempt of a request.
pub(crate) enum AllowedEndpoints {
    None,
    All,
    Zone(u16),
    Cell(u16),
}

impl AllowedEndpoints {
    /// By the number of attempts, those in flight, and what may have been executed already.
    pub(crate) fn of(
        request: &Request,
        endpoints: &Endpoints,
        settings: &Settings,
        now: f64,
    ) -> AllowedEndpoints {
        let permissions = &settings.permissions;
        let is_forbidden_hedge = !permissions.hedging && request.has_attempt_in_flight();
        if is_forbidden_hedge || request.attempts.len() >= permissions.max_attempts as usize {
            return AllowedEndpoints::None;
        }
        let Some(first) = request.first_possible_execution() else {
            return AllowedEndpoints::All;
        };
        if !may_execute_again(request, settings, RETRY_TICKS, now) {
            return AllowedEndpoints::None;
        }
        let Idempotency::IdempotencyKey { scope, .. } =
            settings.classes[request.incoming.class].idempotency
        else {
            return AllowedEndpoints::All;
        };
        let Some(first) = endpoints.get(&first.endpoint) else {
            return AllowedEndpoints::None;
        };
        match scope {
            DeduplicationScope::All => AllowedEndpoints::All,
            DeduplicationScope::Zone => AllowedEndpoints::Zone(first.entry.zone),
            DeduplicationScope::Cell => AllowedEndpoints::Cell(first.entry.cell),
        }
    }

    pub(crate) fn contains(&self, endpoint: &Endpoint) -> bool {
        match self {
            AllowedEndpoints::None => false,
            AllowedEndpoints::All => true,
            AllowedEndpoints::Zone(zone) => endpoint.entry.zone == *zone,
            AllowedEndpoints::Cell(cell) => endpoint.entry.cell == *cell,
        }
    }
}

/// Whether the request may be executed again: it is idempotent, or a duplicate forwarded after this
/// many ticks would still be dropped. The request engine checks the window once more, without a
/// margin, before the first byte is written.
pub(crate) fn may_execute_again(
    request: &Request,
    settings: &Settings,
    ticks: f64,
    now: f64,
) -> bool {
    match settings.classes[request.incoming.class].idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::IdempotencyKey { window, .. } => {
            let first = request.first_possible_execution();
            let first_at = first.map_or(f64::MAX, |attempt| attempt.forwarded_at);
            now + ticks * seconds(settings.tick) < first_at + seconds(window)
        }
    }
}
