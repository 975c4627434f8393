//! What clients, servers, counter and discovery see of an ingress, and what it makes of their
//! failures.

mod common;

use common::*;
use roseyard_ingress::program::OpenCounts;
use roseyard_ingress::protocol::resp;
use std::time::Duration;

#[test]
fn a_request_is_passed_on_unchanged_but_for_its_deadline_and_its_value_comes_back() {
    let mut site = Site::new(1);
    let mut client = site.client();
    client.send(request("API.WRITE", 7, SUBMIT));
    let (s, c, words) = site.arrival();
    assert_eq!(
        words[..3],
        ["API.WRITE", "00000000b4d65521", "0000000000000007"]
    );
    // Late answers of this class are worth nothing: it waits for the aim.
    assert_eq!(words[3], SUBMIT.replace("d=3000", "d=1000"));
    site.endpoints[s].ends[c].send(served("kept"));
    site.expect(&mut client, "$4\r\nkept\r\n");
    assert_eq!(site.program.open().requests, 0, "nothing is held any more");
}

#[test]
fn answers_keep_the_order_of_commands_and_each_attempt_has_a_connection_of_its_own() {
    let mut site = Site::new(1);
    let mut client = site.client();
    client.send([load(1), b"*1\r\n$4\r\nPING\r\n".to_vec(), load(2)].concat());
    let first = site.arrival();
    let second = site.arrival();
    assert_ne!(first.1, second.1, "no attempt is written behind another");
    assert_eq!((&first.2[2][15..], &second.2[2][15..]), ("1", "2"));
    site.endpoints[0].ends[second.1].send(served("two"));
    site.until("the second answer", |s| s.program.open().requests == 1);
    client.read();
    assert_eq!(
        client.text(),
        "",
        "the first command's answer is still to come"
    );
    site.endpoints[0].ends[first.1].send(served("one"));
    site.expect(&mut client, "$3\r\none\r\n+PONG\r\n$3\r\ntwo\r\n");
}

#[test]
fn a_free_connection_is_used_again_and_dropped_before_the_endpoint_would() {
    let mut site = Site::new(1);
    let mut client = site.client();
    for id in 0..3 {
        client.send(load(id));
        let (_, c, _) = site.arrival();
        assert_eq!(c, 0, "the pooled connection");
        site.endpoints[0].ends[c].send(served("v"));
        site.expect(&mut client, "$1\r\nv\r\n");
        site.advance(20);
    }
    site.advance(14_000);
    site.until("the pool is empty", |s| !s.endpoints[0].ends[0].open);
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
        let mut site = Site::new(1);
        let mut client = site.client();
        client.send(load(1));
        client.send(bad);
        let (_, c, _) = site.arrival();
        site.endpoints[0].ends[c].send(served("v"));
        assert_eq!(site.line(&mut client), "$1\r\n");
        assert_eq!(site.line(&mut client), "v\r\n");
        assert!(
            site.line(&mut client).starts_with("-ERR Protocol error"),
            "{bad:?}"
        );
        site.ended(&mut client);
    }
}

#[test]
fn a_command_without_end_is_told_and_ends_the_connection() {
    let mut site = Site::new(1);
    let mut client = site.client();
    let word = format!("$60000\r\n{}\r\n", "x".repeat(60_000));
    client.send("*5\r\n");
    for _ in 0..2 {
        client.send(&word);
        site.round();
    }
    assert_eq!(
        site.line(&mut client),
        "-ERR Protocol error: command too long\r\n"
    );
    site.ended(&mut client);
}

#[test]
fn more_commands_than_may_wait_are_all_answered_in_order_once_the_first_is() {
    let mut site = Site::new(1);
    let mut client = site.client();
    client.send(load(1));
    client.send("*1\r\n$4\r\nPING\r\n".repeat(3000));
    let (s, c, _) = site.arrival();
    site.endpoints[s].ends[c].send(served("v"));
    site.expect(
        &mut client,
        &format!("$1\r\nv\r\n{}", "+PONG\r\n".repeat(3000)),
    );
}

#[test]
fn one_client_with_much_to_say_does_not_keep_another_waiting() {
    let mut site = Site::new(1);
    let (mut rude, mut usual) = (site.client(), site.client());
    rude.send("*1\r\n$4\r\nPING\r\n".repeat(3000));
    usual.send(load(1));
    let (s, c, _) = site.arrival();
    site.endpoints[s].ends[c].send(served("v"));
    site.expect(&mut usual, "$1\r\nv\r\n");
    rude.read();
    assert!(
        rude.input.len() < 3000 * 7,
        "its turn came before the other had all its answers"
    );
    site.expect(&mut rude, &"+PONG\r\n".repeat(3000));
}

#[test]
fn a_client_that_reads_nothing_stops_being_read_and_is_dropped() {
    let mut site = Site::new(1);
    let mut client = site.client();
    let pings = "*1\r\n$4\r\nPING\r\n".repeat(2000);
    // Far more answers than socket buffers hold: without a bound the ingress would go on answering.
    let (mut sent, mut rest) = (0, pings.as_bytes());
    site.until("the ingress stops reading", |s| {
        let n = client.send_some(rest);
        (sent, rest) = (sent + n, &rest[n..]);
        if rest.is_empty() {
            rest = pings.as_bytes();
        }
        assert!(sent < 256 << 20, "the ingress reads on and on");
        n == 0 && s.program.clients_hold().1 > 256 << 10
    });
    let held = site.program.clients_hold().1;
    for _ in 0..20 {
        site.round();
    }
    assert!(
        site.program.clients_hold().1 <= held,
        "nothing more is answered"
    );
    site.advance(10_001);
    site.until("it is dropped", |s| s.program.open().clients == 0);
}

