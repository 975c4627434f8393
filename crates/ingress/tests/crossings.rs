//! Two events that cross: each test forces the bad order with scripted parties under a clock that
//! it moves. The list of pairs is `docs/design/crossings.md`.

mod common;

use common::*;
use std::time::Duration;

/// Another client's request of the same customer is served, and the count is this with it.
fn counted_with_the_next(harness: &mut Harness, total: f64, what: &str) {
    let mut other = harness.connect();
    serve_request(harness, &mut other, read_request(2));
    assert_eq!(harness.counter.totals["00000000b4d65521"], total, "{what}");
}

// A client that leaves while its request waits.

#[test]
fn a_client_that_leaves_while_the_counter_is_awaited_has_nothing_sent_on_and_is_counted_once() {
    for answered in [true, false] {
        let mut harness = Harness::new(1);
        harness.counter.mode = CounterMode::Silent;
        let mut client = harness.connect();
        client.send(read_request(1));
        harness.run_until("the call", |s| has_unanswered_call(s));
        disconnect_client(&mut harness, client);
        if answered {
            harness.counter.mode = CounterMode::Replies;
        }
        assert_nothing_forwarded(&mut harness, "counter");
        harness.counter.mode = CounterMode::Replies;
        harness.run_round();
        assert_eq!(
            harness.program.open(),
            (0, 0, 0),
            "what it held is released"
        );
        // What was added for it is taken off again with the customer's next add.
        counted_with_the_next(&mut harness, 1.0, &format!("answered: {answered}"));
    }
}

#[test]
fn a_client_that_leaves_while_a_link_comes_up_has_nothing_written_there() {
    let mut harness = Harness::new(1);
    harness.endpoints[0].stop_accepting();
    let mut client = harness.connect();
    client.send(read_request(1));
    harness.run_until("the connection is begun", |s| s.program.open().1 == 1);
    disconnect_client(&mut harness, client);
    harness.endpoints[0].resume_accepting();
    assert_nothing_forwarded(&mut harness, "link");
    assert_eq!(harness.program.open(), (0, 0, 0), "its connection goes too");
    // Nothing has reached a server: the customer's next request is the first that counts.
    counted_with_the_next(&mut harness, 1.0, "no server was reached");
}

#[test]
fn a_client_that_leaves_before_a_further_attempt_has_none_made() {
    for behind_link in [false, true] {
        let mut harness = Harness::new(2);
        let mut client = harness.connect();
        client.send(read_request(1));
        let (s, c, _) = harness.next_request();
        if behind_link {
            // The further attempt waits for its connection when the client leaves.
            harness.endpoints[1 - s].stop_accepting();
            harness.endpoints[s].connections[c].send("-BUSY\r\n");
            harness.run_until("the further attempt", |s| s.program.open().1 == 2);
            disconnect_client(&mut harness, client);
            harness.endpoints[1 - s].resume_accepting();
        } else {
            // Its going and the server's word come in one round.
            harness.endpoints[s].connections[c].send("-BUSY\r\n");
            drop(client);
        }
        assert_nothing_forwarded(&mut harness, "further attempt");
        assert_eq!((harness.program.open().0, harness.program.open().2), (0, 0));
        counted_with_the_next(&mut harness, 2.0, "the first attempt has reached a server");
    }
}

#[test]
fn a_client_that_leaves_while_its_reading_is_paused_has_nothing_sent_on() {
    let mut harness = Harness::new(1);
    harness.counter.mode = CounterMode::Silent;
    let mut client = harness.connect();
    // As many as may wait on a connection, and more behind them.
    for id in 0..1100 {
        client.send(read_request_of(1000 + id, id));
    }
    harness.run_until("reading is paused", |s| s.program.open().0 == 1024);
    for _ in 0..5 {
        harness.run_round();
    }
    drop(client);
    for _ in 0..5 {
        harness.run_round();
    }
    // Now the totals come, and all inside their quotas.
    harness.counter.mode = CounterMode::Replies;
    assert_nothing_forwarded(&mut harness, "reading paused");
    assert_eq!(harness.program.open(), (0, 0, 0));
    assert_eq!(harness.program.clients_hold(), (0, 0));
}

#[test]
fn a_client_that_leaves_behind_an_earlier_request_has_neither_sent_on() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    client.send(read_request(1));
    let (s, c, _) = harness.next_request();
    client.send("*1\r\n$4\r\nPING\r\n".repeat(1100));
    client.send(read_request_of(7, 2));
    for _ in 0..40 {
        harness.run_round();
    }
    assert_eq!(
        harness.program.open().0,
        1,
        "the second waits unread behind the first"
    );
    drop(client);
    harness.run_until("the first is called off", |harness| {
        !harness.endpoints[s].connections[c].is_open
    });
    assert_nothing_forwarded(&mut harness, "pipeline");
    assert_eq!(harness.program.open(), (0, 0, 0));
}

