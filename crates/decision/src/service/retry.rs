//! Retries: the budget that limits them, and the endpoints where a request may be executed again.

use crate::endpoint::{Endpoint, Endpoints};
use crate::service::request::Request;
use crate::settings::{DeduplicationScope, Idempotency, Settings};
use crate::util::seconds;

/// Retries that each forwarded request adds to the budget. The value keeps retries to a small part
/// of the load.
const RETRIES_EARNED_PER_REQUEST: f64 = 0.1;
const MAX_BUDGET_RETRIES: f64 = 20.0;
const INITIAL_BUDGET_RETRIES: f64 = 1.0;
/// Cost of a retry, in retries of the budget, if the previous attempt was provably not executed.
const NOT_EXECUTED_RETRY_COST: f64 = 0.5;
/// Time allowed for a retry to reach its endpoint, in ticks. A request with an idempotency key is
/// retried only if its deduplication window is still open then.
const RETRY_TICKS: f64 = 2.0;

/// Limits the retries and hedged requests of a service to a share of its requests.
pub(crate) struct RetryBudget {
    retries: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget {
            retries: INITIAL_BUDGET_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Called when a request is forwarded for the first time.
    pub(crate) fn earn(&mut self) {
        self.retries = (self.retries + RETRIES_EARNED_PER_REQUEST).min(MAX_BUDGET_RETRIES);
    }

    /// Whether the budget permits one more retry or hedged request.
    pub(crate) fn is_available(&self) -> bool {
        self.retries >= 1.0
    }

    /// Called when a request is retried. `provably_not_executed` refers to the previous attempt.
    pub(crate) fn spend_retry(&mut self, provably_not_executed: bool) {
        self.retries -= if provably_not_executed {
            NOT_EXECUTED_RETRY_COST
        } else {
            1.0
        };
    }

    /// Called when a request is hedged.
    pub(crate) fn spend_hedge(&mut self) {
        self.retries -= 1.0;
    }
}

/// The endpoints that the next attempt of a request may be forwarded to.
pub(crate) enum AllowedEndpoints {
    None,
    All,
    Zone(u16),
    Cell(u16),
}

impl AllowedEndpoints {
    /// Determines the endpoints by the number of attempts, by whether one is in flight, and by what
    /// may have been executed already.
    pub(crate) fn for_next_attempt(
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

    /// Whether the endpoint is one of the allowed endpoints.
    pub(crate) fn contains(&self, endpoint: &Endpoint) -> bool {
        match self {
            AllowedEndpoints::None => false,
            AllowedEndpoints::All => true,
            AllowedEndpoints::Zone(zone) => endpoint.entry.zone == *zone,
            AllowedEndpoints::Cell(cell) => endpoint.entry.cell == *cell,
        }
    }
}

/// Whether the request may be executed again: it is idempotent, or a duplicate that arrives within
/// `delay_ticks` would still be dropped. The request engine checks the window again, without this
/// margin, before it writes the first byte.
pub(crate) fn may_execute_again(
    request: &Request,
    settings: &Settings,
    delay_ticks: f64,
    now: f64,
) -> bool {
    match settings.classes[request.incoming.class].idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::IdempotencyKey { window, .. } => {
            let first = request.first_possible_execution();
            let first_at = first.map_or(f64::MAX, |attempt| attempt.forwarded_at);
            now + delay_ticks * seconds(settings.tick) < first_at + seconds(window)
        }
    }
}