#[test]
fn a_value_of_the_largest_size_passes_both_ways() {
    let mut site = Site::new(1);
    let mut client = site.client();
    let body = "b".repeat(64 << 10);
    let mut command = b"*5\r\n".to_vec();
    let plain = request("API.WRITE", 1, SUBMIT);
    command.extend(&plain[4..]);
    command.extend(format!("${}\r\n{body}\r\n", body.len()).as_bytes());
    client.send(&command);
    let (s, c, words) = site.arrival();
    assert_eq!(words[4], body);
    site.endpoints[s].ends[c].send(served(&body));
    site.expect(&mut client, &format!("${}\r\n{body}\r\n", body.len()));
}

#[test]
fn a_wrong_command_is_told_and_the_connection_goes_on() {
    let mut site = Site::new(1);
    let mut client = site.client();
    let list = |from: &str, to: &str| request("API.READ", 1, &LOAD.replace(from, to));
    let word = |at: usize, text: &str| {
        let mut out = Vec::new();
        resp::put_array(&mut out, 4);
        let words = ["API.READ", "00000000b4d65521", "0000000000000001", LOAD];
        for (n, word) in words.into_iter().enumerate() {
            resp::put_bulk(&mut out, if n == at { text } else { word }.as_bytes());
        }
        out
    };
    let wrong = [
        request("API.READ", 1, "c=form-load"),
        request("API.READ", 1, SUBMIT),
        request("API.WRITE", 1, LOAD),
        request("API.WRITE", 1, &SUBMIT.replace("k=5c0f6e1a2b3d4c59,", "")),
        request("API.WRITE", 1, &SUBMIT.replace("5c0f6e1a2b3d4c59", "key")),
        list("form-load", "other"),
        list("seedling", "other"),
        list("d=3000", "d=soon"),
        list("d=3000", "d=nan"),
        list("d=3000", "d=-1"),
        list("d=3000", "d=1e3"),
        list("d=3000", "d=0"),
        list("d=3000", "d=3000,d=1"),
        list("units=1", "units=0"),
        list("units=1", "units=-2"),
        list("units=1", "units=inf"),
        list("units=1", "units=5"),
        list("units=1", "units=1000000000000000"),
        list("units=1,", ""),
        list("spread=1", "spread=0"),
        list("spread=1", "spread=2"),
        list("spread=1", "spread=x"),
        list("first=0", "first=1"),
        list("first=0", "first=-1"),
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
            site.line(&mut client).starts_with("-ERR "),
            "{}",
            String::from_utf8_lossy(&command)
        );
    }
    client.send("*1\r\n$4\r\nPING\r\n");
    site.expect(&mut client, "+PONG\r\n");
    assert_eq!(
        (site.counter.calls.len(), site.program.clients_hold().0),
        (0, 0),
        "no count was touched"
    );
}

#[test]
fn a_value_of_60_mb_is_told_at_its_length_and_discarded_as_it_streams() {
    let mut site = Site::new(1);
    let mut client = site.client();
    client.send("*5\r\n$9\r\nAPI.WRITE\r\n$60000000\r\n");
    assert_eq!(
        site.line(&mut client),
        "-ERR Protocol error: value too long\r\n"
    );
    let part = vec![b'x'; 100_000];
    let mut sent = 0;
    while sent < 60_000_000 {
        sent += part.len();
        // What loopback does not take at once it takes after a round.
        let mut rest: &[u8] = &part;
        site.until("room", |_| {
            rest = &rest[client.send_some(rest)..];
            rest.is_empty()
        });
        assert!(
            site.program.clients_hold().1 < 1 << 20,
            "nothing of it is held"
        );
    }
    client.end_sending();
    site.ended(&mut client);
    assert!(!client.broken, "an end, no reset");
    site.until("it is gone", |s| s.program.open().clients == 0);
}

#[test]
fn one_that_ended_its_sending_is_still_told_what_was_wrong() {
    let mut site = Site::new(1);
    let mut client = site.client();
    client.send("GET / HTTP/1.1\r\n\r\n");
    client.end_sending();
    assert!(site.line(&mut client).starts_with("-ERR Protocol error"));
    site.ended(&mut client);
}

#[test]
fn an_id_in_use_is_told_and_the_request_that_has_it_goes_on() {
    let mut site = Site::new(1);
    let (mut first, mut other) = (site.client(), site.client());
    first.send(load(7));
    let (_, c, _) = site.arrival();
    other.send(load(7));
    assert_eq!(site.line(&mut other), "-ERR request id in use\r\n");
    drop(other);
    site.until("the other has gone", |s| s.program.open().clients == 1);
    site.endpoints[0].ends[c].send(served("v"));
    site.expect(&mut first, "$1\r\nv\r\n");
    assert_eq!(site.program.clients_hold(), (0, 0), "the id is free again");
}