#[test]
fn of_a_client_that_sends_much_and_goes_nothing_is_counted_or_sent_on() {
    for requests in [3, 800] {
        let mut harness = Harness::new(1);
        let mut client = harness.connect();
        harness.run_until("it is taken in", |s| s.program.open().2 == 1);
        // All of it and the end are there before the ingress wakes.
        client.send(
            (0..requests)
                .flat_map(|id| read_request_of(1000 + id, id))
                .collect::<Vec<u8>>(),
        );
        client.close();
        drop(client);
        assert_nothing_forwarded(&mut harness, "much");
        assert_eq!(harness.program.open(), (0, 0, 0));
        assert_eq!(
            harness.counter.calls.len(),
            0,
            "{requests}: no quota is touched"
        );
    }
}

// SIGTERM.

/// The accepting is over: what is held is finished from here on.
fn drain(harness: &mut Harness) {
    harness.program.leave();
    harness.advance(601);
}

fn ends(harness: &mut Harness) {
    let mut goes_on = true;
    harness.run_until("the end", |s| {
        goes_on = goes_on && s.run_round();
        !goes_on
    });
}

#[test]
fn a_command_half_read_when_the_drain_begins_is_answered_at_once() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    let command = read_request(1);
    client.send(&command[..40]);
    harness.run_until("a part is held", |s| s.program.clients_hold().1 == 40);
    drain(&mut harness);
    assert!({
        client.read();
        client.is_open
    });
    client.send(&command[40..]);
    // Sent on, it might find a server that hangs past SIGKILL.
    assert_eq!(harness.read_line(&mut client), "-BUSY\r\n");
    harness.run_until_closed(&mut client);
    assert_eq!(harness.endpoints[0].next_command(), None);
}

#[test]
fn what_is_pipelined_behind_a_waiting_request_during_the_drain_is_answered_in_order() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    client.send(read_request(1));
    let (s, c, _) = harness.next_request();
    drain(&mut harness);
    client.send(read_request(2));
    for _ in 0..5 {
        harness.run_round();
    }
    client.send(read_request(3));
    harness.endpoints[s].connections[c].send(served_reply("v"));
    harness.expect_reply(&mut client, "$1\r\nv\r\n-BUSY\r\n-BUSY\r\n");
    harness.run_until_closed(&mut client);
    assert_eq!(harness.endpoints[0].next_command(), None);
}

#[test]
fn a_newcomer_in_the_backlog_at_the_drain_is_heard_before_its_connection_ends() {
    let mut harness = Harness::new(1);
    harness.program.leave();
    let (mut asks, mut silent) = (harness.connect(), harness.connect());
    // Both are still in the listener's queue.
    harness.advance(601);
    asks.send(read_request(1));
    assert_eq!(harness.read_line(&mut asks), "-BUSY\r\n");
    harness.run_until_closed(&mut asks);
    silent.read();
    assert!(silent.is_open, "its first request may be on its way");
    harness.advance(201);
    harness.run_until_closed(&mut silent);
    drop((asks, silent));
    ends(&mut harness);
}

#[test]
fn newcomers_that_no_descriptor_is_left_for_are_told_so_before_the_listener_closes() {
    let mut harness = Harness::with_sockets(1, 48);
    // Every place is held by one that waits for a server.
    let mut held = Vec::new();
    for id in 0..60 {
        let mut client = harness.connect();
        client.send(read_request_of(1000 + id, id));
        for _ in 0..3 {
            harness.advance(2);
        }
        held.push(client);
    }
    harness.program.leave();
    let mut late: Vec<Connection> = (0..5).map(|_| harness.connect()).collect();
    harness.advance(601);
    for client in &mut late {
        client.send(read_request_of(9, 900));
        let line = harness.read_line(client);
        assert!(line.starts_with("-BUSY"), "{line}");
    }
}

