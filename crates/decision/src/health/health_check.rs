//! Health checks: unresponsive endpoints are checked, and all of them where load reports come with
//! health checks only. Requests earn the budget, so that no ingress checks more than it works.

use crate::action::Action;
use crate::endpoint::{Endpoint, Endpoints};
use crate::settings::Settings;

/// Shortest time between two checks of one endpoint by one ingress.
const INTERVAL_MIN_SECONDS: f64 = 1.0;
/// Most checks a second at one endpoint from all ingresses together.
const CHECKS_PER_ENDPOINT_MAX_PER_SECOND: f64 = 8.0;
const CHECKS_PER_REQUEST: f64 = 0.2;
const BUDGET_MAX_CHECKS: f64 = 20.0;
const BUDGET_INITIAL_CHECKS: f64 = 1.0;

/// The health checks that a service may start.
pub(crate) struct HealthCheckBudget {
    checks: f64,
}

impl Default for HealthCheckBudget {
    fn default() -> Self {
        HealthCheckBudget {
            checks: BUDGET_INITIAL_CHECKS,
        }
    }
}

impl HealthCheckBudget {
    /// A request has arrived.
    pub(crate) fn earn(&mut self) {
        self.checks = (self.checks + CHECKS_PER_REQUEST).min(BUDGET_MAX_CHECKS);
    }

    /// Starts the checks that are due, longest unchecked endpoints first.
    pub(crate) fn start_due(
        &mut self,
        endpoints: &mut Endpoints,
        settings: &Settings,
        now: f64,
        actions: &mut Vec<Action>,
    ) {
        let check_all = settings.load_reports_on_health_check;
        let ingress_count = f64::from(settings.ingress_count);
        let interval = INTERVAL_MIN_SECONDS.max(ingress_count / CHECKS_PER_ENDPOINT_MAX_PER_SECOND);
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
