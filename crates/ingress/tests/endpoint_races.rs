//! Races between events on connections to endpoints. Each test forces the order that matters.

mod common;

use common::*;
use roseyard_ingress::program::OpenCounts;
use std::time::Duration;

const BODY_BYTES: usize = 60_000;

/// Starts an ingress with two endpoints in different cells and sends it a write that is larger than
/// the socket buffers. Returns when a part of the write has been sent to an endpoint, which has
/// read nothing yet, with the index of that endpoint.
fn partly_written_request() -> (Harness, Connection, usize) {
    let mut harness = Harness::new(2);
    harness.endpoints = vec![Peer::with_small_buffers(), Peer::with_small_buffers()];
    harness.restart_with_replacements(&[]);
    let mut client = harness.connect();
    client.send(write_with_body(1, BODY_BYTES));
    let endpoint = harness.run_until_contacted(|peer| {
        peer.connections
            .first()
            .is_some_and(|e| e.peek_length() > 0)
    });
    (harness, client, endpoint)
}

#[test]
fn an_endpoint_that_closes_or_replies_during_the_write_did_not_execute_the_request() {
    for event in ["end", "reset", "served", "busy", "partial"] {
        for bytes_read in [0, 1, 700, 4000] {
            let (mut harness, mut client, endpoint) = partly_written_request();
            let mut broken = harness.endpoints[endpoint].connections.remove(0);
            while broken.input.len() < bytes_read {
                broken.read_some(bytes_read - broken.input.len());
            }
            match event {
                "end" => broken.close(),
                "reset" => broken.reset(),
                "served" => broken.send(served_reply("x")),
                "busy" => broken.send("-BUSY\r\n"),
                _ => broken.send("*3\r\n$1\r\n"),
            }
            // The other endpoint is in another cell, where the request may be sent only because it
            // was provably not executed.
            let (other, connection, words) = harness.next_request();
            assert_eq!(
                (other, words[4].len()),
                (1 - endpoint, BODY_BYTES),
                "{event} after {bytes_read} bytes"
            );
            harness.endpoints[other].connections[connection].send(served_reply("v"));
            harness.expect_reply(&mut client, "$1\r\nv\r\n");
            broken.read();
            assert!(
                broken.input.len() < BODY_BYTES,
                "{event}: the endpoint received the complete command"
            );
        }
    }
}

#[test]
fn a_client_that_disconnects_during_the_write_has_nothing_executed_or_counted() {
    let (mut harness, client, endpoint) = partly_written_request();
    disconnect_client(&mut harness, client);
    assert_nothing_forwarded(&mut harness, "during the write");
    assert_eq!(
        harness.program.open(),
        OpenCounts::default(),
        "the connection to the endpoint is closed too"
    );
    assert!(
        !harness.endpoints[endpoint].connections[0].is_open
            && harness.endpoints[endpoint].connections[0].input.len() < BODY_BYTES
    );
    assert_total_after_next_request(
        &mut harness,
        1.0,
        "no complete request has reached an endpoint",
    );
}

#[test]
fn bytes_before_the_first_request_are_not_taken_for_a_reply() {
    // A complete value, a rejection, a partial value or the end of the stream arrives before the
    // first request is written to the new connection.
    for early in [
        served_reply("x"),
        "-BUSY\r\n".to_owned(),
        "*3\r\n$5".to_owned(),
        String::new(),
    ] {
        let mut harness = Harness::new(2);
        let mut client = harness.connect();
        client.send(request("API.WRITE", 1, WRITE_FIELDS));
        // The ingress begins to connect in one iteration and sees the connection established in the
        // next.
        let early_endpoint = harness.run_until_contacted(|peer| !peer.connections.is_empty());
        match early.as_str() {
            "" => harness.endpoints[early_endpoint].connections[0].half_close(),
            early => harness.endpoints[early_endpoint].connections[0].send(early),
        }
        let (endpoint, connection, _) = harness.next_request();
        assert_ne!(
            endpoint, early_endpoint,
            "{early:?}: the connection was used although its replies cannot be matched to requests"
        );
        harness.endpoints[endpoint].connections[connection].send(served_reply("v"));
        harness.expect_reply(&mut client, "$1\r\nv\r\n");
        assert_eq!(
            harness.endpoints[early_endpoint].next_command(),
            None,
            "{early:?}"
        );
    }
}

