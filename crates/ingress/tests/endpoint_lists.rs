//! Endpoint lists that are indented, split, unreadable, truncated or outdated, and what a new
//! process does before it has received its first list.

mod common;

use common::*;

/// Returns an indented list of two endpoints, of which the first is draining.
fn indented_list(harness: &Harness, rev: u64) -> String {
    let entry = |n: usize, state: &str| {
        let text = endpoint_entry(n, harness.endpoints[n].address, state);
        text.replace("{", "    {\n      ")
            .replace(",\"", ",\n      \"")
            .replace("}", "\n    }")
    };
    format!(
        "{{\n  \"rev\": {rev},\n  \"all\": true,\n  \"targets\": [\n{},\n{}\n  ]\n}}\n",
        entry(0, "DRAINING"),
        entry(1, "SERVING")
    )
}

#[test]
fn an_indented_list_is_one_list_however_it_is_split() {
    let mut harness = Harness::new(2);
    let text = indented_list(&harness, 42);
    assert!(text.lines().count() > 15);
    for (n, line) in text.split_inclusive('\n').enumerate() {
        // Lines are sent alternately whole and in two parts.
        let cut = if n % 2 == 0 {
            line.len()
        } else {
            line.len() / 2
        };
        for part in [&line[..cut], &line[cut..]] {
            if !part.is_empty() {
                harness
                    .discovery
                    .connections
                    .last_mut()
                    .unwrap()
                    .send(chunk(part));
                harness.run_iteration();
            }
        }
    }
    harness.run_until("the list", |h| h.program.list_revision() == 42);
    assert_eq!(harness.watch_requests.len(), 1, "the watch stays open");
    harness
        .discovery
        .connections
        .last_mut()
        .unwrap()
        .send(chunk("\n"));
    harness.send_endpoint_states(43, &[(1, "SERVING")]);
    harness.run_until("the next list", |h| h.program.list_revision() == 43);
    let mut client = harness.connect();
    for id in 0..6 {
        client.send(read_request_of_customer(50 + id, id));
        let (endpoint, connection, _) = harness.next_request();
        assert_eq!(endpoint, 1, "the first endpoint is draining");
        harness.endpoints[endpoint].connections[connection].send(served_reply("v"));
        harness.expect_reply(&mut client, "$1\r\nv\r\n");
    }
}

#[test]
fn an_unreadable_line_is_requested_again_and_skipped_only_the_second_time() {
    for unreadable in [
        "{\"rev\":42,\"all\":fal\n\n",
        "no list\n",
        "{\"rev\":42,\"all\":3}\n",
        "{\"rev\":42,\"targets\":[\"\n",
    ] {
        let mut harness = Harness::new(2);
        harness.discovery_replies = false;
        harness
            .discovery
            .connections
            .last_mut()
            .unwrap()
            .send(chunk(unreadable));
        for _ in 0..5 {
            harness.run_iteration();
        }
        harness.advance(201);
        harness.run_until("a second call", |h| h.watch_requests.len() == 2);
        assert!(
            harness.watch_requests[1].contains("after=41 "),
            "{}",
            harness.watch_requests[1]
        );
        assert_eq!(harness.program.list_revision(), 41);
        let update = endpoint_list(
            43,
            false,
            &[endpoint_entry(0, harness.endpoints[0].address, "DRAINING")],
        );
        // A line that remains unreadable must not block the lines after it.
        harness
            .discovery
            .connections
            .last_mut()
            .unwrap()
            .send(format!(
                "{WATCH_HEAD}{}{}",
                chunk(unreadable),
                chunk(&update)
            ));
        harness.run_until("the list after it", |h| h.program.list_revision() == 43);
        assert_eq!(harness.watch_requests.len(), 2);
    }
}

