//! Two events that cross: each test forces the bad order with scripted parties under a clock that
//! it moves. The list of pairs is `docs/design/crossings.md`.

mod common;

use common::*;
use roseyard_ingress::program::OpenCounts;
use std::time::Duration;

/// Another client's request of the same customer is served, and the count is this with it.
fn counted_with_the_next(site: &mut Site, total: f64, what: &str) {
    let mut other = site.client();
    serve(site, &mut other, load(2));
    assert_eq!(site.counter.totals["00000000b4d65521"], total, "{what}");
}

// A client that leaves while its request waits.

#[test]
fn a_client_that_leaves_while_the_counter_is_awaited_has_nothing_sent_on_and_is_counted_once() {
    for answered in [true, false] {
        let mut site = Site::new(1);
        site.counter.counting = Counting::Silent;
        let mut client = site.client();
        client.send(load(1));
        site.until("the call", |s| counter_waits(s));
        leaves(&mut site, client);
        if answered {
            site.counter.counting = Counting::Answers;
        }
        nothing_is_sent_on(&mut site, "counter");
        site.counter.counting = Counting::Answers;
        site.round();
        assert_eq!(
            site.program.open(),
            OpenCounts::default(),
            "what it held is released"
        );
        // What was added for it is taken off again with the customer's next add.
        counted_with_the_next(&mut site, 1.0, &format!("answered: {answered}"));
    }
}

#[test]
fn a_client_that_leaves_while_a_link_comes_up_has_nothing_written_there() {
    let mut site = Site::new(1);
    site.endpoints[0].fill_up();
    let mut client = site.client();
    client.send(load(1));
    site.until("the connection is begun", |s| {
        s.program.open().upstream_connections == 1
    });
    leaves(&mut site, client);
    site.endpoints[0].empty();
    nothing_is_sent_on(&mut site, "link");
    assert_eq!(
        site.program.open(),
        OpenCounts::default(),
        "its connection goes too"
    );
    // Nothing has reached a server: the customer's next request is the first that counts.
    counted_with_the_next(&mut site, 1.0, "no server was reached");
}

#[test]
fn a_client_that_leaves_before_a_further_attempt_has_none_made() {
    for behind_link in [false, true] {
        let mut site = Site::new(2);
        let mut client = site.client();
        client.send(load(1));
        let (s, c, _) = site.arrival();
        if behind_link {
            // The further attempt waits for its connection when the client leaves.
            site.endpoints[1 - s].fill_up();
            site.endpoints[s].ends[c].send("-BUSY\r\n");
            site.until("the further attempt", |s| {
                s.program.open().upstream_connections == 2
            });
            leaves(&mut site, client);
            site.endpoints[1 - s].empty();
        } else {
            // Its going and the server's word come in one round.
            site.endpoints[s].ends[c].send("-BUSY\r\n");
            drop(client);
        }
        nothing_is_sent_on(&mut site, "further attempt");
        assert_eq!(
            (site.program.open().requests, site.program.open().clients),
            (0, 0)
        );
        counted_with_the_next(&mut site, 2.0, "the first attempt has reached a server");
    }
}

#[test]
fn a_client_that_leaves_while_its_reading_is_paused_has_nothing_sent_on() {
    let mut site = Site::new(1);
    site.counter.counting = Counting::Silent;
    let mut client = site.client();
    // As many as may wait on a connection, and more behind them.
    for id in 0..1100 {
        client.send(load_of(1000 + id, id));
    }
    site.until("reading is paused", |s| s.program.open().requests == 1024);
    for _ in 0..5 {
        site.round();
    }
    drop(client);
    for _ in 0..5 {
        site.round();
    }
    // Now the totals come, and all inside their quotas.
    site.counter.counting = Counting::Answers;
    nothing_is_sent_on(&mut site, "reading paused");
    assert_eq!(site.program.open(), OpenCounts::default());
    assert_eq!(site.program.clients_hold(), (0, 0));
}