#[test]
fn silent_and_halting_clients_are_ended_in_time_and_usual_ones_later() {
    let mut site = Site::new(1);
    let (mut silent, mut halting, mut usual) = (site.client(), site.client(), site.client());
    halting.send("*4\r\n$8\r\nAPI.");
    usual.send("*1\r\n$4\r\nPING\r\n".repeat(2));
    site.expect(&mut usual, "+PONG\r\n+PONG\r\n");
    site.until("all are read", |s| {
        s.program.open().clients == 3 && s.program.clients_hold().1 > 0
    });
    site.advance(2100);
    site.round();
    assert_eq!(site.program.open().clients, 3);
    site.advance(101);
    site.ended(&mut silent);
    assert_eq!(
        site.line(&mut halting),
        "-ERR Protocol error: command not finished in time\r\n"
    );
    site.ended(&mut halting);
    site.advance(3700);
    site.round();
    usual.read();
    assert!(usual.open, "between requests for 5.9 s");
    site.advance(101);
    site.ended(&mut usual);
}

#[test]
fn a_request_that_waits_keeps_its_connection() {
    let mut site = Site::new(1);
    let mut client = site.client();
    client.send(request("API.READ", 1, &LOAD.replace("d=3000", "d=60000")));
    let (_, c, _) = site.arrival();
    for _ in 0..10 {
        site.advance(2000);
    }
    site.endpoints[0].ends[c].send(served("v"));
    site.expect(&mut client, "$1\r\nv\r\n");
}

#[test]
fn hundreds_that_say_nothing_take_no_place_of_one_that_asks() {
    let mut site = Site::with(1, 64);
    let mut usual = site.client();
    usual.send("*1\r\n$4\r\nPING\r\n");
    site.expect(&mut usual, "+PONG\r\n");
    let silent: Vec<End> = (0..300)
        .map(|_| {
            let client = site.client();
            site.advance(1);
            client
        })
        .collect();
    assert!(
        site.program.open().clients <= 24,
        "{:?}",
        site.program.open()
    );
    usual.send(load(1));
    let (_, c, _) = site.arrival();
    site.endpoints[0].ends[c].send(served("v"));
    site.expect(&mut usual, "$1\r\nv\r\n");
    drop(silent);
}

#[test]
fn those_that_ask_once_and_stay_take_no_place_of_one_that_comes_again() {
    let mut site = Site::with(1, 64);
    let mut usual = site.client();
    usual.send("*1\r\n$4\r\nPING\r\n".repeat(2));
    site.expect(&mut usual, "+PONG\r\n+PONG\r\n");
    let mut stayed = Vec::new();
    for _ in 0..60 {
        let mut client = site.client();
        client.send("*1\r\n$4\r\nPING\r\n");
        site.advance(1);
        site.expect(&mut client, "+PONG\r\n");
        stayed.push(client);
    }
    usual.read();
    assert!(usual.open, "used before all of them, and kept");
    site.advance(2201);
    site.ended(stayed.last_mut().unwrap());
    usual.read();
    assert!(usual.open);
}

#[test]
fn what_clients_hold_together_is_bounded_by_the_memory() {
    let mut site = Site::of(1, 1024, 32);
    let mut usual = site.client();
    let mut clients: Vec<End> = (0..120).map(|_| site.client()).collect();
    let part = format!("*5\r\n$9\r\nAPI.WRITE\r\n$65536\r\n{}", "x".repeat(60_000));
    for client in &mut clients {
        client.send(&part);
        for _ in 0..3 {
            site.round();
        }
        assert!(site.program.clients_hold().1 <= 4 << 20);
    }
    assert!(
        site.program.open().clients < 100,
        "those that held most were dropped"
    );
    usual.send(load(1));
    let (_, c, _) = site.arrival();
    site.endpoints[0].ends[c].send(served("v"));
    site.expect(&mut usual, "$1\r\nv\r\n");
}

#[test]
fn beyond_the_quota_a_request_is_refused_at_once_with_word_of_when_to_come_back() {
    let mut site = Site::new(1);
    // Other ingresses have used the customer's whole window.
    site.counter
        .totals
        .insert("00000000b4d65521".to_owned(), 20.0);
    let mut client = site.client();
    let before = site.now;
    client.send(load(1));
    let answer = site.line(&mut client);
    let after: u64 = answer
        .strip_prefix("-BUSY ")
        .expect("a refusal")
        .trim()
        .parse()
        .unwrap();
    assert!((1..=1000).contains(&after), "{answer}");
    assert_eq!(site.now, before, "no time has gone by");
    assert!(site.endpoints[0].ends.is_empty(), "no server was asked");
}

#[test]
fn an_endpoint_that_turns_away_never_ran_it_and_another_is_asked() {
    let mut site = Site::new(2);
    let mut client = site.client();
    client.send(request("API.WRITE", 1, SUBMIT));
    let (first, c, _) = site.arrival();
    site.endpoints[first].ends[c].send("-BUSY\r\n");
    let (second, c, words) = site.arrival();
    assert_ne!(first, second);
    assert_eq!(words[2], "0000000000000001", "the same id");
    site.endpoints[second].ends[c].send(served("v"));
    site.expect(&mut client, "$1\r\nv\r\n");
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
        let mut site = Site::new(2);
        let mut client = site.client();
        for (command, answer) in [
            (load(1), "$1\r\nv\r\n"),
            (request("API.WRITE", 2, SUBMIT), "-ERR failed\r\n"),
        ] {
            client.send(command);
            let (s, c, words) = site.arrival();
            site.endpoints[s].ends[c].send(spoilt);
            site.until("its connection goes", |site| {
                site.advance(30);
                !site.endpoints[s].ends[c].open
            });
            if words[0] == "API.READ" {
                let (other, c, again) = site.arrival();
                assert_eq!(
                    (other, &again[2]),
                    (1 - s, &words[2]),
                    "what may be repeated is asked elsewhere"
                );
                site.endpoints[other].ends[c].send(served("v"));
            }
            site.expect(&mut client, answer);
        }
        assert_eq!(
            site.endpoints.iter_mut().find_map(|s| s.command()),
            None,
            "{spoilt:?}"
        );
    }
}

