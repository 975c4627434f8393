//! What clients, servers, counter and discovery see of an ingress, and what it makes of their
//! failures.

mod common;

use common::*;
use roseyard_ingress::protocol::resp;
use std::time::Duration;

#[test]
fn a_request_is_passed_on_unchanged_but_for_its_deadline_and_its_value_comes_back() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    client.send(request("API.WRITE", 7, WRITE_FIELDS));
    let (s, c, words) = harness.next_request();
    assert_eq!(
        words[..3],
        ["API.WRITE", "00000000b4d65521", "0000000000000007"]
    );
    // Late answers of this class are worth nothing: it waits for the aim.
    assert_eq!(words[3], WRITE_FIELDS.replace("d=3000", "d=1000"));
    harness.endpoints[s].connections[c].send(served_reply("kept"));
    harness.expect_reply(&mut client, "$4\r\nkept\r\n");
    assert_eq!(harness.program.open().0, 0, "nothing is held any more");
}

#[test]
fn answers_keep_the_order_of_commands_and_each_attempt_has_a_connection_of_its_own() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    client.send(
        [
            read_request(1),
            b"*1\r\n$4\r\nPING\r\n".to_vec(),
            read_request(2),
        ]
        .concat(),
    );
    let first = harness.next_request();
    let second = harness.next_request();
    assert_ne!(first.1, second.1, "no attempt is written behind another");
    assert_eq!((&first.2[2][15..], &second.2[2][15..]), ("1", "2"));
    harness.endpoints[0].connections[second.1].send(served_reply("two"));
    harness.run_until("the second answer", |s| s.program.open().0 == 1);
    client.read();
    assert_eq!(
        client.text(),
        "",
        "the first command's answer is still to come"
    );
    harness.endpoints[0].connections[first.1].send(served_reply("one"));
    harness.expect_reply(&mut client, "$3\r\none\r\n+PONG\r\n$3\r\ntwo\r\n");
}

#[test]
fn a_free_connection_is_used_again_and_dropped_before_the_endpoint_would() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    for id in 0..3 {
        client.send(read_request(id));
        let (_, c, _) = harness.next_request();
        assert_eq!(c, 0, "the pooled connection");
        harness.endpoints[0].connections[c].send(served_reply("v"));
        harness.expect_reply(&mut client, "$1\r\nv\r\n");
        harness.advance(20);
    }
    harness.advance(14_000);
    harness.run_until("the pool is empty", |s| {
        !s.endpoints[0].connections[0].is_open
    });
}

#[test]
fn lost_framing_is_told_and_ends_the_connection_after_the_answers_before_it() {
    for bad in [
        "hello\r\n",
        "*1\r\n$70000\r\n",
        "*1\r\n:1\r\n",
        "*99\r\n",
        "*1\r\n$2\r\nabcd",
    ] {
        let mut harness = Harness::new(1);
        let mut client = harness.connect();
        client.send(read_request(1));
        client.send(bad);
        let (_, c, _) = harness.next_request();
        harness.endpoints[0].connections[c].send(served_reply("v"));
        assert_eq!(harness.read_line(&mut client), "$1\r\n");
        assert_eq!(harness.read_line(&mut client), "v\r\n");
        assert!(
            harness
                .read_line(&mut client)
                .starts_with("-ERR Protocol error"),
            "{bad:?}"
        );
        harness.run_until_closed(&mut client);
    }
}

#[test]
fn a_command_without_end_is_told_and_ends_the_connection() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    let word = format!("$60000\r\n{}\r\n", "x".repeat(60_000));
    client.send("*5\r\n");
    for _ in 0..2 {
        client.send(&word);
        harness.run_round();
    }
    assert_eq!(
        harness.read_line(&mut client),
        "-ERR Protocol error: command too long\r\n"
    );
    harness.run_until_closed(&mut client);
}

#[test]
fn more_commands_than_may_wait_are_all_answered_in_order_once_the_first_is() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    client.send(read_request(1));
    client.send("*1\r\n$4\r\nPING\r\n".repeat(3000));
    let (s, c, _) = harness.next_request();
    harness.endpoints[s].connections[c].send(served_reply("v"));
    harness.expect_reply(
        &mut client,
        &format!("$1\r\nv\r\n{}", "+PONG\r\n".repeat(3000)),
    );
}

#[test]
fn one_client_with_much_to_say_does_not_keep_another_waiting() {
    let mut harness = Harness::new(1);
    let (mut rude, mut usual) = (harness.connect(), harness.connect());
    rude.send("*1\r\n$4\r\nPING\r\n".repeat(3000));
    usual.send(read_request(1));
    let (s, c, _) = harness.next_request();
    harness.endpoints[s].connections[c].send(served_reply("v"));
    harness.expect_reply(&mut usual, "$1\r\nv\r\n");
    rude.read();
    assert!(
        rude.input.len() < 3000 * 7,
        "its turn came before the other had all its answers"
    );
    harness.expect_reply(&mut rude, &"+PONG\r\n".repeat(3000));
}

#[test]
fn a_client_that_reads_nothing_stops_being_read_and_is_dropped() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    let pings = "*1\r\n$4\r\nPING\r\n".repeat(2000);
    // Far more answers than socket buffers hold: without a bound the ingress would go on answering.
    let (mut sent, mut rest) = (0, pings.as_bytes());
    harness.run_until("the ingress stops reading", |s| {
        let n = client.send_some(rest);
        (sent, rest) = (sent + n, &rest[n..]);
        if rest.is_empty() {
            rest = pings.as_bytes();
        }
        assert!(sent < 256 << 20, "the ingress reads on and on");
        n == 0 && s.program.clients_hold().1 > 256 << 10
    });
    let held = harness.program.clients_hold().1;
    for _ in 0..20 {
        harness.run_round();
    }
    assert!(
        harness.program.clients_hold().1 <= held,
        "nothing more is answered"
    );
    harness.advance(10_001);
    harness.run_until("it is dropped", |s| s.program.open().2 == 0);
}