#[test]
fn what_waits_at_sigterm_for_counter_link_or_further_attempt_is_served_before_the_end() {
    for waits_for in ["counter", "link", "further attempt"] {
        let mut harness = Harness::new(2);
        let mut client = harness.connect();
        match waits_for {
            "counter" => {
                harness.counter.mode = CounterMode::Silent;
                client.send(read_request(1));
                harness.run_until("the call", |s| has_unanswered_call(s));
                harness.program.leave();
                harness.counter.mode = CounterMode::Replies;
            }
            "link" => {
                harness.endpoints.iter_mut().for_each(Peer::stop_accepting);
                client.send(read_request(1));
                harness.run_until("the connection is begun", |s| s.program.open().1 == 1);
                harness.program.leave();
                harness.run_round();
                harness
                    .endpoints
                    .iter_mut()
                    .for_each(Peer::resume_accepting);
            }
            _ => {
                client.send(read_request(1));
                let (s, c, _) = harness.next_request();
                drain(&mut harness);
                harness.endpoints[s].connections[c].send("-BUSY\r\n");
            }
        }
        let (s, c, _) = harness.next_request();
        harness.advance(601);
        harness.endpoints[s].connections[c].send(served_reply("v"));
        harness.expect_reply(&mut client, "$1\r\nv\r\n");
        harness.run_until_closed(&mut client);
        drop(client);
        ends(&mut harness);
    }
}

#[test]
fn an_endpoint_that_hangs_past_the_end_leaves_no_request_without_an_answer() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    // Two wait, one behind the other, longer than the process will live.
    client.send(request(
        "API.READ",
        1,
        &READ_FIELDS.replace("d=3000", "d=60000"),
    ));
    let (s, _, _) = harness.next_request();
    client.send(request_of_customer(
        7,
        "API.READ",
        2,
        &READ_FIELDS.replace("d=3000", "d=60000"),
    ));
    harness.next_request();
    let mut half = harness.connect();
    half.send(&read_request(3)[..40]);
    harness.run_round();
    drain(&mut harness);
    client.read();
    assert_eq!(client.text(), "");
    // SIGKILL comes 3.7 s after SIGTERM at the soonest.
    harness.advance(3001);
    harness.expect_reply(&mut client, "-ERR failed\r\n-ERR failed\r\n");
    harness.run_until_closed(&mut client);
    let _hangs = &harness.endpoints[s];
    harness.now += Duration::from_millis(501);
    ends(&mut harness);
}

#[test]
fn an_answer_half_written_at_the_end_goes_on_for_a_client_that_reads_and_holds_nobody_up() {
    for reads in [true, false] {
        let mut harness = Harness::new(1);
        let mut client = Connection::with_small_buffers(harness.program.address().unwrap());
        client.send(read_request(1));
        let (s, c, _) = harness.next_request();
        let value = "v".repeat(60_000);
        harness.endpoints[s].connections[c].send(served_reply(&value));
        harness.run_until("the answer is taken in", |s| s.program.open().0 == 0);
        for _ in 0..5 {
            harness.run_round();
        }
        assert!(
            harness.program.clients_hold().1 > 0,
            "a part of the answer could not be written yet"
        );
        drain(&mut harness);
        harness.advance(3001);
        if reads {
            harness.expect_reply(&mut client, &format!("$60000\r\n{value}\r\n"));
            harness.run_until_closed(&mut client);
            drop(client);
        } else {
            harness.now += Duration::from_millis(501);
        }
        ends(&mut harness);
    }
}

#[test]
fn sighup_beside_sigterm_moves_what_is_held_and_the_end_comes_all_the_same() {
    for first in ["hup", "term"] {
        let mut harness = Harness::new(1);
        let mut client = harness.connect();
        client.send(read_request(1));
        let (s, c, _) = harness.next_request();
        if first == "term" {
            drain(&mut harness);
        }
        let _old = harness.reload();
        if first == "hup" {
            drain(&mut harness);
        }
        harness.run_until("the watch at the new address", |s| {
            s.discovery.connections.len() == 1
        });
        harness.endpoints[s].connections[c].send(served_reply("v"));
        harness.expect_reply(&mut client, "$1\r\nv\r\n");
        harness.run_until_closed(&mut client);
        drop(client);
        ends(&mut harness);
    }
}

// The watch on discovery.

/// The list of two servers of which the first drains, in so many lines.
fn indented(harness: &Harness, rev: u64) -> String {
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
fn an_indented_list_is_one_list_however_its_bytes_come() {
    let mut harness = Harness::new(2);
    let text = indented(&harness, 42);
    assert!(text.lines().count() > 15);
    for (n, line) in text.split_inclusive('\n').enumerate() {
        // Whole lines, and lines in two parts.
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
                harness.run_round();
            }
        }
    }
    harness.run_until("the list", |s| s.program.list_version() == 42);
    assert_eq!(harness.watch_requests.len(), 1, "the watch goes on");
    harness
        .discovery
        .connections
        .last_mut()
        .unwrap()
        .send(chunk("\n"));
    harness.send_endpoint_states(43, &[(1, "SERVING")]);
    harness.run_until("the next", |s| s.program.list_version() == 43);
    let mut client = harness.connect();
    for id in 0..6 {
        client.send(read_request_of(50 + id, id));
        let (s, c, _) = harness.next_request();
        assert_eq!(s, 1, "the first one drains");
        harness.endpoints[s].connections[c].send(served_reply("v"));
        harness.expect_reply(&mut client, "$1\r\nv\r\n");
    }
}