#[test]
fn a_client_that_leaves_behind_an_earlier_request_has_neither_sent_on() {
    let mut site = Site::new(1);
    let mut client = site.client();
    client.send(load(1));
    let (s, c, _) = site.arrival();
    client.send("*1\r\n$4\r\nPING\r\n".repeat(1100));
    client.send(load_of(7, 2));
    for _ in 0..40 {
        site.round();
    }
    assert_eq!(
        site.program.open().requests,
        1,
        "the second waits unread behind the first"
    );
    drop(client);
    site.until("the first is called off", |site| {
        !site.endpoints[s].ends[c].open
    });
    nothing_is_sent_on(&mut site, "pipeline");
    assert_eq!(site.program.open(), OpenCounts::default());
}

#[test]
fn of_a_client_that_sends_much_and_goes_nothing_is_counted_or_sent_on() {
    for requests in [3, 800] {
        let mut site = Site::new(1);
        let mut client = site.client();
        site.until("it is taken in", |s| s.program.open().clients == 1);
        // All of it and the end are there before the ingress wakes.
        client.send(
            (0..requests)
                .flat_map(|id| load_of(1000 + id, id))
                .collect::<Vec<u8>>(),
        );
        client.hang_up();
        drop(client);
        nothing_is_sent_on(&mut site, "much");
        assert_eq!(site.program.open(), OpenCounts::default());
        assert_eq!(
            site.counter.calls.len(),
            0,
            "{requests}: no quota is touched"
        );
    }
}

// SIGTERM.

/// The accepting is over: what is held is finished from here on.
fn drain(site: &mut Site) {
    site.program.shut_down();
    site.advance(601);
}

fn ends(site: &mut Site) {
    let mut goes_on = true;
    site.until("the end", |s| {
        goes_on = goes_on && s.round();
        !goes_on
    });
}

#[test]
fn a_command_half_read_when_the_drain_begins_is_answered_at_once() {
    let mut site = Site::new(1);
    let mut client = site.client();
    let command = load(1);
    client.send(&command[..40]);
    site.until("a part is held", |s| s.program.clients_hold().1 == 40);
    drain(&mut site);
    assert!({
        client.read();
        client.open
    });
    client.send(&command[40..]);
    // Sent on, it might find a server that hangs past SIGKILL.
    assert_eq!(site.line(&mut client), "-BUSY\r\n");
    site.ended(&mut client);
    assert_eq!(site.endpoints[0].command(), None);
}

#[test]
fn what_is_pipelined_behind_a_waiting_request_during_the_drain_is_answered_in_order() {
    let mut site = Site::new(1);
    let mut client = site.client();
    client.send(load(1));
    let (s, c, _) = site.arrival();
    drain(&mut site);
    client.send(load(2));
    for _ in 0..5 {
        site.round();
    }
    client.send(load(3));
    site.endpoints[s].ends[c].send(served("v"));
    site.expect(&mut client, "$1\r\nv\r\n-BUSY\r\n-BUSY\r\n");
    site.ended(&mut client);
    assert_eq!(site.endpoints[0].command(), None);
}

#[test]
fn a_newcomer_in_the_backlog_at_the_drain_is_heard_before_its_connection_ends() {
    let mut site = Site::new(1);
    site.program.shut_down();
    let (mut asks, mut silent) = (site.client(), site.client());
    // Both are still in the listener's queue.
    site.advance(601);
    asks.send(load(1));
    assert_eq!(site.line(&mut asks), "-BUSY\r\n");
    site.ended(&mut asks);
    silent.read();
    assert!(silent.open, "its first request may be on its way");
    site.advance(201);
    site.ended(&mut silent);
    drop((asks, silent));
    ends(&mut site);
}

#[test]
fn newcomers_that_no_descriptor_is_left_for_are_told_so_before_the_listener_closes() {
    let mut site = Site::with(1, 48);
    // Every place is held by one that waits for a server.
    let mut held = Vec::new();
    for id in 0..60 {
        let mut client = site.client();
        client.send(load_of(1000 + id, id));
        for _ in 0..3 {
            site.advance(2);
        }
        held.push(client);
    }
    site.program.shut_down();
    let mut late: Vec<End> = (0..5).map(|_| site.client()).collect();
    site.advance(601);
    for client in &mut late {
        client.send(load_of(9, 900));
        let line = site.line(client);
        assert!(line.starts_with("-BUSY"), "{line}");
    }
}