#[test]
fn a_value_of_the_largest_size_passes_both_ways() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    let body = "b".repeat(64 << 10);
    let mut command = b"*5\r\n".to_vec();
    let plain = request("API.WRITE", 1, WRITE_FIELDS);
    command.extend(&plain[4..]);
    command.extend(format!("${}\r\n{body}\r\n", body.len()).as_bytes());
    client.send(&command);
    let (s, c, words) = harness.next_request();
    assert_eq!(words[4], body);
    harness.endpoints[s].connections[c].send(served_reply(&body));
    harness.expect_reply(&mut client, &format!("${}\r\n{body}\r\n", body.len()));
}

#[test]
fn a_wrong_command_is_told_and_the_connection_goes_on() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    let with_field = |from: &str, to: &str| request("API.READ", 1, &READ_FIELDS.replace(from, to));
    let word = |at: usize, text: &str| {
        let mut out = Vec::new();
        resp::put_array(&mut out, 4);
        let words = [
            "API.READ",
            "00000000b4d65521",
            "0000000000000001",
            READ_FIELDS,
        ];
        for (n, word) in words.into_iter().enumerate() {
            resp::put_bulk(&mut out, if n == at { text } else { word }.as_bytes());
        }
        out
    };
    let wrong = [
        request("API.READ", 1, "c=form-load"),
        request("API.READ", 1, WRITE_FIELDS),
        request("API.WRITE", 1, READ_FIELDS),
        request(
            "API.WRITE",
            1,
            &WRITE_FIELDS.replace("k=5c0f6e1a2b3d4c59,", ""),
        ),
        request(
            "API.WRITE",
            1,
            &WRITE_FIELDS.replace("5c0f6e1a2b3d4c59", "key"),
        ),
        with_field("form-load", "other"),
        with_field("seedling", "other"),
        with_field("d=3000", "d=soon"),
        with_field("d=3000", "d=nan"),
        with_field("d=3000", "d=-1"),
        with_field("d=3000", "d=1e3"),
        with_field("d=3000", "d=0"),
        with_field("d=3000", "d=3000,d=1"),
        with_field("units=1", "units=0"),
        with_field("units=1", "units=-2"),
        with_field("units=1", "units=inf"),
        with_field("units=1", "units=5"),
        with_field("units=1", "units=1000000000000000"),
        with_field("units=1,", ""),
        with_field("spread=1", "spread=0"),
        with_field("spread=1", "spread=2"),
        with_field("spread=1", "spread=x"),
        with_field("first=0", "first=1"),
        with_field("first=0", "first=-1"),
        word(1, "00000002b4d65521"),
        word(1, "b4d65521"),
        word(1, "+0000000b4d65521"),
        word(2, ""),
        word(2, "not a hex number"),
        word(3, "\u{fffd},,="),
        b"*1\r\n$8\r\nAPI.READ\r\n".to_vec(),
        b"*1\r\n$5\r\nHELLO\r\n".to_vec(),
        b"*0\r\n".to_vec(),
        b"*-1\r\n".to_vec(),
    ];
    for command in wrong {
        client.send(&command);
        assert!(
            harness.read_line(&mut client).starts_with("-ERR "),
            "{}",
            String::from_utf8_lossy(&command)
        );
    }
    client.send("*1\r\n$4\r\nPING\r\n");
    harness.expect_reply(&mut client, "+PONG\r\n");
    assert_eq!(
        (
            harness.counter.calls.len(),
            harness.program.clients_hold().0
        ),
        (0, 0),
        "no count was touched"
    );
}

#[test]
fn a_value_of_60_mb_is_told_at_its_length_and_discarded_as_it_streams() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    client.send("*5\r\n$9\r\nAPI.WRITE\r\n$60000000\r\n");
    assert_eq!(
        harness.read_line(&mut client),
        "-ERR Protocol error: value too long\r\n"
    );
    let part = vec![b'x'; 100_000];
    let mut sent = 0;
    while sent < 60_000_000 {
        sent += part.len();
        // What loopback does not take at once it takes after a round.
        let mut rest: &[u8] = &part;
        harness.run_until("room", |_| {
            rest = &rest[client.send_some(rest)..];
            rest.is_empty()
        });
        assert!(
            harness.program.clients_hold().1 < 1 << 20,
            "nothing of it is held"
        );
    }
    client.end_sending();
    harness.run_until_closed(&mut client);
    assert!(!client.was_reset, "an end, no reset");
    harness.run_until("it is gone", |s| s.program.open().2 == 0);
}

#[test]
fn one_that_ended_its_sending_is_still_told_what_was_wrong() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    client.send("GET / HTTP/1.1\r\n\r\n");
    client.end_sending();
    assert!(harness
        .read_line(&mut client)
        .starts_with("-ERR Protocol error"));
    harness.run_until_closed(&mut client);
}

#[test]
fn an_id_in_use_is_told_and_the_request_that_has_it_goes_on() {
    let mut harness = Harness::new(1);
    let (mut first, mut other) = (harness.connect(), harness.connect());
    first.send(read_request(7));
    let (_, c, _) = harness.next_request();
    other.send(read_request(7));
    assert_eq!(harness.read_line(&mut other), "-ERR request id in use\r\n");
    drop(other);
    harness.run_until("the other has gone", |s| s.program.open().2 == 1);
    harness.endpoints[0].connections[c].send(served_reply("v"));
    harness.expect_reply(&mut first, "$1\r\nv\r\n");
    assert_eq!(
        harness.program.clients_hold(),
        (0, 0),
        "the id is free again"
    );
}

