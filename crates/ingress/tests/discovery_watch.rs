//! The watch on discovery, which is reopened when it stays silent or breaks, or when discovery
//! moves to another address.

mod common;

use common::*;
use std::time::Duration;

#[test]
fn a_silent_watch_is_reopened_from_the_current_revision() {
    let mut harness = Harness::new(1);
    assert_eq!(
        harness.watch_requests,
        ["GET /discovery/hosts?watch=1&after=41 HTTP/1.1"]
    );
    harness.send_endpoint_states(43, &[(0, "SERVING")]);
    harness.run_until("the list", |h| h.program.list_revision() == 43);
    harness.discovery_replies = false;
    harness.advance(2900);
    assert_eq!(
        harness.watch_requests.len(),
        1,
        "the watch was reopened before its silence time-out"
    );
    harness.advance(200);
    harness.run_until("a second call", |h| h.watch_requests.len() == 2);
    assert_eq!(
        harness.watch_requests[1],
        "GET /discovery/hosts?watch=1&after=43 HTTP/1.1"
    );
    harness.advance(1100);
    harness.run_until("a third call", |h| h.watch_requests.len() == 3);
}

#[test]
fn a_watch_that_breaks_is_reopened_after_the_backoff() {
    let mut harness = Harness::new(1);
    harness.discovery.connections.clear();
    harness.run_until("the loss", |h| h.program.next_deadline().is_some());
    for _ in 0..3 {
        harness.run_iteration();
    }
    harness.advance(201);
    harness.run_until("a second call", |h| h.watch_requests.len() == 2);
}

#[test]
fn ping_is_answered_after_the_first_watch_line_or_the_ready_timeout() {
    let mut harness = Harness::new(1);
    harness.discovery_replies = false;
    let (counter, discovery) = (FakeCounter::new(), Peer::new());
    let text = config(&counter.peer, &discovery, &harness.endpoints, 1024);
    let config = roseyard_ingress::program::config::Config::parse(text.into(), |_| None).unwrap();
    let clock = roseyard_ingress::clock::Clock::start();
    harness.program =
        roseyard_ingress::program::Program::start(&config, &operator_file(""), clock).unwrap();
    harness.now = clock.now();
    let mut client = harness.connect();
    client.send("*1\r\n$4\r\nPING\r\n");
    assert!(harness.read_line(&mut client).starts_with("-LOADING"));
    harness.advance(1100);
    client.send("*1\r\n$4\r\nPING\r\n");
    harness.expect_reply(&mut client, "+PONG\r\n");
}

/// What happens to the watch when discovery sends a drain.
#[derive(Clone, Copy, Debug)]
enum WatchFault {
    Silent,
    Broken,
    Moved,
}

#[test]
fn a_drain_missed_by_a_silent_broken_or_migrated_watch_takes_effect_within_the_grace() {
    for (grace, fault) in [1000, 2000]
        .into_iter()
        .flat_map(|g| [WatchFault::Silent, WatchFault::Broken, WatchFault::Moved].map(|w| (g, w)))
    {
        let mut harness = Harness::new(2);
        harness.restart_with_drain_grace(grace, &[]);
        harness.advance(10);
        // Discovery sends the drain now; the ingress receives it only over a new watch.
        let sent_at = harness.now;
        harness.discovery_replies = false;
        let calls_before = harness.watch_requests.len();
        match fault {
            WatchFault::Silent => {}
            WatchFault::Broken => harness
                .discovery
                .connections
                .iter_mut()
                .for_each(Connection::close),
            WatchFault::Moved => drop(harness.reload_with_new_peers()),
        }
        // The next two calls are accepted and get no reply, except after a migration.
        let unanswered_calls = if matches!(fault, WatchFault::Moved) {
            0
        } else {
            2
        };
        let mut client = harness.connect();
        let (mut id, mut last_at) = (1, sent_at);
        while harness.now < sent_at + Duration::from_secs(10) {
            if harness.program.list_revision() == 41
                && harness.watch_requests.len() > calls_before + unanswered_calls
            {
                let drain = format!(
                    "{{\"rev\":42,\"all\":false,\"targets\":[{}]}}\n",
                    endpoint_entry(0, harness.endpoints[0].address, "DRAINING")
                );
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let watch = harness.discovery.connections.last_mut().unwrap();
                watch.send(format!("{head}{:x}\r\n{drain}\r\n", drain.len()));
                harness.run_until("the list", |h| h.program.list_revision() == 42);
            }
            client.send(request_of_customer(700 + id, "API.READ", id, READ_FIELDS));
            let (endpoint, connection, _) = harness.next_request();
            last_at = if endpoint == 0 { harness.now } else { last_at };
            harness.endpoints[endpoint].connections[connection].send(served_reply("v"));
            harness.expect_reply(&mut client, "$1\r\nv\r\n");
            id += 1;
            harness.advance(50);
        }
        let elapsed = last_at - sent_at;
        assert_eq!(
            harness.program.list_revision(),
            42,
            "{fault:?}: the list was not received"
        );
        // A change counts as notified after 6 s, whether or not it was received. After a migration
        // the list arrives at once, so that only the grace is allowed.
        let max_elapsed =
            Duration::from_millis(if unanswered_calls > 0 { 6000 } else { 0 } + grace);
        assert!(
            elapsed <= max_elapsed,
            "{fault:?}, grace {grace} ms: last request {elapsed:?} after the drain was sent"
        );
    }
}