#[test]
fn what_comes_behind_an_answer_is_never_the_next_ones() {
    for (more, wait) in [
        (served("old"), 0),
        ("noise".into(), 0),
        (served("old"), 10),
        (served("old"), 19),
    ] {
        let mut site = Site::new(1);
        let mut client = site.client();
        client.send(load(1));
        let (_, c, _) = site.arrival();
        site.endpoints[0].ends[c].send(served("v"));
        site.expect(&mut client, "$1\r\nv\r\n");
        // The next request is there before the second copy.
        site.advance(wait);
        client.send(load(2));
        let (_, next, _) = site.arrival();
        site.endpoints[0].ends[c].send(&more);
        site.until("the first connection goes", |s| {
            !s.endpoints[0].ends[c].open
        });
        site.endpoints[0].ends[next].send(served("new"));
        site.expect(&mut client, "$3\r\nnew\r\n");
        assert_ne!(c, next);
    }
}

#[test]
fn a_connection_that_ended_or_spoke_unasked_is_not_written_to() {
    for bytes in ["", "+\r\n"] {
        let mut site = Site::new(1);
        let mut client = site.client();
        client.send(load(1));
        let (_, c, _) = site.arrival();
        site.endpoints[0].ends[c].send(served("v"));
        site.expect(&mut client, "$1\r\nv\r\n");
        site.now += std::time::Duration::from_millis(50);
        // Both wait when the ingress wakes.
        client.send(load(2));
        match bytes {
            "" => site.endpoints[0].ends[c].hang_up(),
            _ => site.endpoints[0].ends[c].send(bytes),
        }
        let (_, next, _) = site.arrival();
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
        let mut site = Site::new(1);
        let mut client = site.client();
        client.send(load(1));
        let (_, c, _) = site.arrival();
        site.endpoints[0].ends[c].send(format!("*3\r\n$1\r\nv\r\n{rest}"));
        site.expect(&mut client, "$1\r\nv\r\n");
    }
}

#[test]
fn interim_answers_of_counter_and_discovery_are_skipped() {
    let mut site = Site::new(1);
    site.counter.counting = Counting::Silent;
    let mut client = site.client();
    client.send(load(1));
    site.until("the call", |s| {
        s.counter.party.ends.iter().any(|e| !e.input.is_empty())
    });
    let end = site
        .counter
        .party
        .ends
        .iter_mut()
        .find(|e| !e.input.is_empty())
        .unwrap();
    end.send("HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n");
    end.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n99");
    assert!(site.line(&mut client).starts_with("-BUSY "));
    site.talks = false;
    site.discovery.ends.clear();
    site.advance(300);
    site.advance(201);
    site.until("a second watch", |s| s.watches.len() == 2);
    let list = "{\"rev\":50,\"all\":false,\"targets\":[]}\n";
    let end = site.discovery.ends.last_mut().unwrap();
    end.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    end.send(format!("{:x}\r\n{list}\r\n", list.len()));
    site.until("the list", |s| s.program.list_version() == 50);
}

#[test]
fn a_keyed_request_whose_connection_broke_after_its_last_byte_fails_and_is_not_called_harmless() {
    let mut site = Site::new(2);
    let mut client = site.client();
    client.send(request("API.WRITE", 1, SUBMIT));
    let (s, _, _) = site.arrival();
    site.endpoints[s].ends.clear();
    // The other server is of another pod, which does not know the key.
    site.expect(&mut client, "-ERR failed\r\n");
    assert_eq!(site.endpoints[1 - s].command(), None);
}

#[test]
fn a_refused_connection_never_ran_the_request() {
    let mut site = Site::new(1);
    site.endpoints[0].die();
    let mut client = site.client();
    client.send(request("API.WRITE", 1, SUBMIT));
    // Had it perhaps run, a keyed request could not be called harmless to repeat.
    assert!(site.line(&mut client).starts_with("-BUSY "));
}

#[test]
fn a_connection_that_never_comes_up_never_ran_the_request() {
    let mut site = Site::new(1);
    site.endpoints[0].fill_up();
    let mut client = site.client();
    client.send(request("API.WRITE", 1, SUBMIT));
    site.until("the connection is begun", |s| {
        s.program.open().upstream_connections == 1
    });
    site.advance(251);
    assert!(site.line(&mut client).starts_with("-BUSY "));
    assert_eq!(site.program.open().upstream_connections, 0);
}

