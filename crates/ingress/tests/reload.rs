//! Reloads of the configuration while requests are in flight.

mod common;

use common::*;
use roseyard_operator_config::OperatorFile;

#[test]
fn a_reload_migrates_discovery_and_counter_at_once_and_loses_no_request_or_count() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    harness.counter.mode = CounterMode::Silent;
    client.send(read_request(1));
    let unanswered_calls = |counter: &FakeCounter| {
        counter
            .peer
            .connections
            .iter()
            .filter(|e| !e.input.is_empty())
            .count()
    };
    harness.run_until("the call", |h| unanswered_calls(&h.counter) == 1);
    // Two reloads in a row; the reply to the call at the first counter is still awaited.
    let mut first_counter = harness.reload_with_new_peers();
    harness.reload_with_new_peers();
    harness.run_until("the watch at the last address", |h| {
        h.watch_requests.len() >= 2 && h.discovery.connections.len() == 1
    });
    // The next call for the same customer must not overtake the one in flight.
    client.send(read_request(2));
    for _ in 0..5 {
        harness.run_iteration();
    }
    assert_eq!(
        (
            unanswered_calls(&first_counter),
            unanswered_calls(&harness.counter)
        ),
        (1, 0)
    );
    first_counter.mode = CounterMode::Replies;
    first_counter.serve();
    let (_, connection, words) = harness.next_request();
    assert!(
        words[2].ends_with('1'),
        "the first request is decided by the total of the old counter: {words:?}"
    );
    harness.endpoints[0].connections[connection].send(served_reply("one"));
    let (_, connection, words) = harness.next_request();
    assert!(words[2].ends_with('2'), "{words:?}");
    assert_eq!(
        harness.counter.calls.len(),
        1,
        "the second call went to the new address"
    );
    harness.endpoints[0].connections[connection].send(served_reply("two"));
    harness.expect_reply(&mut client, "$3\r\none\r\n$3\r\ntwo\r\n");
    harness.run_until("the end of the connections to the old counter", |_| {
        first_counter.peer.read();
        first_counter.peer.connections.iter().all(|e| !e.is_open)
    });
}

#[test]
fn calls_behind_a_silent_old_counter_go_to_the_new_one_after_the_call_timeout() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    harness.counter.mode = CounterMode::Silent;
    client.send(read_request(1));
    harness.run_until("the call", |h| has_unanswered_call(h));
    let _silent = harness.reload_with_new_peers();
    harness.advance(200);
    client.send(read_request(2));
    for _ in 0..5 {
        harness.run_iteration();
    }
    harness.advance(51);
    harness.run_until("the call at the new address", |h| {
        h.counter.calls.len() == 1
    });
}

#[test]
fn an_unreadable_configuration_changes_nothing() {
    let mut harness = Harness::new(1);
    harness
        .program
        .reload(parse_config("not a configuration").map(|config| (config, OperatorFile::empty())));
    let mut client = harness.connect();
    client.send(read_request(1));
    let (_, connection, _) = harness.next_request();
    harness.endpoints[0].connections[connection].send(served_reply("v"));
    harness.expect_reply(&mut client, "$1\r\nv\r\n");
    assert_eq!(
        (harness.counter.calls.len(), harness.watch_requests.len()),
        (1, 1)
    );
}