#[test]
fn silent_and_halting_clients_are_ended_in_time_and_usual_ones_later() {
    let mut harness = Harness::new(1);
    let (mut silent, mut halting, mut usual) =
        (harness.connect(), harness.connect(), harness.connect());
    halting.send("*4\r\n$8\r\nAPI.");
    usual.send("*1\r\n$4\r\nPING\r\n".repeat(2));
    harness.expect_reply(&mut usual, "+PONG\r\n+PONG\r\n");
    harness.run_until("all are read", |s| {
        s.program.open().2 == 3 && s.program.clients_hold().1 > 0
    });
    harness.advance(2100);
    harness.run_round();
    assert_eq!(harness.program.open().2, 3);
    harness.advance(101);
    harness.run_until_closed(&mut silent);
    assert_eq!(
        harness.read_line(&mut halting),
        "-ERR Protocol error: command not finished in time\r\n"
    );
    harness.run_until_closed(&mut halting);
    harness.advance(3700);
    harness.run_round();
    usual.read();
    assert!(usual.is_open, "between requests for 5.9 s");
    harness.advance(101);
    harness.run_until_closed(&mut usual);
}

#[test]
fn a_request_that_waits_keeps_its_connection() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    client.send(request(
        "API.READ",
        1,
        &READ_FIELDS.replace("d=3000", "d=60000"),
    ));
    let (_, c, _) = harness.next_request();
    for _ in 0..10 {
        harness.advance(2000);
    }
    harness.endpoints[0].connections[c].send(served_reply("v"));
    harness.expect_reply(&mut client, "$1\r\nv\r\n");
}

#[test]
fn hundreds_that_say_nothing_take_no_place_of_one_that_asks() {
    let mut harness = Harness::with_sockets(1, 64);
    let mut usual = harness.connect();
    usual.send("*1\r\n$4\r\nPING\r\n");
    harness.expect_reply(&mut usual, "+PONG\r\n");
    let silent: Vec<Connection> = (0..300)
        .map(|_| {
            let client = harness.connect();
            harness.advance(1);
            client
        })
        .collect();
    assert!(
        harness.program.open().2 <= 24,
        "{:?}",
        harness.program.open()
    );
    usual.send(read_request(1));
    let (_, c, _) = harness.next_request();
    harness.endpoints[0].connections[c].send(served_reply("v"));
    harness.expect_reply(&mut usual, "$1\r\nv\r\n");
    drop(silent);
}

#[test]
fn those_that_ask_once_and_stay_take_no_place_of_one_that_comes_again() {
    let mut harness = Harness::with_sockets(1, 64);
    let mut usual = harness.connect();
    usual.send("*1\r\n$4\r\nPING\r\n".repeat(2));
    harness.expect_reply(&mut usual, "+PONG\r\n+PONG\r\n");
    let mut stayed = Vec::new();
    for _ in 0..60 {
        let mut client = harness.connect();
        client.send("*1\r\n$4\r\nPING\r\n");
        harness.advance(1);
        harness.expect_reply(&mut client, "+PONG\r\n");
        stayed.push(client);
    }
    usual.read();
    assert!(usual.is_open, "used before all of them, and kept");
    harness.advance(2201);
    harness.run_until_closed(stayed.last_mut().unwrap());
    usual.read();
    assert!(usual.is_open);
}

#[test]
fn what_clients_hold_together_is_bounded_by_the_memory() {
    let mut harness = Harness::with_memory(1, 1024, 32);
    let mut usual = harness.connect();
    let mut clients: Vec<Connection> = (0..120).map(|_| harness.connect()).collect();
    let part = format!("*5\r\n$9\r\nAPI.WRITE\r\n$65536\r\n{}", "x".repeat(60_000));
    for client in &mut clients {
        client.send(&part);
        for _ in 0..3 {
            harness.run_round();
        }
        assert!(harness.program.clients_hold().1 <= 4 << 20);
    }
    assert!(
        harness.program.open().2 < 100,
        "those that held most were dropped"
    );
    usual.send(read_request(1));
    let (_, c, _) = harness.next_request();
    harness.endpoints[0].connections[c].send(served_reply("v"));
    harness.expect_reply(&mut usual, "$1\r\nv\r\n");
}

#[test]
fn beyond_the_quota_a_request_is_refused_at_once_with_word_of_when_to_come_back() {
    let mut harness = Harness::new(1);
    // Other ingresses have used the customer's whole window.
    harness
        .counter
        .totals
        .insert("00000000b4d65521".to_owned(), 20.0);
    let mut client = harness.connect();
    let before = harness.now;
    client.send(read_request(1));
    let answer = harness.read_line(&mut client);
    let after: u64 = answer
        .strip_prefix("-BUSY ")
        .expect("a refusal")
        .trim()
        .parse()
        .unwrap();
    assert!((1..=1000).contains(&after), "{answer}");
    assert_eq!(harness.now, before, "no time has gone by");
    assert!(
        harness.endpoints[0].connections.is_empty(),
        "no server was asked"
    );
}

#[test]
fn an_endpoint_that_turns_away_never_ran_it_and_another_is_asked() {
    let mut harness = Harness::new(2);
    let mut client = harness.connect();
    client.send(request("API.WRITE", 1, WRITE_FIELDS));
    let (first, c, _) = harness.next_request();
    harness.endpoints[first].connections[c].send("-BUSY\r\n");
    let (second, c, words) = harness.next_request();
    assert_ne!(first, second);
    assert_eq!(words[2], "0000000000000001", "the same id");
    harness.endpoints[second].connections[c].send(served_reply("v"));
    harness.expect_reply(&mut client, "$1\r\nv\r\n");
}

const SPOILT: [&str; 10] = [
    "\0\x01noise\r\n",
    "+OK\r\n",
    ":7\r\n",
    "-\x07\r\n",
    "$1\r\nv\r\n",
    "*3\r\n$-1\r\n$-1\r\n$-1\r\n",
    "*2\r\n$1\r\nv\r\n$-1\r\n",
    "*3\r\n$3000000000\r\nvvvvvvvvvvvvvvvvvvvv",
    "*3\r\n$1\r\nvvvv\r\n$-1\r\n$-1\r\n",
    "*3\r\n$900\r\nv\r\n$-1\r\n$-1\r\n",
];