#[test]
fn an_attempt_behind_a_connect_is_not_written_to_an_endpoint_that_has_begun_to_drain() {
    let mut site = Site::new(1);
    site.endpoints[0].fill_up();
    let mut client = site.client();
    client.send(request("API.WRITE", 1, SUBMIT));
    site.until("the connection is begun", |s| {
        s.program.open().upstream_connections == 1
    });
    site.tell(42, &[(0, "DRAINING")]);
    site.until("the list", |s| s.program.list_version() == 42);
    // Room at the listener: the connection comes up.
    site.endpoints[0].empty();
    assert!(site.line(&mut client).starts_with("-BUSY "));
    site.endpoints[0].read();
    assert_eq!(site.endpoints[0].command(), None);
}

#[test]
fn nothing_goes_to_the_address_that_an_endpoint_has_left() {
    let mut site = Site::new(1);
    site.endpoints[0].fill_up();
    let (mut client, mut other) = (site.client(), site.client());
    client.send(request("API.WRITE", 1, SUBMIT));
    site.until("the connection is begun", |s| {
        s.program.open().upstream_connections == 1
    });
    let mut old = std::mem::replace(&mut site.endpoints[0], Party::new());
    site.tell(42, &[(0, "SERVING")]);
    site.until("the list", |s| s.program.list_version() == 42);
    // Now it comes up at the old address.
    old.empty();
    site.until("the answer", |_| {
        old.read();
        client.read();
        !client.input.is_empty()
    });
    assert!(client.text().starts_with("-BUSY "));
    other.send(load(2));
    let (_, c, _) = site.arrival();
    old.read();
    assert_eq!(old.command(), None);
    // An answer from before the next move is passed on, its connection not used again.
    let mut before = std::mem::replace(&mut site.endpoints[0], Party::new());
    site.tell(43, &[(0, "SERVING")]);
    site.until("the list", |s| s.program.list_version() == 43);
    before.ends[c].send(served("v"));
    site.expect(&mut other, "$1\r\nv\r\n");
    site.until("its connection goes", |_| {
        before.read();
        !before.ends[c].open
    });
}

#[test]
fn a_silent_endpoint_costs_its_connection_and_the_request_fails_at_its_end() {
    let mut site = Site::new(1);
    let mut client = site.client();
    client.send(request("API.WRITE", 1, SUBMIT));
    let (_, c, _) = site.arrival();
    site.advance(1001);
    site.expect(&mut client, "-ERR failed\r\n");
    site.until("the attempt is abandoned", |s| !s.endpoints[0].ends[c].open);
    let open = OpenCounts {
        clients: 1,
        ..OpenCounts::default()
    };
    assert_eq!(site.program.open(), open);
}

#[test]
fn a_client_that_leaves_has_its_attempt_called_off() {
    let mut site = Site::new(1);
    let mut client = site.client();
    client.send(load(1));
    let (_, c, _) = site.arrival();
    drop(client);
    site.until("the attempt is abandoned", |s| !s.endpoints[0].ends[c].open);
    assert_eq!(site.program.open(), OpenCounts::default());
}

#[test]
fn an_endpoint_that_drains_gets_nothing_new_and_finishes_what_it_has() {
    let mut site = Site::new(2);
    let mut client = site.client();
    client.send(load(1));
    let (drained, c, _) = site.arrival();
    site.tell(42, &[(drained, "DRAINING")]);
    site.until("the list", |s| s.program.list_version() == 42);
    let mut other = site.client();
    for id in 2..6 {
        other.send(load(id));
        let (s, c, _) = site.arrival();
        assert_eq!(s, 1 - drained);
        site.endpoints[s].ends[c].send(served("w"));
        site.expect(&mut other, "$1\r\nw\r\n");
    }
    site.endpoints[drained].ends[c].send(served("v"));
    site.expect(&mut client, "$1\r\nv\r\n");
    site.until("its connection goes", |s| {
        !s.endpoints[drained].ends[c].open
    });
}

#[test]
fn a_silent_counter_stalls_nobody_and_its_late_total_still_counts_for_the_next() {
    let mut site = Site::new(1);
    site.counter.counting = Counting::Silent;
    let mut client = site.client();
    client.send(load(1));
    site.until("the call", |s| {
        s.counter.party.ends.iter().any(|e| !e.input.is_empty())
    });
    assert_eq!(site.endpoints[0].command(), None, "it waits for the total");
    site.advance(81);
    let (_, c, _) = site.arrival();
    site.endpoints[0].ends[c].send(served("v"));
    site.expect(&mut client, "$1\r\nv\r\n");
    // Its total comes long after the settings' time-out: the others have used the window.
    site.advance(100);
    let end = site
        .counter
        .party
        .ends
        .iter_mut()
        .find(|e| !e.input.is_empty())
        .unwrap();
    end.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n99");
    for _ in 0..3 {
        site.round();
    }
    // With no further word of the counter the ledger knows, at once.
    client.send(load(2));
    assert!(site.line(&mut client).starts_with("-BUSY "));
}

