//! The section `services`: its lines repeat, so it has a reader of its own beside the table of settings.

use crate::explain::Row;
use crate::mistake::{hint, Mistake};
use crate::value::is_label;
use ipnet::IpNet;
use kdl::{KdlEntry, KdlNode};
use miette::{NamedSource, SourceSpan};
use roseyard_engine::{
    Directory, DirectoryBounds, DirectoryChange, DirectoryError, ServerSelector, MOST_NAME_BYTES,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

/// Name of the section.
pub(crate) const SECTION: &str = "services";
/// What the section may hold.
const LINES: [&str; 5] = ["route-field", "most", "default", "service", "route"];
/// Most services, unless the file says otherwise, and the most that it may say.
const SERVICES: usize = 4096;
const MOST_SERVICES: u64 = 65_536;
/// Most routes.
const MOST_ROUTES: usize = 65_536;
/// Longest name of the field that carries the route, in bytes.
const MOST_FIELD_BYTES: usize = 32;
/// So many mistakes are told one by one; those beyond are counted.
const MOST_MISTAKES: usize = 100;

/// The services of a file, checked.
#[derive(Clone, Debug)]
pub struct Services {
    route_field: Option<String>,
    directory: Directory,
    /// Where the first line of each name stands.
    places: BTreeMap<&'static str, SourceSpan>,
}

impl Services {
    /// No section: one service that holds everything.
    pub(crate) fn none() -> Services {
        Services { route_field: None, directory: Directory::single(), places: BTreeMap::new() }
    }

    /// The name, in a request's list of names and values, that carries its route; none: requests carry no route.
    pub fn route_field(&self) -> Option<&str> {
        self.route_field.as_deref()
    }

    /// The services with their routes and servers.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// What is shown of them: settings in full, lines that repeat by their number.
    pub(crate) fn rows(&self, place: impl Fn(SourceSpan) -> String) -> Vec<Row> {
        let directory = &self.directory;
        let quoted = |text: Option<&str>| text.map_or_else(|| "none".to_owned(), |text| format!("{text:?}"));
        let most = if directory.is_single() { SERVICES } else { directory.bounds().services };
        let default = directory.default_service().and_then(|id| directory.name(id));
        let selectors = directory.selector_count();
        let row = |name: &'static str, value: String, about: &'static str, allowed: String| Row {
            name: format!("{SECTION}.{name}"),
            value,
            source: self.places.get(name).map_or_else(|| "default".to_owned(), |span| place(*span)),
            about,
            allowed,
        };
        vec![
            row(
                LINES[0],
                quoted(self.route_field()),
                "the name in a request's list of names and values that carries its route",
                field_allowed(),
            ),
            row(LINES[1], most.to_string(), "more services are refused", most_allowed()),
            row(
                LINES[2],
                quoted(default),
                "the service of requests without a route and of servers that no line names",
                "the name of a service".into(),
            ),
            row(
                LINES[3],
                format!(
                    "{} with {selectors} networks, addresses or uids of servers",
                    directory.service_count()
                ),
                "services, and the networks, addresses and uids of their servers",
                "service NAME { servers … }".into(),
            ),
            row(
                LINES[4],
                directory.route_count().to_string(),
                "routes, each to its service",
                "route NAME service=NAME".into(),
            ),
        ]
    }
}

impl fmt::Display for Services {
    /// Their numbers, on one line.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if self.directory.is_single() {
            return f.write_str("services: none given, one service holds everything");
        }
        let (services, routes) = (self.directory.service_count(), self.directory.route_count());
        let selectors = self.directory.selector_count();
        write!(f, "services: {services} services, {routes} routes, {selectors} networks, addresses or uids of servers")
    }
}

fn field_allowed() -> String {
    format!("1 to {MOST_FIELD_BYTES} letters, digits, '.', '-' or '_'")
}

fn most_allowed() -> String {
    format!("a whole number from 1 to {MOST_SERVICES}")
}

