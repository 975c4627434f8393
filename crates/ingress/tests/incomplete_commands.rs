//! Commands that arrive in pieces, and those that are not finished in time.

mod common;

use common::*;

const TIMEOUT_ERROR: &str = "-ERR Protocol error: command not finished in time\r\n";

/// Guards against: a client that writes the end of a command and the beginning of the next in one
/// piece gets a false timeout, since the time counts from the first byte of an earlier command.
#[test]
fn the_time_for_a_command_counts_from_its_own_first_byte() {
    const REQUESTS: u64 = 60;
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    let request = |id| read_request_of_customer(id, id);
    let first = request(1);
    client.send(&first[..first.len() / 2]);
    for id in 1..=REQUESTS {
        harness.advance(50);
        let (current, next) = (request(id), request(id + 1));
        let piece = [&current[current.len() / 2..], &next[..next.len() / 2]].concat();
        client.send(piece);
        let (_, connection, _) = harness.next_request();
        harness.endpoints[0].connections[connection].send(served_reply("v"));
        harness.expect_reply(&mut client, "$1\r\nv\r\n");
    }
}

/// Guards against: requests behind a command that has timed out are read and dropped, while the
/// connection stays open for the replies to earlier requests.
#[test]
fn requests_behind_a_command_that_timed_out_are_rejected() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    let unfinished = read_request(2);
    client.send(read_request(1));
    client.send(&unfinished[..40]);
    let (_, connection, _) = harness.next_request();
    harness.advance(2201);
    client.send(&unfinished[40..]);
    client.send(read_request(3));
    for _ in 0..5 {
        harness.run_iteration();
    }
    client.send("*1\r\n$4\r\nPING\r\n");
    client.send(read_request(4));
    for _ in 0..5 {
        harness.run_iteration();
    }
    harness.endpoints[0].connections[connection].send(served_reply("v"));
    harness.expect_reply(
        &mut client,
        &format!("$1\r\nv\r\n{TIMEOUT_ERROR}-BUSY 500\r\n+PONG\r\n-BUSY 500\r\n"),
    );
    harness.run_until_closed(&mut client);
    assert!(!client.was_reset);
    assert_eq!(harness.endpoints[0].next_command(), None);
}

/// Guards against: a client whose command is complete gets a timeout, since the ingress has not
/// read the rest of it while the client's replies were unread.
#[test]
fn a_command_does_not_time_out_while_its_client_is_not_read() {
    // More than the 256 KB of unread replies beyond which a client is not read.
    const LONG_REPLIES: u64 = 5;
    let mut harness = Harness::new(1);
    let mut client = Connection::with_small_buffers(harness.program.address().unwrap());
    let value = "v".repeat(65_000);
    let command = read_request_of_customer(100, 100);
    for id in 1..=LONG_REPLIES {
        client.send(read_request_of_customer(id, id));
        let (_, connection, _) = harness.next_request();
        if id == LONG_REPLIES {
            client.send(&command[..40]);
        }
        for _ in 0..5 {
            harness.run_iteration();
        }
        harness.endpoints[0].connections[connection].send(served_reply(&value));
        harness.run_until("the reply is read", |h| h.program.open().requests == 0);
    }
    client.send(&command[40..]);
    harness.advance(2201);
    harness.run_iteration();
    harness.expect_reply(
        &mut client,
        &format!("$65000\r\n{value}\r\n").repeat(LONG_REPLIES as usize),
    );
    let (_, connection, _) = harness.next_request();
    harness.endpoints[0].connections[connection].send(served_reply("w"));
    harness.expect_reply(&mut client, "$1\r\nw\r\n");
}
