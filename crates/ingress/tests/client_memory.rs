//! The limit on bytes that are buffered for clients: who gives way when it is reached, and that
//! every request still gets its reply.

mod common;

use common::*;

/// The limit on buffered bytes of an ingress with 32 MB of memory.
const MAX_BUFFERED_BYTES: usize = 4 << 20;

fn harness() -> Harness {
    Harness::with_memory(1, 1024, 32)
}

/// Connects clients that each send the beginning of a write, together more than the limit.
fn connect_unfinished_clients(harness: &mut Harness) -> Vec<Connection> {
    let unfinished = unfinished_write();
    (0..MAX_BUFFERED_BYTES / 60_000 + 20)
        .map(|_| {
            let mut client = harness.connect();
            client.send(&unfinished);
            for _ in 0..3 {
                harness.run_iteration();
                assert!(harness.program.client_usage().buffered_bytes <= MAX_BUFFERED_BYTES);
            }
            client
        })
        .collect()
}

/// Guards against: unfinished commands of other clients fill the memory, and the client whose
/// long reply has just arrived is disconnected in their place.
#[test]
fn a_long_reply_is_delivered_while_unfinished_commands_fill_the_memory() {
    let mut harness = harness();
    let mut client = harness.connect();
    client.send(read_request(1));
    let (_, connection, _) = harness.next_request();
    let unfinished = connect_unfinished_clients(&mut harness);
    let value = "v".repeat(65_536);
    harness.endpoints[0].connections[connection].send(served_reply(&value));
    harness.run_until("the long reply", |_| {
        client.read();
        assert!(client.is_open, "the client was disconnected");
        client.input.len() >= value.len() + 10
    });
    assert_eq!(client.take_replies(), 1);
    client.send(read_request(2));
    let (_, connection, _) = harness.next_request();
    harness.endpoints[0].connections[connection].send(served_reply("w"));
    harness.expect_reply(&mut client, "$1\r\nw\r\n");
    drop(unfinished);
}

/// Guards against: a client with an unfinished command is disconnected without an error.
#[test]
fn an_unfinished_command_that_gives_way_is_rejected() {
    let mut harness = harness();
    let mut unfinished = connect_unfinished_clients(&mut harness);
    let mut rejected = 0;
    for client in &mut unfinished {
        client.read();
        if !client.is_open {
            assert_eq!(client.received_text(), "-BUSY 500\r\n");
            rejected += 1;
        }
    }
    assert!(rejected >= 20, "{rejected} clients");
}

/// Guards against: replies that wait behind one of a hanging endpoint fill the memory, and their
/// client is disconnected without any of them.
#[test]
fn every_request_is_replied_to_when_replies_behind_a_hanging_endpoint_fill_the_memory() {
    const REQUESTS: u64 = 100;
    let mut harness = harness();
    let mut client = harness.connect();
    client.send(read_request(1));
    let (_, hanging, _) = harness.next_request();
    let value = "v".repeat(65_536);
    let mut executed = 0;
    for id in 2..=REQUESTS {
        client.send(read_request_of_customer(id, id));
        for _ in 0..5 {
            harness.run_iteration();
        }
        if let Some((connection, _)) = harness.endpoints[0].next_command() {
            harness.endpoints[0].connections[connection].send(served_reply(&value));
            executed += 1;
        }
        for _ in 0..5 {
            harness.run_iteration();
        }
        assert!(harness.program.client_usage().buffered_bytes <= MAX_BUFFERED_BYTES);
    }
    assert!(executed > 40, "{executed} requests were executed");
    harness.endpoints[0].connections[hanging].send(served_reply("first"));
    let mut replies = 0;
    harness.run_until("all replies", |_| {
        client.read();
        assert!(client.is_open, "closed after {replies} replies");
        replies += client.take_replies();
        replies == REQUESTS
    });
}

/// Guards against: commands that were read ahead of a hanging one are dropped without a reply
/// when their client has to give way.
#[test]
fn commands_read_ahead_are_rejected_when_they_fill_the_memory() {
    const CLIENTS: usize = 12;
    const REQUESTS: u64 = 5000;
    let mut harness = harness();
    let mut clients = Vec::new();
    // Every request awaits the counter.
    harness.counter.mode = CounterMode::Silent;
    for n in 0..CLIENTS as u64 {
        let mut client = harness.connect();
        let mut remaining = Vec::new();
        for id in 0..REQUESTS {
            remaining.extend(read_request_of_customer(n + 1, n * REQUESTS + id + 1));
        }
        harness.run_until("all commands are sent", |_| {
            let sent = client.send_some(&remaining);
            remaining.drain(..sent);
            remaining.is_empty()
        });
        for _ in 0..20 {
            harness.run_iteration();
            assert!(harness.program.client_usage().buffered_bytes <= MAX_BUFFERED_BYTES);
        }
        clients.push(client);
    }
    harness.counter.mode = CounterMode::Replies;
    let mut replies = [0; CLIENTS];
    harness.run_until("all replies", |h| {
        while let Some((connection, _)) = h.endpoints[0].next_command() {
            h.endpoints[0].connections[connection].send(served_reply("v"));
        }
        for (client, replies) in clients.iter_mut().zip(&mut replies) {
            client.read();
            *replies += client.take_replies();
            assert!(
                client.is_open || *replies == REQUESTS,
                "closed after {replies} replies"
            );
        }
        replies.iter().all(|replies| *replies == REQUESTS)
    });
}
