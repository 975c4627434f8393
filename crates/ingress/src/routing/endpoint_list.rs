//! Applies endpoint lists: updates the endpoints in the request engine, and closes idle connections
//! that the change makes unusable.

use super::engine::IngressEngine;
use super::io::Io;
use super::upstream::Upstream;
use crate::clock::Clock;
use crate::protocol::list::EndpointListMessage;

/// Applies endpoint lists to the request engine and to the connections to endpoints.
pub(super) struct EndpointListApplier {
    /// Names of the zones. An endpoint's zone is stored as an index into this list.
    pub(super) zones: Vec<String>,
    /// Converts the boot times of endpoints, which are Unix times.
    pub(super) clock: Clock,
}

impl EndpointListApplier {
    /// Applies an endpoint list. Closes idle connections to endpoints that are draining or gone,
    /// have restarted or have another address, and removes the state of endpoints that are gone.
    pub(super) fn apply(
        &self,
        list: &EndpointListMessage,
        engine: &mut IngressEngine,
        upstream: &mut Upstream,
        io: &mut Io,
    ) {
        let boot_time = |ms| self.clock.from_unix_ms(ms);
        let applied = engine.apply_endpoint_list(list, &self.zones, boot_time);
        for endpoint in applied.stale_endpoints {
            upstream.close_idle(endpoint, io);
            if engine.endpoint_registry().get(endpoint).is_none() {
                upstream.remove_endpoint(endpoint);
            }
        }
        let revision = list.revision;
        if applied.unreadable_count > 0 {
            tracing::warn!(
                event = "discovery.entries_unreadable",
                count = applied.unreadable_count,
                revision,
                "endpoint list contains unreadable entries"
            );
        }
        let ready = engine.endpoint_registry().ready_endpoint_count();
        tracing::info!(
            event = "discovery.list_applied",
            revision,
            ready,
            "endpoint list applied"
        );
    }
}