#[test]
fn an_answer_later_than_any_call_may_take_is_not_taken_for_the_next_calls() {
    let mut site = Site::new(1);
    site.counter.counting = Counting::Silent;
    let mut client = site.client();
    client.send(load(1));
    site.until("the call", |s| {
        s.counter.party.ends.iter().any(|e| !e.input.is_empty())
    });
    site.advance(251);
    let (_, c, _) = site.arrival();
    site.endpoints[0].ends[c].send(served("v"));
    site.expect(&mut client, "$1\r\nv\r\n");
    // The first answer comes late, with a total that leaves room; the second tells that there is
    // none.
    client.send(load(2));
    site.until("the second call", |s| {
        s.counter
            .party
            .ends
            .iter()
            .any(|e| e.input.windows(4).filter(|w| w == b"\r\n\r\n").count() == 2)
    });
    let end = site
        .counter
        .party
        .ends
        .iter_mut()
        .find(|e| !e.input.is_empty())
        .unwrap();
    end.send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
    for _ in 0..3 {
        site.round();
    }
    assert_eq!(
        site.endpoints[0].command(),
        None,
        "the first answer decides nothing"
    );
    let end = site
        .counter
        .party
        .ends
        .iter_mut()
        .find(|e| !e.input.is_empty())
        .unwrap();
    end.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n99");
    assert!(site.line(&mut client).starts_with("-BUSY "));
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
        let mut site = Site::new(1);
        site.counter.counting = Counting::Silent;
        let mut client = site.client();
        client.send(load(1));
        site.until("the call", |s| {
            s.counter.party.ends.iter().any(|e| !e.input.is_empty())
        });
        let end = site
            .counter
            .party
            .ends
            .iter_mut()
            .find(|e| !e.input.is_empty())
            .unwrap();
        end.send(spoilt);
        site.round();
        site.advance(26);
        site.until("the connection goes", |s| {
            s.counter.party.ends.iter().all(|e| !e.open)
        });
        // Decided without it, and the next call is answered at once on a new connection.
        let (_, c, _) = site.arrival();
        site.endpoints[0].ends[c].send(served("v"));
        site.expect(&mut client, "$1\r\nv\r\n");
        site.counter.counting = Counting::Answers;
        site.counter.party.ends.clear();
        let before = site.now;
        client.send(load(2));
        let (_, c, _) = site.arrival();
        site.endpoints[0].ends[c].send(served("w"));
        site.expect(&mut client, "$1\r\nw\r\n");
        assert_eq!(
            (site.counter.calls.len(), site.now),
            (1, before),
            "{spoilt:?}"
        );
    }
}

#[test]
fn a_counter_connection_that_breaks_under_a_call_is_opened_anew_at_once() {
    let mut site = Site::new(1);
    let mut client = site.client();
    let mut served_one = |site: &mut Site, id| {
        client.send(load(id));
        let (_, c, _) = site.arrival();
        site.endpoints[0].ends[c].send(served("v"));
        site.expect(&mut client, "$1\r\nv\r\n");
    };
    served_one(&mut site, 1);
    assert_eq!(site.counter.calls.len(), 1);
    site.counter.counting = Counting::Silent;
    let mut other = site.client();
    other.send(load(2));
    site.until("the call", |s| {
        s.counter.party.ends.iter().any(|e| !e.input.is_empty())
    });
    site.counter.party.ends.clear();
    let (_, c, _) = site.arrival();
    site.endpoints[0].ends[c].send(served("w"));
    site.expect(&mut other, "$1\r\nw\r\n");
    // The next try has its total, in the same millisecond.
    site.counter.counting = Counting::Answers;
    served_one(&mut site, 3);
    assert_eq!(
        site.counter.calls.len(),
        2,
        "no call fails for want of a connection"
    );
}

/// A server keeps a connection for 100 ms, and its end is seen only once the next request has been
/// written there. How many of the requests of the second half, each 200 ms after the one before,
/// were lost to that.
fn lost_to_dead_links(kind: &str, list: &str) -> usize {
    let mut site = Site::new(1);
    let mut client = site.client();
    let mut lost = 0;
    for id in 0..60 {
        client.send(request_of(id + 1, kind, id, list));
        let (s, c, _) = site.arrival();
        let end = &mut site.endpoints[s].ends[c];
        if end.used {
            lost += usize::from(id >= 30);
            site.endpoints[s].ends.remove(c);
        } else {
            end.used = true;
            end.send(served("v"));
        }
        site.until("the answer", |_| {
            client.read();
            client.input.ends_with(b"\r\n")
        });
        client.input.clear();
        site.advance(200);
    }
    lost
}

#[test]
fn connections_that_die_unseen_at_rest_are_learned_of_and_passed_over() {
    let once = lost_to_dead_links("API.WRITE", SUBMIT);
    assert!(once <= 3, "{once} of 30 were lost");
    let twice = lost_to_dead_links("API.READ", LOAD);
    assert!(twice <= 3, "{twice} of 30 were sent to dead connections");
}

#[test]
fn a_counter_that_refuses_or_turns_away_stalls_nobody() {
    for refuses in [true, false] {
        let mut site = Site::new(1);
        site.counter.counting = Counting::TurnsAway;
        if refuses {
            site.counter.party.die();
        }
        let mut client = site.client();
        let before = site.now;
        for id in 0..3 {
            client.send(load(id));
            let (_, c, _) = site.arrival();
            site.endpoints[0].ends[c].send(served("v"));
            site.expect(&mut client, "$1\r\nv\r\n");
        }
        assert_eq!(site.now, before);
    }
}

#[test]
fn a_counter_connection_that_stays_silent_is_replaced() {
    let mut site = Site::new(1);
    site.counter.counting = Counting::Silent;
    let mut client = site.client();
    client.send(load(1));
    site.until("the call", |s| {
        s.counter.party.ends.iter().any(|e| !e.input.is_empty())
    });
    site.advance(251);
    site.advance(1100);
    site.until("the silent connection goes", |s| {
        s.counter.party.ends.iter().all(|e| !e.open)
    });
    site.counter.counting = Counting::Answers;
    let calls = site.counter.calls.len();
    client.send(load(2));
    site.until("a call on a new connection", |s| {
        s.counter.calls.len() > calls
    });
}

