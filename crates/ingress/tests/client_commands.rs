//! Commands of clients: parsing, limits, and the order of replies.

mod common;

use common::*;
use roseyard_ingress::protocol::resp;
use roseyard_ingress::routing::frontend::FrontendUsage;

#[test]
fn a_request_is_forwarded_with_only_its_deadline_replaced_and_its_value_returned() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    client.send(request("API.WRITE", 7, WRITE_FIELDS));
    let (endpoint, connection, words) = harness.next_request();
    assert_eq!(
        words[..3],
        ["API.WRITE", "00000000b4d65521", "0000000000000007"]
    );
    // Replies of this class have no value after the latency objective of 1000 ms, which therefore
    // replaces the longer deadline.
    assert_eq!(words[3], WRITE_FIELDS.replace("d=3000", "d=1000"));
    harness.endpoints[endpoint].connections[connection].send(served_reply("kept"));
    harness.expect_reply(&mut client, "$4\r\nkept\r\n");
    assert_eq!(
        harness.program.open().requests,
        0,
        "the request is released"
    );
}

#[test]
fn replies_keep_the_order_of_commands_and_each_attempt_has_its_own_connection() {
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
    assert_ne!(first.1, second.1, "each attempt has its own connection");
    assert_eq!((&first.2[2][15..], &second.2[2][15..]), ("1", "2"));
    harness.endpoints[0].connections[second.1].send(served_reply("two"));
    harness.run_until("the second reply", |h| h.program.open().requests == 1);
    client.read();
    assert_eq!(
        client.received_text(),
        "",
        "the first command's reply is still pending"
    );
    harness.endpoints[0].connections[first.1].send(served_reply("one"));
    harness.expect_reply(&mut client, "$3\r\none\r\n+PONG\r\n$3\r\ntwo\r\n");
}

#[test]
fn malformed_framing_is_a_protocol_error_after_the_replies_before_it() {
    for malformed in [
        "hello\r\n",
        "*1\r\n$70000\r\n",
        "*1\r\n:1\r\n",
        "*99\r\n",
        "*1\r\n$2\r\nabcd",
    ] {
        let mut harness = Harness::new(1);
        let mut client = harness.connect();
        client.send(read_request(1));
        client.send(malformed);
        let (_, connection, _) = harness.next_request();
        harness.endpoints[0].connections[connection].send(served_reply("v"));
        assert_eq!(harness.read_line(&mut client), "$1\r\n");
        assert_eq!(harness.read_line(&mut client), "v\r\n");
        assert!(
            harness
                .read_line(&mut client)
                .starts_with("-ERR Protocol error"),
            "{malformed:?}"
        );
        harness.run_until_closed(&mut client);
    }
}

#[test]
fn an_endless_command_is_a_protocol_error_and_ends_the_connection() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    let word = format!("$60000\r\n{}\r\n", "x".repeat(60_000));
    client.send("*5\r\n");
    for _ in 0..2 {
        client.send(&word);
        harness.run_iteration();
    }
    assert_eq!(
        harness.read_line(&mut client),
        "-ERR Protocol error: command too long\r\n"
    );
    harness.run_until_closed(&mut client);
}

#[test]
fn commands_beyond_the_pipeline_limit_are_all_replied_to_in_order() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    client.send(read_request(1));
    client.send("*1\r\n$4\r\nPING\r\n".repeat(3000));
    let (endpoint, connection, _) = harness.next_request();
    harness.endpoints[endpoint].connections[connection].send(served_reply("v"));
    harness.expect_reply(
        &mut client,
        &format!("$1\r\nv\r\n{}", "+PONG\r\n".repeat(3000)),
    );
}

#[test]
fn a_client_with_many_commands_does_not_delay_another() {
    let mut harness = Harness::new(1);
    let (mut busy, mut active) = (harness.connect(), harness.connect());
    busy.send("*1\r\n$4\r\nPING\r\n".repeat(3000));
    active.send(read_request(1));
    let (endpoint, connection, _) = harness.next_request();
    harness.endpoints[endpoint].connections[connection].send(served_reply("v"));
    harness.expect_reply(&mut active, "$1\r\nv\r\n");
    busy.read();
    assert!(
        busy.input.len() < 3000 * 7,
        "the other client is served before the busy one has all its replies"
    );
    harness.expect_reply(&mut busy, &"+PONG\r\n".repeat(3000));
}