#[test]
fn what_waits_at_sigterm_for_counter_link_or_further_attempt_is_served_before_the_end() {
    for waits_for in ["counter", "link", "further attempt"] {
        let mut site = Site::new(2);
        let mut client = site.client();
        match waits_for {
            "counter" => {
                site.counter.counting = Counting::Silent;
                client.send(load(1));
                site.until("the call", |s| counter_waits(s));
                site.program.shut_down();
                site.counter.counting = Counting::Answers;
            }
            "link" => {
                site.endpoints.iter_mut().for_each(Party::fill_up);
                client.send(load(1));
                site.until("the connection is begun", |s| {
                    s.program.open().upstream_connections == 1
                });
                site.program.shut_down();
                site.round();
                site.endpoints.iter_mut().for_each(Party::empty);
            }
            _ => {
                client.send(load(1));
                let (s, c, _) = site.arrival();
                drain(&mut site);
                site.endpoints[s].ends[c].send("-BUSY\r\n");
            }
        }
        let (s, c, _) = site.arrival();
        site.advance(601);
        site.endpoints[s].ends[c].send(served("v"));
        site.expect(&mut client, "$1\r\nv\r\n");
        site.ended(&mut client);
        drop(client);
        ends(&mut site);
    }
}

#[test]
fn an_endpoint_that_hangs_past_the_end_leaves_no_request_without_an_answer() {
    let mut site = Site::new(1);
    let mut client = site.client();
    // Two wait, one behind the other, longer than the process will live.
    client.send(request("API.READ", 1, &LOAD.replace("d=3000", "d=60000")));
    let (s, _, _) = site.arrival();
    client.send(request_of(
        7,
        "API.READ",
        2,
        &LOAD.replace("d=3000", "d=60000"),
    ));
    site.arrival();
    let mut half = site.client();
    half.send(&load(3)[..40]);
    site.round();
    drain(&mut site);
    client.read();
    assert_eq!(client.text(), "");
    // SIGKILL comes 3.7 s after SIGTERM at the soonest.
    site.advance(3001);
    site.expect(&mut client, "-ERR failed\r\n-ERR failed\r\n");
    site.ended(&mut client);
    let _hangs = &site.endpoints[s];
    site.now += Duration::from_millis(501);
    ends(&mut site);
}

#[test]
fn an_answer_half_written_at_the_end_goes_on_for_a_client_that_reads_and_holds_nobody_up() {
    for reads in [true, false] {
        let mut site = Site::new(1);
        let mut client = End::narrow(site.program.address().unwrap());
        client.send(load(1));
        let (s, c, _) = site.arrival();
        let value = "v".repeat(60_000);
        site.endpoints[s].ends[c].send(served(&value));
        site.until("the answer is taken in", |s| s.program.open().requests == 0);
        for _ in 0..5 {
            site.round();
        }
        assert!(
            site.program.clients_hold().1 > 0,
            "a part of the answer could not be written yet"
        );
        drain(&mut site);
        site.advance(3001);
        if reads {
            site.expect(&mut client, &format!("$60000\r\n{value}\r\n"));
            site.ended(&mut client);
            drop(client);
        } else {
            site.now += Duration::from_millis(501);
        }
        ends(&mut site);
    }
}

#[test]
fn sighup_beside_sigterm_moves_what_is_held_and_the_end_comes_all_the_same() {
    for first in ["hup", "term"] {
        let mut site = Site::new(1);
        let mut client = site.client();
        client.send(load(1));
        let (s, c, _) = site.arrival();
        if first == "term" {
            drain(&mut site);
        }
        let _old = site.reload();
        if first == "hup" {
            drain(&mut site);
        }
        site.until("the watch at the new address", |s| {
            s.discovery.ends.len() == 1
        });
        site.endpoints[s].ends[c].send(served("v"));
        site.expect(&mut client, "$1\r\nv\r\n");
        site.ended(&mut client);
        drop(client);
        ends(&mut site);
    }
}

