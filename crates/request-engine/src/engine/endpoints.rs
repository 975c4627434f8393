//! Updates of the endpoint list and of the directory of services.

use super::RequestEngine;
use crate::directory::{Directory, DirectoryChange, DirectoryError};
use crate::endpoint_list_message::EndpointListMessage;
use crate::endpoint_registry::{AppliedEndpointList, EndpointRegistry, RecordResolver};
use roseyard_decision::{EndpointId, EndpointListUpdate, Event};
use std::net::SocketAddr;
use std::time::Duration;

impl<O, C, V> RequestEngine<O, C, V> {
    /// Returns the registry of endpoints, which reflects the lists applied so far.
    pub fn endpoint_registry(&self) -> &EndpointRegistry {
        &self.endpoint_registry
    }

    /// Returns the address that an endpoint listens on; `None` if no list has contained the
    /// endpoint or it was removed.
    pub fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.endpoint_registry
            .get(endpoint)
            .map(|endpoint| endpoint.address)
    }

    /// Applies a full or incremental endpoint list. `zones` are the names of the zones, indexed by
    /// zone number. `to_engine_time` converts a Unix time in milliseconds to a time of the engine's
    /// clock and returns `None` if the time is unknown or too long ago.
    pub fn apply_endpoint_list(
        &mut self,
        list: &EndpointListMessage,
        zones: &[String],
        to_engine_time: impl Fn(f64) -> Option<Duration>,
    ) -> AppliedEndpointList {
        let resolver = RecordResolver {
            zones,
            directory: &self.directory,
            to_engine_time,
        };
        let applied = self.endpoint_registry.apply(list, &resolver);
        self.events
            .push_back(Event::EndpointListChanged(applied.update));
        AppliedEndpointList {
            stale_endpoints: applied.stale_endpoints,
            unreadable_count: applied.unreadable_count,
        }
    }

    /// Returns the directory of services. Until [`RequestEngine::set_directory`] is called, all
    /// routes and endpoints belong to one service.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Replaces the directory and returns the number of changes. Services are matched by name and
    /// keep their ids and their state. The decision module is informed only about endpoints that
    /// move to another service. If a change fails, the changes before it remain in effect.
    pub fn set_directory(&mut self, directory: &Directory) -> Result<usize, DirectoryError> {
        let changes = self.directory.difference(directory);
        let count = changes.len();
        for change in changes {
            self.change_directory(change)?;
        }
        Ok(count)
    }

    /// Applies a change to the directory. The cost depends on the number of endpoints that the
    /// change may move, not on the size of the directory. Requests in flight keep their service and
    /// endpoint. An error leaves the directory unchanged.
    pub fn change_directory(&mut self, change: DirectoryChange) -> Result<(), DirectoryError> {
        let effect = self.directory.apply(change)?;
        let entries = self.endpoint_registry.reassign(&effect, &self.directory);
        if !entries.is_empty() {
            let update = EndpointListUpdate::Changes(entries);
            self.events.push_back(Event::EndpointListChanged(update));
        }
        Ok(())
    }
}