#[test]
fn a_spoilt_answer_may_have_run_and_costs_its_connection() {
    for spoilt in SPOILT {
        let mut harness = Harness::new(2);
        let mut client = harness.connect();
        for (command, answer) in [
            (read_request(1), "$1\r\nv\r\n"),
            (request("API.WRITE", 2, WRITE_FIELDS), "-ERR failed\r\n"),
        ] {
            client.send(command);
            let (s, c, words) = harness.next_request();
            harness.endpoints[s].connections[c].send(spoilt);
            harness.run_until("its connection goes", |harness| {
                harness.advance(30);
                !harness.endpoints[s].connections[c].is_open
            });
            if words[0] == "API.READ" {
                let (other, c, again) = harness.next_request();
                assert_eq!(
                    (other, &again[2]),
                    (1 - s, &words[2]),
                    "what may be repeated is asked elsewhere"
                );
                harness.endpoints[other].connections[c].send(served_reply("v"));
            }
            harness.expect_reply(&mut client, answer);
        }
        assert_eq!(
            harness.endpoints.iter_mut().find_map(|s| s.next_command()),
            None,
            "{spoilt:?}"
        );
    }
}

#[test]
fn what_comes_behind_an_answer_is_never_the_next_ones() {
    for (more, wait) in [
        (served_reply("old"), 0),
        ("noise".into(), 0),
        (served_reply("old"), 10),
        (served_reply("old"), 19),
    ] {
        let mut harness = Harness::new(1);
        let mut client = harness.connect();
        client.send(read_request(1));
        let (_, c, _) = harness.next_request();
        harness.endpoints[0].connections[c].send(served_reply("v"));
        harness.expect_reply(&mut client, "$1\r\nv\r\n");
        // The next request is there before the second copy.
        harness.advance(wait);
        client.send(read_request(2));
        let (_, next, _) = harness.next_request();
        harness.endpoints[0].connections[c].send(&more);
        harness.run_until("the first connection goes", |s| {
            !s.endpoints[0].connections[c].is_open
        });
        harness.endpoints[0].connections[next].send(served_reply("new"));
        harness.expect_reply(&mut client, "$3\r\nnew\r\n");
        assert_ne!(c, next);
    }
}

#[test]
fn a_connection_that_ended_or_spoke_unasked_is_not_written_to() {
    for bytes in ["", "+\r\n"] {
        let mut harness = Harness::new(1);
        let mut client = harness.connect();
        client.send(read_request(1));
        let (_, c, _) = harness.next_request();
        harness.endpoints[0].connections[c].send(served_reply("v"));
        harness.expect_reply(&mut client, "$1\r\nv\r\n");
        harness.now += std::time::Duration::from_millis(50);
        // Both wait when the ingress wakes.
        client.send(read_request(2));
        match bytes {
            "" => harness.endpoints[0].connections[c].close(),
            _ => harness.endpoints[0].connections[c].send(bytes),
        }
        let (_, next, _) = harness.next_request();
        assert_ne!(c, next);
    }
}

#[test]
fn figures_that_cannot_be_read_are_passed_over_and_the_value_served() {
    for rest in [
        "$3\r\nx,y\r\n$9\r\nutil=nan,\r\n",
        ":-7\r\n+\u{1}\r\n",
        "$1\r\n\u{7}\r\n*-1\r\n",
    ] {
        let mut harness = Harness::new(1);
        let mut client = harness.connect();
        client.send(read_request(1));
        let (_, c, _) = harness.next_request();
        harness.endpoints[0].connections[c].send(format!("*3\r\n$1\r\nv\r\n{rest}"));
        harness.expect_reply(&mut client, "$1\r\nv\r\n");
    }
}

#[test]
fn interim_answers_of_counter_and_discovery_are_skipped() {
    let mut harness = Harness::new(1);
    harness.counter.mode = CounterMode::Silent;
    let mut client = harness.connect();
    client.send(read_request(1));
    harness.run_until("the call", |s| {
        s.counter
            .peer
            .connections
            .iter()
            .any(|e| !e.input.is_empty())
    });
    let end = harness
        .counter
        .peer
        .connections
        .iter_mut()
        .find(|e| !e.input.is_empty())
        .unwrap();
    end.send("HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n");
    end.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n99");
    assert!(harness.read_line(&mut client).starts_with("-BUSY "));
    harness.discovery_replies = false;
    harness.discovery.connections.clear();
    harness.advance(300);
    harness.advance(201);
    harness.run_until("a second watch", |s| s.watch_requests.len() == 2);
    let list = "{\"rev\":50,\"all\":false,\"targets\":[]}\n";
    let end = harness.discovery.connections.last_mut().unwrap();
    end.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    end.send(format!("{:x}\r\n{list}\r\n", list.len()));
    harness.run_until("the list", |s| s.program.list_version() == 50);
}

#[test]
fn a_keyed_request_whose_connection_broke_after_its_last_byte_fails_and_is_not_called_harmless() {
    let mut harness = Harness::new(2);
    let mut client = harness.connect();
    client.send(request("API.WRITE", 1, WRITE_FIELDS));
    let (s, _, _) = harness.next_request();
    harness.endpoints[s].connections.clear();
    // The other server is of another pod, which does not know the key.
    harness.expect_reply(&mut client, "-ERR failed\r\n");
    assert_eq!(harness.endpoints[1 - s].next_command(), None);
}

#[test]
fn a_refused_connection_never_ran_the_request() {
    let mut harness = Harness::new(1);
    harness.endpoints[0].stop();
    let mut client = harness.connect();
    client.send(request("API.WRITE", 1, WRITE_FIELDS));
    // Had it perhaps run, a keyed request could not be called harmless to repeat.
    assert!(harness.read_line(&mut client).starts_with("-BUSY "));
}

#[test]
fn a_connection_that_never_comes_up_never_ran_the_request() {
    let mut harness = Harness::new(1);
    harness.endpoints[0].stop_accepting();
    let mut client = harness.connect();
    client.send(request("API.WRITE", 1, WRITE_FIELDS));
    harness.run_until("the connection is begun", |s| s.program.open().1 == 1);
    harness.advance(251);
    assert!(harness.read_line(&mut client).starts_with("-BUSY "));
    assert_eq!(harness.program.open().1, 0);
}