fn name_allowed() -> String {
    format!("1 to {MOST_NAME_BYTES} bytes without control characters")
}

/// A name with the place where it stands.
struct Named {
    name: Arc<str>,
    span: SourceSpan,
}

/// A line `service`.
struct ServiceLine {
    service: Named,
    servers: Vec<(ServerSelector, SourceSpan)>,
    /// Has it a line `servers`, readable or not?
    has_servers: bool,
}

/// A line `route`.
struct RouteLine {
    route: Named,
    service: Named,
}

/// Mistakes as they are found. What they say is worked out for the first ones alone: a long file may hold a
/// mistake on each line.
struct Faults<'a> {
    source: &'a Arc<NamedSource<String>>,
    found: Vec<Mistake>,
    /// Those beyond [`MOST_MISTAKES`].
    more: usize,
    /// The place of all of them that is the furthest on in the file.
    last: Option<SourceSpan>,
}

impl Faults<'_> {
    fn add(&mut self, span: SourceSpan, say: impl FnOnce(&Self) -> (String, Option<String>)) {
        self.last = self.last.filter(|last| last.offset() > span.offset()).or(Some(span));
        if self.found.len() >= MOST_MISTAKES {
            self.more += 1;
            return;
        }
        let (what, help) = say(self);
        let mistake = Mistake::new(self.source, span, what);
        self.found.push(match help {
            Some(help) => mistake.help(help),
            None => mistake,
        });
    }

    /// One without a hint.
    fn plain(&mut self, span: SourceSpan, what: impl FnOnce() -> String) {
        self.add(span, |_| (what(), None));
    }

    /// A value that may not stand there.
    fn not_allowed(&mut self, entry: &KdlEntry, name: &str, allowed: impl FnOnce() -> String) {
        self.add(entry.span(), |_| {
            let shown = entry.value().as_string().map(|text| format!("{text:?}"));
            let shown = shown.unwrap_or_else(|| entry.value().to_string());
            (format!("{shown} is not allowed here"), Some(format!("'{name}' takes {}", allowed())))
        });
    }

    /// A service that the directory lacks is unknown, unless it is one beyond the bound, which was named.
    fn check_service(&mut self, named: &Named, declared: &BTreeSet<Arc<str>>) {
        if !declared.contains(&named.name) {
            let known = declared.iter().map(|name| &**name);
            let what = format!("there is no service '{}'", named.name);
            self.add(named.span, |_| (what, Some(hint(&named.name, known))));
        }
    }

    /// What stands there a second time.
    fn twice(&mut self, what: &str, span: SourceSpan, first: SourceSpan) {
        self.add(span, |faults| (format!("{what}, first on line {}", faults.line(first)), None));
    }

    fn line(&self, span: SourceSpan) -> usize {
        Mistake::new(self.source, span, String::new()).place().0
    }

    fn finish(self, wrong: &mut Vec<Mistake>) {
        wrong.extend(self.found);
        if let Some(span) = self.last.filter(|_| self.more > 0) {
            let what = format!("and {} mistakes more in '{SECTION}'", self.more);
            wrong.push(Mistake::new(self.source, span, what));
        }
    }
}

/// The lines of the section, before they are held against one another.
pub(crate) struct Reader<'a> {
    faults: Faults<'a>,
    places: BTreeMap<&'static str, SourceSpan>,
    section: Option<SourceSpan>,
    route_field: Option<String>,
    most: usize,
    default: Option<Named>,
    services: Vec<ServiceLine>,
    /// Names of the services that the file gives, also of those beyond the bound.
    declared: BTreeSet<Arc<str>>,
    routes: Vec<RouteLine>,
}