#[test]
fn news_that_cannot_be_read_is_asked_for_again_and_passed_over_only_the_second_time() {
    for torn in [
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
            .send(chunk(torn));
        for _ in 0..5 {
            harness.run_round();
        }
        harness.advance(201);
        harness.run_until("a second call", |s| s.watch_requests.len() == 2);
        assert!(
            harness.watch_requests[1].contains("after=41 "),
            "{}",
            harness.watch_requests[1]
        );
        assert_eq!(harness.program.list_version(), 41);
        let news = endpoint_list(
            43,
            false,
            &[endpoint_entry(0, harness.endpoints[0].address, "DRAINING")],
        );
        // What can never be read must not keep the rest from being heard.
        harness
            .discovery
            .connections
            .last_mut()
            .unwrap()
            .send(format!("{WATCH_HEAD}{}{}", chunk(torn), chunk(&news)));
        harness.run_until("the news behind it", |s| s.program.list_version() == 43);
        assert_eq!(harness.watch_requests.len(), 2);
    }
}

#[test]
fn a_watch_cut_within_a_line_leaves_the_list_held_and_nothing_of_the_line_behind() {
    let mut harness = Harness::new(2);
    harness.discovery_replies = false;
    let news = endpoint_list(
        42,
        false,
        &[endpoint_entry(0, harness.endpoints[0].address, "DRAINING")],
    );
    let end = harness.discovery.connections.last_mut().unwrap();
    end.send(chunk(&news[..news.len() / 2]));
    harness.run_round();
    harness.discovery.connections.last_mut().unwrap().close();
    for _ in 0..5 {
        harness.run_round();
    }
    harness.advance(201);
    harness.run_until("a second call", |s| s.watch_requests.len() == 2);
    assert_eq!(harness.program.list_version(), 41);
    harness
        .discovery
        .connections
        .last_mut()
        .unwrap()
        .send(format!("{WATCH_HEAD}{}", chunk(&news)));
    harness.run_until("the news", |s| s.program.list_version() == 42);
}

#[test]
fn news_right_before_a_reset_is_taken_in() {
    let mut harness = Harness::new(2);
    harness.discovery_replies = false;
    harness.send_endpoint_states(42, &[(0, "DRAINING")]);
    harness.discovery.connections.last_mut().unwrap().reset();
    harness.run_until("the news", |s| s.program.list_version() == 42);
}

#[test]
fn a_watch_without_a_length_is_heard_and_a_reset_within_a_list_ends_none() {
    let mut harness = Harness::new(2);
    harness.discovery_replies = false;
    let drains = |harness: &Harness, rev| {
        endpoint_list(
            rev,
            false,
            &[endpoint_entry(0, harness.endpoints[0].address, "DRAINING")],
        )
    };
    // The watch breaks, and every further call is answered without chunks or a length.
    harness.discovery.connections.last_mut().unwrap().close();
    harness.run_round();
    harness.advance(201);
    harness.run_until("a second call", |s| s.watch_requests.len() == 2);
    let news = drains(&harness, 42);
    let end = harness.discovery.connections.last_mut().unwrap();
    end.send(format!("HTTP/1.1 200 OK\r\n\r\n\n{}", &news[..30]));
    harness.run_round();
    harness
        .discovery
        .connections
        .last_mut()
        .unwrap()
        .send(&news[30..]);
    harness.run_until("the news", |s| s.program.list_version() == 42);
    let later = drains(&harness, 43);
    harness
        .discovery
        .connections
        .last_mut()
        .unwrap()
        .send(&later[..later.len() - 2]);
    harness.run_round();
    harness.discovery.connections.last_mut().unwrap().reset();
    for _ in 0..5 {
        harness.run_round();
    }
    harness.advance(201);
    harness.run_until("a third call", |s| s.watch_requests.len() == 3);
    assert!(
        harness.watch_requests[2].contains("after=42 "),
        "{}",
        harness.watch_requests[2]
    );
    assert_eq!(
        harness.program.list_version(),
        42,
        "a reset is no end of a list"
    );
}

