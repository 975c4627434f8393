//! Health checks of unresponsive endpoints, or of all endpoints if load reports come with health
//! checks only. The budget for checks grows with the requests received, so that health checks
//! remain a fraction of an ingress's traffic.

use crate::action::Action;
use crate::endpoint::{Endpoint, Endpoints};
use crate::settings::Settings;

/// The minimum time between two checks of an endpoint by the same ingress.
const MIN_CHECK_INTERVAL_SECONDS: f64 = 1.0;
/// The maximum rate of checks of one endpoint by all ingresses together.
const MAX_CHECKS_PER_ENDPOINT_PER_SECOND: f64 = 8.0;
/// The number of checks that each request adds to the budget.
const CHECKS_PER_REQUEST: f64 = 0.2;
const MAX_BUDGET_CHECKS: f64 = 20.0;
const INITIAL_BUDGET_CHECKS: f64 = 1.0;

/// The budget for the health checks of a service's endpoints.
pub(crate) struct HealthCheckBudget {
    /// The number of checks that may be started.
    checks: f64,
}

impl Default for HealthCheckBudget {
    fn default() -> Self {
        HealthCheckBudget {
            checks: INITIAL_BUDGET_CHECKS,
        }
    }
}

impl HealthCheckBudget {
    /// Called when a request arrives. Adds to the budget.
    pub(crate) fn earn(&mut self) {
        self.checks = (self.checks + CHECKS_PER_REQUEST).min(MAX_BUDGET_CHECKS);
    }

    /// Starts the checks that are due, as far as the budget allows, beginning with the endpoints
    /// whose last check is oldest.
    pub(crate) fn start_due(
        &mut self,
        endpoints: &mut Endpoints,
        settings: &Settings,
        now: f64,
        actions: &mut Vec<Action>,
    ) {
        let check_all = settings.load_reports_on_health_check;
        let ingress_count = f64::from(settings.ingress_count);
        let interval =
            MIN_CHECK_INTERVAL_SECONDS.max(ingress_count / MAX_CHECKS_PER_ENDPOINT_PER_SECOND);
        let is_due = |endpoint: &Endpoint| {
            endpoint.ready
                && (endpoint.unresponsive || check_all)
                && now >= endpoint.last_health_check_at + interval
        };
        while settings.permissions.health_checks && self.checks >= 1.0 {
            let due = endpoints.iter_mut().filter(|(_, e)| is_due(e));
            let oldest = due
                .min_by(|(_, a), (_, b)| a.last_health_check_at.total_cmp(&b.last_health_check_at));
            let Some((&id, endpoint)) = oldest else {
                break;
            };
            endpoint.last_health_check_at = now;
            self.checks -= 1.0;
            actions.push(Action::CheckHealth { endpoint: id });
        }
    }
}
