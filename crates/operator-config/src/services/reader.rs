//! Reads the lines of the section, each on its own.

use super::faults::Faults;
use super::selector::{selector, BadEndpoints};
use super::{
    field_allowed, is_name, most_allowed, name_allowed, LINES, MOST_FIELD_BYTES, MOST_SERVICES,
    SECTION, SERVICES,
};
use crate::error::hint;
use crate::value::is_label;
use kdl::{KdlEntry, KdlNode};
use miette::{NamedSource, SourceSpan};
use roseyard_request_engine::EndpointSelector;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A name with the place where it stands.
pub(super) struct Named {
    pub(super) name: Arc<str>,
    pub(super) span: SourceSpan,
}

/// A line `service`.
pub(super) struct ServiceLine {
    pub(super) service: Named,
    pub(super) endpoints: Vec<(EndpointSelector, SourceSpan)>,
    /// Has it a line `endpoints`, readable or not?
    pub(super) has_endpoints: bool,
}

/// A line `route`.
pub(super) struct RouteLine {
    pub(super) route: Named,
    pub(super) service: Named,
}

/// The lines of the section, before they are held against one another.
pub(crate) struct Reader<'a> {
    pub(super) faults: Faults<'a>,
    pub(super) places: BTreeMap<&'static str, SourceSpan>,
    pub(super) section: Option<SourceSpan>,
    pub(super) route_field: Option<String>,
    pub(super) most: usize,
    pub(super) default: Option<Named>,
    pub(super) services: Vec<ServiceLine>,
    /// Names of the services that the file gives, also of those beyond the bound.
    pub(super) declared: BTreeSet<Arc<str>>,
    pub(super) routes: Vec<RouteLine>,
}