#[test]
fn a_total_without_a_length_counts_when_its_connection_ends_and_not_when_it_is_reset() {
    for reset in [false, true] {
        let mut harness = Harness::new(1);
        harness.counter.mode = CounterMode::Silent;
        let mut client = harness.connect();
        client.send(read_request(1));
        harness.run_until("the call", |s| has_unanswered_call(s));
        let waits = |end: &&mut Connection| !end.input.is_empty();
        let end = harness
            .counter
            .peer
            .connections
            .iter_mut()
            .find(waits)
            .unwrap();
        // More than the allowance of 8.
        end.send("HTTP/1.1 200 OK\r\n\r\n9");
        match reset {
            true => end.reset(),
            false => end.close(),
        }
        if reset {
            // No total was told: the request is decided without one.
            let (s, c, _) = harness.next_request();
            harness.endpoints[s].connections[c].send(served_reply("v"));
            harness.expect_reply(&mut client, "$1\r\nv\r\n");
        } else {
            assert!(harness.read_line(&mut client).starts_with("-BUSY"));
            assert_eq!(harness.endpoints[0].next_command(), None);
        }
    }
}

#[test]
fn news_that_crosses_a_move_of_discovery_is_taken_in() {
    let mut harness = Harness::new(2);
    harness.discovery_replies = false;
    // Written to the ingress, but not read when SIGHUP is served; the new place says nothing for a
    // while.
    harness.send_endpoint_states(42, &[(0, "DRAINING")]);
    harness.reload();
    for _ in 0..5 {
        harness.run_round();
    }
    assert_eq!(harness.program.list_version(), 42);
    harness.run_until("a call from there on", |s| {
        s.watch_requests.iter().any(|w| w.contains("after=42 "))
    });
}

#[test]
fn a_discovery_that_answers_slowly_is_heard_before_its_news_must_have_been_acted_on() {
    for grace in [2000, 400] {
        // All of it late, and its first line late behind its head.
        slowly(grace, 1200, false);
        slowly(grace, 2100, true);
    }
}

fn slowly(grace: u64, late: u64, head_first: bool) {
    let mut harness = Harness::new(2);
    harness.restart_with_drain_grace(grace, &[]);
    harness.advance(10);
    harness.discovery_replies = false;
    let told = harness.now;
    let news = endpoint_list(
        42,
        false,
        &[endpoint_entry(0, harness.endpoints[0].address, "DRAINING")],
    );
    // Each call is answered so long after it was made; the first watch has fallen silent.
    let mut calls = vec![None; harness.discovery.connections.len()];
    while harness.program.list_version() == 41 {
        harness.advance(50);
        harness.run_round();
        while calls.len() < harness.discovery.connections.len() {
            if head_first {
                harness.discovery.connections[calls.len()].send(WATCH_HEAD);
            }
            calls.push(Some(harness.now + Duration::from_millis(late)));
        }
        for (n, at) in calls.iter_mut().enumerate() {
            if at.is_some_and(|at| at <= harness.now) {
                let head = if head_first { "" } else { WATCH_HEAD };
                harness.discovery.connections[n].send(format!("{head}{}", chunk(&news)));
                *at = None;
            }
        }
        for _ in 0..5 {
            harness.run_round();
        }
        assert!(
            harness.now < told + Duration::from_millis(6000),
            "never heard: {} calls",
            calls.len()
        );
    }
    // It is the watch from here on; the call that followed is given up.
    let open: Vec<usize> = (0..calls.len())
        .filter(|n| harness.discovery.connections[*n].is_open)
        .collect();
    assert_eq!(open.len(), 1, "{open:?} of {}", calls.len());
    let later = endpoint_list(
        43,
        false,
        &[endpoint_entry(0, harness.endpoints[0].address, "SERVING")],
    );
    harness.discovery.connections[open[0]].send(chunk(&later));
    harness.run_until("what follows", |s| s.program.list_version() == 43);
}

#[test]
fn a_discovery_that_comes_back_is_heard_within_the_grace_whenever_it_does() {
    // What it has to tell then counts as told at its return; it answers no call from before.
    for (grace, refuses) in [
        (500, false),
        (500, true),
        (1000, false),
        (1000, true),
        (2000, true),
    ] {
        for at in (4000..6000).step_by(150) {
            let mut harness = Harness::new(2);
            harness.restart_with_drain_grace(grace, &[("\"Balancers\":1,", "\"Balancers\":300,")]);
            harness.discovery_replies = false;
            if refuses {
                harness.discovery.stop();
            }
            let back = harness.now + Duration::from_millis(at);
            while harness.now < back {
                harness.advance(50);
            }
            if refuses {
                harness.discovery.restart();
            }
            let (before, news) = (
                harness.discovery.connections.len(),
                endpoint_list(
                    42,
                    false,
                    &[endpoint_entry(0, harness.endpoints[0].address, "DRAINING")],
                ),
            );
            while harness.program.list_version() == 41 {
                harness.advance(10);
                if harness.discovery.connections.len() > before {
                    harness.discovery.connections[before]
                        .send(format!("{WATCH_HEAD}{}", chunk(&news)));
                    harness.run_until("the news", |s| s.program.list_version() == 42);
                }
                let late = harness.now - back;
                assert!(
                    late < Duration::from_millis(grace),
                    "grace {grace} ms, back after {at} ms: {late:?}"
                );
            }
        }
    }
}

