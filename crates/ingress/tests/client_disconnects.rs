//! Clients that disconnect while their requests wait. Each test enforces the order of events that
//! it is about.

mod common;

use common::*;
use roseyard_ingress::program::OpenCounts;
use roseyard_ingress::routing::frontend::FrontendUsage;

#[test]
fn nothing_is_forwarded_and_units_are_returned_if_a_client_disconnects_during_the_counter_call() {
    for replied in [true, false] {
        let mut harness = Harness::new(1);
        harness.counter.mode = CounterMode::Silent;
        let mut client = harness.connect();
        client.send(read_request(1));
        harness.run_until("the call to the counter", |h| has_unanswered_call(h));
        disconnect_client(&mut harness, client);
        if replied {
            harness.counter.mode = CounterMode::Replies;
        }
        assert_nothing_forwarded(&mut harness, "counter");
        harness.counter.mode = CounterMode::Replies;
        harness.run_iteration();
        assert_eq!(
            harness.program.open(),
            OpenCounts::default(),
            "the request is released"
        );
        // The units of the cancelled request are subtracted with the customer's next call.
        assert_total_after_next_request(&mut harness, 1.0, &format!("replied: {replied}"));
    }
}

#[test]
fn nothing_is_forwarded_if_a_client_disconnects_while_its_attempt_connects() {
    let mut harness = Harness::new(1);
    harness.endpoints[0].stop_accepting();
    let mut client = harness.connect();
    client.send(read_request(1));
    harness.run_until("a connection to the endpoint is begun", |h| {
        h.program.open().upstream_connections == 1
    });
    disconnect_client(&mut harness, client);
    harness.endpoints[0].resume_accepting();
    assert_nothing_forwarded(&mut harness, "connect");
    assert_eq!(
        harness.program.open(),
        OpenCounts::default(),
        "the connection to the endpoint is closed too"
    );
    // The request has reached no endpoint, so the customer's next one is the first that counts.
    assert_total_after_next_request(&mut harness, 1.0, "no endpoint was reached");
}

#[test]
fn no_retry_is_made_if_a_client_disconnects_before_it() {
    for during_connect in [false, true] {
        let mut harness = Harness::new(2);
        let mut client = harness.connect();
        client.send(read_request(1));
        let (endpoint, connection, _) = harness.next_request();
        if during_connect {
            // The client disconnects while the retry's connection is being established.
            harness.endpoints[1 - endpoint].stop_accepting();
            harness.endpoints[endpoint].connections[connection].send("-BUSY\r\n");
            harness.run_until("the retry", |h| h.program.open().upstream_connections == 2);
            disconnect_client(&mut harness, client);
            harness.endpoints[1 - endpoint].resume_accepting();
        } else {
            // The disconnect and the endpoint's reply arrive in the same iteration.
            harness.endpoints[endpoint].connections[connection].send("-BUSY\r\n");
            drop(client);
        }
        assert_nothing_forwarded(&mut harness, "retry");
        assert_eq!(
            (
                harness.program.open().requests,
                harness.program.open().clients
            ),
            (0, 0)
        );
        assert_total_after_next_request(
            &mut harness,
            2.0,
            "the first attempt reached an endpoint and counts",
        );
    }
}

#[test]
fn nothing_is_forwarded_if_a_client_disconnects_while_reading_from_it_is_paused() {
    let mut harness = Harness::new(1);
    harness.counter.mode = CounterMode::Silent;
    let mut client = harness.connect();
    // More requests than the 1024 that may be pipelined on a connection.
    for id in 0..1100 {
        client.send(read_request_of_customer(1000 + id, id));
    }
    harness.run_until("reading is paused", |h| h.program.open().requests == 1024);
    for _ in 0..5 {
        harness.run_iteration();
    }
    drop(client);
    for _ in 0..5 {
        harness.run_iteration();
    }
    // The counter now replies with totals that are within all quotas.
    harness.counter.mode = CounterMode::Replies;
    assert_nothing_forwarded(&mut harness, "reading paused");
    assert_eq!(harness.program.open(), OpenCounts::default());
    assert_eq!(harness.program.client_usage(), FrontendUsage::default());
}

#[test]
fn no_pipelined_request_is_forwarded_if_the_client_disconnects() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    client.send(read_request(1));
    let (endpoint, connection, _) = harness.next_request();
    client.send("*1\r\n$4\r\nPING\r\n".repeat(1100));
    client.send(read_request_of_customer(7, 2));
    for _ in 0..40 {
        harness.run_iteration();
    }
    assert_eq!(
        harness.program.open().requests,
        1,
        "the second request is not read while reading is paused"
    );
    drop(client);
    harness.run_until("the first request is cancelled", |h| {
        !h.endpoints[endpoint].connections[connection].is_open
    });
    assert_nothing_forwarded(&mut harness, "pipeline");
    assert_eq!(harness.program.open(), OpenCounts::default());
}

#[test]
fn no_request_is_counted_or_forwarded_if_a_client_sends_many_and_disconnects() {
    for requests in [3, 800] {
        let mut harness = Harness::new(1);
        let mut client = harness.connect();
        harness.run_until("the client is accepted", |h| h.program.open().clients == 1);
        // The requests and the end of the connection arrive before the next iteration.
        client.send(
            (0..requests)
                .flat_map(|id| read_request_of_customer(1000 + id, id))
                .collect::<Vec<u8>>(),
        );
        client.close();
        drop(client);
        assert_nothing_forwarded(&mut harness, "many requests");
        assert_eq!(harness.program.open(), OpenCounts::default());
        assert_eq!(
            harness.counter.calls.len(),
            0,
            "{requests} requests: no call to the counter"
        );
    }
}