#[test]
fn an_attempt_behind_a_connect_is_not_written_to_an_endpoint_that_has_begun_to_drain() {
    let mut harness = Harness::new(1);
    harness.endpoints[0].stop_accepting();
    let mut client = harness.connect();
    client.send(request("API.WRITE", 1, WRITE_FIELDS));
    harness.run_until("the connection is begun", |s| s.program.open().1 == 1);
    harness.send_endpoint_states(42, &[(0, "DRAINING")]);
    harness.run_until("the list", |s| s.program.list_version() == 42);
    // Room at the listener: the connection comes up.
    harness.endpoints[0].resume_accepting();
    assert!(harness.read_line(&mut client).starts_with("-BUSY "));
    harness.endpoints[0].read();
    assert_eq!(harness.endpoints[0].next_command(), None);
}

#[test]
fn nothing_goes_to_the_address_that_an_endpoint_has_left() {
    let mut harness = Harness::new(1);
    harness.endpoints[0].stop_accepting();
    let (mut client, mut other) = (harness.connect(), harness.connect());
    client.send(request("API.WRITE", 1, WRITE_FIELDS));
    harness.run_until("the connection is begun", |s| s.program.open().1 == 1);
    let mut old = std::mem::replace(&mut harness.endpoints[0], Peer::new());
    harness.send_endpoint_states(42, &[(0, "SERVING")]);
    harness.run_until("the list", |s| s.program.list_version() == 42);
    // Now it comes up at the old address.
    old.resume_accepting();
    harness.run_until("the answer", |_| {
        old.read();
        client.read();
        !client.input.is_empty()
    });
    assert!(client.text().starts_with("-BUSY "));
    other.send(read_request(2));
    let (_, c, _) = harness.next_request();
    old.read();
    assert_eq!(old.next_command(), None);
    // An answer from before the next move is passed on, its connection not used again.
    let mut before = std::mem::replace(&mut harness.endpoints[0], Peer::new());
    harness.send_endpoint_states(43, &[(0, "SERVING")]);
    harness.run_until("the list", |s| s.program.list_version() == 43);
    before.connections[c].send(served_reply("v"));
    harness.expect_reply(&mut other, "$1\r\nv\r\n");
    harness.run_until("its connection goes", |_| {
        before.read();
        !before.connections[c].is_open
    });
}

#[test]
fn a_silent_endpoint_costs_its_connection_and_the_request_fails_at_its_end() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    client.send(request("API.WRITE", 1, WRITE_FIELDS));
    let (_, c, _) = harness.next_request();
    harness.advance(1001);
    harness.expect_reply(&mut client, "-ERR failed\r\n");
    harness.run_until("the attempt is abandoned", |s| {
        !s.endpoints[0].connections[c].is_open
    });
    assert_eq!(harness.program.open(), (0, 0, 1));
}

#[test]
fn a_client_that_leaves_has_its_attempt_called_off() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    client.send(read_request(1));
    let (_, c, _) = harness.next_request();
    drop(client);
    harness.run_until("the attempt is abandoned", |s| {
        !s.endpoints[0].connections[c].is_open
    });
    assert_eq!(harness.program.open(), (0, 0, 0));
}

#[test]
fn an_endpoint_that_drains_gets_nothing_new_and_finishes_what_it_has() {
    let mut harness = Harness::new(2);
    let mut client = harness.connect();
    client.send(read_request(1));
    let (drained, c, _) = harness.next_request();
    harness.send_endpoint_states(42, &[(drained, "DRAINING")]);
    harness.run_until("the list", |s| s.program.list_version() == 42);
    let mut other = harness.connect();
    for id in 2..6 {
        other.send(read_request(id));
        let (s, c, _) = harness.next_request();
        assert_eq!(s, 1 - drained);
        harness.endpoints[s].connections[c].send(served_reply("w"));
        harness.expect_reply(&mut other, "$1\r\nw\r\n");
    }
    harness.endpoints[drained].connections[c].send(served_reply("v"));
    harness.expect_reply(&mut client, "$1\r\nv\r\n");
    harness.run_until("its connection goes", |s| {
        !s.endpoints[drained].connections[c].is_open
    });
}

#[test]
fn a_silent_counter_stalls_nobody_and_its_late_total_still_counts_for_the_next() {
    let mut harness = Harness::new(1);
    harness.counter.mode = CounterMode::Silent;
    let mut client = harness.connect();
    client.send(read_request(1));
    harness.run_until("the call", |s| {
        s.counter
            .peer
            .connections
            .iter()
            .any(|e| !e.input.is_empty())
    });
    assert_eq!(
        harness.endpoints[0].next_command(),
        None,
        "it waits for the total"
    );
    harness.advance(81);
    let (_, c, _) = harness.next_request();
    harness.endpoints[0].connections[c].send(served_reply("v"));
    harness.expect_reply(&mut client, "$1\r\nv\r\n");
    // Its total comes long after the settings' time-out: the others have used the window.
    harness.advance(100);
    let end = harness
        .counter
        .peer
        .connections
        .iter_mut()
        .find(|e| !e.input.is_empty())
        .unwrap();
    end.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n99");
    for _ in 0..3 {
        harness.run_round();
    }
    // With no further word of the counter the ledger knows, at once.
    client.send(read_request(2));
    assert!(harness.read_line(&mut client).starts_with("-BUSY "));
}