#[test]
fn a_list_that_arrives_during_a_migration_of_discovery_is_applied() {
    let mut harness = Harness::new(2);
    harness.discovery_replies = false;
    // The list is sent, but the ingress has not read it when the reload begins. Discovery does not
    // reply at its new address.
    harness.send_endpoint_states(42, &[(0, "DRAINING")]);
    harness.reload_with_new_peers();
    for _ in 0..5 {
        harness.run_iteration();
    }
    assert_eq!(harness.program.list_revision(), 42);
    harness.run_until("a call that names that revision", |h| {
        h.watch_requests.iter().any(|w| w.contains("after=42 "))
    });
}

#[test]
fn the_list_of_a_slow_discovery_is_applied_before_it_counts_as_notified() {
    for grace in [2000, 400] {
        // Discovery delays its whole reply, or sends the head at once and delays the first line.
        assert_list_of_slow_discovery_is_applied(grace, 1200, false);
        assert_list_of_slow_discovery_is_applied(grace, 2100, true);
    }
}

fn assert_list_of_slow_discovery_is_applied(grace: u64, delay_ms: u64, head_first: bool) {
    let mut harness = Harness::new(2);
    harness.restart_with_drain_grace(grace, &[]);
    harness.advance(10);
    harness.discovery_replies = false;
    let sent_at = harness.now;
    let update = endpoint_list(
        42,
        false,
        &[endpoint_entry(0, harness.endpoints[0].address, "DRAINING")],
    );
    // Each call is replied to `delay_ms` after it was made; the watch that is open stays silent.
    let mut calls = vec![None; harness.discovery.connections.len()];
    while harness.program.list_revision() == 41 {
        harness.advance(50);
        harness.run_iteration();
        while calls.len() < harness.discovery.connections.len() {
            if head_first {
                harness.discovery.connections[calls.len()].send(WATCH_HEAD);
            }
            calls.push(Some(harness.now + Duration::from_millis(delay_ms)));
        }
        for (n, reply_at) in calls.iter_mut().enumerate() {
            if reply_at.is_some_and(|reply_at| reply_at <= harness.now) {
                let head = if head_first { "" } else { WATCH_HEAD };
                harness.discovery.connections[n].send(format!("{head}{}", chunk(&update)));
                *reply_at = None;
            }
        }
        for _ in 0..5 {
            harness.run_iteration();
        }
        assert!(
            harness.now < sent_at + Duration::from_millis(6000),
            "the list was not received within 6 s, after {} calls",
            calls.len()
        );
    }
    // The connection that delivered the list stays open as the watch; those of the other calls are
    // closed.
    let open: Vec<usize> = (0..calls.len())
        .filter(|n| harness.discovery.connections[*n].is_open)
        .collect();
    assert_eq!(
        open.len(),
        1,
        "connections {open:?} of {} are open",
        calls.len()
    );
    let later = endpoint_list(
        43,
        false,
        &[endpoint_entry(0, harness.endpoints[0].address, "SERVING")],
    );
    harness.discovery.connections[open[0]].send(chunk(&later));
    harness.run_until("the next list", |h| h.program.list_revision() == 43);
}

#[test]
fn the_list_of_a_recovered_discovery_is_applied_within_the_grace() {
    // A change counts as notified when discovery is back; calls made before get no reply.
    for (grace, refuses_connections) in [
        (500, false),
        (500, true),
        (1000, false),
        (1000, true),
        (2000, true),
    ] {
        for outage_ms in (4000..6000).step_by(150) {
            let mut harness = Harness::new(2);
            harness.restart_with_drain_grace(grace, &[("\"Balancers\":1,", "\"Balancers\":300,")]);
            harness.discovery_replies = false;
            if refuses_connections {
                harness.discovery.stop();
            }
            let recovers_at = harness.now + Duration::from_millis(outage_ms);
            while harness.now < recovers_at {
                harness.advance(50);
            }
            if refuses_connections {
                harness.discovery.restart();
            }
            let (calls_before, update) = (
                harness.discovery.connections.len(),
                endpoint_list(
                    42,
                    false,
                    &[endpoint_entry(0, harness.endpoints[0].address, "DRAINING")],
                ),
            );
            while harness.program.list_revision() == 41 {
                harness.advance(10);
                if harness.discovery.connections.len() > calls_before {
                    harness.discovery.connections[calls_before]
                        .send(format!("{WATCH_HEAD}{}", chunk(&update)));
                    harness.run_until("the list", |h| h.program.list_revision() == 42);
                }
                let late = harness.now - recovers_at;
                assert!(
                    late < Duration::from_millis(grace),
                    "grace {grace} ms, outage of {outage_ms} ms: no list {late:?} after its end"
                );
            }
        }
    }
}

#[test]
fn a_polled_discovery_is_not_called_faster_for_a_short_grace() {
    let mut calls = Vec::new();
    for mode in ["\"Discovery\":\"automatic\"", "\"Discovery\":\"subscribe\""] {
        let mut harness = Harness::new(1);
        harness.restart_with_drain_grace(500, &[("\"Discovery\":\"automatic\"", mode)]);
        harness.discovery_replies = false;
        harness.advance(10);
        let calls_before = harness.watch_requests.len();
        for _ in 0..200 {
            harness.advance(50);
        }
        calls.push(harness.watch_requests.len() - calls_before);
    }
    // Discovery is silent for 10 s. During the first 3 s the open watch has not timed out yet.
    assert!(calls[0] > 20 && calls[1] <= 8, "{calls:?}");
}