#[test]
fn a_client_that_reads_no_replies_is_no_longer_read_and_is_closed() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    let pings = "*1\r\n$4\r\nPING\r\n".repeat(2000);
    // Sends commands until their replies exceed by far what the socket buffers hold.
    let (mut sent, mut remaining) = (0, pings.as_bytes());
    harness.run_until("the ingress stops reading", |h| {
        let n = client.send_some(remaining);
        (sent, remaining) = (sent + n, &remaining[n..]);
        if remaining.is_empty() {
            remaining = pings.as_bytes();
        }
        assert!(sent < 256 << 20, "the ingress never stops reading");
        n == 0 && h.program.client_usage().buffered_bytes > 256 << 10
    });
    let buffered_before = harness.program.client_usage().buffered_bytes;
    for _ in 0..20 {
        harness.run_iteration();
    }
    assert!(
        harness.program.client_usage().buffered_bytes <= buffered_before,
        "the ingress executes no further command"
    );
    harness.advance(10_001);
    harness.run_until("the client is closed", |h| h.program.open().clients == 0);
}

#[test]
fn values_of_the_maximum_size_are_forwarded_and_returned() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    let body = "b".repeat(64 << 10);
    let mut command = b"*5\r\n".to_vec();
    let plain = request("API.WRITE", 1, WRITE_FIELDS);
    command.extend(&plain[4..]);
    command.extend(format!("${}\r\n{body}\r\n", body.len()).as_bytes());
    client.send(&command);
    let (endpoint, connection, words) = harness.next_request();
    assert_eq!(words[4], body);
    harness.endpoints[endpoint].connections[connection].send(served_reply(&body));
    harness.expect_reply(&mut client, &format!("${}\r\n{body}\r\n", body.len()));
}

/// Returns commands that are well-formed and cannot be executed.
fn invalid_commands() -> Vec<Vec<u8>> {
    let with_field = |from: &str, to: &str| request("API.READ", 1, &READ_FIELDS.replace(from, to));
    let with_word = |at: usize, text: &str| {
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
    vec![
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
        with_word(1, "00000002b4d65521"),
        with_word(1, "b4d65521"),
        with_word(1, "+0000000b4d65521"),
        with_word(2, ""),
        with_word(2, "not a hex number"),
        with_word(3, "\u{fffd},,="),
        b"*1\r\n$8\r\nAPI.READ\r\n".to_vec(),
        b"*1\r\n$5\r\nHELLO\r\n".to_vec(),
        b"*0\r\n".to_vec(),
        b"*-1\r\n".to_vec(),
    ]
}

#[test]
fn an_invalid_command_is_an_error_and_the_connection_stays_open() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    for command in invalid_commands() {
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
            harness.program.client_usage().open_requests
        ),
        (0, 0),
        "no call to the counter and no open request"
    );
}

#[test]
fn a_value_of_60_mb_is_rejected_by_its_length_and_discarded_as_it_arrives() {
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
        // The socket accepts the rest once the ingress has read.
        let mut remaining: &[u8] = &part;
        harness.run_until("the part is sent", |_| {
            remaining = &remaining[client.send_some(remaining)..];
            remaining.is_empty()
        });
        assert!(
            harness.program.client_usage().buffered_bytes < 1 << 20,
            "the value is not buffered"
        );
    }
    client.half_close();
    harness.run_until_closed(&mut client);
    assert!(
        !client.was_reset,
        "the connection is closed without a reset"
    );
    harness.run_until("the client is closed", |h| h.program.open().clients == 0);
}

#[test]
fn a_half_closed_client_still_receives_the_protocol_error() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    client.send("GET / HTTP/1.1\r\n\r\n");
    client.half_close();
    assert!(harness
        .read_line(&mut client)
        .starts_with("-ERR Protocol error"));
    harness.run_until_closed(&mut client);
}

#[test]
fn a_request_id_in_use_is_an_error_and_the_first_request_continues() {
    let mut harness = Harness::new(1);
    let (mut first, mut other) = (harness.connect(), harness.connect());
    first.send(read_request(7));
    let (_, connection, _) = harness.next_request();
    other.send(read_request(7));
    assert_eq!(harness.read_line(&mut other), "-ERR request id in use\r\n");
    drop(other);
    harness.run_until("the other client is disconnected", |h| {
        h.program.open().clients == 1
    });
    harness.endpoints[0].connections[connection].send(served_reply("v"));
    harness.expect_reply(&mut first, "$1\r\nv\r\n");
    assert_eq!(
        harness.program.client_usage(),
        FrontendUsage::default(),
        "the request and its id are released"
    );
}
