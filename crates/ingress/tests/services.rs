//! Services on real connections: their routes and endpoints, and reloads that move routes or
//! endpoints to other services while requests are in flight.

mod common;

use common::*;
use std::collections::{BTreeMap, BTreeSet};

/// Two services with one endpoint each. There is no default service, so each request must have a
/// route.
const TWO_SERVICES: &str = "services {
    route-field \"route\"
    service \"forms\" { servers \"s-0\" }
    service \"orders\" { servers \"s-1\" }
    route \"a\" service=\"forms\"
    route \"eu/b\" service=\"orders\"
}
";

fn harness(file: &str) -> Harness {
    Harness::with_operator_file(2, 1024, 192, file)
}

/// Returns a request with these fields. Each id has a customer of its own, so that no request
/// exceeds a quota.
fn request_of_own_customer(id: u64, fields: &str) -> Vec<u8> {
    let name = if fields.starts_with("c=submit") {
        "API.WRITE"
    } else {
        "API.READ"
    };
    request_of_customer(0x1000 + id, name, id, fields)
}

/// Returns an idempotent request with this route.
fn routed_request(id: u64, route: &str) -> Vec<u8> {
    request_of_own_customer(id, &format!("{READ_FIELDS},route={route}"))
}

/// Returns the id of a request that an endpoint has received.
fn request_id(words: &[String]) -> u64 {
    u64::from_str_radix(&words[2], 16).unwrap()
}

/// Reloads the ingress with this text as the operator's file.
fn reload_operator_file(harness: &mut Harness, file: &str) {
    let text = config(
        &harness.counter.peer,
        &harness.discovery,
        &harness.endpoints,
        1024,
    );
    let file = parse_operator_file(file);
    let config = parse_config(&text);
    harness
        .program
        .reload(config.and_then(|config| Ok((config, file?))));
}

/// Sends a request and replies to it. Returns the endpoint that received it.
fn send_and_serve(harness: &mut Harness, client: &mut Connection, command: Vec<u8>) -> usize {
    client.send(command);
    let (endpoint, connection, _) = harness.next_request();
    harness.endpoints[endpoint].connections[connection].send(served_reply("v"));
    harness.expect_reply(client, "$1\r\nv\r\n");
    endpoint
}

#[test]
fn each_service_gets_only_the_requests_of_its_routes() {
    let mut harness = harness(TWO_SERVICES);
    let mut client = harness.connect();
    for id in 0..40 {
        let (route, endpoint) = if id % 3 == 0 { ("a", 0) } else { ("eu/b", 1) };
        assert_eq!(
            send_and_serve(&mut harness, &mut client, routed_request(id, route)),
            endpoint,
            "request {id}"
        );
    }
}

#[test]
fn the_route_is_forwarded_with_the_other_fields() {
    let mut harness = harness(TWO_SERVICES);
    let mut client = harness.connect();
    client.send(routed_request(1, "eu/b"));
    let (_, _, words) = harness.next_request();
    assert!(words[3].ends_with(",route=eu/b"), "{}", words[3]);
}

#[test]
fn a_request_of_an_unknown_service_is_an_error_and_is_not_counted() {
    let mut harness = harness(TWO_SERVICES);
    let long = "x".repeat(129);
    let mut client = harness.connect();
    for (command, error) in [
        (routed_request(1, "odd"), "-ERR unknown route\r\n"),
        (routed_request(2, "A"), "-ERR unknown route\r\n"),
        (read_request(3), "-ERR route is missing\r\n"),
        (routed_request(4, ""), "-ERR invalid route\r\n"),
        (routed_request(5, &long), "-ERR invalid route\r\n"),
        (
            request("API.READ", 6, &format!("route=a,{READ_FIELDS},route=a")),
            "-ERR invalid route\r\n",
        ),
    ] {
        client.send(command);
        harness.expect_reply(&mut client, error);
    }
    assert_eq!(harness.program.open().requests, 0);
    assert!(
        harness.counter.calls.is_empty(),
        "counted: {:?}",
        harness.counter.calls
    );
    assert!(harness
        .endpoints
        .iter_mut()
        .all(|endpoint| endpoint.next_command().is_none()));
    assert_eq!(
        send_and_serve(&mut harness, &mut client, routed_request(7, "a")),
        0,
        "the connection stays open"
    );
}