#[test]
fn a_silent_discovery_is_called_again_from_the_version_held() {
    let mut site = Site::new(1);
    assert_eq!(
        site.watches,
        ["GET /discovery/hosts?watch=1&after=41 HTTP/1.1"]
    );
    site.tell(43, &[(0, "SERVING")]);
    site.until("the list", |s| s.program.list_version() == 43);
    site.talks = false;
    site.advance(2900);
    assert_eq!(site.watches.len(), 1, "a line may be a little late");
    site.advance(200);
    site.until("a second call", |s| s.watches.len() == 2);
    assert_eq!(
        site.watches[1],
        "GET /discovery/hosts?watch=1&after=43 HTTP/1.1"
    );
    site.advance(1100);
    site.until("a third call", |s| s.watches.len() == 3);
}

#[test]
fn a_watch_that_breaks_is_opened_again_after_a_moment() {
    let mut site = Site::new(1);
    site.discovery.ends.clear();
    site.until("the loss", |s| s.program.next_due().is_some());
    for _ in 0..3 {
        site.round();
    }
    site.advance(201);
    site.until("a second call", |s| s.watches.len() == 2);
}

#[test]
fn ping_is_answered_once_discovery_has_spoken_or_has_had_its_time() {
    let mut site = Site::new(1);
    site.talks = false;
    let (counter, discovery) = (Counter::new(), Party::new());
    let text = config(&counter.party, &discovery, &site.endpoints, 1024);
    let config = roseyard_ingress::program::config::Config::parse(text.into(), |_| None).unwrap();
    let clock = roseyard_ingress::clock::Clock::start();
    site.program =
        roseyard_ingress::program::Program::start(&config, &operator(""), clock).unwrap();
    site.now = clock.now();
    let mut client = site.client();
    client.send("*1\r\n$4\r\nPING\r\n");
    assert!(site.line(&mut client).starts_with("-LOADING"));
    site.advance(1100);
    client.send("*1\r\n$4\r\nPING\r\n");
    site.expect(&mut client, "+PONG\r\n");
}

#[test]
fn more_clients_than_descriptors_are_served_by_closing_connections_between_requests() {
    let mut site = Site::with(1, 48);
    let mut clients = Vec::new();
    for _ in 0..40 {
        let mut client = site.client();
        client.send("*1\r\n$4\r\nPING\r\n");
        site.expect(&mut client, "+PONG\r\n");
        clients.push(client);
    }
    let held = site.program.open().clients;
    assert!((1..40).contains(&held), "{held} held");
    site.ended(&mut clients[0]);
}

#[test]
fn leaving_accepts_for_a_while_finishes_what_is_held_and_ends() {
    let mut site = Site::new(1);
    let mut held = site.client();
    held.send(load(1));
    let (_, c, _) = site.arrival();
    let mut idle = site.client();
    idle.send("*1\r\n$4\r\nPING\r\n");
    site.expect(&mut idle, "+PONG\r\n");
    site.program.shut_down();
    let mut late = site.client();
    late.send(load(2));
    let (_, c2, _) = site.arrival();
    site.advance(601);
    site.ended(&mut idle);
    assert_eq!(site.program.address(), None, "nothing new is accepted");
    assert!(held.open && late.open);
    for (client, c) in [(&mut held, c), (&mut late, c2)] {
        site.endpoints[0].ends[c].send(served("v"));
        site.expect(client, "$1\r\nv\r\n");
        site.ended(client);
    }
    drop((held, idle, late));
    let mut goes_on = true;
    site.until("the end", |s| {
        goes_on = goes_on && s.round();
        !goes_on
    });
}

#[test]
fn a_reload_moves_discovery_and_counter_at_once_and_loses_no_request_and_no_count() {
    let mut site = Site::new(1);
    let mut client = site.client();
    site.counter.counting = Counting::Silent;
    client.send(load(1));
    let calls = |c: &Counter| c.party.ends.iter().filter(|e| !e.input.is_empty()).count();
    site.until("the call", |s| calls(&s.counter) == 1);
    // Twice in a row: what is out at the first counter is awaited there all the same.
    let mut first = site.reload();
    site.reload();
    site.until("the watch at the last address", |s| {
        s.watches.len() >= 2 && s.discovery.ends.len() == 1
    });
    // The same customer's next call must not overtake the one that is out.
    client.send(load(2));
    for _ in 0..5 {
        site.round();
    }
    assert_eq!((calls(&first), calls(&site.counter)), (1, 0));
    first.counting = Counting::Answers;
    first.serve();
    let (_, c, words) = site.arrival();
    assert!(
        words[2].ends_with('1'),
        "the old counter's total decided: {words:?}"
    );
    site.endpoints[0].ends[c].send(served("one"));
    let (_, c, words) = site.arrival();
    assert!(words[2].ends_with('2'), "{words:?}");
    assert_eq!(
        site.counter.calls.len(),
        1,
        "the second call went to the new address"
    );
    site.endpoints[0].ends[c].send(served("two"));
    site.expect(&mut client, "$3\r\none\r\n$3\r\ntwo\r\n");
    site.until("the old connection's end", |_| {
        first.party.read();
        first.party.ends.iter().all(|e| !e.open)
    });
}