// The watch on discovery.

/// The list of two servers of which the first drains, in so many lines.
fn indented(site: &Site, rev: u64) -> String {
    let entry = |n: usize, state: &str| {
        let text = target(n, site.endpoints[n].address, state);
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
    let mut site = Site::new(2);
    let text = indented(&site, 42);
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
                site.discovery.ends.last_mut().unwrap().send(chunk(part));
                site.round();
            }
        }
    }
    site.until("the list", |s| s.program.list_version() == 42);
    assert_eq!(site.watches.len(), 1, "the watch goes on");
    site.discovery.ends.last_mut().unwrap().send(chunk("\n"));
    site.tell(43, &[(1, "SERVING")]);
    site.until("the next", |s| s.program.list_version() == 43);
    let mut client = site.client();
    for id in 0..6 {
        client.send(load_of(50 + id, id));
        let (s, c, _) = site.arrival();
        assert_eq!(s, 1, "the first one drains");
        site.endpoints[s].ends[c].send(served("v"));
        site.expect(&mut client, "$1\r\nv\r\n");
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
        let mut site = Site::new(2);
        site.talks = false;
        site.discovery.ends.last_mut().unwrap().send(chunk(torn));
        for _ in 0..5 {
            site.round();
        }
        site.advance(201);
        site.until("a second call", |s| s.watches.len() == 2);
        assert!(site.watches[1].contains("after=41 "), "{}", site.watches[1]);
        assert_eq!(site.program.list_version(), 41);
        let news = list(
            43,
            false,
            &[target(0, site.endpoints[0].address, "DRAINING")],
        );
        // What can never be read must not keep the rest from being heard.
        site.discovery.ends.last_mut().unwrap().send(format!(
            "{HEAD}{}{}",
            chunk(torn),
            chunk(&news)
        ));
        site.until("the news behind it", |s| s.program.list_version() == 43);
        assert_eq!(site.watches.len(), 2);
    }
}

#[test]
fn a_watch_cut_within_a_line_leaves_the_list_held_and_nothing_of_the_line_behind() {
    let mut site = Site::new(2);
    site.talks = false;
    let news = list(
        42,
        false,
        &[target(0, site.endpoints[0].address, "DRAINING")],
    );
    let end = site.discovery.ends.last_mut().unwrap();
    end.send(chunk(&news[..news.len() / 2]));
    site.round();
    site.discovery.ends.last_mut().unwrap().hang_up();
    for _ in 0..5 {
        site.round();
    }
    site.advance(201);
    site.until("a second call", |s| s.watches.len() == 2);
    assert_eq!(site.program.list_version(), 41);
    site.discovery
        .ends
        .last_mut()
        .unwrap()
        .send(format!("{HEAD}{}", chunk(&news)));
    site.until("the news", |s| s.program.list_version() == 42);
}

#[test]
fn news_right_before_a_reset_is_taken_in() {
    let mut site = Site::new(2);
    site.talks = false;
    site.tell(42, &[(0, "DRAINING")]);
    site.discovery.ends.last_mut().unwrap().reset();
    site.until("the news", |s| s.program.list_version() == 42);
}

#[test]
fn a_watch_without_a_length_is_heard_and_a_reset_within_a_list_ends_none() {
    let mut site = Site::new(2);
    site.talks = false;
    let drains = |site: &Site, rev| {
        list(
            rev,
            false,
            &[target(0, site.endpoints[0].address, "DRAINING")],
        )
    };
    // The watch breaks, and every further call is answered without chunks or a length.
    site.discovery.ends.last_mut().unwrap().hang_up();
    site.round();
    site.advance(201);
    site.until("a second call", |s| s.watches.len() == 2);
    let news = drains(&site, 42);
    let end = site.discovery.ends.last_mut().unwrap();
    end.send(format!("HTTP/1.1 200 OK\r\n\r\n\n{}", &news[..30]));
    site.round();
    site.discovery.ends.last_mut().unwrap().send(&news[30..]);
    site.until("the news", |s| s.program.list_version() == 42);
    let later = drains(&site, 43);
    site.discovery
        .ends
        .last_mut()
        .unwrap()
        .send(&later[..later.len() - 2]);
    site.round();
    site.discovery.ends.last_mut().unwrap().reset();
    for _ in 0..5 {
        site.round();
    }
    site.advance(201);
    site.until("a third call", |s| s.watches.len() == 3);
    assert!(site.watches[2].contains("after=42 "), "{}", site.watches[2]);
    assert_eq!(
        site.program.list_version(),
        42,
        "a reset is no end of a list"
    );
}

