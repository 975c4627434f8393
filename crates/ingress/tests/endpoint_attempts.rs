//! Attempts on connections to endpoints: connect failures, time-outs, drains and changes of
//! address.

mod common;

use common::*;
use roseyard_ingress::program::OpenCounts;

#[test]
fn an_idle_connection_is_reused_and_closed_before_the_endpoint_closes_it() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    for id in 0..3 {
        client.send(read_request(id));
        let (_, connection, _) = harness.next_request();
        assert_eq!(connection, 0, "the pooled connection is reused");
        harness.endpoints[0].connections[connection].send(served_reply("v"));
        harness.expect_reply(&mut client, "$1\r\nv\r\n");
        harness.advance(20);
    }
    harness.advance(14_000);
    harness.run_until("the pool is empty", |h| {
        !h.endpoints[0].connections[0].is_open
    });
}

#[test]
fn a_keyed_request_whose_connection_breaks_after_its_last_byte_fails_without_retry_after() {
    let mut harness = Harness::new(2);
    let mut client = harness.connect();
    client.send(request("API.WRITE", 1, WRITE_FIELDS));
    let (endpoint, _, _) = harness.next_request();
    harness.endpoints[endpoint].connections.clear();
    // The other endpoint belongs to another pod group, which does not know the idempotency key.
    harness.expect_reply(&mut client, "-ERR failed\r\n");
    assert_eq!(harness.endpoints[1 - endpoint].next_command(), None);
}

#[test]
fn a_refused_connection_means_not_executed() {
    let mut harness = Harness::new(1);
    harness.endpoints[0].stop();
    let mut client = harness.connect();
    client.send(request("API.WRITE", 1, WRITE_FIELDS));
    // A keyed request that might have been executed would get an error without a retry time.
    assert!(harness.read_line(&mut client).starts_with("-BUSY "));
}

#[test]
fn a_connect_timeout_means_not_executed() {
    let mut harness = Harness::new(1);
    harness.endpoints[0].stop_accepting();
    let mut client = harness.connect();
    client.send(request("API.WRITE", 1, WRITE_FIELDS));
    harness.run_until("the ingress begins to connect", |h| {
        h.program.open().upstream_connections == 1
    });
    harness.advance(251);
    assert!(harness.read_line(&mut client).starts_with("-BUSY "));
    assert_eq!(harness.program.open().upstream_connections, 0);
}

#[test]
fn an_attempt_awaiting_its_connection_is_not_written_to_a_draining_endpoint() {
    let mut harness = Harness::new(1);
    harness.endpoints[0].stop_accepting();
    let mut client = harness.connect();
    client.send(request("API.WRITE", 1, WRITE_FIELDS));
    harness.run_until("the ingress begins to connect", |h| {
        h.program.open().upstream_connections == 1
    });
    harness.send_endpoint_states(42, &[(0, "DRAINING")]);
    harness.run_until("the list", |h| h.program.list_revision() == 42);
    // The connection is established only after the list has been applied.
    harness.endpoints[0].resume_accepting();
    assert!(harness.read_line(&mut client).starts_with("-BUSY "));
    harness.endpoints[0].read();
    assert_eq!(harness.endpoints[0].next_command(), None);
}

#[test]
fn nothing_is_written_to_the_old_address_of_an_endpoint_that_moved() {
    let mut harness = Harness::new(1);
    harness.endpoints[0].stop_accepting();
    let (mut client, mut other) = (harness.connect(), harness.connect());
    client.send(request("API.WRITE", 1, WRITE_FIELDS));
    harness.run_until("the ingress begins to connect", |h| {
        h.program.open().upstream_connections == 1
    });
    let mut old = std::mem::replace(&mut harness.endpoints[0], Peer::new());
    harness.send_endpoint_states(42, &[(0, "SERVING")]);
    harness.run_until("the list", |h| h.program.list_revision() == 42);
    // The connection to the old address is established only after the list has been applied.
    old.resume_accepting();
    harness.run_until("the reply", |_| {
        old.read();
        client.read();
        !client.input.is_empty()
    });
    assert!(client.received_text().starts_with("-BUSY "));
    other.send(read_request(2));
    let (_, connection, _) = harness.next_request();
    old.read();
    assert_eq!(old.next_command(), None);
    // After a second change of address, the reply on a connection to the previous address is still
    // forwarded, but the connection is not reused.
    let mut previous = std::mem::replace(&mut harness.endpoints[0], Peer::new());
    harness.send_endpoint_states(43, &[(0, "SERVING")]);
    harness.run_until("the list", |h| h.program.list_revision() == 43);
    previous.connections[connection].send(served_reply("v"));
    harness.expect_reply(&mut other, "$1\r\nv\r\n");
    harness.run_until("its connection is closed", |_| {
        previous.read();
        !previous.connections[connection].is_open
    });
}

#[test]
fn an_attempt_timeout_closes_its_connection_and_fails_the_request() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    client.send(request("API.WRITE", 1, WRITE_FIELDS));
    let (_, connection, _) = harness.next_request();
    harness.advance(1001);
    harness.expect_reply(&mut client, "-ERR failed\r\n");
    harness.run_until("the connection of the attempt is closed", |h| {
        !h.endpoints[0].connections[connection].is_open
    });
    let open = OpenCounts {
        clients: 1,
        ..OpenCounts::default()
    };
    assert_eq!(harness.program.open(), open);
}