#[test]
fn calls_that_wait_for_a_silent_old_counter_go_to_the_new_one_once_its_time_is_over() {
    let mut site = Site::new(1);
    let mut client = site.client();
    site.counter.counting = Counting::Silent;
    client.send(load(1));
    site.until("the call", |s| {
        s.counter.party.ends.iter().any(|e| !e.input.is_empty())
    });
    let _silent = site.reload();
    site.advance(200);
    client.send(load(2));
    for _ in 0..5 {
        site.round();
    }
    site.advance(51);
    site.until("the call at the new address", |s| {
        s.counter.calls.len() == 1
    });
}

#[test]
fn a_configuration_that_cannot_be_read_changes_nothing() {
    let mut site = Site::new(1);
    site.program.reload(Err(rejected("half a file")));
    let mut client = site.client();
    client.send(load(1));
    let (_, c, _) = site.arrival();
    site.endpoints[0].ends[c].send(served("v"));
    site.expect(&mut client, "$1\r\nv\r\n");
    assert_eq!((site.counter.calls.len(), site.watches.len()), (1, 1));
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
        let mut site = Site::new(1);
        let domain = format!("\"PostPaid\":{settled},\"SharedCounter\"");
        site.start_under(&[("\"SharedCounter\"", &domain)]);
        let mut client = site.client();
        for (n, (figures, settles_at)) in told.iter().enumerate() {
            let customer = format!("{:016x}", 500 + n);
            for (units, total) in [(2, 2.0), (1, if settled { settles_at + 1.0 } else { 3.0 })] {
                let list = LOAD.replace("units=1", &format!("units={units}"));
                client.send(request_of(
                    500 + n as u64,
                    "API.READ",
                    10 + 2 * n as u64 + units,
                    &list,
                ));
                let (s, c, _) = site.arrival();
                assert_eq!(
                    site.counter.totals[&customer], total,
                    "{figures}, settled: {settled}"
                );
                let answer = format!(
                    "*3\r\n$1\r\nv\r\n${}\r\n{figures}\r\n$-1\r\n",
                    figures.len()
                );
                site.endpoints[s].ends[c].send(answer);
                site.expect(&mut client, "$1\r\nv\r\n");
                site.advance(30);
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
        let mut site = Site::new(2);
        site.start_with_grace(grace, &[]);
        site.advance(10);
        // From here on discovery has told a drain to whoever could hear it.
        let told = site.now;
        site.talks = false;
        let before = site.watches.len();
        match what {
            Watch::Silent => {}
            Watch::Torn => site.discovery.ends.iter_mut().for_each(End::hang_up),
            Watch::Moved => drop(site.reload()),
        }
        // Two calls more are taken and left without a word, but after a move.
        let silent = if matches!(what, Watch::Moved) { 0 } else { 2 };
        let mut client = site.client();
        let (mut id, mut last) = (1, told);
        while site.now < told + Duration::from_secs(10) {
            if site.program.list_version() == 41 && site.watches.len() > before + silent {
                let drain = format!(
                    "{{\"rev\":42,\"all\":false,\"targets\":[{}]}}\n",
                    target(0, site.endpoints[0].address, "DRAINING")
                );
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let end = site.discovery.ends.last_mut().unwrap();
                end.send(format!("{head}{:x}\r\n{drain}\r\n", drain.len()));
                site.until("the news", |s| s.program.list_version() == 42);
            }
            client.send(request_of(700 + id, "API.READ", id, LOAD));
            let (s, c, _) = site.arrival();
            last = if s == 0 { site.now } else { last };
            site.endpoints[s].ends[c].send(served("v"));
            site.expect(&mut client, "$1\r\nv\r\n");
            id += 1;
            site.advance(50);
        }
        let after = last - told;
        assert_eq!(site.program.list_version(), 42, "{what:?}: the news came");
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
        let mut site = Site::new(2);
        site.start_under(&[(
            "\"Effect\":\"idempotency_key\"",
            "\"Effect\":\"non_idempotent\"",
        )]);
        let mut client = site.client();
        client.send(request("API.WRITE", 1, COMMIT));
        let (s, c, _) = site.arrival();
        match end {
            "reset" => site.endpoints[s].ends.clear(),
            "half an answer" => {
                site.endpoints[s].ends[c].send("*3\r\n$1\r\n");
                site.endpoints[s].ends[c].hang_up();
            }
            "spoilt" => site.endpoints[s].ends[c].send("*3\r\n:1\r\n$-1\r\n$-1\r\n"),
            "error" => site.endpoints[s].ends[c].send("-ERR failed used=37\r\n"),
            "sigterm" => {
                site.program.shut_down();
                site.advance(10);
                site.endpoints[s].ends.clear();
            }
            // Its aim and its deadline pass.
            _ => {}
        }
        for _ in 0..40 {
            site.advance(100);
            client.read();
            assert_eq!(site.endpoints[1 - s].command(), None, "{end}: sent again");
        }
        assert_eq!(
            client.text(),
            "-ERR failed\r\n",
            "{end}: one final answer, and none that calls it harmless"
        );
        assert_eq!(site.endpoints[s].command(), None, "{end}: sent again");
    }
}