#[test]
fn a_total_without_a_length_counts_when_its_connection_ends_and_not_when_it_is_reset() {
    for reset in [false, true] {
        let mut site = Site::new(1);
        site.counter.counting = Counting::Silent;
        let mut client = site.client();
        client.send(load(1));
        site.until("the call", |s| counter_waits(s));
        let waits = |end: &&mut End| !end.input.is_empty();
        let end = site.counter.party.ends.iter_mut().find(waits).unwrap();
        // More than the allowance of 8.
        end.send("HTTP/1.1 200 OK\r\n\r\n9");
        match reset {
            true => end.reset(),
            false => end.hang_up(),
        }
        if reset {
            // No total was told: the request is decided without one.
            let (s, c, _) = site.arrival();
            site.endpoints[s].ends[c].send(served("v"));
            site.expect(&mut client, "$1\r\nv\r\n");
        } else {
            assert!(site.line(&mut client).starts_with("-BUSY"));
            assert_eq!(site.endpoints[0].command(), None);
        }
    }
}

#[test]
fn news_that_crosses_a_move_of_discovery_is_taken_in() {
    let mut site = Site::new(2);
    site.talks = false;
    // Written to the ingress, but not read when SIGHUP is served; the new place says nothing for a
    // while.
    site.tell(42, &[(0, "DRAINING")]);
    site.reload();
    for _ in 0..5 {
        site.round();
    }
    assert_eq!(site.program.list_version(), 42);
    site.until("a call from there on", |s| {
        s.watches.iter().any(|w| w.contains("after=42 "))
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
    let mut site = Site::new(2);
    site.start_with_grace(grace, &[]);
    site.advance(10);
    site.talks = false;
    let told = site.now;
    let news = list(
        42,
        false,
        &[target(0, site.endpoints[0].address, "DRAINING")],
    );
    // Each call is answered so long after it was made; the first watch has fallen silent.
    let mut calls = vec![None; site.discovery.ends.len()];
    while site.program.list_version() == 41 {
        site.advance(50);
        site.round();
        while calls.len() < site.discovery.ends.len() {
            if head_first {
                site.discovery.ends[calls.len()].send(HEAD);
            }
            calls.push(Some(site.now + Duration::from_millis(late)));
        }
        for (n, at) in calls.iter_mut().enumerate() {
            if at.is_some_and(|at| at <= site.now) {
                let head = if head_first { "" } else { HEAD };
                site.discovery.ends[n].send(format!("{head}{}", chunk(&news)));
                *at = None;
            }
        }
        for _ in 0..5 {
            site.round();
        }
        assert!(
            site.now < told + Duration::from_millis(6000),
            "never heard: {} calls",
            calls.len()
        );
    }
    // It is the watch from here on; the call that followed is given up.
    let open: Vec<usize> = (0..calls.len())
        .filter(|n| site.discovery.ends[*n].open)
        .collect();
    assert_eq!(open.len(), 1, "{open:?} of {}", calls.len());
    let later = list(
        43,
        false,
        &[target(0, site.endpoints[0].address, "SERVING")],
    );
    site.discovery.ends[open[0]].send(chunk(&later));
    site.until("what follows", |s| s.program.list_version() == 43);
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
            let mut site = Site::new(2);
            site.start_with_grace(grace, &[("\"Balancers\":1,", "\"Balancers\":300,")]);
            site.talks = false;
            if refuses {
                site.discovery.die();
            }
            let back = site.now + Duration::from_millis(at);
            while site.now < back {
                site.advance(50);
            }
            if refuses {
                site.discovery.revive();
            }
            let (before, news) = (
                site.discovery.ends.len(),
                list(
                    42,
                    false,
                    &[target(0, site.endpoints[0].address, "DRAINING")],
                ),
            );
            while site.program.list_version() == 41 {
                site.advance(10);
                if site.discovery.ends.len() > before {
                    site.discovery.ends[before].send(format!("{HEAD}{}", chunk(&news)));
                    site.until("the news", |s| s.program.list_version() == 42);
                }
                let late = site.now - back;
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
        let mut site = Site::new(1);
        site.start_with_grace(500, &[("\"Discovery\":\"automatic\"", mode)]);
        site.talks = false;
        site.advance(10);
        let before = site.watches.len();
        for _ in 0..200 {
            site.advance(50);
        }
        calls.push(site.watches.len() - before);
    }
    // Silent for 10 s: the first 3 s belong to the watch that was open.
    assert!(calls[0] > 20 && calls[1] <= 8, "{calls:?}");
}

#[test]
fn an_older_list_neither_brings_back_what_drains_nor_loses_what_is_newer() {
    for restarted in [false, true] {
        let mut site = Site::new(3);
        let entries = |site: &Site, states: [&str; 3]| -> Vec<String> {
            let all = states.iter().enumerate().filter(|(_, s)| !s.is_empty());
            all.map(|(n, s)| target(n, site.endpoints[n].address, s))
                .collect()
        };
        // Here the third has come, the first drains and the second is as it was.
        let now = list(
            44,
            true,
            &entries(&site, ["DRAINING", "SERVING", "SERVING"]),
        );
        site.discovery.ends.last_mut().unwrap().send(chunk(&now));
        site.until("the list", |s| s.program.list_version() == 44);
        // An agent that is behind tells what was before.
        let rev = if restarted { 0 } else { 42 };
        let states = if restarted {
            ["", "", ""]
        } else {
            ["SERVING", "SERVING", ""]
        };
        let older = list(rev, true, &entries(&site, states));
        site.discovery.ends.last_mut().unwrap().send(chunk(&older));
        site.until("the older list", |s| s.program.list_version() == rev);
        let mut seen = [0; 3];
        let mut client = site.client();
        for id in 0..20 {
            // Two at a time: the second goes where the first is not.
            client.send([load_of(50 + id, id), load_of(150 + id, 100 + id)].concat());
            let out = [site.arrival(), site.arrival()];
            for (s, c, _) in out {
                seen[s] += 1;
                site.endpoints[s].ends[c].send(served("v"));
            }
            site.expect(&mut client, &"$1\r\nv\r\n".repeat(2));
            site.advance(21);
        }
        assert_eq!(seen[0], 0, "what was told to drain drains: {seen:?}");
        assert!(
            seen[1] > 0 && seen[2] > 0,
            "the last good list holds: {seen:?}"
        );
        // Word of a later version counts again.
        let later = list(45, true, &entries(&site, ["SERVING", "", ""]));
        site.discovery.ends.last_mut().unwrap().send(chunk(&later));
        site.until("the later list", |s| s.program.list_version() == 45);
        client.send(load_of(99, 99));
        assert_eq!(site.arrival().0, 0);
    }
}

#[test]
fn a_new_process_sends_nothing_by_its_old_list_before_discovery_has_spoken() {
    let mut site = Site::new(2);
    site.talks = false;
    site.start_under(&[]);
    let mut client = site.client();
    client.send(load(1));
    assert!(
        site.line(&mut client).starts_with("-BUSY"),
        "the list of the configuration may be old"
    );
    // Discovery's word and the next request are there in one round.
    let news = list(
        42,
        false,
        &[target(0, site.endpoints[0].address, "DRAINING")],
    );
    site.discovery
        .ends
        .last_mut()
        .unwrap()
        .send(format!("{HEAD}{}", chunk(&news)));
    client.send(load(2));
    let (s, c, _) = site.arrival();
    assert_eq!(
        s, 1,
        "the other has been told to drain since before the start"
    );
    site.endpoints[s].ends[c].send(served("v"));
    site.expect(&mut client, "$1\r\nv\r\n");
}

#[test]
fn a_new_process_whose_discovery_is_silent_serves_by_its_list_after_its_time() {
    let mut site = Site::new(1);
    site.talks = false;
    site.start_under(&[]);
    site.advance(1001);
    let mut client = site.client();
    serve(&mut site, &mut client, load(1));
}

#[test]
fn a_drain_and_a_request_in_one_round_are_taken_in_that_order() {
    for _ in 0..5 {
        let mut site = Site::new(2);
        let mut client = site.client();
        serve(&mut site, &mut client, load_of(5, 1));
        site.advance(30);
        // The requests are there first; the drain has been told all the same when they are decided.
        for id in 2..4 {
            client.send(load_of(5 + id, id));
        }
        site.tell(42, &[(0, "DRAINING")]);
        site.round();
        for _ in 2..4 {
            let (s, c, _) = site.arrival();
            assert_eq!(s, 1);
            site.endpoints[s].ends[c].send(served("v"));
        }
        site.expect(&mut client, &"$1\r\nv\r\n".repeat(2));
    }
}

// Connections to servers.

const BODY: usize = 60_000;

/// Two servers of different cells, and a client's submit of which a part is written to one, which
/// reads nothing.
fn amid_the_write() -> (Site, End, usize) {
    let mut site = Site::new(2);
    site.endpoints = vec![Party::narrow(), Party::narrow()];
    site.start_under(&[]);
    let mut client = site.client();
    client.send(long_submit(1, BODY));
    let s = site.unread(|party| party.ends.first().is_some_and(|e| e.peeks() > 0));
    (site, client, s)
}

#[test]
fn an_endpoint_that_ends_or_speaks_amid_our_write_never_ran_the_request() {
    for what in ["end", "reset", "served", "busy", "half"] {
        for read in [0, 1, 700, 4000] {
            let (mut site, mut client, s) = amid_the_write();
            let mut broken = site.endpoints[s].ends.remove(0);
            while broken.input.len() < read {
                broken.read_some(read - broken.input.len());
            }
            match what {
                "end" => broken.hang_up(),
                "reset" => broken.reset(),
                "served" => broken.send(served("x")),
                "busy" => broken.send("-BUSY\r\n"),
                _ => broken.send("*3\r\n$1\r\n"),
            }
            // In another cell: only what surely never ran may go there.
            let (other, c, words) = site.arrival();
            assert_eq!(
                (other, words[4].len()),
                (1 - s, BODY),
                "{what} after {read} bytes"
            );
            site.endpoints[other].ends[c].send(served("v"));
            site.expect(&mut client, "$1\r\nv\r\n");
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
    let (mut site, client, s) = amid_the_write();
    leaves(&mut site, client);
    nothing_is_sent_on(&mut site, "amid the write");
    assert_eq!(
        site.program.open(),
        OpenCounts::default(),
        "its connection goes too"
    );
    assert!(!site.endpoints[s].ends[0].open && site.endpoints[s].ends[0].input.len() < BODY);
    counted_with_the_next(&mut site, 1.0, "no request has reached a server whole");
}

#[test]
fn what_an_endpoint_says_before_it_was_asked_is_taken_for_no_answer() {
    // A whole value, half a line, an end: there before the new connection's first request is
    // written.
    for early in [
        served("x"),
        "-BUSY\r\n".to_owned(),
        "*3\r\n$5".to_owned(),
        String::new(),
    ] {
        let mut site = Site::new(2);
        let mut client = site.client();
        client.send(request("API.WRITE", 1, SUBMIT));
        // The connection is begun in one round and taken as up in the next.
        let spoke = site.unread(|party| !party.ends.is_empty());
        match early.as_str() {
            "" => site.endpoints[spoke].ends[0].end_sending(),
            early => site.endpoints[spoke].ends[0].send(early),
        }
        let (s, c, _) = site.arrival();
        assert_ne!(s, spoke, "{early:?}: that connection is out of step");
        site.endpoints[s].ends[c].send(served("v"));
        site.expect(&mut client, "$1\r\nv\r\n");
        assert_eq!(site.endpoints[spoke].command(), None, "{early:?}");
    }
}

#[test]
fn an_endless_answer_is_bounded_in_time_and_reaches_no_other_request() {
    let mut site = Site::new(1);
    let mut client = site.client();
    client.send(request("API.WRITE", 1, SUBMIT));
    let (s, c, _) = site.arrival();
    site.endpoints[s].ends[c].send("*3\r\n$60000\r\n");
    let begun = site.now;
    while site.program.open().requests > 0 {
        site.endpoints[s].ends[c].send("x");
        site.advance(100);
        assert!(
            site.now <= begun + Duration::from_millis(1100),
            "it dribbles on and on"
        );
    }
    site.expect(&mut client, "-ERR failed\r\n");
    site.until("its connection goes", |site| {
        site.endpoints[s].ends[c].read();
        !site.endpoints[s].ends[c].open
    });
    serve(&mut site, &mut client, load(2));
}

#[test]
fn a_request_that_is_there_when_its_idle_connection_is_due_is_served() {
    let mut site = Site::new(1);
    let mut client = site.client();
    serve(&mut site, &mut client, load(1));
    serve(&mut site, &mut client, load_of(7, 2));
    client.send(load_of(8, 3));
    site.now += Duration::from_millis(6001);
    let (s, c, _) = site.arrival();
    site.endpoints[s].ends[c].send(served("w"));
    site.expect(&mut client, "$1\r\nw\r\n");
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
        let mut site = Site::new(3);
        site.start_under(&[
            ("\"read_like\"", "\"non_idempotent\""),
            ("\"form-load\"", &format!("{name:?}")),
        ]);
        let mut client = site.client();
        client.send(request("API.WRITE", 1, &LOAD.replace("form-load", name)));
        let (s, c, _) = site.arrival();
        site.endpoints[s].ends[c].send(end);
        if end.is_empty() || !end.ends_with('\n') {
            site.endpoints[s].ends[c].hang_up();
        }
        if again {
            let (other, c, words) = site.arrival();
            assert!(other != s && words[2].ends_with('1'));
            site.endpoints[other].ends[c].send(served("v"));
            site.expect(&mut client, "$1\r\nv\r\n");
        } else {
            site.expect(&mut client, "-ERR failed\r\n");
        }
        for _ in 0..10 {
            site.advance(100);
            assert_eq!(
                site.endpoints.iter_mut().find_map(Party::command),
                None,
                "{name} {end:?}"
            );
        }
    }
}

#[test]
fn a_keyed_request_is_not_written_again_once_its_repeat_would_no_longer_be_dropped() {
    for late in [false, true] {
        let mut site = Site::new(2);
        site.start_under(&[
            ("\"Group\":\"cell\"", "\"Group\":\"all\""),
            ("\"WindowMs\":8000.0", "\"WindowMs\":300.0"),
        ]);
        site.round();
        let mut client = site.client();
        client.send(request("API.WRITE", 1, SUBMIT));
        let (s, c, _) = site.arrival();
        site.endpoints[1 - s].fill_up();
        site.advance(250);
        // It may have run: the further attempt is decided within the window, and its connection
        // comes up later.
        site.endpoints[s].ends[c].send("-ERR failed\r\n");
        site.until("the further attempt", |s| {
            s.program.open().upstream_connections == 2
        });
        site.now += Duration::from_millis(if late { 60 } else { 20 });
        site.endpoints[1 - s].empty();
        if late {
            let line = site.line(&mut client);
            assert!(
                line.starts_with("-BUSY") || line.starts_with("-ERR failed"),
                "{line}"
            );
            nothing_is_sent_on(&mut site, "window");
        } else {
            assert_eq!(site.arrival().0, 1 - s);
        }
    }
}
