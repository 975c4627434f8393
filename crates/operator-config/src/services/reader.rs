//! Parses the lines of the section, each separately.

use super::endpoint_selector::{parse_selector, SelectorError};
use super::errors::SectionErrors;
use super::limits::{
    allowed_max_services, allowed_name, allowed_route_field, is_name, DEFAULT,
    DEFAULT_MAX_SERVICES, LINE_NAMES, MAX_ROUTE_FIELD_BYTES, MAX_SERVICES_UPPER_BOUND, MOST, ROUTE,
    ROUTE_FIELD, SECTION, SERVERS, SERVICE,
};
use super::lines::{Name, RouteLine, SelectorEntry, ServiceLine};
use crate::suggestion::suggest;
use crate::value_syntax::{is_label, unsigned_integer};
use kdl::{KdlEntry, KdlNode};
use miette::{NamedSource, SourceSpan};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Parses the lines of the section and holds them until [`Reader::finish`] checks them against each
/// other.
pub(crate) struct Reader<'a> {
    pub(super) errors: SectionErrors<'a>,
    /// The position of the first line of each name.
    pub(super) first_line_spans: BTreeMap<&'static str, SourceSpan>,
    /// The position of the section's name; `None` if the file has no such section.
    pub(super) section_span: Option<SourceSpan>,
    /// The name of the request field that contains the route.
    pub(super) route_field: Option<String>,
    /// The maximum number of services that the file may declare.
    pub(super) max_services: usize,
    /// The service of requests without a route and of servers that no service declares.
    pub(super) default: Option<Name>,
    pub(super) services: Vec<ServiceLine>,
    /// The names of all services that the file declares, including those beyond the maximum.
    pub(super) declared_services: BTreeSet<Arc<str>>,
    pub(super) routes: Vec<RouteLine>,
}