impl<'a> Reader<'a> {
    /// A reader that has seen no section.
    pub fn new(source: &'a Arc<NamedSource<String>>) -> Reader<'a> {
        Reader {
            faults: Faults { source, found: Vec::new(), more: 0, last: None },
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
    pub fn read(&mut self, section: &KdlNode, nodes: &[KdlNode]) {
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

    /// Holds the lines against one another. Mistakes are added to `wrong`.
    pub fn finish(mut self, wrong: &mut Vec<Mistake>) -> Services {
        let Some(section) = self.section else { return Services::none() };
        let mut directory = Directory::new(DirectoryBounds { services: self.most, routes: MOST_ROUTES });
        self.check_needs(section);
        self.add_services(&mut directory);
        self.add_servers(&mut directory);
        self.add_routes(&mut directory);
        self.set_default(&mut directory);
        self.faults.finish(wrong);
        Services { route_field: self.route_field, directory, places: self.places }
    }

    /// Takes note of where a name stands first; false if it may stand once and has stood before.
    fn once(&mut self, name: &'static str, node: &KdlNode) -> bool {
        let span = node.name().span();
        let Some(first) = self.places.get(name).copied() else {
            self.places.insert(name, span);
            return true;
        };
        self.faults.twice(&format!("'{name}' is set twice"), span, first);
        false
    }

    /// The only value of a line that has nothing else.
    fn only_value<'n>(&mut self, node: &'n KdlNode) -> Option<&'n KdlEntry> {
        let name = node.name().value();
        if let Some(children) = node.children() {
            self.faults.plain(children.span(), || format!("'{name}' holds values, not settings"));
            return None;
        }
        self.first_value(node)
    }

    /// The only value of a line, which has no names with values.
    fn first_value<'n>(&mut self, node: &'n KdlNode) -> Option<&'n KdlEntry> {
        let name = node.name().value();
        if let Some((entry, property)) = node.entries().iter().find_map(|e| Some((e, e.name()?))) {
            self.faults.plain(entry.span(), || format!("'{name}' takes no '{}='", property.value()));
            return None;
        }
        if let [entry] = node.entries() {
            return Some(entry);
        }
        self.faults.plain(node.name().span(), || format!("'{name}' has {} values", node.entries().len()));
        None
    }

