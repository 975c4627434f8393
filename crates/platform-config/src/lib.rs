//! The settings that the platform gives an ingress, decoded once for every driver of the decision
//! module: the simulator's adapter receives them as a text of their own, the real ingress inside
//! its configuration. Unknown keys are ignored.
//!
//! - `wire`: the platform's JSON as it comes;
//! - `mapping`: the decision module's settings;
//! - [`PlatformSettings`]: what the drivers need besides;
//! - `error`: why the settings are rejected.

mod duration;
mod error;
mod mapping;
mod wire;

pub use duration::duration_from_ms;
pub use error::PlatformConfigError;
pub use wire::{decode, PlatformSettings};

use roseyard_decision::Settings;
use std::time::Duration;

impl PlatformSettings {
    /// Decodes the settings' JSON. Their values are checked by [`PlatformSettings::decision_settings`].
    pub fn parse(text: &[u8]) -> Result<PlatformSettings, PlatformConfigError> {
        decode(&mut text.to_vec())
    }

    /// The decision module's settings. An error names the field that cannot be mapped; ranges are
    /// checked by [`Settings::check`].
    pub fn decision_settings(&self) -> Result<Settings, PlatformConfigError> {
        mapping::decision_settings(self)
    }

    /// Number of ingresses of the platform.
    #[must_use]
    pub fn ingress_count(&self) -> u32 {
        self.balancers
    }

    /// Names of the request classes, by index.
    #[must_use]
    pub fn class_names(&self) -> Vec<&str> {
        self.classes
            .iter()
            .map(|class| class.name.as_str())
            .collect()
    }

    /// Names of the plans, by index.
    #[must_use]
    pub fn plan_names(&self) -> Vec<&str> {
        self.tiers_of_service
            .iter()
            .map(|plan| plan.name.as_str())
            .collect()
    }

    /// Names of the zones, by index.
    #[must_use]
    pub fn zone_names(&self) -> &[String] {
        &self.failure_domains
    }

    /// Names of the values in a load report, in their order.
    #[must_use]
    pub fn load_report_fields(&self) -> &[String] {
        &self.report.fields
    }

    /// Most requests that an ingress holds at once; none if the settings give no limit.
    #[must_use]
    pub fn max_open_requests(&self) -> Option<usize> {
        Some(self.ceilings.max_open).filter(|requests| *requests > 0)
    }

    /// Most units of one request; none if the settings give no limit.
    #[must_use]
    pub fn max_request_units(&self) -> Option<f64> {
        Some(self.domain.most_units).filter(|units| *units > 0.0)
    }

    /// Whether a request's units are an estimate, and the reply has the true ones.
    #[must_use]
    pub fn has_estimated_units(&self) -> bool {
        self.domain.post_paid
    }

    /// The longest deadline of all request classes; zero if there are none.
    #[must_use]
    pub fn max_deadline(&self) -> Duration {
        self.classes
            .iter()
            .map(|class| duration_from_ms(class.deadline_ms))
            .max()
            .unwrap_or_default()
    }

    /// Time after which an attempt to connect has failed; none if the settings give none.
    #[must_use]
    pub fn connect_timeout(&self) -> Option<Duration> {
        non_zero(duration_from_ms(self.ceilings.connect_timeout_ms))
    }

    /// Time after which endpoints close idle connections; none if the settings give none.
    #[must_use]
    pub fn idle_connection_timeout(&self) -> Option<Duration> {
        non_zero(duration_from_ms(self.ceilings.conn_idle_ms))
    }

    /// Time after the notice that an endpoint drains or is gone within which forwarding to it ends.
    #[must_use]
    pub fn drain_grace(&self) -> Duration {
        duration_from_ms(self.guarantees.stop_sending_within_ms)
    }

    /// Whether discovery pushes changes to an agent next to the ingress, which answers at once.
    /// Otherwise each call is a load on discovery itself, and may wait there.
    #[must_use]
    pub fn is_push_discovery(&self) -> bool {
        self.discovery == mapping::PUSH_DISCOVERY
    }
}

fn non_zero(duration: Duration) -> Option<Duration> {
    Some(duration).filter(|duration| !duration.is_zero())
}