#[test]
fn a_discovery_that_is_asked_and_makes_calls_wait_is_not_called_faster_for_a_short_grace() {
    let mut calls = Vec::new();
    for mode in ["\"Discovery\":\"automatic\"", "\"Discovery\":\"subscribe\""] {
        let mut harness = Harness::new(1);
        harness.restart_with_drain_grace(500, &[("\"Discovery\":\"automatic\"", mode)]);
        harness.discovery_replies = false;
        harness.advance(10);
        let before = harness.watch_requests.len();
        for _ in 0..200 {
            harness.advance(50);
        }
        calls.push(harness.watch_requests.len() - before);
    }
    // Silent for 10 s: the first 3 s belong to the watch that was open.
    assert!(calls[0] > 20 && calls[1] <= 8, "{calls:?}");
}

#[test]
fn an_older_list_neither_brings_back_what_drains_nor_loses_what_is_newer() {
    for restarted in [false, true] {
        let mut harness = Harness::new(3);
        let entries = |harness: &Harness, states: [&str; 3]| -> Vec<String> {
            let all = states.iter().enumerate().filter(|(_, s)| !s.is_empty());
            all.map(|(n, s)| endpoint_entry(n, harness.endpoints[n].address, s))
                .collect()
        };
        // Here the third has come, the first drains and the second is as it was.
        let now = endpoint_list(
            44,
            true,
            &entries(&harness, ["DRAINING", "SERVING", "SERVING"]),
        );
        harness
            .discovery
            .connections
            .last_mut()
            .unwrap()
            .send(chunk(&now));
        harness.run_until("the list", |s| s.program.list_version() == 44);
        // An agent that is behind tells what was before.
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
        harness.run_until("the older list", |s| s.program.list_version() == rev);
        let mut seen = [0; 3];
        let mut client = harness.connect();
        for id in 0..20 {
            // Two at a time: the second goes where the first is not.
            client.send(
                [
                    read_request_of(50 + id, id),
                    read_request_of(150 + id, 100 + id),
                ]
                .concat(),
            );
            let out = [harness.next_request(), harness.next_request()];
            for (s, c, _) in out {
                seen[s] += 1;
                harness.endpoints[s].connections[c].send(served_reply("v"));
            }
            harness.expect_reply(&mut client, &"$1\r\nv\r\n".repeat(2));
            harness.advance(21);
        }
        assert_eq!(seen[0], 0, "what was told to drain drains: {seen:?}");
        assert!(
            seen[1] > 0 && seen[2] > 0,
            "the last good list holds: {seen:?}"
        );
        // Word of a later version counts again.
        let later = endpoint_list(45, true, &entries(&harness, ["SERVING", "", ""]));
        harness
            .discovery
            .connections
            .last_mut()
            .unwrap()
            .send(chunk(&later));
        harness.run_until("the later list", |s| s.program.list_version() == 45);
        client.send(read_request_of(99, 99));
        assert_eq!(harness.next_request().0, 0);
    }
}

#[test]
fn a_new_process_sends_nothing_by_its_old_list_before_discovery_has_spoken() {
    let mut harness = Harness::new(2);
    harness.discovery_replies = false;
    harness.restart_with(&[]);
    let mut client = harness.connect();
    client.send(read_request(1));
    assert!(
        harness.read_line(&mut client).starts_with("-BUSY"),
        "the list of the configuration may be old"
    );
    // Discovery's word and the next request are there in one round.
    let news = endpoint_list(
        42,
        false,
        &[endpoint_entry(0, harness.endpoints[0].address, "DRAINING")],
    );
    harness
        .discovery
        .connections
        .last_mut()
        .unwrap()
        .send(format!("{WATCH_HEAD}{}", chunk(&news)));
    client.send(read_request(2));
    let (s, c, _) = harness.next_request();
    assert_eq!(
        s, 1,
        "the other has been told to drain since before the start"
    );
    harness.endpoints[s].connections[c].send(served_reply("v"));
    harness.expect_reply(&mut client, "$1\r\nv\r\n");
}

