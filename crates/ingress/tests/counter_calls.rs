//! Calls to the counter: quotas, late and malformed replies, and failing connections.

mod common;

use common::*;

#[test]
fn a_request_over_quota_is_rejected_at_once_with_a_retry_after() {
    let mut harness = Harness::new(1);
    // Other ingresses have used up the customer's quota of the window.
    harness
        .counter
        .totals
        .insert("00000000b4d65521".to_owned(), 20.0);
    let mut client = harness.connect();
    let before = harness.now;
    client.send(read_request(1));
    let reply = harness.read_line(&mut client);
    let retry_after_ms: u64 = reply
        .strip_prefix("-BUSY ")
        .expect("a rejection")
        .trim()
        .parse()
        .unwrap();
    assert!((1..=1000).contains(&retry_after_ms), "{reply}");
    assert_eq!(harness.now, before, "no time has passed");
    assert!(
        harness.endpoints[0].connections.is_empty(),
        "no endpoint was contacted"
    );
}

#[test]
fn a_silent_counter_delays_no_request_and_its_late_total_counts_for_the_next() {
    let mut harness = Harness::new(1);
    harness.counter.mode = CounterMode::Silent;
    let mut client = harness.connect();
    client.send(read_request(1));
    harness.run_until("the call to the counter", |h| has_unanswered_call(h));
    assert_eq!(
        harness.endpoints[0].next_command(),
        None,
        "the request waits for the total"
    );
    harness.advance(81);
    let (_, connection, _) = harness.next_request();
    harness.endpoints[0].connections[connection].send(served_reply("v"));
    harness.expect_reply(&mut client, "$1\r\nv\r\n");
    // The total arrives long after the time-out. It says that others have used up the window.
    harness.advance(100);
    let counter_connection = harness.counter.connection_with_pending_call();
    counter_connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n99");
    for _ in 0..3 {
        harness.run_iteration();
    }
    // The late total counts at once, without another reply of the counter.
    client.send(read_request(2));
    assert!(harness.read_line(&mut client).starts_with("-BUSY "));
}

#[test]
fn a_reply_after_the_call_timeout_is_not_taken_for_the_next_call() {
    let mut harness = Harness::new(1);
    harness.counter.mode = CounterMode::Silent;
    let mut client = harness.connect();
    client.send(read_request(1));
    harness.run_until("the call to the counter", |h| has_unanswered_call(h));
    harness.advance(251);
    let (_, connection, _) = harness.next_request();
    harness.endpoints[0].connections[connection].send(served_reply("v"));
    harness.expect_reply(&mut client, "$1\r\nv\r\n");
    // The first reply arrives late with a total within the quota; the second total exceeds it.
    client.send(read_request(2));
    harness.run_until("the second call", |h| {
        h.counter
            .peer
            .connections
            .iter()
            .any(|c| c.input.windows(4).filter(|w| w == b"\r\n\r\n").count() == 2)
    });
    let counter_connection = harness.counter.connection_with_pending_call();
    counter_connection.send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
    for _ in 0..3 {
        harness.run_iteration();
    }
    assert_eq!(
        harness.endpoints[0].next_command(),
        None,
        "the late reply is not taken for the second call"
    );
    let counter_connection = harness.counter.connection_with_pending_call();
    counter_connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n99");
    assert!(harness.read_line(&mut client).starts_with("-BUSY "));
}

#[test]
fn a_malformed_counter_reply_closes_its_connection_and_fails_no_further_call() {
    for malformed in [
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnan",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n5",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n5",
        "\0noise\r\n\r\n",
        "no end",
    ] {
        let mut harness = Harness::new(1);
        harness.counter.mode = CounterMode::Silent;
        let mut client = harness.connect();
        client.send(read_request(1));
        harness.run_until("the call to the counter", |h| has_unanswered_call(h));
        let counter_connection = harness.counter.connection_with_pending_call();
        counter_connection.send(malformed);
        harness.run_iteration();
        harness.advance(26);
        harness.run_until("the connection is closed", |h| {
            h.counter.peer.connections.iter().all(|c| !c.is_open)
        });
        // The request is decided without a total, and the next call is made at once on a new
        // connection.
        let (_, connection, _) = harness.next_request();
        harness.endpoints[0].connections[connection].send(served_reply("v"));
        harness.expect_reply(&mut client, "$1\r\nv\r\n");
        harness.counter.mode = CounterMode::Replies;
        harness.counter.peer.connections.clear();
        let before = harness.now;
        client.send(read_request(2));
        let (_, connection, _) = harness.next_request();
        harness.endpoints[0].connections[connection].send(served_reply("w"));
        harness.expect_reply(&mut client, "$1\r\nw\r\n");
        assert_eq!(
            (harness.counter.calls.len(), harness.now),
            (1, before),
            "{malformed:?}"
        );
    }
}

