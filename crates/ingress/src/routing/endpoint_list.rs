//! Applies endpoint lists: the engine holds the endpoints, the upstream their connections.

use super::engine::IngressEngine;
use super::io::Io;
use super::upstream::Upstream;
use crate::clock::Clock;
use crate::protocol::list::EndpointListMessage;

/// What an endpoint list is read by.
pub(super) struct EndpointListApplier {
    /// Names of the zones, by index.
    pub(super) zones: Vec<String>,
    pub(super) clock: Clock,
}

impl EndpointListApplier {
    /// Applies a list; idle connections to endpoints that take no more requests are closed.
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
                "endpoint list entries unreadable"
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