impl<'a> Reader<'a> {
    /// Returns a reader without lines; `source` is the text of the file.
    pub(crate) fn new(source: &'a Arc<NamedSource<String>>) -> Reader<'a> {
        Reader {
            errors: SectionErrors::new(source),
            first_line_spans: BTreeMap::new(),
            section_span: None,
            route_field: None,
            max_services: DEFAULT_MAX_SERVICES,
            default: None,
            services: Vec::new(),
            declared_services: BTreeSet::new(),
            routes: Vec::new(),
        }
    }

    /// Parses the lines of a section.
    pub(crate) fn read(&mut self, section: &KdlNode, nodes: &[KdlNode]) {
        self.section_span = self.section_span.or(Some(section.name().span()));
        for node in nodes {
            match node.name().value() {
                ROUTE_FIELD => self.read_route_field(node),
                MOST => self.read_max_services(node),
                DEFAULT => self.read_default(node),
                SERVICE => self.read_service(node),
                ROUTE => self.read_route(node),
                unknown => self.errors.add_with_help(
                    node.name().span(),
                    || format!("'{SECTION}' has no setting '{unknown}'"),
                    || suggest(unknown, LINE_NAMES.into_iter()),
                ),
            }
        }
    }

    /// Records the position of a line that may occur only once. Adds an error and returns false if
    /// it has occurred before.
    fn record_first_line(&mut self, name: &'static str, node: &KdlNode) -> bool {
        let span = node.name().span();
        let Some(first) = self.first_line_spans.get(name).copied() else {
            self.first_line_spans.insert(name, span);
            return true;
        };
        let message = format!("'{name}' is set twice");
        self.errors.add_duplicate(span, &message, first);
        false
    }

    /// Adds an error and returns false if a line has settings in braces.
    fn check_no_children(&mut self, node: &KdlNode) -> bool {
        let Some(children) = node.children() else {
            return true;
        };
        let name = node.name().value();
        self.errors.add_message(children.span(), || {
            format!("'{name}' takes values, not settings in braces")
        });
        false
    }

    fn add_property_error(&mut self, entry: &KdlEntry, line_name: &str, property: &str) {
        self.errors.add_message(entry.span(), || {
            format!("'{line_name}' has no property '{property}='")
        });
    }

    /// Returns the only value of a line that has neither properties nor settings in braces. Adds an
    /// error and returns `None` for any other line.
    fn only_value<'n>(&mut self, node: &'n KdlNode) -> Option<&'n KdlEntry> {
        if self.check_no_children(node) {
            self.single_value(node)
        } else {
            None
        }
    }

    /// Returns the only value of a line that has no properties. Adds an error and returns `None`
    /// for any other line.
    fn single_value<'n>(&mut self, node: &'n KdlNode) -> Option<&'n KdlEntry> {
        let name = node.name().value();
        let mut entries = node.entries().iter();
        if let Some((entry, property)) = entries.find_map(|entry| Some((entry, entry.name()?))) {
            self.add_property_error(entry, name, property.value());
            return None;
        }
        if let [entry] = node.entries() {
            return Some(entry);
        }
        let count = node.entries().len();
        self.errors.add_message(node.name().span(), || {
            format!("'{name}' takes exactly one value, found {count}")
        });
        None
    }

    /// Parses the name of a service or route.
    fn read_name(&mut self, entry: &KdlEntry, line_name: &str) -> Option<Name> {
        let text = entry.value().as_string().filter(|text| is_name(text));
        let Some(text) = text else {
            self.errors
                .add_invalid_value(entry, line_name, allowed_name);
            return None;
        };
        Some(Name {
            text: text.into(),
            span: entry.span(),
        })
    }

    fn read_route_field(&mut self, node: &KdlNode) {
        if !self.record_first_line(ROUTE_FIELD, node) {
            return;
        }
        let Some(entry) = self.only_value(node) else {
            return;
        };
        let text = entry.value().as_string();
        match text.filter(|text| is_label(text, MAX_ROUTE_FIELD_BYTES)) {
            Some(text) => self.route_field = Some(text.to_owned()),
            None => self
                .errors
                .add_invalid_value(entry, ROUTE_FIELD, allowed_route_field),
        }
    }

    fn read_max_services(&mut self, node: &KdlNode) {
        if !self.record_first_line(MOST, node) {
            return;
        }
        let Some(entry) = self.only_value(node) else {
            return;
        };
        match unsigned_integer(entry).filter(|max| (1..=MAX_SERVICES_UPPER_BOUND).contains(max)) {
            Some(max) => self.max_services = max as usize,
            None => self
                .errors
                .add_invalid_value(entry, MOST, allowed_max_services),
        }
    }

    fn read_default(&mut self, node: &KdlNode) {
        if !self.record_first_line(DEFAULT, node) {
            return;
        }
        if let Some(entry) = self.only_value(node) {
            self.default = self.read_name(entry, DEFAULT);
        }
    }

    fn read_service(&mut self, node: &KdlNode) {
        self.first_line_spans
            .entry(SERVICE)
            .or_insert(node.name().span());
        let Some(entry) = self.single_value(node) else {
            return;
        };
        let Some(service) = self.read_name(entry, SERVICE) else {
            return;
        };
        let mut selectors = Vec::new();
        let mut has_servers_line = false;
        for line in node.children().map_or(&[][..], |children| children.nodes()) {
            match line.name().value() {
                SERVERS => {
                    has_servers_line = true;
                    self.read_servers(line, &mut selectors);
                }
                unknown => self.errors.add_with_help(
                    line.name().span(),
                    || format!("'service' has no setting '{unknown}'"),
                    || suggest(unknown, [SERVERS].into_iter()),
                ),
            }
        }
        self.declared_services.insert(Arc::clone(&service.text));
        self.services.push(ServiceLine {
            service,
            selectors,
            has_servers_line,
        });
    }

    fn read_servers(&mut self, line: &KdlNode, selectors: &mut Vec<SelectorEntry>) {
        if !self.check_no_children(line) {
            return;
        }
        if line.entries().is_empty() {
            let message = || "'servers' needs at least one network, address or uid".to_owned();
            return self.errors.add_message(line.name().span(), message);
        }
        for entry in line.entries() {
            if let Some(property) = entry.name() {
                self.add_property_error(entry, SERVERS, property.value());
                continue;
            }
            let text = entry.value().as_string();
            match text.map_or(Err(SelectorError::Malformed), parse_selector) {
                Ok(selector) => selectors.push(SelectorEntry {
                    selector,
                    span: entry.span(),
                }),
                Err(error) => self
                    .errors
                    .add_invalid_value(entry, SERVERS, || error.allowed()),
            }
        }
    }

    fn read_route(&mut self, node: &KdlNode) {
        self.first_line_spans
            .entry(ROUTE)
            .or_insert(node.name().span());
        if !self.check_no_children(node) {
            return;
        }
        let Some((route, service)) = self.route_entries(node) else {
            return;
        };
        let route = self.read_name(route, ROUTE);
        let service = self.read_name(service, "service=");
        let (Some(route), Some(service)) = (route, service) else {
            return;
        };
        // The route is one field of a request, and commas separate the fields.
        if route.text.contains(',') {
            return self.errors.add_message(route.span, || {
                "a route must not contain ',', which separates the fields of a request".to_owned()
            });
        }
        self.routes.push(RouteLine { route, service });
    }

    /// Returns the name and the property `service=` of a line `route`. Adds an error and returns
    /// `None` if one of them is missing or repeated, or if the line has any other property.
    fn route_entries<'n>(&mut self, node: &'n KdlNode) -> Option<(&'n KdlEntry, &'n KdlEntry)> {
        let mut names = Vec::new();
        let mut services = Vec::new();
        for entry in node.entries() {
            match entry.name().map(kdl::KdlIdentifier::value) {
                None => names.push(entry),
                Some("service") => services.push(entry),
                Some(property) => {
                    self.add_property_error(entry, ROUTE, property);
                    return None;
                }
            }
        }
        if let ([name], [service]) = (&names[..], &services[..]) {
            return Some((name, service));
        }
        self.errors.add_with_help(
            node.name().span(),
            || "'route' takes one name and one 'service='".to_owned(),
            || "write 'route \"NAME\" service=\"NAME\"'".to_owned(),
        );
        None
    }
}