#[test]
fn a_counter_connection_that_is_closed_during_a_call_is_reopened_at_once() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    let mut serve_one = |harness: &mut Harness, id| {
        client.send(read_request(id));
        let (_, connection, _) = harness.next_request();
        harness.endpoints[0].connections[connection].send(served_reply("v"));
        harness.expect_reply(&mut client, "$1\r\nv\r\n");
    };
    serve_one(&mut harness, 1);
    assert_eq!(harness.counter.calls.len(), 1);
    harness.counter.mode = CounterMode::Silent;
    let mut other = harness.connect();
    other.send(read_request(2));
    harness.run_until("the call to the counter", |h| has_unanswered_call(h));
    harness.counter.peer.connections.clear();
    let (_, connection, _) = harness.next_request();
    harness.endpoints[0].connections[connection].send(served_reply("w"));
    harness.expect_reply(&mut other, "$1\r\nw\r\n");
    // The next call gets its total without any time passing on the clock.
    harness.counter.mode = CounterMode::Replies;
    serve_one(&mut harness, 3);
    assert_eq!(
        harness.counter.calls.len(),
        2,
        "no call fails because a connection is missing"
    );
}

#[test]
fn a_counter_that_refuses_or_rejects_delays_no_request() {
    for refuses in [true, false] {
        let mut harness = Harness::new(1);
        harness.counter.mode = CounterMode::Rejects;
        if refuses {
            harness.counter.peer.stop();
        }
        let mut client = harness.connect();
        let before = harness.now;
        for id in 0..3 {
            client.send(read_request(id));
            let (_, connection, _) = harness.next_request();
            harness.endpoints[0].connections[connection].send(served_reply("v"));
            harness.expect_reply(&mut client, "$1\r\nv\r\n");
        }
        assert_eq!(harness.now, before);
    }
}

#[test]
fn a_silent_counter_connection_is_replaced() {
    let mut harness = Harness::new(1);
    harness.counter.mode = CounterMode::Silent;
    let mut client = harness.connect();
    client.send(read_request(1));
    harness.run_until("the call to the counter", |h| has_unanswered_call(h));
    harness.advance(251);
    harness.advance(1100);
    harness.run_until("the silent connection is closed", |h| {
        h.counter.peer.connections.iter().all(|c| !c.is_open)
    });
    harness.counter.mode = CounterMode::Replies;
    let calls = harness.counter.calls.len();
    client.send(read_request(2));
    harness.run_until("a call on a new connection", |h| {
        h.counter.calls.len() > calls
    });
}

#[test]
fn interim_replies_of_counter_and_discovery_are_skipped() {
    let mut harness = Harness::new(1);
    harness.counter.mode = CounterMode::Silent;
    let mut client = harness.connect();
    client.send(read_request(1));
    harness.run_until("the call to the counter", |h| has_unanswered_call(h));
    let counter_connection = harness.counter.connection_with_pending_call();
    counter_connection.send("HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n");
    counter_connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n99");
    assert!(harness.read_line(&mut client).starts_with("-BUSY "));
    harness.discovery_replies = false;
    harness.discovery.connections.clear();
    harness.advance(300);
    harness.advance(201);
    harness.run_until("a second watch", |h| h.watch_requests.len() == 2);
    let list = "{\"rev\":50,\"all\":false,\"targets\":[]}\n";
    let watch = harness.discovery.connections.last_mut().unwrap();
    watch
        .send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    watch.send(format!("{:x}\r\n{list}\r\n", list.len()));
    harness.run_until("the list is applied", |h| h.program.list_revision() == 50);
}

#[test]
fn a_total_without_a_length_counts_at_the_end_of_its_connection_and_not_at_a_reset() {
    for reset in [false, true] {
        let mut harness = Harness::new(1);
        harness.counter.mode = CounterMode::Silent;
        let mut client = harness.connect();
        client.send(read_request(1));
        harness.run_until("the call to the counter", |h| has_unanswered_call(h));
        let counter_connection = harness.counter.connection_with_pending_call();
        // More than this ingress's allowance of 8 units.
        counter_connection.send("HTTP/1.1 200 OK\r\n\r\n9");
        match reset {
            true => counter_connection.reset(),
            false => counter_connection.close(),
        }
        if reset {
            // The reply is incomplete, so the request is decided without a total.
            let (endpoint, connection, _) = harness.next_request();
            harness.endpoints[endpoint].connections[connection].send(served_reply("v"));
            harness.expect_reply(&mut client, "$1\r\nv\r\n");
        } else {
            assert!(harness.read_line(&mut client).starts_with("-BUSY"));
            assert_eq!(harness.endpoints[0].next_command(), None);
        }
    }
}