#[test]
fn an_endless_reply_is_bounded_in_time_and_reaches_no_other_request() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    client.send(request("API.WRITE", 1, WRITE_FIELDS));
    let (endpoint, connection, _) = harness.next_request();
    harness.endpoints[endpoint].connections[connection].send("*3\r\n$60000\r\n");
    let started_at = harness.now;
    while harness.program.open().requests > 0 {
        harness.endpoints[endpoint].connections[connection].send("x");
        harness.advance(100);
        assert!(
            harness.now <= started_at + Duration::from_millis(1100),
            "the attempt with an endless reply did not time out"
        );
    }
    harness.expect_reply(&mut client, "-ERR failed\r\n");
    harness.run_until("its connection is closed", |harness| {
        harness.endpoints[endpoint].connections[connection].read();
        !harness.endpoints[endpoint].connections[connection].is_open
    });
    serve_request(&mut harness, &mut client, read_request(2));
}

#[test]
fn a_request_that_arrives_as_its_idle_connection_times_out_is_served() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    serve_request(&mut harness, &mut client, read_request(1));
    serve_request(&mut harness, &mut client, read_request_of_customer(7, 2));
    client.send(read_request_of_customer(8, 3));
    harness.now += Duration::from_millis(6001);
    let (endpoint, connection, _) = harness.next_request();
    harness.endpoints[endpoint].connections[connection].send(served_reply("w"));
    harness.expect_reply(&mut client, "$1\r\nw\r\n");
}

#[test]
fn a_non_idempotent_request_is_retried_only_if_provably_not_executed() {
    // Whether a request may be repeated depends on the settings of its class alone, not on the
    // command or on the name of the class.
    for (class, reply, is_retried) in [
        ("kart-les", "-BUSY\r\n", true),
        ("kart-les", "-ERR failed\r\n", false),
        ("form-load", "-BUSY inflight=1\r\n", true),
        ("form-load", "*3\r\n$1\r\nv", false),
        ("form-load", "", false),
        ("a", "-BUSYBODY\r\n", false),
        // More bytes follow the rejection, which can therefore not be matched to a request.
        ("a", "-BUSY\r\n-BUSY\r\n", false),
        ("a", "-BUSY\r\n*3\r\n", false),
    ] {
        let mut harness = Harness::new(3);
        harness.restart_with_replacements(&[
            ("\"read_like\"", "\"non_idempotent\""),
            ("\"form-load\"", &format!("{class:?}")),
        ]);
        let mut client = harness.connect();
        client.send(request(
            "API.WRITE",
            1,
            &READ_FIELDS.replace("form-load", class),
        ));
        let (endpoint, connection, _) = harness.next_request();
        harness.endpoints[endpoint].connections[connection].send(reply);
        if reply.is_empty() || !reply.ends_with('\n') {
            harness.endpoints[endpoint].connections[connection].close();
        }
        if is_retried {
            let (other, connection, words) = harness.next_request();
            assert!(other != endpoint && words[2].ends_with('1'));
            harness.endpoints[other].connections[connection].send(served_reply("v"));
            harness.expect_reply(&mut client, "$1\r\nv\r\n");
        } else {
            harness.expect_reply(&mut client, "-ERR failed\r\n");
        }
        for _ in 0..10 {
            harness.advance(100);
            assert_eq!(
                harness.endpoints.iter_mut().find_map(Peer::next_command),
                None,
                "{class} {reply:?}"
            );
        }
    }
}

#[test]
fn a_keyed_request_is_not_retried_after_its_deduplication_window() {
    for after_window in [false, true] {
        let mut harness = Harness::new(2);
        harness.restart_with_replacements(&[
            ("\"Group\":\"cell\"", "\"Group\":\"all\""),
            ("\"WindowMs\":8000.0", "\"WindowMs\":300.0"),
        ]);
        harness.run_iteration();
        let mut client = harness.connect();
        client.send(request("API.WRITE", 1, WRITE_FIELDS));
        let (endpoint, connection, _) = harness.next_request();
        harness.endpoints[1 - endpoint].stop_accepting();
        harness.advance(250);
        // The request may have been executed. Its retry is decided within the window, and the
        // connection for it is established within the window or after it.
        harness.endpoints[endpoint].connections[connection].send("-ERR failed\r\n");
        harness.run_until("the retry", |h| h.program.open().upstream_connections == 2);
        harness.now += Duration::from_millis(if after_window { 60 } else { 20 });
        harness.endpoints[1 - endpoint].resume_accepting();
        if after_window {
            let line = harness.read_line(&mut client);
            assert!(
                line.starts_with("-BUSY") || line.starts_with("-ERR failed"),
                "{line}"
            );
            assert_nothing_forwarded(&mut harness, "after the deduplication window");
        } else {
            assert_eq!(harness.next_request().0, 1 - endpoint);
        }
    }
}
