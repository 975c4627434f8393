//! The exact bytes that an ingress writes to endpoints, the counter, discovery and clients.

mod common;

use common::*;
use std::time::Duration;

/// The commands of clients, byte for byte as they are sent.
const READ: &str = "*4\r\n$8\r\nAPI.READ\r\n$16\r\n00000000b4d65521\r\n$16\r\n0000000000000007\r\n\
                    $54\r\nc=form-load,t=seedling,d=3000,units=1,spread=1,first=0\r\n";
const WRITE: &str = "*5\r\n$9\r\nAPI.WRITE\r\n$16\r\n00000000b4d65521\r\n$16\r\n0000000000000008\r\n\
                     $70\r\nc=submit,t=seedling,d=3000,k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0\r\n\
                     $4\r\nbody\r\n";

/// Runs until the endpoint has received bytes that end with `end`. Returns the connection and the
/// bytes.
fn bytes_at_endpoint(harness: &mut Harness, end: &str) -> (usize, String) {
    let mut found = None;
    harness.run_until("bytes at the endpoint", |h| {
        let connections = h.endpoints[0].connections.iter_mut().enumerate();
        found = connections
            .filter(|(_, e)| e.received_text().ends_with(end))
            .map(|(n, e)| (n, String::from_utf8(std::mem::take(&mut e.input)).unwrap()))
            .next();
        found.is_some()
    });
    found.unwrap()
}

#[test]
fn a_read_is_forwarded_with_its_deadline_replaced() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    client.send(READ);
    let (connection, bytes) = bytes_at_endpoint(&mut harness, "first=0\r\n");
    assert_eq!(
        bytes,
        "*4\r\n$8\r\nAPI.READ\r\n$16\r\n00000000b4d65521\r\n$16\r\n0000000000000007\r\n\
         $54\r\nc=form-load,t=seedling,d=2996,units=1,spread=1,first=0\r\n"
    );
    harness.endpoints[0].connections[connection].send(served_reply("value"));
    harness.expect_reply(&mut client, "$5\r\nvalue\r\n");
}

#[test]
fn a_write_is_forwarded_with_its_body_and_its_deadline_replaced() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    client.send(WRITE);
    let (connection, bytes) = bytes_at_endpoint(&mut harness, "body\r\n");
    assert_eq!(
        bytes,
        "*5\r\n$9\r\nAPI.WRITE\r\n$16\r\n00000000b4d65521\r\n$16\r\n0000000000000008\r\n\
         $70\r\nc=submit,t=seedling,d=1000,k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0\r\n\
         $4\r\nbody\r\n"
    );
    harness.endpoints[0].connections[connection].send(served_reply(""));
    harness.expect_reply(&mut client, "$0\r\n\r\n");
}

#[test]
fn a_counter_call_names_the_customer_the_units_and_the_time_to_live() {
    let mut harness = Harness::new(1);
    harness.counter.mode = CounterMode::Silent;
    let mut client = harness.connect();
    client.send(READ);
    harness.run_until("a counter call", |h| {
        let connections = &h.counter.peer.connections;
        connections.iter().any(|e| e.input.ends_with(b"\r\n\r\n"))
    });
    let connections = &harness.counter.peer.connections;
    let call = connections
        .iter()
        .map(Connection::received_text)
        .find(|t| !t.is_empty());
    let host = harness.counter.peer.address;
    assert_eq!(
        call.unwrap(),
        format!("POST /tally/00000000b4d65521?n=1&keep_ms=4000 HTTP/1.1\r\nHost: {host}\r\nContent-Length: 0\r\n\r\n")
    );
}