impl<'a> Reader<'a> {
    /// A reader that has seen no section.
    pub(crate) fn new(source: &'a Arc<NamedSource<String>>) -> Reader<'a> {
        Reader {
            faults: Faults::new(source),
            places: BTreeMap::new(),
            section: None,
            route_field: None,
            most: SERVICES,
            default: None,
            services: Vec::new(),
            declared: BTreeSet::new(),
            routes: Vec::new(),
        }
    }

    /// Reads the lines of a section.
    pub(crate) fn read(&mut self, section: &KdlNode, nodes: &[KdlNode]) {
        self.section = self.section.or(Some(section.name().span()));
        for node in nodes {
            match node.name().value() {
                "route-field" => self.read_route_field(node),
                "most" => self.read_most(node),
                "default" => self.read_default(node),
                "service" => self.read_service(node),
                "route" => self.read_route(node),
                other => self.faults.add(node.name().span(), |_| {
                    let what = format!("'{SECTION}' has no setting '{other}'");
                    (what, Some(hint(other, LINES.into_iter())))
                }),
            }
        }
    }

    /// Takes note of where a name stands first; false if it may stand once and has stood before.
    fn once(&mut self, name: &'static str, node: &KdlNode) -> bool {
        let span = node.name().span();
        let Some(first) = self.places.get(name).copied() else {
            self.places.insert(name, span);
            return true;
        };
        self.faults
            .twice(&format!("'{name}' is set twice"), span, first);
        false
    }

    /// The only value of a line that has nothing else.
    fn only_value<'n>(&mut self, node: &'n KdlNode) -> Option<&'n KdlEntry> {
        let name = node.name().value();
        if let Some(children) = node.children() {
            self.faults.plain(children.span(), || {
                format!("'{name}' holds values, not settings")
            });
            return None;
        }
        self.first_value(node)
    }

    /// The only value of a line, which has no names with values.
    fn first_value<'n>(&mut self, node: &'n KdlNode) -> Option<&'n KdlEntry> {
        let name = node.name().value();
        if let Some((entry, property)) = node.entries().iter().find_map(|e| Some((e, e.name()?))) {
            self.faults.plain(entry.span(), || {
                format!("'{name}' takes no '{}='", property.value())
            });
            return None;
        }
        if let [entry] = node.entries() {
            return Some(entry);
        }
        self.faults.plain(node.name().span(), || {
            format!("'{name}' has {} values", node.entries().len())
        });
        None
    }

    /// A name of a service or route.
    fn named(&mut self, entry: &KdlEntry, of: &str) -> Option<Named> {
        match entry.value().as_string().filter(|text| is_name(text)) {
            Some(text) => Some(Named {
                name: text.into(),
                span: entry.span(),
            }),
            None => {
                self.faults.not_allowed(entry, of, name_allowed);
                None
            }
        }
    }

    fn read_route_field(&mut self, node: &KdlNode) {
        if !self.once("route-field", node) {
            return;
        }
        let Some(entry) = self.only_value(node) else {
            return;
        };
        match entry
            .value()
            .as_string()
            .filter(|text| is_label(text, MOST_FIELD_BYTES))
        {
            Some(text) => self.route_field = Some(text.to_owned()),
            None => self.faults.not_allowed(entry, "route-field", field_allowed),
        }
    }

    fn read_most(&mut self, node: &KdlNode) {
        if !self.once("most", node) {
            return;
        }
        let Some(entry) = self.only_value(node) else {
            return;
        };
        let found = entry
            .value()
            .as_integer()
            .and_then(|n| u64::try_from(n).ok());
        match found.filter(|n| (1..=MOST_SERVICES).contains(n)) {
            Some(most) => self.most = most as usize,
            None => self.faults.not_allowed(entry, "most", most_allowed),
        }
    }

    fn read_default(&mut self, node: &KdlNode) {
        if !self.once("default", node) {
            return;
        }
        if let Some(entry) = self.only_value(node) {
            self.default = self.named(entry, "default");
        }
    }

    fn read_service(&mut self, node: &KdlNode) {
        self.places.entry("service").or_insert(node.name().span());
        let Some(service) = self
            .first_value(node)
            .and_then(|entry| self.named(entry, "service"))
        else {
            return;
        };
        let (mut endpoints, mut has_endpoints) = (Vec::new(), false);
        for line in node.children().map_or(&[][..], |children| children.nodes()) {
            match line.name().value() {
                "servers" => {
                    has_endpoints = true;
                    self.read_endpoints(line, &mut endpoints);
                }
                other => self.faults.add(line.name().span(), |_| {
                    (
                        format!("'service' has no setting '{other}'"),
                        Some(hint(other, ["servers"].into_iter())),
                    )
                }),
            }
        }
        self.declared.insert(Arc::clone(&service.name));
        self.services.push(ServiceLine {
            service,
            endpoints,
            has_endpoints,
        });
    }

    fn read_endpoints(
        &mut self,
        line: &KdlNode,
        endpoints: &mut Vec<(EndpointSelector, SourceSpan)>,
    ) {
        if let Some(children) = line.children() {
            return self.faults.plain(children.span(), || {
                "'servers' holds values, not settings".to_owned()
            });
        }
        if line.entries().is_empty() {
            return self
                .faults
                .plain(line.name().span(), || "'servers' has 0 values".to_owned());
        }
        for entry in line.entries() {
            if let Some(property) = entry.name() {
                self.faults.plain(entry.span(), || {
                    format!("'servers' takes no '{}='", property.value())
                });
                continue;
            }
            let text = entry.value().as_string();
            match text.map_or(Err(BadEndpoints::Malformed), selector) {
                Ok(selector) => endpoints.push((selector, entry.span())),
                Err(bad) => self.faults.not_allowed(entry, "servers", || bad.allowed()),
            }
        }
    }

    fn read_route(&mut self, node: &KdlNode) {
        self.places.entry("route").or_insert(node.name().span());
        if let Some(children) = node.children() {
            return self.faults.plain(children.span(), || {
                "'route' holds values, not settings".to_owned()
            });
        }
        let is_service = |e: &&KdlEntry| e.name().is_some_and(|n| n.value() == "service");
        let mut others = node
            .entries()
            .iter()
            .filter(|e| e.name().is_some() && !is_service(e));
        if let Some((entry, property)) = others.find_map(|e| Some((e, e.name()?))) {
            return self.faults.plain(entry.span(), || {
                format!("'route' takes no '{}='", property.value())
            });
        }
        let values: Vec<&KdlEntry> = node
            .entries()
            .iter()
            .filter(|e| e.name().is_none())
            .collect();
        let services: Vec<&KdlEntry> = node.entries().iter().filter(is_service).collect();
        let ([route], [service]) = (&values[..], &services[..]) else {
            let help = "write 'route \"NAME\" service=\"NAME\"'";
            return self.faults.add(node.name().span(), |_| {
                (
                    "'route' takes one name and one 'service='".to_owned(),
                    Some(help.to_owned()),
                )
            });
        };
        let (route, service) = (self.named(route, "route"), self.named(service, "service="));
        let (Some(route), Some(service)) = (route, service) else {
            return;
        };
        // A request's list of names and values is parted by commas.
        if route.name.contains(',') {
            return self.faults.plain(route.span, || {
                "a route holds no ','; no request could carry it".to_owned()
            });
        }
        self.routes.push(RouteLine { route, service });
    }
}
