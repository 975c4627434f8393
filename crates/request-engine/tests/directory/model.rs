//! A reference model of the directory.

use super::BOUNDS;
use roseyard_request_engine::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A directory without indexes. Lookups are linear searches, and services are identified by name.
#[derive(Clone, Default)]
pub(crate) struct Model {
    pub(crate) is_single: bool,
    pub(crate) bounds: Option<DirectoryBounds>,
    pub(crate) services: Vec<String>,
    pub(crate) routes: BTreeMap<String, String>,
    pub(crate) selectors: BTreeMap<EndpointSelector, String>,
    pub(crate) default: Option<String>,
}

impl Model {
    pub(crate) fn new() -> Model {
        Model {
            bounds: Some(BOUNDS),
            ..Model::default()
        }
    }

    pub(crate) fn has(&self, name: &str) -> bool {
        self.services.iter().any(|held| held == name)
    }

    /// Applies a change and returns true, or returns false if the change is invalid.
    pub(crate) fn apply(&mut self, change: &DirectoryChange) -> bool {
        let bounds = self.bounds.unwrap();
        match change {
            DirectoryChange::AddService { name } => {
                let is_valid = !self.has(name) && self.services.len() < bounds.services;
                if is_valid {
                    self.services.push(name.to_string());
                }
                is_valid
            }
            DirectoryChange::RemoveService { name } => {
                let named = |held: &String| **held == **name;
                let is_used = self.routes.values().any(named)
                    || self.selectors.values().any(named)
                    || self.default.iter().any(named);
                let is_valid = self.has(name) && !is_used;
                self.services.retain(|held| !is_valid || **held != **name);
                is_valid
            }
            DirectoryChange::SetRoute { route, service } => {
                let has_capacity =
                    self.routes.contains_key(&**route) || self.routes.len() < bounds.routes;
                let is_valid = self.has(service) && has_capacity;
                if is_valid {
                    self.routes.insert(route.to_string(), service.to_string());
                }
                is_valid
            }
            DirectoryChange::RemoveRoute { route } => self.routes.remove(&**route).is_some(),
            DirectoryChange::Assign { selector, service } => {
                let is_valid = self.has(service);
                if is_valid {
                    self.selectors.insert(selector.clone(), service.to_string());
                }
                is_valid
            }
            DirectoryChange::Unassign { selector } => self.selectors.remove(selector).is_some(),
            DirectoryChange::SetDefault { service } => {
                let is_valid = service.as_ref().is_none_or(|name| self.has(name));
                if is_valid {
                    self.default = service.as_ref().map(ToString::to_string);
                }
                is_valid
            }
            DirectoryChange::SetBounds(new) => {
                let is_valid =
                    self.services.len() <= new.services && self.routes.len() <= new.routes;
                if is_valid {
                    self.bounds = Some(*new);
                }
                is_valid
            }
            DirectoryChange::SetSingleService(enabled) => {
                self.is_single = *enabled;
                true
            }
        }
    }

    pub(crate) fn endpoint_service(&self, uid: &str, address: SocketAddr) -> Option<&String> {
        let ip = address.ip().to_canonical();
        let by_uid = self.selectors.get(&EndpointSelector::uid(uid));
        let matching_prefix_length = |candidate: &EndpointSelector| match candidate {
            EndpointSelector::Network(network) if network.contains(&ip) => {
                Some(network.prefix_len())
            }
            _ => None,
        };
        let networks = self
            .selectors
            .iter()
            .filter_map(|(s, name)| Some((matching_prefix_length(s)?, name)));
        let by_network = networks
            .max_by_key(|(length, _)| *length)
            .map(|(_, name)| name);
        by_uid.or(by_network).or(self.default.as_ref())
    }
}
