//! Clients that disconnect while their requests wait: each test forces the order that matters.

mod common;

use common::*;
use roseyard_ingress::program::OpenCounts;
use roseyard_ingress::routing::frontend::FrontendUsage;

#[test]
fn a_client_that_disconnects_during_the_counter_call_has_nothing_forwarded_and_counts_once() {
    for replied in [true, false] {
        let mut harness = Harness::new(1);
        harness.counter.mode = CounterMode::Silent;
        let mut client = harness.connect();
        client.send(read_request(1));
        harness.run_until("the call", |s| has_unanswered_call(s));
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
            "its requests are released"
        );
        // Its units are subtracted with the customer's next increment.
        assert_total_after_next_request(&mut harness, 1.0, &format!("replied: {replied}"));
    }
}

#[test]
fn a_client_that_disconnects_during_the_connect_has_nothing_written() {
    let mut harness = Harness::new(1);
    harness.endpoints[0].stop_accepting();
    let mut client = harness.connect();
    client.send(read_request(1));
    harness.run_until("the connection is begun", |s| {
        s.program.open().upstream_connections == 1
    });
    disconnect_client(&mut harness, client);
    harness.endpoints[0].resume_accepting();
    assert_nothing_forwarded(&mut harness, "connect");
    assert_eq!(
        harness.program.open(),
        OpenCounts::default(),
        "its connection goes too"
    );
    // Nothing has reached an endpoint: the customer's next request is the first that counts.
    assert_total_after_next_request(&mut harness, 1.0, "no endpoint was reached");
}

#[test]
fn a_client_that_disconnects_before_a_retry_has_none_made() {
    for behind_link in [false, true] {
        let mut harness = Harness::new(2);
        let mut client = harness.connect();
        client.send(read_request(1));
        let (s, c, _) = harness.next_request();
        if behind_link {
            // The retry waits for its connection when the client disconnects.
            harness.endpoints[1 - s].stop_accepting();
            harness.endpoints[s].connections[c].send("-BUSY\r\n");
            harness.run_until("the retry", |s| s.program.open().upstream_connections == 2);
            disconnect_client(&mut harness, client);
            harness.endpoints[1 - s].resume_accepting();
        } else {
            // Its end and the endpoint's reply come in one round.
            harness.endpoints[s].connections[c].send("-BUSY\r\n");
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
            "the first attempt has reached an endpoint",
        );
    }
}

#[test]
fn a_client_that_disconnects_while_its_reading_is_paused_has_nothing_forwarded() {
    let mut harness = Harness::new(1);
    harness.counter.mode = CounterMode::Silent;
    let mut client = harness.connect();
    // As many as may be pipelined on a connection, and more behind them.
    for id in 0..1100 {
        client.send(read_request_of_customer(1000 + id, id));
    }
    harness.run_until("reading is paused", |s| s.program.open().requests == 1024);
    for _ in 0..5 {
        harness.run_iteration();
    }
    drop(client);
    for _ in 0..5 {
        harness.run_iteration();
    }
    // Now the totals come, all within their quotas.
    harness.counter.mode = CounterMode::Replies;
    assert_nothing_forwarded(&mut harness, "reading paused");
    assert_eq!(harness.program.open(), OpenCounts::default());
    assert_eq!(harness.program.client_usage(), FrontendUsage::default());
}

#[test]
fn a_client_that_disconnects_with_pipelined_requests_has_none_forwarded() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    client.send(read_request(1));
    let (s, c, _) = harness.next_request();
    client.send("*1\r\n$4\r\nPING\r\n".repeat(1100));
    client.send(read_request_of_customer(7, 2));
    for _ in 0..40 {
        harness.run_iteration();
    }
    assert_eq!(
        harness.program.open().requests,
        1,
        "the second stays unread behind the first"
    );
    drop(client);
    harness.run_until("the first is cancelled", |harness| {
        !harness.endpoints[s].connections[c].is_open
    });
    assert_nothing_forwarded(&mut harness, "pipeline");
    assert_eq!(harness.program.open(), OpenCounts::default());
}

#[test]
fn a_client_that_sends_many_requests_and_disconnects_has_none_counted_or_forwarded() {
    for requests in [3, 800] {
        let mut harness = Harness::new(1);
        let mut client = harness.connect();
        harness.run_until("it is accepted", |s| s.program.open().clients == 1);
        // All of it and the end are there before the next round.
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
            "{requests}: no quota is used"
        );
    }
}