#[test]
fn a_disconnected_client_has_its_attempt_cancelled() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    client.send(read_request(1));
    let (_, connection, _) = harness.next_request();
    drop(client);
    harness.run_until("the connection of the attempt is closed", |h| {
        !h.endpoints[0].connections[connection].is_open
    });
    assert_eq!(harness.program.open(), OpenCounts::default());
}

#[test]
fn a_draining_endpoint_gets_no_new_request_and_completes_those_it_has() {
    let mut harness = Harness::new(2);
    let mut client = harness.connect();
    client.send(read_request(1));
    let (drained, connection, _) = harness.next_request();
    harness.send_endpoint_states(42, &[(drained, "DRAINING")]);
    harness.run_until("the list", |h| h.program.list_revision() == 42);
    let mut other = harness.connect();
    for id in 2..6 {
        other.send(read_request(id));
        let (endpoint, connection, _) = harness.next_request();
        assert_eq!(endpoint, 1 - drained);
        harness.endpoints[endpoint].connections[connection].send(served_reply("w"));
        harness.expect_reply(&mut other, "$1\r\nw\r\n");
    }
    harness.endpoints[drained].connections[connection].send(served_reply("v"));
    harness.expect_reply(&mut client, "$1\r\nv\r\n");
    harness.run_until("its connection is closed", |h| {
        !h.endpoints[drained].connections[connection].is_open
    });
}

/// Sends 60 requests, each 200 ms after the previous one, to an endpoint that keeps an idle
/// connection for only 100 ms. The ingress notices the end of a connection only after it has
/// written another request to it. Returns how many of the last 30 requests were lost in this way.
fn requests_lost_on_dead_connections(command: &str, fields: &str) -> usize {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    let mut lost_requests = 0;
    for id in 0..60 {
        client.send(request_of_customer(id + 1, command, id, fields));
        let (endpoint, connection, _) = harness.next_request();
        let pooled = &mut harness.endpoints[endpoint].connections[connection];
        if pooled.has_carried_request {
            lost_requests += usize::from(id >= 30);
            harness.endpoints[endpoint].connections.remove(connection);
        } else {
            pooled.has_carried_request = true;
            pooled.send(served_reply("v"));
        }
        harness.run_until("the reply", |_| {
            client.read();
            client.input.ends_with(b"\r\n")
        });
        client.input.clear();
        harness.advance(200);
    }
    lost_requests
}

#[test]
fn the_ingress_learns_not_to_reuse_idle_connections_that_die_unnoticed() {
    let lost_writes = requests_lost_on_dead_connections("API.WRITE", WRITE_FIELDS);
    assert!(lost_writes <= 3, "{lost_writes} of 30 writes were lost");
    let lost_reads = requests_lost_on_dead_connections("API.READ", READ_FIELDS);
    assert!(
        lost_reads <= 3,
        "{lost_reads} of 30 reads were sent on dead connections"
    );
}

#[test]
fn a_non_idempotent_request_is_sent_once_and_replied_to_once_however_its_attempt_ends() {
    const NON_IDEMPOTENT_FIELDS: &str = "c=submit,t=seedling,d=3000,units=1,spread=1,first=0";
    for outcome in [
        "reset",
        "truncated reply",
        "malformed",
        "error",
        "silence",
        "sigterm",
    ] {
        let mut harness = Harness::new(2);
        harness.restart_with_replacements(&[(
            "\"Effect\":\"idempotency_key\"",
            "\"Effect\":\"non_idempotent\"",
        )]);
        let mut client = harness.connect();
        client.send(request("API.WRITE", 1, NON_IDEMPOTENT_FIELDS));
        let (first_endpoint, connection, _) = harness.next_request();
        match outcome {
            "reset" => harness.endpoints[first_endpoint].connections.clear(),
            "truncated reply" => {
                harness.endpoints[first_endpoint].connections[connection].send("*3\r\n$1\r\n");
                harness.endpoints[first_endpoint].connections[connection].close();
            }
            "malformed" => harness.endpoints[first_endpoint].connections[connection]
                .send("*3\r\n:1\r\n$-1\r\n$-1\r\n"),
            "error" => harness.endpoints[first_endpoint].connections[connection]
                .send("-ERR failed used=37\r\n"),
            "sigterm" => {
                harness.program.shut_down();
                harness.advance(10);
                harness.endpoints[first_endpoint].connections.clear();
            }
            // The endpoint stays silent until the latency objective and the deadline have passed.
            _ => {}
        }
        for _ in 0..40 {
            harness.advance(100);
            client.read();
            assert_eq!(
                harness.endpoints[1 - first_endpoint].next_command(),
                None,
                "{outcome}: the request was sent again"
            );
        }
        assert_eq!(
            client.received_text(),
            "-ERR failed\r\n",
            "{outcome}: one final reply, without a retry time"
        );
        assert_eq!(
            harness.endpoints[first_endpoint].next_command(),
            None,
            "{outcome}: the request was sent again"
        );
    }
}