#[test]
fn requests_without_a_route_and_unselected_endpoints_belong_to_the_default_service() {
    let mut harness = harness(&TWO_SERVICES.replace(
        "service \"forms\" { servers \"s-0\" }",
        "default \"forms\"; service \"forms\"",
    ));
    let mut client = harness.connect();
    for id in 0..10 {
        assert_eq!(
            send_and_serve(
                &mut harness,
                &mut client,
                request_of_own_customer(id, READ_FIELDS)
            ),
            0
        );
    }
    assert_eq!(
        send_and_serve(&mut harness, &mut client, routed_request(10, "eu/b")),
        1
    );
    client.send(routed_request(11, "odd"));
    harness.expect_reply(&mut client, "-ERR unknown route\r\n");
}

#[test]
fn a_service_without_endpoints_does_not_affect_the_others() {
    let mut harness = harness(TWO_SERVICES);
    let (mut client, mut other) = (harness.connect(), harness.connect());
    harness.send_endpoint_states(42, &[(0, "DELETED")]);
    harness.run_until("the list", |h| h.program.list_revision() == 42);
    client.send(routed_request(1, "a"));
    for id in 2..12 {
        assert_eq!(
            send_and_serve(&mut harness, &mut other, routed_request(id, "eu/b")),
            1
        );
    }
    client.read();
    assert!(
        !client.received_text().starts_with('$'),
        "no endpoint of another service has replied: {}",
        client.received_text()
    );
    assert!(harness.endpoints[0].next_command().is_none());
}

/// Runs until an endpoint has received a command, and checks that the client has no reply before.
/// Returns the endpoint, the connection and the words of the command.
fn next_request_of(harness: &mut Harness, client: &mut Connection) -> (usize, usize, Vec<String>) {
    let mut found = None;
    harness.run_until("a command at an endpoint", |h| {
        found = h
            .endpoints
            .iter_mut()
            .enumerate()
            .find_map(|(n, p)| p.next_command().map(|(connection, w)| (n, connection, w)));
        client.read();
        assert!(
            found.is_some() || client.received_text().is_empty(),
            "the client has a reply although no endpoint received its request: {}",
            client.received_text()
        );
        found.is_some()
    });
    found.unwrap()
}

/// The clients of requests in flight, and the endpoint and connection of each request by its id.
/// Tests keep the requests few: endpoints that have not replied yet have a low load limit.
#[derive(Default)]
struct InFlight {
    clients: BTreeMap<u64, Connection>,
    arrived: BTreeMap<u64, (usize, usize)>,
}

impl InFlight {
    /// Sends requests with these ids one after the other, each from a client of its own. Returns
    /// the endpoints that received them.
    fn send(
        &mut self,
        harness: &mut Harness,
        ids: std::ops::Range<u64>,
        fields: &str,
    ) -> BTreeSet<usize> {
        let mut endpoints = BTreeSet::new();
        for id in ids {
            let mut client = harness.connect();
            client.send(request_of_own_customer(id, fields));
            let (endpoint, connection, words) = next_request_of(harness, &mut client);
            self.clients.insert(id, client);
            assert_eq!(request_id(&words), id);
            assert_eq!(
                self.arrived.insert(id, (endpoint, connection)),
                None,
                "request {id} arrived twice"
            );
            endpoints.insert(endpoint);
        }
        endpoints
    }

    /// Replies to all requests, and checks that each client gets its own reply exactly once.
    fn reply_to_all(mut self, harness: &mut Harness) {
        for (id, (endpoint, connection)) in &self.arrived {
            harness.endpoints[*endpoint].connections[*connection]
                .send(served_reply(&format!("{id:04}")));
        }
        for (id, client) in &mut self.clients {
            harness.expect_reply(client, &format!("$4\r\n{id:04}\r\n"));
        }
        assert_eq!(
            harness.program.open().requests,
            0,
            "no request is still open"
        );
        harness.advance(5000);
        assert!(
            harness
                .endpoints
                .iter_mut()
                .all(|endpoint| endpoint.next_command().is_none()),
            "no request was retried"
        );
        for (id, client) in &mut self.clients {
            client.read();
            assert_eq!(
                client.received_text(),
                "",
                "request {id} got a second reply"
            );
        }
    }
}