    /// A name of a service or route.
    fn named(&mut self, entry: &KdlEntry, of: &str) -> Option<Named> {
        match entry.value().as_string().filter(|text| is_name(text)) {
            Some(text) => Some(Named { name: text.into(), span: entry.span() }),
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
        let Some(entry) = self.only_value(node) else { return };
        match entry.value().as_string().filter(|text| is_label(text, MOST_FIELD_BYTES)) {
            Some(text) => self.route_field = Some(text.to_owned()),
            None => self.faults.not_allowed(entry, "route-field", field_allowed),
        }
    }

    fn read_most(&mut self, node: &KdlNode) {
        if !self.once("most", node) {
            return;
        }
        let Some(entry) = self.only_value(node) else { return };
        let found = entry.value().as_integer().and_then(|n| u64::try_from(n).ok());
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
        let Some(service) = self.first_value(node).and_then(|entry| self.named(entry, "service")) else {
            return;
        };
        let (mut servers, mut has_servers) = (Vec::new(), false);
        for line in node.children().map_or(&[][..], |children| children.nodes()) {
            match line.name().value() {
                "servers" => {
                    has_servers = true;
                    self.read_servers(line, &mut servers);
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
        self.services.push(ServiceLine { service, servers, has_servers });
    }

    fn read_servers(&mut self, line: &KdlNode, servers: &mut Vec<(ServerSelector, SourceSpan)>) {
        if let Some(children) = line.children() {
            return self.faults.plain(children.span(), || "'servers' holds values, not settings".to_owned());
        }
        if line.entries().is_empty() {
            return self.faults.plain(line.name().span(), || "'servers' has 0 values".to_owned());
        }
        for entry in line.entries() {
            if let Some(property) = entry.name() {
                self.faults.plain(entry.span(), || format!("'servers' takes no '{}='", property.value()));
                continue;
            }
            let text = entry.value().as_string();
            match text.map_or(Err(BadServers::Malformed), selector) {
                Ok(selector) => servers.push((selector, entry.span())),
                Err(bad) => self.faults.not_allowed(entry, "servers", || bad.allowed()),
            }
        }
    }

    fn read_route(&mut self, node: &KdlNode) {
        self.places.entry("route").or_insert(node.name().span());
        if let Some(children) = node.children() {
            return self.faults.plain(children.span(), || "'route' holds values, not settings".to_owned());
        }
        let is_service = |e: &&KdlEntry| e.name().is_some_and(|n| n.value() == "service");
        let mut others = node.entries().iter().filter(|e| e.name().is_some() && !is_service(e));
        if let Some((entry, property)) = others.find_map(|e| Some((e, e.name()?))) {
            return self.faults.plain(entry.span(), || format!("'route' takes no '{}='", property.value()));
        }
        let values: Vec<&KdlEntry> = node.entries().iter().filter(|e| e.name().is_none()).collect();
        let services: Vec<&KdlEntry> = node.entries().iter().filter(is_service).collect();
        let ([route], [service]) = (&values[..], &services[..]) else {
            let help = "write 'route \"NAME\" service=\"NAME\"'";
            return self.faults.add(node.name().span(), |_| {
                ("'route' takes one name and one 'service='".to_owned(), Some(help.to_owned()))
            });
        };
        let (route, service) = (self.named(route, "route"), self.named(service, "service="));
        let (Some(route), Some(service)) = (route, service) else { return };
        // A request's list of names and values is parted by commas.
        if route.name.contains(',') {
            return self
                .faults
                .plain(route.span, || "a route holds no ','; no request could carry it".to_owned());
        }
        self.routes.push(RouteLine { route, service });
    }

    /// What has no effect or serves nobody.
    fn check_needs(&mut self, section: SourceSpan) {
        if self.services.is_empty() {
            self.faults.add(section, |_| {
                (
                    format!("'{SECTION}' names no service"),
                    Some("add a 'service' or leave the section out".into()),
                )
            });
        }
        if self.places.contains_key("route-field") {
            return;
        }
        if let Some(route) = self.routes.first() {
            self.faults.add(route.route.span, |_| {
                let what = "'route' has no effect without 'route-field'";
                (what.to_owned(), Some("set 'route-field' too".into()))
            });
        } else if !self.places.contains_key("default") {
            self.faults.add(section, |_| {
                let what = "without 'route-field' every request belongs to the 'default', which is missing";
                (what.to_owned(), Some("set 'default', or 'route-field' and routes".into()))
            });
        }
    }

    fn add_services(&mut self, directory: &mut Directory) {
        let mut first: HashMap<Arc<str>, SourceSpan> = HashMap::new();
        let mut beyond: Option<SourceSpan> = None;
        let default = self.default.as_ref().map(|named| Arc::clone(&named.name));
        for line in &self.services {
            let (name, span) = (&line.service.name, line.service.span);
            match directory.apply(DirectoryChange::AddService { name: Arc::clone(name) }) {
                Ok(_) => {
                    first.insert(Arc::clone(name), span);
                }
                Err(DirectoryError::TooManyServices { .. }) => beyond = beyond.or(Some(span)),
                Err(_) => {
                    let before = first.get(name).copied().unwrap_or(span);
                    self.faults.twice(&format!("service '{name}' stands twice"), span, before);
                }
            }
            // Servers that no line names belong to the default: it needs none of its own.
            if !line.has_servers && default.as_ref() != Some(name) {
                self.faults.add(span, |_| {
                    let help = "add 'servers' with networks, addresses or uids";
                    (format!("service '{name}' has no servers"), Some(help.into()))
                });
            }
        }
        if let Some(span) = beyond {
            let (most, given) = (self.most, self.services.len());
            self.faults.add(span, |_| {
                let help = format!("raise 'most', which takes {}", most_allowed());
                (format!("more than {most} services: {given} are given"), Some(help))
            });
        }
    }

    fn add_servers(&mut self, directory: &mut Directory) {
        let mut first: HashMap<&ServerSelector, (&Arc<str>, SourceSpan)> = HashMap::new();
        for line in &self.services {
            let service = &line.service.name;
            for (servers, span) in &line.servers {
                if let Some((holder, before)) = first.get(servers) {
                    let what = format!("'{servers}' belongs to service '{holder}' already");
                    self.faults.twice(&what, *span, *before);
                    continue;
                }
                first.insert(servers, (service, *span));
                let (servers, service) = (servers.clone(), Arc::clone(service));
                // A service beyond the bound is not in the directory: that was named.
                let _ = directory.apply(DirectoryChange::Assign { servers, service });
            }
        }
    }

    fn add_routes(&mut self, directory: &mut Directory) {
        let mut first: HashMap<&Arc<str>, SourceSpan> = HashMap::new();
        for line in &self.routes {
            let route = &line.route;
            if let Some(before) = first.insert(&route.name, route.span) {
                self.faults.twice(&format!("route '{}' stands twice", route.name), route.span, before);
                continue;
            }
            let (name, service) = (Arc::clone(&route.name), Arc::clone(&line.service.name));
            match directory.apply(DirectoryChange::SetRoute { route: name, service }) {
                Ok(_) => {}
                Err(DirectoryError::UnknownService { .. }) => {
                    self.faults.check_service(&line.service, &self.declared);
                }
                Err(error) => self.faults.plain(route.span, || error.to_string()),
            }
        }
    }

    fn set_default(&mut self, directory: &mut Directory) {
        let Some(default) = &self.default else { return };
        let service = Some(Arc::clone(&default.name));
        if directory.apply(DirectoryChange::SetDefault { service }).is_err() {
            self.faults.check_service(default, &self.declared);
        }
    }
}

fn is_name(text: &str) -> bool {
    (1..=MOST_NAME_BYTES).contains(&text.len()) && !text.chars().any(char::is_control)
}

/// Why a word names no servers.
enum BadServers {
    /// It is neither a network nor an address nor a uid.
    Malformed,
    /// An address with a port.
    Port(IpAddr),
    /// A network with bits beyond its prefix.
    HostBits(IpNet),
    /// An IPv4 network as IPv6 words it.
    Mapped,
}

impl BadServers {
    fn allowed(&self) -> String {
        match self {
            BadServers::Malformed => {
                format!("networks, addresses, or uids of 1 to {MOST_NAME_BYTES} bytes without '/' or spaces")
            }
            BadServers::Port(address) => format!("addresses without a port; did you mean '{address}'?"),
            BadServers::HostBits(network) => {
                format!("networks without bits beyond their prefix; did you mean '{network}'?")
            }
            BadServers::Mapped => "IPv4 networks such as \"10.1.0.0/16\"".into(),
        }
    }
}

/// A network, an address or a uid.
fn selector(text: &str) -> Result<ServerSelector, BadServers> {
    if let Ok(address) = text.parse::<IpAddr>() {
        return Ok(ServerSelector::network(IpNet::from(address.to_canonical())));
    }
    if let Ok(network) = text.parse::<IpNet>() {
        if network.trunc() != network {
            return Err(BadServers::HostBits(network.trunc()));
        }
        if network.addr().to_canonical() != network.addr() {
            return Err(BadServers::Mapped);
        }
        return Ok(ServerSelector::network(network));
    }
    if let Ok(address) = text.parse::<SocketAddr>() {
        return Err(BadServers::Port(address.ip()));
    }
    let is_uid = is_name(text) && !text.contains(|c: char| c == '/' || c.is_whitespace());
    if is_uid {
        Ok(ServerSelector::uid(text))
    } else {
        Err(BadServers::Malformed)
    }
}