#[test]
fn an_answer_later_than_any_call_may_take_is_not_taken_for_the_next_calls() {
    let mut harness = Harness::new(1);
    harness.counter.mode = CounterMode::Silent;
    let mut client = harness.connect();
    client.send(read_request(1));
    harness.run_until("the call", |s| {
        s.counter
            .peer
            .connections
            .iter()
            .any(|e| !e.input.is_empty())
    });
    harness.advance(251);
    let (_, c, _) = harness.next_request();
    harness.endpoints[0].connections[c].send(served_reply("v"));
    harness.expect_reply(&mut client, "$1\r\nv\r\n");
    // The first answer comes late, with a total that leaves room; the second tells that there is
    // none.
    client.send(read_request(2));
    harness.run_until("the second call", |s| {
        s.counter
            .peer
            .connections
            .iter()
            .any(|e| e.input.windows(4).filter(|w| w == b"\r\n\r\n").count() == 2)
    });
    let end = harness
        .counter
        .peer
        .connections
        .iter_mut()
        .find(|e| !e.input.is_empty())
        .unwrap();
    end.send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
    for _ in 0..3 {
        harness.run_round();
    }
    assert_eq!(
        harness.endpoints[0].next_command(),
        None,
        "the first answer decides nothing"
    );
    let end = harness
        .counter
        .peer
        .connections
        .iter_mut()
        .find(|e| !e.input.is_empty())
        .unwrap();
    end.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n99");
    assert!(harness.read_line(&mut client).starts_with("-BUSY "));
}

#[test]
fn a_spoilt_answer_of_the_counter_costs_its_connection_and_no_further_call() {
    for spoilt in [
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
        harness.run_until("the call", |s| {
            s.counter
                .peer
                .connections
                .iter()
                .any(|e| !e.input.is_empty())
        });
        let end = harness
            .counter
            .peer
            .connections
            .iter_mut()
            .find(|e| !e.input.is_empty())
            .unwrap();
        end.send(spoilt);
        harness.run_round();
        harness.advance(26);
        harness.run_until("the connection goes", |s| {
            s.counter.peer.connections.iter().all(|e| !e.is_open)
        });
        // Decided without it, and the next call is answered at once on a new connection.
        let (_, c, _) = harness.next_request();
        harness.endpoints[0].connections[c].send(served_reply("v"));
        harness.expect_reply(&mut client, "$1\r\nv\r\n");
        harness.counter.mode = CounterMode::Replies;
        harness.counter.peer.connections.clear();
        let before = harness.now;
        client.send(read_request(2));
        let (_, c, _) = harness.next_request();
        harness.endpoints[0].connections[c].send(served_reply("w"));
        harness.expect_reply(&mut client, "$1\r\nw\r\n");
        assert_eq!(
            (harness.counter.calls.len(), harness.now),
            (1, before),
            "{spoilt:?}"
        );
    }
}

#[test]
fn a_counter_connection_that_breaks_under_a_call_is_opened_anew_at_once() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    let mut served_one = |harness: &mut Harness, id| {
        client.send(read_request(id));
        let (_, c, _) = harness.next_request();
        harness.endpoints[0].connections[c].send(served_reply("v"));
        harness.expect_reply(&mut client, "$1\r\nv\r\n");
    };
    served_one(&mut harness, 1);
    assert_eq!(harness.counter.calls.len(), 1);
    harness.counter.mode = CounterMode::Silent;
    let mut other = harness.connect();
    other.send(read_request(2));
    harness.run_until("the call", |s| {
        s.counter
            .peer
            .connections
            .iter()
            .any(|e| !e.input.is_empty())
    });
    harness.counter.peer.connections.clear();
    let (_, c, _) = harness.next_request();
    harness.endpoints[0].connections[c].send(served_reply("w"));
    harness.expect_reply(&mut other, "$1\r\nw\r\n");
    // The next try has its total, in the same millisecond.
    harness.counter.mode = CounterMode::Replies;
    served_one(&mut harness, 3);
    assert_eq!(
        harness.counter.calls.len(),
        2,
        "no call fails for want of a connection"
    );
}

/// A server keeps a connection for 100 ms, and its end is seen only once the next request has been
/// written there. How many of the requests of the second half, each 200 ms after the one before,
/// were lost to that.
fn lost_to_dead_links(kind: &str, list: &str) -> usize {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    let mut lost = 0;
    for id in 0..60 {
        client.send(request_of_customer(id + 1, kind, id, list));
        let (s, c, _) = harness.next_request();
        let end = &mut harness.endpoints[s].connections[c];
        if end.has_carried_request {
            lost += usize::from(id >= 30);
            harness.endpoints[s].connections.remove(c);
        } else {
            end.has_carried_request = true;
            end.send(served_reply("v"));
        }
        harness.run_until("the answer", |_| {
            client.read();
            client.input.ends_with(b"\r\n")
        });
        client.input.clear();
        harness.advance(200);
    }
    lost
}

#[test]
fn connections_that_die_unseen_at_rest_are_learned_of_and_passed_over() {
    let once = lost_to_dead_links("API.WRITE", WRITE_FIELDS);
    assert!(once <= 3, "{once} of 30 were lost");
    let twice = lost_to_dead_links("API.READ", READ_FIELDS);
    assert!(twice <= 3, "{twice} of 30 were sent to dead connections");
}

#[test]
fn a_counter_that_refuses_or_turns_away_stalls_nobody() {
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
            let (_, c, _) = harness.next_request();
            harness.endpoints[0].connections[c].send(served_reply("v"));
            harness.expect_reply(&mut client, "$1\r\nv\r\n");
        }
        assert_eq!(harness.now, before);
    }
}

#[test]
fn a_counter_connection_that_stays_silent_is_replaced() {
    let mut harness = Harness::new(1);
    harness.counter.mode = CounterMode::Silent;
    let mut client = harness.connect();
    client.send(read_request(1));
    harness.run_until("the call", |s| {
        s.counter
            .peer
            .connections
            .iter()
            .any(|e| !e.input.is_empty())
    });
    harness.advance(251);
    harness.advance(1100);
    harness.run_until("the silent connection goes", |s| {
        s.counter.peer.connections.iter().all(|e| !e.is_open)
    });
    harness.counter.mode = CounterMode::Replies;
    let calls = harness.counter.calls.len();
    client.send(read_request(2));
    harness.run_until("a call on a new connection", |s| {
        s.counter.calls.len() > calls
    });
}