#[test]
fn moving_a_route_loses_and_repeats_no_request_in_flight() {
    let mut harness = harness(TWO_SERVICES);
    let read = format!("{READ_FIELDS},route=a");
    let write = format!("{WRITE_FIELDS},route=a");
    let mut in_flight = InFlight::default();
    assert_eq!(in_flight.send(&mut harness, 0..2, &read), [0].into());
    assert_eq!(in_flight.send(&mut harness, 2..3, &write), [0].into());
    reload_operator_file(
        &mut harness,
        &TWO_SERVICES.replace(
            "route \"a\" service=\"forms\"",
            "route \"a\" service=\"orders\"",
        ),
    );
    assert_eq!(
        in_flight.send(&mut harness, 3..5, &read),
        [1].into(),
        "new requests are routed by the new file"
    );
    assert_eq!(in_flight.send(&mut harness, 5..6, &write), [1].into());
    in_flight.reply_to_all(&mut harness);
}

#[test]
fn moving_endpoints_loses_and_repeats_no_request_in_flight() {
    let mut harness = harness(TWO_SERVICES);
    let (a, b) = (
        format!("{READ_FIELDS},route=a"),
        format!("{READ_FIELDS},route=eu/b"),
    );
    let mut in_flight = InFlight::default();
    assert_eq!(in_flight.send(&mut harness, 0..2, &a), [0].into());
    assert_eq!(in_flight.send(&mut harness, 2..4, &b), [1].into());
    let exchanged = TWO_SERVICES
        .replace("s-0", "s-x")
        .replace("s-1", "s-0")
        .replace("s-x", "s-1");
    reload_operator_file(&mut harness, &exchanged);
    assert_eq!(in_flight.send(&mut harness, 4..5, &a), [1].into());
    assert_eq!(in_flight.send(&mut harness, 5..6, &b), [0].into());
    in_flight.reply_to_all(&mut harness);
}

#[test]
fn reloads_add_and_remove_services_while_requests_are_in_flight() {
    let mut harness = harness("");
    let mut in_flight = InFlight::default();
    // Without the `services` section, a route is an unknown field and is ignored.
    in_flight.send(&mut harness, 0..1, &format!("{READ_FIELDS},route=odd"));
    reload_operator_file(&mut harness, TWO_SERVICES);
    assert_eq!(
        in_flight.send(&mut harness, 1..3, &format!("{READ_FIELDS},route=eu/b")),
        [1].into()
    );
    reload_operator_file(&mut harness, "");
    in_flight.send(&mut harness, 3..4, &format!("{READ_FIELDS},route=odd"));
    in_flight.reply_to_all(&mut harness);
}

#[test]
fn a_reload_with_an_error_keeps_the_services_in_force() {
    let mut harness = harness(TWO_SERVICES);
    let mut client = harness.connect();
    let invalid_files = [
        TWO_SERVICES.replace(
            "route \"a\" service=\"forms\"",
            "route \"a\" service=\"ordrs\"",
        ),
        TWO_SERVICES.replace("route \"a\"", "route \"eu/b\""),
        TWO_SERVICES.replace("{ servers \"s-0\" }", ""),
        TWO_SERVICES.replace("s-0", "s-1"),
        TWO_SERVICES.replace("services {", "services {\nmost 1"),
    ];
    for (invalid, id) in invalid_files.iter().zip((0..).step_by(2)) {
        reload_operator_file(&mut harness, invalid);
        assert_eq!(
            send_and_serve(&mut harness, &mut client, routed_request(id, "a")),
            0,
            "{invalid}"
        );
        assert_eq!(
            send_and_serve(&mut harness, &mut client, routed_request(id + 1, "eu/b")),
            1,
            "{invalid}"
        );
    }
}

#[test]
fn without_a_services_section_every_endpoint_serves_every_request() {
    let mut harness = harness("");
    let mut in_flight = InFlight::default();
    let mut endpoints = in_flight.send(&mut harness, 0..2, READ_FIELDS);
    endpoints.extend(in_flight.send(&mut harness, 2..4, &format!("{READ_FIELDS},route=any")));
    assert_eq!(endpoints, [0, 1].into());
    in_flight.reply_to_all(&mut harness);
}