#[test]
fn a_watch_that_ends_within_a_line_keeps_the_current_list_and_discards_the_line() {
    let mut harness = Harness::new(2);
    harness.discovery_replies = false;
    let update = endpoint_list(
        42,
        false,
        &[endpoint_entry(0, harness.endpoints[0].address, "DRAINING")],
    );
    let watch = harness.discovery.connections.last_mut().unwrap();
    watch.send(chunk(&update[..update.len() / 2]));
    harness.run_iteration();
    harness.discovery.connections.last_mut().unwrap().close();
    for _ in 0..5 {
        harness.run_iteration();
    }
    harness.advance(201);
    harness.run_until("a second call", |h| h.watch_requests.len() == 2);
    assert_eq!(harness.program.list_revision(), 41);
    harness
        .discovery
        .connections
        .last_mut()
        .unwrap()
        .send(format!("{WATCH_HEAD}{}", chunk(&update)));
    harness.run_until("the list", |h| h.program.list_revision() == 42);
}

#[test]
fn a_list_right_before_a_reset_is_applied() {
    let mut harness = Harness::new(2);
    harness.discovery_replies = false;
    harness.send_endpoint_states(42, &[(0, "DRAINING")]);
    harness.discovery.connections.last_mut().unwrap().reset();
    harness.run_until("the list", |h| h.program.list_revision() == 42);
}

#[test]
fn a_watch_without_a_content_length_is_read_and_a_reset_completes_no_list() {
    let mut harness = Harness::new(2);
    harness.discovery_replies = false;
    let draining_list = |harness: &Harness, rev| {
        endpoint_list(
            rev,
            false,
            &[endpoint_entry(0, harness.endpoints[0].address, "DRAINING")],
        )
    };
    // The watch breaks, and later replies have neither chunked encoding nor a content length.
    harness.discovery.connections.last_mut().unwrap().close();
    harness.run_iteration();
    harness.advance(201);
    harness.run_until("a second call", |h| h.watch_requests.len() == 2);
    let update = draining_list(&harness, 42);
    let watch = harness.discovery.connections.last_mut().unwrap();
    watch.send(format!("HTTP/1.1 200 OK\r\n\r\n\n{}", &update[..30]));
    harness.run_iteration();
    harness
        .discovery
        .connections
        .last_mut()
        .unwrap()
        .send(&update[30..]);
    harness.run_until("the list", |h| h.program.list_revision() == 42);
    let later = draining_list(&harness, 43);
    harness
        .discovery
        .connections
        .last_mut()
        .unwrap()
        .send(&later[..later.len() - 2]);
    harness.run_iteration();
    harness.discovery.connections.last_mut().unwrap().reset();
    for _ in 0..5 {
        harness.run_iteration();
    }
    harness.advance(201);
    harness.run_until("a third call", |h| h.watch_requests.len() == 3);
    assert!(
        harness.watch_requests[2].contains("after=42 "),
        "{}",
        harness.watch_requests[2]
    );
    assert_eq!(
        harness.program.list_revision(),
        42,
        "a reset does not complete a list"
    );
}

/// Sends 20 pairs of requests and replies to them. Returns how many requests each endpoint got.
fn requests_by_endpoint(harness: &mut Harness, client: &mut Connection) -> [usize; 3] {
    let mut counts = [0; 3];
    for id in 0..20 {
        // While the first request of a pair is open, the second goes to another endpoint.
        client.send(
            [
                read_request_of_customer(50 + id, id),
                read_request_of_customer(150 + id, 100 + id),
            ]
            .concat(),
        );
        let arrived = [harness.next_request(), harness.next_request()];
        for (endpoint, connection, _) in arrived {
            counts[endpoint] += 1;
            harness.endpoints[endpoint].connections[connection].send(served_reply("v"));
        }
        harness.expect_reply(client, &"$1\r\nv\r\n".repeat(2));
        harness.advance(21);
    }
    counts
}