#[test]
fn a_silent_discovery_is_called_again_from_the_version_held() {
    let mut harness = Harness::new(1);
    assert_eq!(
        harness.watch_requests,
        ["GET /discovery/hosts?watch=1&after=41 HTTP/1.1"]
    );
    harness.send_endpoint_states(43, &[(0, "SERVING")]);
    harness.run_until("the list", |s| s.program.list_version() == 43);
    harness.discovery_replies = false;
    harness.advance(2900);
    assert_eq!(
        harness.watch_requests.len(),
        1,
        "a line may be a little late"
    );
    harness.advance(200);
    harness.run_until("a second call", |s| s.watch_requests.len() == 2);
    assert_eq!(
        harness.watch_requests[1],
        "GET /discovery/hosts?watch=1&after=43 HTTP/1.1"
    );
    harness.advance(1100);
    harness.run_until("a third call", |s| s.watch_requests.len() == 3);
}

#[test]
fn a_watch_that_breaks_is_opened_again_after_a_moment() {
    let mut harness = Harness::new(1);
    harness.discovery.connections.clear();
    harness.run_until("the loss", |s| s.program.next_due().is_some());
    for _ in 0..3 {
        harness.run_round();
    }
    harness.advance(201);
    harness.run_until("a second call", |s| s.watch_requests.len() == 2);
}

#[test]
fn ping_is_answered_once_discovery_has_spoken_or_has_had_its_time() {
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

#[test]
fn more_clients_than_descriptors_are_served_by_closing_connections_between_requests() {
    let mut harness = Harness::with_sockets(1, 48);
    let mut clients = Vec::new();
    for _ in 0..40 {
        let mut client = harness.connect();
        client.send("*1\r\n$4\r\nPING\r\n");
        harness.expect_reply(&mut client, "+PONG\r\n");
        clients.push(client);
    }
    let (_, _, held) = harness.program.open();
    assert!((1..40).contains(&held), "{held} held");
    harness.run_until_closed(&mut clients[0]);
}

#[test]
fn leaving_accepts_for_a_while_finishes_what_is_held_and_ends() {
    let mut harness = Harness::new(1);
    let mut held = harness.connect();
    held.send(read_request(1));
    let (_, c, _) = harness.next_request();
    let mut idle = harness.connect();
    idle.send("*1\r\n$4\r\nPING\r\n");
    harness.expect_reply(&mut idle, "+PONG\r\n");
    harness.program.leave();
    let mut late = harness.connect();
    late.send(read_request(2));
    let (_, c2, _) = harness.next_request();
    harness.advance(601);
    harness.run_until_closed(&mut idle);
    assert_eq!(harness.program.address(), None, "nothing new is accepted");
    assert!(held.is_open && late.is_open);
    for (client, c) in [(&mut held, c), (&mut late, c2)] {
        harness.endpoints[0].connections[c].send(served_reply("v"));
        harness.expect_reply(client, "$1\r\nv\r\n");
        harness.run_until_closed(client);
    }
    drop((held, idle, late));
    let mut goes_on = true;
    harness.run_until("the end", |s| {
        goes_on = goes_on && s.run_round();
        !goes_on
    });
}

#[test]
fn a_reload_moves_discovery_and_counter_at_once_and_loses_no_request_and_no_count() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    harness.counter.mode = CounterMode::Silent;
    client.send(read_request(1));
    let calls = |c: &FakeCounter| {
        c.peer
            .connections
            .iter()
            .filter(|e| !e.input.is_empty())
            .count()
    };
    harness.run_until("the call", |s| calls(&s.counter) == 1);
    // Twice in a row: what is out at the first counter is awaited there all the same.
    let mut first = harness.reload();
    harness.reload();
    harness.run_until("the watch at the last address", |s| {
        s.watch_requests.len() >= 2 && s.discovery.connections.len() == 1
    });
    // The same customer's next call must not overtake the one that is out.
    client.send(read_request(2));
    for _ in 0..5 {
        harness.run_round();
    }
    assert_eq!((calls(&first), calls(&harness.counter)), (1, 0));
    first.mode = CounterMode::Replies;
    first.serve();
    let (_, c, words) = harness.next_request();
    assert!(
        words[2].ends_with('1'),
        "the old counter's total decided: {words:?}"
    );
    harness.endpoints[0].connections[c].send(served_reply("one"));
    let (_, c, words) = harness.next_request();
    assert!(words[2].ends_with('2'), "{words:?}");
    assert_eq!(
        harness.counter.calls.len(),
        1,
        "the second call went to the new address"
    );
    harness.endpoints[0].connections[c].send(served_reply("two"));
    harness.expect_reply(&mut client, "$3\r\none\r\n$3\r\ntwo\r\n");
    harness.run_until("the old connection's end", |_| {
        first.peer.read();
        first.peer.connections.iter().all(|e| !e.is_open)
    });
}

#[test]
fn calls_that_wait_for_a_silent_old_counter_go_to_the_new_one_once_its_time_is_over() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    harness.counter.mode = CounterMode::Silent;
    client.send(read_request(1));
    harness.run_until("the call", |s| {
        s.counter
            .peer
            .connections
            .iter()
            .any(|e| !e.input.is_empty())
    });
    let _silent = harness.reload();
    harness.advance(200);
    client.send(read_request(2));
    for _ in 0..5 {
        harness.run_round();
    }
    harness.advance(51);
    harness.run_until("the call at the new address", |s| {
        s.counter.calls.len() == 1
    });
}

#[test]
fn a_configuration_that_cannot_be_read_changes_nothing() {
    let mut harness = Harness::new(1);
    harness.program.reload(Err("half a file".into()));
    let mut client = harness.connect();
    client.send(read_request(1));
    let (_, c, _) = harness.next_request();
    harness.endpoints[0].connections[c].send(served_reply("v"));
    harness.expect_reply(&mut client, "$1\r\nv\r\n");
    assert_eq!(
        (harness.counter.calls.len(), harness.watch_requests.len()),
        (1, 1)
    );
}

