//! Connections that the ingress refuses, evicts or gives up: every request that was written to them
//! is replied to.

mod common;

use common::*;
use roseyard_ingress::program::config::Config;

const PING: &str = "*1\r\n$4\r\nPING\r\n";

/// Returns an operator's file that limits the number of clients.
fn client_limit(max_clients: usize) -> String {
    format!("admission {{ by-address #true; per-neighbourhood {max_clients} }}")
}

fn harness_with_client_limit(max_clients: usize) -> Harness {
    Harness::with_operator_file(1, 64, 192, &client_limit(max_clients))
}

/// Guards against: a connection that is refused has only its first request replied to.
#[test]
fn every_request_on_a_refused_connection_is_rejected() {
    let mut harness = harness_with_client_limit(3);
    let admitted: Vec<Connection> = (0..3).map(|_| harness.connect()).collect();
    harness.run_until("the clients are admitted", |h| {
        h.program.open().clients == 3
    });
    let mut refused = harness.connect();
    for id in 1..=3 {
        refused.send(read_request_of_customer(id, id));
    }
    harness.run_until_closed(&mut refused);
    assert_eq!(refused.received_text(), "-BUSY 500\r\n".repeat(3));
    assert!(!refused.was_reset);
    drop(admitted);
}

/// Guards against: an idle connection is closed without a reply to a request that has arrived on
/// it, because a reload lowers a limit or another connection needs its place.
#[test]
fn requests_that_arrive_on_a_connection_as_it_is_evicted_are_rejected() {
    let mut harness = harness_with_client_limit(8);
    let mut clients: Vec<Connection> = (0..8).map(|_| harness.connect()).collect();
    for client in &mut clients {
        client.send(PING.repeat(2));
        harness.expect_reply(client, &"+PONG\r\n".repeat(2));
    }
    // The requests arrive after the last read, before the reload closes the connections.
    for (id, client) in (1..).zip(&mut clients) {
        client.send(read_request_of_customer(id, id));
        client.send(read_request_of_customer(id, 100 + id));
    }
    let text = config(
        &harness.counter.peer,
        &harness.discovery,
        &harness.endpoints,
        64,
    );
    let lowered = operator_file(&client_limit(3));
    let parsed = Config::parse(text.into(), |_| None).unwrap();
    harness.program.reload(Ok((parsed, lowered)));
    let mut evicted = 0;
    for client in &mut clients {
        client.read();
        if !client.is_open {
            evicted += 1;
            assert!(!client.was_reset);
            assert_eq!(client.received_text(), "-BUSY 500\r\n".repeat(2));
        }
    }
    assert_eq!(evicted, 5);
}

/// Guards against: a client that reads slowly is taken for one that reads nothing, since replies
/// that are added hide what it has read.
#[test]
fn a_slow_reader_is_not_disconnected_while_replies_are_added() {
    let mut harness = Harness::new(1);
    let mut client = Connection::with_small_buffers(harness.program.address().unwrap());
    let value = "v".repeat(65_000);
    let reply_to = |harness: &mut Harness, client: &mut Connection, id| {
        client.send(read_request_of_customer(id, id));
        let (_, connection, _) = harness.next_request();
        harness.endpoints[0].connections[connection].send(served_reply(&value));
        harness.run_until("the reply is read", |h| h.program.open().requests == 0);
    };
    reply_to(&mut harness, &mut client, 1);
    reply_to(&mut harness, &mut client, 2);
    for id in 3..=8 {
        // The client reads less than one reply in each 4 s.
        let mut received = 0;
        harness.run_until("the client has read a part", |_| {
            received += client.read_some(8 << 10);
            received >= 30_000
        });
        reply_to(&mut harness, &mut client, id);
        harness.advance(4000);
        assert_eq!(harness.program.open().clients, 1, "after {id} replies");
    }
    harness.advance(10_001);
    harness.advance(10_001);
    assert_eq!(
        harness.program.open().clients,
        0,
        "a client that reads nothing for 10 s is disconnected"
    );
}
