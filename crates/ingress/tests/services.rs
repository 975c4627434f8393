//! Services on real connections: routes, servers, and what a reload moves while requests are out.

mod common;

use common::*;
use std::collections::{BTreeMap, BTreeSet};

/// Two services with a server each and no default: a request needs its route.
const TWO: &str = "services {
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

/// A request with this list of names and values, of a customer of its own: no quota is in the way.
fn alone(id: u64, list: &str) -> Vec<u8> {
    let name = if list.starts_with("c=submit") {
        "API.WRITE"
    } else {
        "API.READ"
    };
    request_of_customer(0x1000 + id, name, id, list)
}

/// A request that may be repeated, with this route.
fn routed(id: u64, route: &str) -> Vec<u8> {
    alone(id, &format!("{READ_FIELDS},route={route}"))
}

/// The number of a request that has come to a server.
fn number(words: &[String]) -> u64 {
    u64::from_str_radix(&words[2], 16).unwrap()
}

/// The ingress reads this file of the operator's again.
fn reload(harness: &mut Harness, file: &str) {
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

/// Sends a request and answers it; the server that it came to.
fn endpoint_of(harness: &mut Harness, client: &mut Connection, command: Vec<u8>) -> usize {
    client.send(command);
    let (endpoint, connection, _) = harness.next_request();
    harness.endpoints[endpoint].connections[connection].send(served_reply("v"));
    harness.expect_reply(client, "$1\r\nv\r\n");
    endpoint
}

#[test]
fn each_service_gets_the_requests_of_its_routes_alone() {
    let mut harness = harness(TWO);
    let mut client = harness.connect();
    for id in 0..40 {
        let (route, endpoint) = if id % 3 == 0 { ("a", 0) } else { ("eu/b", 1) };
        assert_eq!(
            endpoint_of(&mut harness, &mut client, routed(id, route)),
            endpoint,
            "request {id}"
        );
    }
}

#[test]
fn the_route_goes_to_the_endpoint_with_the_rest_of_the_list() {
    let mut harness = harness(TWO);
    let mut client = harness.connect();
    client.send(routed(1, "eu/b"));
    let (_, _, words) = harness.next_request();
    assert!(words[3].ends_with(",route=eu/b"), "{}", words[3]);
}

#[test]
fn a_request_whose_service_is_not_known_is_told_so_and_nothing_is_counted() {
    let mut harness = harness(TWO);
    let long = "x".repeat(129);
    let mut client = harness.connect();
    for (command, said) in [
        (routed(1, "odd"), "-ERR unknown route\r\n"),
        (routed(2, "A"), "-ERR unknown route\r\n"),
        (read_request(3), "-ERR route is missing\r\n"),
        (routed(4, ""), "-ERR invalid route\r\n"),
        (routed(5, &long), "-ERR invalid route\r\n"),
        (
            request("API.READ", 6, &format!("route=a,{READ_FIELDS},route=a")),
            "-ERR invalid route\r\n",
        ),
    ] {
        client.send(command);
        harness.expect_reply(&mut client, said);
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
        endpoint_of(&mut harness, &mut client, routed(7, "a")),
        0,
        "the connection goes on"
    );
}

#[test]
fn requests_without_a_route_and_endpoints_that_no_line_names_are_the_default_s() {
    let mut harness = harness(&TWO.replace(
        "service \"forms\" { servers \"s-0\" }",
        "default \"forms\"; service \"forms\"",
    ));
    let mut client = harness.connect();
    for id in 0..10 {
        assert_eq!(
            endpoint_of(&mut harness, &mut client, alone(id, READ_FIELDS)),
            0
        );
    }
    assert_eq!(
        endpoint_of(&mut harness, &mut client, routed(10, "eu/b")),
        1
    );
    client.send(routed(11, "odd"));
    harness.expect_reply(&mut client, "-ERR unknown route\r\n");
}

#[test]
fn a_service_whose_endpoints_have_left_harms_no_other() {
    let mut harness = harness(TWO);
    let (mut client, mut other) = (harness.connect(), harness.connect());
    harness.send_endpoint_states(42, &[(0, "DELETED")]);
    harness.run_until("the list", |s| s.program.list_revision() == 42);
    client.send(routed(1, "a"));
    for id in 2..12 {
        assert_eq!(endpoint_of(&mut harness, &mut other, routed(id, "eu/b")), 1);
    }
    client.read();
    assert!(
        !client.text().starts_with('$'),
        "no server of another service has answered: {}",
        client.text()
    );
    assert!(harness.endpoints[0].next_command().is_none());
}

/// Waits for the next command at any server; the client must not have been answered before.
fn arrival(harness: &mut Harness, client: &mut Connection) -> (usize, usize, Vec<String>) {
    let mut found = None;
    harness.run_until("a command at a server", |s| {
        found = s
            .endpoints
            .iter_mut()
            .enumerate()
            .find_map(|(n, p)| p.next_command().map(|(c, w)| (n, c, w)));
        client.read();
        assert!(
            found.is_some() || client.text().is_empty(),
            "answered without a server: {}",
            client.text()
        );
        found.is_some()
    });
    found.unwrap()
}

/// Requests that are out, few enough for the load bound of servers that have answered nothing yet:
/// who sent them, and where they arrived.
#[derive(Default)]
struct Out {
    clients: BTreeMap<u64, Connection>,
    arrived: BTreeMap<u64, (usize, usize)>,
}

impl Out {
    /// Each from a client of its own, one after the other; returns the servers that they came to.
    fn send(
        &mut self,
        harness: &mut Harness,
        ids: std::ops::Range<u64>,
        list: &str,
    ) -> BTreeSet<usize> {
        let mut endpoints = BTreeSet::new();
        for id in ids {
            let mut client = harness.connect();
            client.send(alone(id, list));
            let (endpoint, connection, words) = arrival(harness, &mut client);
            self.clients.insert(id, client);
            assert_eq!(number(&words), id);
            assert_eq!(
                self.arrived.insert(id, (endpoint, connection)),
                None,
                "request {id} came twice"
            );
            endpoints.insert(endpoint);
        }
        endpoints
    }

    /// All are answered, and each client has its own answer, once.
    fn answer(mut self, harness: &mut Harness) {
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
            "nothing is held any more"
        );
        harness.advance(5000);
        assert!(
            harness
                .endpoints
                .iter_mut()
                .all(|endpoint| endpoint.next_command().is_none()),
            "none was repeated"
        );
        for (id, client) in &mut self.clients {
            client.read();
            assert_eq!(client.text(), "", "request {id} was answered once");
        }
    }
}

