//! Replies of endpoints that are well-formed, malformed or unsolicited.

mod common;

use common::*;
use std::time::Duration;

#[test]
fn a_rejected_attempt_is_not_executed_and_is_retried_on_another_endpoint() {
    let mut harness = Harness::new(2);
    let mut client = harness.connect();
    client.send(request("API.WRITE", 1, WRITE_FIELDS));
    let (first, connection, _) = harness.next_request();
    harness.endpoints[first].connections[connection].send("-BUSY\r\n");
    let (second, connection, words) = harness.next_request();
    assert_ne!(first, second);
    assert_eq!(words[2], "0000000000000001", "the same id");
    harness.endpoints[second].connections[connection].send(served_reply("v"));
    harness.expect_reply(&mut client, "$1\r\nv\r\n");
}

const MALFORMED_REPLIES: [&str; 10] = [
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
fn a_malformed_reply_counts_as_possibly_executed_and_closes_its_connection() {
    for malformed in MALFORMED_REPLIES {
        let mut harness = Harness::new(2);
        let mut client = harness.connect();
        for (command, reply) in [
            (read_request(1), "$1\r\nv\r\n"),
            (request("API.WRITE", 2, WRITE_FIELDS), "-ERR failed\r\n"),
        ] {
            client.send(command);
            let (endpoint, connection, words) = harness.next_request();
            harness.endpoints[endpoint].connections[connection].send(malformed);
            harness.run_until("its connection is closed", |harness| {
                harness.advance(30);
                !harness.endpoints[endpoint].connections[connection].is_open
            });
            if words[0] == "API.READ" {
                let (other, connection, retried_words) = harness.next_request();
                assert_eq!(
                    (other, &retried_words[2]),
                    (1 - endpoint, &words[2]),
                    "an idempotent request is retried elsewhere"
                );
                harness.endpoints[other].connections[connection].send(served_reply("v"));
            }
            harness.expect_reply(&mut client, reply);
        }
        assert_eq!(
            harness.endpoints.iter_mut().find_map(Peer::next_command),
            None,
            "{malformed:?}"
        );
    }
}

#[test]
fn bytes_after_a_reply_are_never_taken_for_the_next_reply() {
    for (extra_bytes, wait_ms) in [
        (served_reply("old"), 0),
        ("noise".into(), 0),
        (served_reply("old"), 10),
        (served_reply("old"), 19),
    ] {
        let mut harness = Harness::new(1);
        let mut client = harness.connect();
        client.send(read_request(1));
        let (_, connection, _) = harness.next_request();
        harness.endpoints[0].connections[connection].send(served_reply("v"));
        harness.expect_reply(&mut client, "$1\r\nv\r\n");
        // The next request arrives before the bytes after the reply.
        harness.advance(wait_ms);
        client.send(read_request(2));
        let (_, next, _) = harness.next_request();
        harness.endpoints[0].connections[connection].send(&extra_bytes);
        harness.run_until("the first connection is closed", |h| {
            !h.endpoints[0].connections[connection].is_open
        });
        harness.endpoints[0].connections[next].send(served_reply("new"));
        harness.expect_reply(&mut client, "$3\r\nnew\r\n");
        assert_ne!(connection, next);
    }
}

#[test]
fn an_idle_connection_that_has_ended_or_sent_unsolicited_bytes_is_not_reused() {
    for bytes in ["", "+\r\n"] {
        let mut harness = Harness::new(1);
        let mut client = harness.connect();
        client.send(read_request(1));
        let (_, connection, _) = harness.next_request();
        harness.endpoints[0].connections[connection].send(served_reply("v"));
        harness.expect_reply(&mut client, "$1\r\nv\r\n");
        harness.now += Duration::from_millis(50);
        // The request and the end or the bytes arrive before the next iteration.
        client.send(read_request(2));
        match bytes {
            "" => harness.endpoints[0].connections[connection].close(),
            _ => harness.endpoints[0].connections[connection].send(bytes),
        }
        let (_, next, _) = harness.next_request();
        assert_ne!(connection, next);
    }
}

#[test]
fn unreadable_usage_figures_are_ignored_and_the_value_is_served() {
    for usage_and_load in [
        "$3\r\nx,y\r\n$9\r\nutil=nan,\r\n",
        ":-7\r\n+\u{1}\r\n",
        "$1\r\n\u{7}\r\n*-1\r\n",
    ] {
        let mut harness = Harness::new(1);
        let mut client = harness.connect();
        client.send(read_request(1));
        let (_, connection, _) = harness.next_request();
        harness.endpoints[0].connections[connection]
            .send(format!("*3\r\n$1\r\nv\r\n{usage_and_load}"));
        harness.expect_reply(&mut client, "$1\r\nv\r\n");
    }
}

#[test]
fn true_units_of_a_reply_correct_the_next_increment_where_units_are_post_paid() {
    // Usage figures of a reply, and the units that are counted in the end. Figures that are not
    // between 0 and `MostUnits`, which is 4 here, leave the estimate of 2 units as it is.
    let corrections = [
        ("used=37,cost=4", 4.0),
        ("cost=1", 1.0),
        ("used=37", 2.0),
        ("cost=5", 2.0),
        ("cost=-1", 2.0),
        ("cost=x", 2.0),
    ];
    for post_paid in [true, false] {
        let mut harness = Harness::new(1);
        let domain = format!("\"PostPaid\":{post_paid},\"SharedCounter\"");
        harness.restart_with_replacements(&[("\"SharedCounter\"", &domain)]);
        let mut client = harness.connect();
        for (n, (figures, true_units)) in corrections.iter().enumerate() {
            let customer = format!("{:016x}", 500 + n);
            for (units, total) in [
                (2, 2.0),
                (1, if post_paid { true_units + 1.0 } else { 3.0 }),
            ] {
                let fields = READ_FIELDS.replace("units=1", &format!("units={units}"));
                client.send(request_of_customer(
                    500 + n as u64,
                    "API.READ",
                    10 + 2 * n as u64 + units,
                    &fields,
                ));
                let (endpoint, connection, _) = harness.next_request();
                assert_eq!(
                    harness.counter.totals[&customer], total,
                    "{figures}, post_paid: {post_paid}"
                );
                let reply = format!(
                    "*3\r\n$1\r\nv\r\n${}\r\n{figures}\r\n$-1\r\n",
                    figures.len()
                );
                harness.endpoints[endpoint].connections[connection].send(reply);
                harness.expect_reply(&mut client, "$1\r\nv\r\n");
                harness.advance(30);
            }
        }
    }
}
