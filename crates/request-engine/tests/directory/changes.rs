//! Constructors of directory changes for tests.
#![allow(dead_code)]

use roseyard_request_engine::{DirectoryChange, EndpointSelector};

pub(crate) fn network(text: &str) -> EndpointSelector {
    EndpointSelector::network(text.parse().unwrap())
}

pub(crate) fn add(name: &str) -> DirectoryChange {
    DirectoryChange::AddService { name: name.into() }
}

pub(crate) fn remove(name: &str) -> DirectoryChange {
    DirectoryChange::RemoveService { name: name.into() }
}

pub(crate) fn set_route(route: &str, service: &str) -> DirectoryChange {
    DirectoryChange::SetRoute {
        route: route.into(),
        service: service.into(),
    }
}

pub(crate) fn assign(selector: EndpointSelector, service: &str) -> DirectoryChange {
    DirectoryChange::Assign {
        selector,
        service: service.into(),
    }
}

pub(crate) fn set_default(service: Option<&str>) -> DirectoryChange {
    DirectoryChange::SetDefault {
        service: service.map(Into::into),
    }
}