#[test]
fn the_watch_request_names_the_current_revision() {
    let mut harness = Harness::new(1);
    let old = std::mem::replace(&mut harness.discovery, Peer::new());
    let text = config(
        &harness.counter.peer,
        &harness.discovery,
        &harness.endpoints,
        1024,
    );
    let clock = roseyard_ingress::clock::Clock::start();
    let new_config =
        roseyard_ingress::program::config::Config::parse(text.into(), |_| None).unwrap();
    drop(old);
    harness.program =
        roseyard_ingress::program::Program::start(&new_config, &operator_file(""), clock).unwrap();
    harness.now = clock.now();
    let start = std::time::Instant::now();
    let mut request = String::new();
    while !request.ends_with("\r\n\r\n") {
        let now = harness.now;
        let wait = Some(Duration::from_millis(1));
        harness.program.run_iteration(wait, || now).unwrap();
        harness.discovery.read();
        request = harness
            .discovery
            .connections
            .iter()
            .map(Connection::received_text)
            .collect();
        assert!(
            start.elapsed() < Duration::from_secs(20),
            "no watch request: {request:?}"
        );
    }
    let host = harness.discovery.address;
    assert_eq!(
        request,
        format!("GET /discovery/hosts?watch=1&after=41 HTTP/1.1\r\nHost: {host}\r\n\r\n")
    );
}

#[test]
fn a_health_check_asks_for_the_load_report() {
    let mut harness = Harness::new(1);
    harness.restart_with_replacements(&[("\"Probes\":false", "\"Probes\":true")]);
    let mut client = harness.connect();
    client.send(READ);
    bytes_at_endpoint(&mut harness, "first=0\r\n");
    let mut sent = None;
    for _ in 0..200 {
        harness.advance(10);
        let mut connections = harness.endpoints[0].connections.iter();
        sent = connections
            .find(|e| !e.input.is_empty())
            .map(|e| e.received_text().to_owned());
        if sent.as_ref().is_some_and(|t| t.ends_with("load\r\n")) {
            break;
        }
    }
    assert_eq!(sent.as_deref(), Some("*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n"));
}

#[test]
fn clients_are_sent_the_exact_reply_to_each_command() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    for (command, reply) in [
        ("*1\r\n$4\r\nPING\r\n", "+PONG\r\n"),
        ("*1\r\n$6\r\nCLIENT\r\n", "+OK\r\n"),
        ("*1\r\n$6\r\nSELECT\r\n", "+OK\r\n"),
        ("*1\r\n$3\r\nGET\r\n", "-ERR unknown command\r\n"),
        ("*0\r\n", "-ERR empty command\r\n"),
        (
            "*1\r\n$8\r\nAPI.READ\r\n",
            "-ERR wrong number of arguments\r\n",
        ),
        ("*1\r\n$4\r\nQUIT\r\n", "+OK\r\n"),
    ] {
        client.send(command);
        harness.expect_reply(&mut client, reply);
    }
    harness.run_until_closed(&mut client);
    let mut client = harness.connect();
    client.send("GET / HTTP/1.1\r\n");
    harness.expect_reply(&mut client, "-ERR Protocol error: expected '*'\r\n");
    harness.run_until_closed(&mut client);
}

#[test]
fn a_client_is_sent_loading_until_discovery_has_replied() {
    let mut harness = Harness::new(1);
    harness.discovery_replies = false;
    harness.restart_with_replacements(&[]);
    let mut client = harness.connect();
    client.send("*1\r\n$4\r\nPING\r\n");
    harness.expect_reply(&mut client, "-LOADING waiting for discovery\r\n");
    client.send(READ);
    harness.expect_reply(&mut client, "-BUSY\r\n");
}

#[test]
fn a_client_is_sent_failed_when_the_endpoint_replies_with_an_error() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    client.send(WRITE);
    let (connection, _) = bytes_at_endpoint(&mut harness, "body\r\n");
    harness.endpoints[0].connections[connection].send("-ERR failed\r\n");
    harness.expect_reply(&mut client, "-ERR failed\r\n");
}

#[test]
fn during_shutdown_a_request_is_rejected_and_one_without_a_reply_fails() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    client.send(READ);
    bytes_at_endpoint(&mut harness, "first=0\r\n");
    harness.program.shut_down();
    harness.advance(600);
    client.send(READ.replace("0000000000000007", "0000000000000009"));
    harness.advance(50);
    harness.advance(5_000);
    harness.run_until_closed(&mut client);
    assert_eq!(client.received_text(), "-ERR failed\r\n-BUSY\r\n");
}