#[test]
fn a_new_process_whose_discovery_is_silent_serves_by_its_list_after_its_time() {
    let mut harness = Harness::new(1);
    harness.discovery_replies = false;
    harness.restart_with(&[]);
    harness.advance(1001);
    let mut client = harness.connect();
    serve_request(&mut harness, &mut client, read_request(1));
}

#[test]
fn a_drain_and_a_request_in_one_round_are_taken_in_that_order() {
    for _ in 0..5 {
        let mut harness = Harness::new(2);
        let mut client = harness.connect();
        serve_request(&mut harness, &mut client, read_request_of(5, 1));
        harness.advance(30);
        // The requests are there first; the drain has been told all the same when they are decided.
        for id in 2..4 {
            client.send(read_request_of(5 + id, id));
        }
        harness.send_endpoint_states(42, &[(0, "DRAINING")]);
        harness.run_round();
        for _ in 2..4 {
            let (s, c, _) = harness.next_request();
            assert_eq!(s, 1);
            harness.endpoints[s].connections[c].send(served_reply("v"));
        }
        harness.expect_reply(&mut client, &"$1\r\nv\r\n".repeat(2));
    }
}

// Connections to servers.

const BODY: usize = 60_000;

/// Two servers of different cells, and a client's submit of which a part is written to one, which
/// reads nothing.
fn amid_the_write() -> (Harness, Connection, usize) {
    let mut harness = Harness::new(2);
    harness.endpoints = vec![Peer::with_small_buffers(), Peer::with_small_buffers()];
    harness.restart_with(&[]);
    let mut client = harness.connect();
    client.send(write_with_body(1, BODY));
    let s = harness.run_until_contacted(|party| {
        party
            .connections
            .first()
            .is_some_and(|e| e.peek_length() > 0)
    });
    (harness, client, s)
}

#[test]
fn an_endpoint_that_ends_or_speaks_amid_our_write_never_ran_the_request() {
    for what in ["end", "reset", "served", "busy", "half"] {
        for read in [0, 1, 700, 4000] {
            let (mut harness, mut client, s) = amid_the_write();
            let mut broken = harness.endpoints[s].connections.remove(0);
            while broken.input.len() < read {
                broken.read_some(read - broken.input.len());
            }
            match what {
                "end" => broken.close(),
                "reset" => broken.reset(),
                "served" => broken.send(served_reply("x")),
                "busy" => broken.send("-BUSY\r\n"),
                _ => broken.send("*3\r\n$1\r\n"),
            }
            // In another cell: only what surely never ran may go there.
            let (other, c, words) = harness.next_request();
            assert_eq!(
                (other, words[4].len()),
                (1 - s, BODY),
                "{what} after {read} bytes"
            );
            harness.endpoints[other].connections[c].send(served_reply("v"));
            harness.expect_reply(&mut client, "$1\r\nv\r\n");
            broken.read();
            assert!(
                broken.input.len() < BODY,
                "{what}: it has the whole command"
            );
        }
    }
}

#[test]
fn a_client_that_leaves_amid_the_write_has_nothing_run_and_counts_for_nothing() {
    let (mut harness, client, s) = amid_the_write();
    disconnect_client(&mut harness, client);
    assert_nothing_forwarded(&mut harness, "amid the write");
    assert_eq!(harness.program.open(), (0, 0, 0), "its connection goes too");
    assert!(
        !harness.endpoints[s].connections[0].is_open
            && harness.endpoints[s].connections[0].input.len() < BODY
    );
    counted_with_the_next(&mut harness, 1.0, "no request has reached a server whole");
}

#[test]
fn what_an_endpoint_says_before_it_was_asked_is_taken_for_no_answer() {
    // A whole value, half a line, an end: there before the new connection's first request is
    // written.
    for early in [
        served_reply("x"),
        "-BUSY\r\n".to_owned(),
        "*3\r\n$5".to_owned(),
        String::new(),
    ] {
        let mut harness = Harness::new(2);
        let mut client = harness.connect();
        client.send(request("API.WRITE", 1, WRITE_FIELDS));
        // The connection is begun in one round and taken as up in the next.
        let spoke = harness.run_until_contacted(|party| !party.connections.is_empty());
        match early.as_str() {
            "" => harness.endpoints[spoke].connections[0].end_sending(),
            early => harness.endpoints[spoke].connections[0].send(early),
        }
        let (s, c, _) = harness.next_request();
        assert_ne!(s, spoke, "{early:?}: that connection is out of step");
        harness.endpoints[s].connections[c].send(served_reply("v"));
        harness.expect_reply(&mut client, "$1\r\nv\r\n");
        assert_eq!(harness.endpoints[spoke].next_command(), None, "{early:?}");
    }
}

