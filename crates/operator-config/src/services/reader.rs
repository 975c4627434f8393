//! Reads the lines of the section, each on its own.

use super::endpoint_selector::{parse_selector, SelectorError};
use super::errors::SectionErrors;
use super::limits::{
    allowed_max_services, allowed_name, allowed_route_field, is_name, DEFAULT,
    DEFAULT_MAX_SERVICES, LINE_NAMES, MAX_MAX_SERVICES, MAX_ROUTE_FIELD_BYTES, MOST, ROUTE,
    ROUTE_FIELD, SECTION, SERVERS, SERVICE,
};
use super::lines::{Name, RouteLine, SelectorEntry, ServiceLine};
use crate::suggestion::suggest;
use crate::value_syntax::{is_label, unsigned};
use kdl::{KdlEntry, KdlNode};
use miette::{NamedSource, SourceSpan};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The lines of the section, before they are checked against one another.
pub(crate) struct Reader<'a> {
    pub(super) errors: SectionErrors<'a>,
    /// Where the first line of each name is.
    pub(super) first_lines: BTreeMap<&'static str, SourceSpan>,
    /// Where the section begins; none if there is no section.
    pub(super) section: Option<SourceSpan>,
    pub(super) route_field: Option<String>,
    pub(super) max_services: usize,
    pub(super) default: Option<Name>,
    pub(super) services: Vec<ServiceLine>,
    /// Names of the services that the file declares, also of those beyond the maximum.
    pub(super) declared: BTreeSet<Arc<str>>,
    pub(super) routes: Vec<RouteLine>,
}

impl<'a> Reader<'a> {
    /// A reader that has read no section; `source` is the file's text.
    pub(crate) fn new(source: &'a Arc<NamedSource<String>>) -> Reader<'a> {
        Reader {
            errors: SectionErrors::new(source),
            first_lines: BTreeMap::new(),
            section: None,
            route_field: None,
            max_services: DEFAULT_MAX_SERVICES,
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

    /// Notes the place of a line that may stand once; false, with an error, if it stood before.
    fn is_first(&mut self, name: &'static str, node: &KdlNode) -> bool {
        let span = node.name().span();
        let Some(first) = self.first_lines.get(name).copied() else {
            self.first_lines.insert(name, span);
            return true;
        };
        let message = format!("'{name}' is set twice");
        self.errors.add_duplicate(span, &message, first);
        false
    }

    /// Adds an error if a line holds settings in braces.
    fn has_no_children(&mut self, node: &KdlNode) -> bool {
        let Some(children) = node.children() else {
            return true;
        };
        let name = node.name().value();
        self.errors.add_message(children.span(), || {
            format!("'{name}' holds values, not settings")
        });
        false
    }

    fn add_property_error(&mut self, entry: &KdlEntry, line_name: &str, property: &str) {
        self.errors.add_message(entry.span(), || {
            format!("'{line_name}' takes no '{property}='")
        });
    }

    /// The only value of a line that has nothing else.
    fn only_value<'n>(&mut self, node: &'n KdlNode) -> Option<&'n KdlEntry> {
        if self.has_no_children(node) {
            self.single_value(node)
        } else {
            None
        }
    }

    /// The only value of a line, which has no properties.
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
            format!("'{name}' has {count} values")
        });
        None
    }

    /// The name of a service or route.
    fn read_name(&mut self, entry: &KdlEntry, line_name: &str) -> Option<Name> {
        let text = entry.value().as_string().filter(|text| is_name(text));
        let Some(text) = text else {
            self.errors.add_not_allowed(entry, line_name, allowed_name);
            return None;
        };
        Some(Name {
            text: text.into(),
            span: entry.span(),
        })
    }

    fn read_route_field(&mut self, node: &KdlNode) {
        if !self.is_first(ROUTE_FIELD, node) {
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
                .add_not_allowed(entry, ROUTE_FIELD, allowed_route_field),
        }
    }

    fn read_max_services(&mut self, node: &KdlNode) {
        if !self.is_first(MOST, node) {
            return;
        }
        let Some(entry) = self.only_value(node) else {
            return;
        };
        match unsigned(entry).filter(|max| (1..=MAX_MAX_SERVICES).contains(max)) {
            Some(max) => self.max_services = max as usize,
            None => self
                .errors
                .add_not_allowed(entry, MOST, allowed_max_services),
        }
    }

    fn read_default(&mut self, node: &KdlNode) {
        if !self.is_first(DEFAULT, node) {
            return;
        }
        if let Some(entry) = self.only_value(node) {
            self.default = self.read_name(entry, DEFAULT);
        }
    }

    fn read_service(&mut self, node: &KdlNode) {
        self.first_lines
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
        self.declared.insert(Arc::clone(&service.text));
        self.services.push(ServiceLine {
            service,
            selectors,
            has_servers_line,
        });
    }

    fn read_servers(&mut self, line: &KdlNode, selectors: &mut Vec<SelectorEntry>) {
        if !self.has_no_children(line) {
            return;
        }
        if line.entries().is_empty() {
            let message = || "'servers' has 0 values".to_owned();
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
                    .add_not_allowed(entry, SERVERS, || error.allowed()),
            }
        }
    }

    fn read_route(&mut self, node: &KdlNode) {
        self.first_lines.entry(ROUTE).or_insert(node.name().span());
        if !self.has_no_children(node) {
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
        // Commas separate the names and values of a request's list.
        if route.text.contains(',') {
            return self.errors.add_message(route.span, || {
                "a route holds no ','; no request could carry it".to_owned()
            });
        }
        self.routes.push(RouteLine { route, service });
    }

    /// The name and the property `service=` of a line `route` that has nothing else.
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