#[test]
fn true_units_that_an_answer_tells_ride_on_the_customers_next_add_where_units_are_settled_afterwards(
) {
    // What the answer tells, and what the next add makes of a guess of 2: at most 4 units a request
    // here.
    let told = [
        ("used=37,cost=4", 4.0),
        ("cost=1", 1.0),
        ("used=37", 2.0),
        ("cost=5", 2.0),
        ("cost=-1", 2.0),
        ("cost=x", 2.0),
    ];
    for settled in [true, false] {
        let mut harness = Harness::new(1);
        let domain = format!("\"PostPaid\":{settled},\"SharedCounter\"");
        harness.restart_with(&[("\"SharedCounter\"", &domain)]);
        let mut client = harness.connect();
        for (n, (figures, settles_at)) in told.iter().enumerate() {
            let customer = format!("{:016x}", 500 + n);
            for (units, total) in [(2, 2.0), (1, if settled { settles_at + 1.0 } else { 3.0 })] {
                let list = READ_FIELDS.replace("units=1", &format!("units={units}"));
                client.send(request_of_customer(
                    500 + n as u64,
                    "API.READ",
                    10 + 2 * n as u64 + units,
                    &list,
                ));
                let (s, c, _) = harness.next_request();
                assert_eq!(
                    harness.counter.totals[&customer], total,
                    "{figures}, settled: {settled}"
                );
                let answer = format!(
                    "*3\r\n$1\r\nv\r\n${}\r\n{figures}\r\n$-1\r\n",
                    figures.len()
                );
                harness.endpoints[s].connections[c].send(answer);
                harness.expect_reply(&mut client, "$1\r\nv\r\n");
                harness.advance(30);
            }
        }
    }
}

/// What becomes of a watch while discovery has a drain to tell.
#[derive(Clone, Copy, Debug)]
enum Watch {
    Silent,
    Torn,
    Moved,
}

#[test]
fn a_drain_told_while_the_watch_is_silent_torn_or_moved_ends_the_sends_within_the_grace() {
    for (grace, what) in [1000, 2000]
        .into_iter()
        .flat_map(|g| [Watch::Silent, Watch::Torn, Watch::Moved].map(|w| (g, w)))
    {
        let mut harness = Harness::new(2);
        harness.restart_with_drain_grace(grace, &[]);
        harness.advance(10);
        // From here on discovery has told a drain to whoever could hear it.
        let told = harness.now;
        harness.discovery_replies = false;
        let before = harness.watch_requests.len();
        match what {
            Watch::Silent => {}
            Watch::Torn => harness
                .discovery
                .connections
                .iter_mut()
                .for_each(Connection::close),
            Watch::Moved => drop(harness.reload()),
        }
        // Two calls more are taken and left without a word, but after a move.
        let silent = if matches!(what, Watch::Moved) { 0 } else { 2 };
        let mut client = harness.connect();
        let (mut id, mut last) = (1, told);
        while harness.now < told + Duration::from_secs(10) {
            if harness.program.list_version() == 41
                && harness.watch_requests.len() > before + silent
            {
                let drain = format!(
                    "{{\"rev\":42,\"all\":false,\"targets\":[{}]}}\n",
                    endpoint_entry(0, harness.endpoints[0].address, "DRAINING")
                );
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let end = harness.discovery.connections.last_mut().unwrap();
                end.send(format!("{head}{:x}\r\n{drain}\r\n", drain.len()));
                harness.run_until("the news", |s| s.program.list_version() == 42);
            }
            client.send(request_of_customer(700 + id, "API.READ", id, READ_FIELDS));
            let (s, c, _) = harness.next_request();
            last = if s == 0 { harness.now } else { last };
            harness.endpoints[s].connections[c].send(served_reply("v"));
            harness.expect_reply(&mut client, "$1\r\nv\r\n");
            id += 1;
            harness.advance(50);
        }
        let after = last - told;
        assert_eq!(
            harness.program.list_version(),
            42,
            "{what:?}: the news came"
        );
        // It counts as told 6 s later, heard or not.
        let most = Duration::from_millis(if silent > 0 { 6000 } else { 0 } + grace);
        assert!(
            after <= most,
            "{what:?}, grace {grace} ms: last send {after:?} after it was told"
        );
    }
}

#[test]
fn what_must_never_run_twice_is_sent_once_and_answered_once_however_its_attempt_ends() {
    const COMMIT: &str = "c=submit,t=seedling,d=3000,units=1,spread=1,first=0";
    for end in [
        "reset",
        "half an answer",
        "spoilt",
        "error",
        "silence",
        "sigterm",
    ] {
        let mut harness = Harness::new(2);
        harness.restart_with(&[(
            "\"Effect\":\"idempotency_key\"",
            "\"Effect\":\"non_idempotent\"",
        )]);
        let mut client = harness.connect();
        client.send(request("API.WRITE", 1, COMMIT));
        let (s, c, _) = harness.next_request();
        match end {
            "reset" => harness.endpoints[s].connections.clear(),
            "half an answer" => {
                harness.endpoints[s].connections[c].send("*3\r\n$1\r\n");
                harness.endpoints[s].connections[c].close();
            }
            "spoilt" => harness.endpoints[s].connections[c].send("*3\r\n:1\r\n$-1\r\n$-1\r\n"),
            "error" => harness.endpoints[s].connections[c].send("-ERR failed used=37\r\n"),
            "sigterm" => {
                harness.program.leave();
                harness.advance(10);
                harness.endpoints[s].connections.clear();
            }
            // Its aim and its deadline pass.
            _ => {}
        }
        for _ in 0..40 {
            harness.advance(100);
            client.read();
            assert_eq!(
                harness.endpoints[1 - s].next_command(),
                None,
                "{end}: sent again"
            );
        }
        assert_eq!(
            client.text(),
            "-ERR failed\r\n",
            "{end}: one final answer, and none that calls it harmless"
        );
        assert_eq!(
            harness.endpoints[s].next_command(),
            None,
            "{end}: sent again"
        );
    }
}