#[test]
fn an_endless_answer_is_bounded_in_time_and_reaches_no_other_request() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    client.send(request("API.WRITE", 1, WRITE_FIELDS));
    let (s, c, _) = harness.next_request();
    harness.endpoints[s].connections[c].send("*3\r\n$60000\r\n");
    let begun = harness.now;
    while harness.program.open().0 > 0 {
        harness.endpoints[s].connections[c].send("x");
        harness.advance(100);
        assert!(
            harness.now <= begun + Duration::from_millis(1100),
            "it dribbles on and on"
        );
    }
    harness.expect_reply(&mut client, "-ERR failed\r\n");
    harness.run_until("its connection goes", |harness| {
        harness.endpoints[s].connections[c].read();
        !harness.endpoints[s].connections[c].is_open
    });
    serve_request(&mut harness, &mut client, read_request(2));
}

#[test]
fn a_request_that_is_there_when_its_idle_connection_is_due_is_served() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    serve_request(&mut harness, &mut client, read_request(1));
    serve_request(&mut harness, &mut client, read_request_of(7, 2));
    client.send(read_request_of(8, 3));
    harness.now += Duration::from_millis(6001);
    let (s, c, _) = harness.next_request();
    harness.endpoints[s].connections[c].send(served_reply("w"));
    harness.expect_reply(&mut client, "$1\r\nw\r\n");
}

#[test]
fn what_must_never_run_twice_goes_on_only_where_it_surely_never_ran() {
    // Read or write, under any name: the settings alone say so.
    for (name, end, again) in [
        ("kart-les", "-BUSY\r\n", true),
        ("kart-les", "-ERR failed\r\n", false),
        ("form-load", "-BUSY inflight=1\r\n", true),
        ("form-load", "*3\r\n$1\r\nv", false),
        ("form-load", "", false),
        ("a", "-BUSYBODY\r\n", false),
        // More behind it: whose refusal it is cannot be told.
        ("a", "-BUSY\r\n-BUSY\r\n", false),
        ("a", "-BUSY\r\n*3\r\n", false),
    ] {
        let mut harness = Harness::new(3);
        harness.restart_with(&[
            ("\"read_like\"", "\"non_idempotent\""),
            ("\"form-load\"", &format!("{name:?}")),
        ]);
        let mut client = harness.connect();
        client.send(request(
            "API.WRITE",
            1,
            &READ_FIELDS.replace("form-load", name),
        ));
        let (s, c, _) = harness.next_request();
        harness.endpoints[s].connections[c].send(end);
        if end.is_empty() || !end.ends_with('\n') {
            harness.endpoints[s].connections[c].close();
        }
        if again {
            let (other, c, words) = harness.next_request();
            assert!(other != s && words[2].ends_with('1'));
            harness.endpoints[other].connections[c].send(served_reply("v"));
            harness.expect_reply(&mut client, "$1\r\nv\r\n");
        } else {
            harness.expect_reply(&mut client, "-ERR failed\r\n");
        }
        for _ in 0..10 {
            harness.advance(100);
            assert_eq!(
                harness.endpoints.iter_mut().find_map(Peer::next_command),
                None,
                "{name} {end:?}"
            );
        }
    }
}

#[test]
fn a_keyed_request_is_not_written_again_once_its_repeat_would_no_longer_be_dropped() {
    for late in [false, true] {
        let mut harness = Harness::new(2);
        harness.restart_with(&[
            ("\"Group\":\"cell\"", "\"Group\":\"all\""),
            ("\"WindowMs\":8000.0", "\"WindowMs\":300.0"),
        ]);
        harness.run_round();
        let mut client = harness.connect();
        client.send(request("API.WRITE", 1, WRITE_FIELDS));
        let (s, c, _) = harness.next_request();
        harness.endpoints[1 - s].stop_accepting();
        harness.advance(250);
        // It may have run: the further attempt is decided within the window, and its connection
        // comes up later.
        harness.endpoints[s].connections[c].send("-ERR failed\r\n");
        harness.run_until("the further attempt", |s| s.program.open().1 == 2);
        harness.now += Duration::from_millis(if late { 60 } else { 20 });
        harness.endpoints[1 - s].resume_accepting();
        if late {
            let line = harness.read_line(&mut client);
            assert!(
                line.starts_with("-BUSY") || line.starts_with("-ERR failed"),
                "{line}"
            );
            assert_nothing_forwarded(&mut harness, "window");
        } else {
            assert_eq!(harness.next_request().0, 1 - s);
        }
    }
}
