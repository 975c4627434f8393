//! Decodes the settings that the platform gives an ingress. All drivers of the decision module
//! share this crate: the simulator adapter receives the settings as a separate document, and the
//! real ingress as a part of its configuration file. Unknown keys are ignored.
//!
//! - `wire`: the structure of the platform's JSON;
//! - `mapping`: converts the settings to those of the decision module;
//! - [`PlatformSettings`]: provides the other values that drivers need;
//! - `error`: the reasons for rejecting the settings.

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
    /// Decodes the settings from JSON. [`PlatformSettings::decision_settings`] validates the
    /// values.
    pub fn parse(text: &[u8]) -> Result<PlatformSettings, PlatformConfigError> {
        decode(&mut text.to_vec())
    }

    /// Returns the settings of the decision module. An error names the field that cannot be
    /// converted. [`Settings::check`] validates the ranges of the other values.
    pub fn decision_settings(&self) -> Result<Settings, PlatformConfigError> {
        mapping::decision_settings(self)
    }

    /// Returns the number of ingresses of the platform.
    #[must_use]
    pub fn ingress_count(&self) -> u32 {
        self.balancers
    }

    /// Returns the names of the request classes, ordered by index.
    #[must_use]
    pub fn class_names(&self) -> Vec<&str> {
        self.classes
            .iter()
            .map(|class| class.name.as_str())
            .collect()
    }

    /// Returns the names of the plans, ordered by index.
    #[must_use]
    pub fn plan_names(&self) -> Vec<&str> {
        self.tiers_of_service
            .iter()
            .map(|plan| plan.name.as_str())
            .collect()
    }

    /// Returns the names of the zones, ordered by zone number.
    #[must_use]
    pub fn zone_names(&self) -> &[String] {
        &self.failure_domains
    }

    /// Returns the names of the values in a load report, in the order of the values.
    #[must_use]
    pub fn load_report_fields(&self) -> &[String] {
        &self.report.fields
    }

    /// Returns the maximum number of open requests of an ingress; `None` if there is no limit.
    #[must_use]
    pub fn max_open_requests(&self) -> Option<usize> {
        Some(self.ceilings.max_open).filter(|requests| *requests > 0)
    }

    /// Returns the maximum number of units of a request; `None` if there is no limit.
    #[must_use]
    pub fn max_request_units(&self) -> Option<f64> {
        Some(self.domain.most_units).filter(|units| *units > 0.0)
    }

    /// Whether the units of a request are an estimate and the reply contains the actual units.
    #[must_use]
    pub fn has_estimated_units(&self) -> bool {
        self.domain.post_paid
    }

    /// Returns the longest deadline of all request classes; zero if there are no classes.
    #[must_use]
    pub fn max_deadline(&self) -> Duration {
        self.classes
            .iter()
            .map(|class| duration_from_ms(class.deadline_ms))
            .max()
            .unwrap_or_default()
    }

    /// Returns the time limit for connecting to an endpoint; `None` if the settings give none.
    #[must_use]
    pub fn connect_timeout(&self) -> Option<Duration> {
        non_zero(duration_from_ms(self.ceilings.connect_timeout_ms))
    }

    /// Returns the time after which endpoints close idle connections; `None` if the settings give
    /// none.
    #[must_use]
    pub fn idle_connection_timeout(&self) -> Option<Duration> {
        non_zero(duration_from_ms(self.ceilings.conn_idle_ms))
    }

    /// Returns the time within which an ingress stops forwarding to an endpoint after discovery has
    /// reported that it is draining or removed.
    #[must_use]
    pub fn drain_grace(&self) -> Duration {
        duration_from_ms(self.guarantees.stop_sending_within_ms)
    }

    /// Whether discovery pushes changes to an agent next to the ingress, which replies immediately.
    /// Otherwise, each call adds load to discovery itself and may have to wait there.
    #[must_use]
    pub fn is_push_discovery(&self) -> bool {
        self.discovery == mapping::PUSH_DISCOVERY
    }
}

fn non_zero(duration: Duration) -> Option<Duration> {
    Some(duration).filter(|duration| !duration.is_zero())
}