#[test]
fn an_older_list_neither_revives_draining_endpoints_nor_loses_newer_ones() {
    for restarted in [false, true] {
        let mut harness = Harness::new(3);
        let entries = |harness: &Harness, states: [&str; 3]| -> Vec<String> {
            let all = states
                .iter()
                .enumerate()
                .filter(|(_, state)| !state.is_empty());
            all.map(|(n, state)| endpoint_entry(n, harness.endpoints[n].address, state))
                .collect()
        };
        // The first endpoint is draining, the second is unchanged and the third is new.
        let current = endpoint_list(
            44,
            true,
            &entries(&harness, ["DRAINING", "SERVING", "SERVING"]),
        );
        harness
            .discovery
            .connections
            .last_mut()
            .unwrap()
            .send(chunk(&current));
        harness.run_until("the list", |h| h.program.list_revision() == 44);
        // A discovery agent that lags sends an earlier list; one that was restarted sends an empty
        // list of revision 0.
        let rev = if restarted { 0 } else { 42 };
        let states = if restarted {
            ["", "", ""]
        } else {
            ["SERVING", "SERVING", ""]
        };
        let older = endpoint_list(rev, true, &entries(&harness, states));
        harness
            .discovery
            .connections
            .last_mut()
            .unwrap()
            .send(chunk(&older));
        harness.run_until("the older list", |h| h.program.list_revision() == rev);
        let mut client = harness.connect();
        let counts = requests_by_endpoint(&mut harness, &mut client);
        assert_eq!(
            counts[0], 0,
            "the draining endpoint gets no request: {counts:?}"
        );
        assert!(
            counts[1] > 0 && counts[2] > 0,
            "the newest list stays in force: {counts:?}"
        );
        // A list of a later revision is applied.
        let later = endpoint_list(45, true, &entries(&harness, ["SERVING", "", ""]));
        harness
            .discovery
            .connections
            .last_mut()
            .unwrap()
            .send(chunk(&later));
        harness.run_until("the later list", |h| h.program.list_revision() == 45);
        client.send(read_request_of_customer(99, 99));
        assert_eq!(harness.next_request().0, 0);
    }
}

#[test]
fn a_new_process_forwards_nothing_by_its_configured_list_before_discovery_has_replied() {
    let mut harness = Harness::new(2);
    harness.discovery_replies = false;
    harness.restart_with_replacements(&[]);
    let mut client = harness.connect();
    client.send(read_request(1));
    assert!(
        harness.read_line(&mut client).starts_with("-BUSY"),
        "the endpoint list of the configuration may be outdated"
    );
    // Discovery's reply and the next request arrive in the same iteration of the event loop.
    let update = endpoint_list(
        42,
        false,
        &[endpoint_entry(0, harness.endpoints[0].address, "DRAINING")],
    );
    harness
        .discovery
        .connections
        .last_mut()
        .unwrap()
        .send(format!("{WATCH_HEAD}{}", chunk(&update)));
    client.send(read_request(2));
    let (endpoint, connection, _) = harness.next_request();
    assert_eq!(
        endpoint, 1,
        "the other endpoint was draining before the process started"
    );
    harness.endpoints[endpoint].connections[connection].send(served_reply("v"));
    harness.expect_reply(&mut client, "$1\r\nv\r\n");
}

#[test]
fn a_new_process_with_silent_discovery_serves_by_its_configured_list_after_the_ready_timeout() {
    let mut harness = Harness::new(1);
    harness.discovery_replies = false;
    harness.restart_with_replacements(&[]);
    harness.advance(1001);
    let mut client = harness.connect();
    serve_request(&mut harness, &mut client, read_request(1));
}

#[test]
fn a_drain_is_applied_before_the_requests_of_the_same_iteration() {
    for _ in 0..5 {
        let mut harness = Harness::new(2);
        let mut client = harness.connect();
        serve_request(&mut harness, &mut client, read_request_of_customer(5, 1));
        harness.advance(30);
        // The requests arrive before the drain, which is applied before their endpoints are chosen.
        for id in 2..4 {
            client.send(read_request_of_customer(5 + id, id));
        }
        harness.send_endpoint_states(42, &[(0, "DRAINING")]);
        harness.run_iteration();
        for _ in 2..4 {
            let (endpoint, connection, _) = harness.next_request();
            assert_eq!(endpoint, 1);
            harness.endpoints[endpoint].connections[connection].send(served_reply("v"));
        }
        harness.expect_reply(&mut client, &"$1\r\nv\r\n".repeat(2));
    }
}