#[test]
fn a_route_that_is_moved_while_requests_are_out_loses_none_and_repeats_none() {
    let mut harness = harness(TWO);
    let read = format!("{READ_FIELDS},route=a");
    let write = format!("{WRITE_FIELDS},route=a");
    let mut out = Out::default();
    assert_eq!(out.send(&mut harness, 0..2, &read), [0].into());
    assert_eq!(out.send(&mut harness, 2..3, &write), [0].into());
    reload(
        &mut harness,
        &TWO.replace(
            "route \"a\" service=\"forms\"",
            "route \"a\" service=\"orders\"",
        ),
    );
    assert_eq!(
        out.send(&mut harness, 3..5, &read),
        [1].into(),
        "new ones go by the new file"
    );
    assert_eq!(out.send(&mut harness, 5..6, &write), [1].into());
    out.answer(&mut harness);
}

#[test]
fn endpoints_that_are_moved_while_requests_are_out_lose_none_and_repeat_none() {
    let mut harness = harness(TWO);
    let (a, b) = (
        format!("{READ_FIELDS},route=a"),
        format!("{READ_FIELDS},route=eu/b"),
    );
    let mut out = Out::default();
    assert_eq!(out.send(&mut harness, 0..2, &a), [0].into());
    assert_eq!(out.send(&mut harness, 2..4, &b), [1].into());
    let exchanged = TWO
        .replace("s-0", "s-x")
        .replace("s-1", "s-0")
        .replace("s-x", "s-1");
    reload(&mut harness, &exchanged);
    assert_eq!(out.send(&mut harness, 4..5, &a), [1].into());
    assert_eq!(out.send(&mut harness, 5..6, &b), [0].into());
    out.answer(&mut harness);
}

#[test]
fn services_come_and_go_by_a_reload_while_requests_are_out() {
    let mut harness = harness("");
    let mut out = Out::default();
    // What the platform does not read is passed over: without the section a route is nothing.
    out.send(&mut harness, 0..1, &format!("{READ_FIELDS},route=odd"));
    reload(&mut harness, TWO);
    assert_eq!(
        out.send(&mut harness, 1..3, &format!("{READ_FIELDS},route=eu/b")),
        [1].into()
    );
    reload(&mut harness, "");
    out.send(&mut harness, 3..4, &format!("{READ_FIELDS},route=odd"));
    out.answer(&mut harness);
}

#[test]
fn a_reload_with_a_mistake_keeps_the_services_in_force() {
    let mut harness = harness(TWO);
    let mut client = harness.connect();
    let mistakes = [
        TWO.replace(
            "route \"a\" service=\"forms\"",
            "route \"a\" service=\"ordrs\"",
        ),
        TWO.replace("route \"a\"", "route \"eu/b\""),
        TWO.replace("{ servers \"s-0\" }", ""),
        TWO.replace("s-0", "s-1"),
        TWO.replace("services {", "services {\nmost 1"),
    ];
    for (wrong, id) in mistakes.iter().zip((0..).step_by(2)) {
        reload(&mut harness, wrong);
        assert_eq!(
            endpoint_of(&mut harness, &mut client, routed(id, "a")),
            0,
            "{wrong}"
        );
        assert_eq!(
            endpoint_of(&mut harness, &mut client, routed(id + 1, "eu/b")),
            1,
            "{wrong}"
        );
    }
}

#[test]
fn without_the_section_every_endpoint_answers_every_request() {
    let mut harness = harness("");
    let mut out = Out::default();
    let mut endpoints = out.send(&mut harness, 0..2, READ_FIELDS);
    endpoints.extend(out.send(&mut harness, 2..4, &format!("{READ_FIELDS},route=any")));
    assert_eq!(endpoints, [0, 1].into());
    out.answer(&mut harness);
}
