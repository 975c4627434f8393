//! Graceful shutdown: which connections are accepted and which requests are completed or rejected
//! after SIGTERM.

mod common;

use common::*;
use std::time::Duration;

/// Begins the shutdown, and advances past the time in which new connections are still accepted.
fn begin_drain(harness: &mut Harness) {
    harness.program.shut_down();
    harness.advance(601);
}

fn run_until_exit(harness: &mut Harness) {
    let mut is_running = true;
    harness.run_until("the exit", |h| {
        is_running = is_running && h.run_iteration();
        !is_running
    });
}

#[test]
fn shutdown_accepts_connections_for_a_while_completes_open_requests_and_exits() {
    let mut harness = Harness::new(1);
    let mut held = harness.connect();
    held.send(read_request(1));
    let (_, connection, _) = harness.next_request();
    let mut idle = harness.connect();
    idle.send("*1\r\n$4\r\nPING\r\n");
    harness.expect_reply(&mut idle, "+PONG\r\n");
    harness.program.shut_down();
    let mut late = harness.connect();
    late.send(read_request(2));
    let (_, late_connection, _) = harness.next_request();
    harness.advance(601);
    harness.run_until_closed(&mut idle);
    assert_eq!(harness.program.address(), None, "the listener is closed");
    assert!(held.is_open && late.is_open);
    for (client, connection) in [(&mut held, connection), (&mut late, late_connection)] {
        harness.endpoints[0].connections[connection].send(served_reply("v"));
        harness.expect_reply(client, "$1\r\nv\r\n");
        harness.run_until_closed(client);
    }
    drop((held, idle, late));
    let mut is_running = true;
    harness.run_until("the exit", |h| {
        is_running = is_running && h.run_iteration();
        !is_running
    });
}

#[test]
fn a_command_read_in_part_when_the_drain_begins_is_rejected_at_once() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    let command = read_request(1);
    client.send(&command[..40]);
    harness.run_until("a part is buffered", |h| {
        h.program.client_usage().buffered_bytes == 40
    });
    begin_drain(&mut harness);
    assert!({
        client.read();
        client.is_open
    });
    client.send(&command[40..]);
    // If it were forwarded to an endpoint that hangs, SIGKILL could come before its reply.
    assert_eq!(harness.read_line(&mut client), "-BUSY\r\n");
    harness.run_until_closed(&mut client);
    assert_eq!(harness.endpoints[0].next_command(), None);
}

#[test]
fn commands_pipelined_during_the_drain_are_replied_to_in_order() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    client.send(read_request(1));
    let (endpoint, connection, _) = harness.next_request();
    begin_drain(&mut harness);
    client.send(read_request(2));
    for _ in 0..5 {
        harness.run_iteration();
    }
    client.send(read_request(3));
    harness.endpoints[endpoint].connections[connection].send(served_reply("v"));
    harness.expect_reply(&mut client, "$1\r\nv\r\n-BUSY\r\n-BUSY\r\n");
    harness.run_until_closed(&mut client);
    assert_eq!(harness.endpoints[0].next_command(), None);
}

#[test]
fn a_new_client_in_the_backlog_when_the_drain_begins_is_read_before_its_connection_is_closed() {
    let mut harness = Harness::new(1);
    harness.program.shut_down();
    let (mut requesting, mut silent) = (harness.connect(), harness.connect());
    // Both connections are still in the listener's backlog.
    harness.advance(601);
    requesting.send(read_request(1));
    assert_eq!(harness.read_line(&mut requesting), "-BUSY\r\n");
    harness.run_until_closed(&mut requesting);
    silent.read();
    assert!(
        silent.is_open,
        "the first request of the silent client may still arrive"
    );
    harness.advance(201);
    harness.run_until_closed(&mut silent);
    drop((requesting, silent));
    run_until_exit(&mut harness);
}

#[test]
fn new_clients_without_a_descriptor_are_rejected_before_the_listener_closes() {
    let mut harness = Harness::with_descriptors(1, 48);
    // The clients hold all descriptors while their requests wait for an endpoint.
    let mut held = Vec::new();
    for id in 0..60 {
        let mut client = harness.connect();
        client.send(read_request_of_customer(1000 + id, id));
        for _ in 0..3 {
            harness.advance(2);
        }
        held.push(client);
    }
    harness.program.shut_down();
    let mut late: Vec<Connection> = (0..5).map(|_| harness.connect()).collect();
    harness.advance(601);
    for client in &mut late {
        client.send(read_request_of_customer(9, 900));
        let line = harness.read_line(client);
        assert!(line.starts_with("-BUSY"), "{line}");
    }
}

#[test]
fn requests_awaiting_counter_connect_or_retry_at_sigterm_are_served_before_the_exit() {
    for awaited in ["counter", "connect", "retry"] {
        let mut harness = Harness::new(2);
        let mut client = harness.connect();
        match awaited {
            "counter" => {
                harness.counter.mode = CounterMode::Silent;
                client.send(read_request(1));
                harness.run_until("the call", |h| has_unanswered_call(h));
                harness.program.shut_down();
                harness.counter.mode = CounterMode::Replies;
            }
            "connect" => {
                harness.endpoints.iter_mut().for_each(Peer::stop_accepting);
                client.send(read_request(1));
                harness.run_until("the ingress begins to connect", |h| {
                    h.program.open().upstream_connections == 1
                });
                harness.program.shut_down();
                harness.run_iteration();
                harness
                    .endpoints
                    .iter_mut()
                    .for_each(Peer::resume_accepting);
            }
            _ => {
                client.send(read_request(1));
                let (endpoint, connection, _) = harness.next_request();
                begin_drain(&mut harness);
                harness.endpoints[endpoint].connections[connection].send("-BUSY\r\n");
            }
        }
        let (endpoint, connection, _) = harness.next_request();
        harness.advance(601);
        harness.endpoints[endpoint].connections[connection].send(served_reply("v"));
        harness.expect_reply(&mut client, "$1\r\nv\r\n");
        harness.run_until_closed(&mut client);
        drop(client);
        run_until_exit(&mut harness);
    }
}

#[test]
fn requests_on_a_hung_endpoint_are_replied_to_before_the_exit() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    // Two requests are open whose deadlines are later than the end of the process.
    client.send(request(
        "API.READ",
        1,
        &READ_FIELDS.replace("d=3000", "d=60000"),
    ));
    let (endpoint, _, _) = harness.next_request();
    client.send(request_of_customer(
        7,
        "API.READ",
        2,
        &READ_FIELDS.replace("d=3000", "d=60000"),
    ));
    harness.next_request();
    let mut incomplete = harness.connect();
    incomplete.send(&read_request(3)[..40]);
    harness.run_iteration();
    begin_drain(&mut harness);
    client.read();
    assert_eq!(client.received_text(), "");
    // SIGKILL comes 3.7 s after SIGTERM at the earliest.
    harness.advance(3001);
    harness.expect_reply(&mut client, "-ERR failed\r\n-ERR failed\r\n");
    harness.run_until_closed(&mut client);
    let _hung_endpoint = &harness.endpoints[endpoint];
    harness.now += Duration::from_millis(501);
    run_until_exit(&mut harness);
}

/// Guards against: commands behind a hanging request, buffered or not yet read, are dropped without
/// a reply when the drain times out.
#[test]
fn commands_behind_a_hanging_request_are_rejected_when_the_drain_times_out() {
    // More than the 512 KB that are read ahead.
    const REQUESTS: u64 = 6000;
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    client.send(read_request(1));
    harness.next_request();
    harness.program.shut_down();
    let requests = (2..=REQUESTS).flat_map(|id| read_request_of_customer(id, id));
    let mut remaining: Vec<u8> = requests.collect();
    harness.run_until("all requests are sent", |_| {
        let sent = client.send_some(&remaining);
        remaining.drain(..sent);
        remaining.is_empty()
    });
    harness.advance(601);
    harness.advance(3001);
    let mut replies = 0;
    harness.run_until("the connection is closed", |_| {
        client.read();
        replies += client.take_replies();
        !client.is_open
    });
    assert_eq!(replies, REQUESTS);
    assert!(!client.was_reset);
    drop(client);
    run_until_exit(&mut harness);
}

/// Guards against: a connection on which commands arrive without a pause is kept open until the
/// process exits, so that the exit resets it and destroys replies.
#[test]
fn a_client_that_sends_without_a_pause_is_closed_before_the_exit() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    client.send(read_request(1));
    harness.next_request();
    begin_drain(&mut harness);
    harness.advance(3001);
    let pings = "*1\r\n$4\r\nPING\r\n".repeat(200);
    for _ in 0..500 {
        if client.is_open {
            client.send_some(pings.as_bytes());
        }
        harness.advance(1);
        client.read();
    }
    assert!(!client.is_open, "the connection is closed within 500 ms");
    assert!(!client.was_reset);
    drop(client);
    run_until_exit(&mut harness);
}

#[test]
fn a_partly_written_reply_is_completed_for_a_reading_client_and_does_not_delay_the_exit() {
    for client_reads in [true, false] {
        let mut harness = Harness::new(1);
        let mut client = Connection::with_small_buffers(harness.program.address().unwrap());
        client.send(read_request(1));
        let (endpoint, connection, _) = harness.next_request();
        let value = "v".repeat(60_000);
        harness.endpoints[endpoint].connections[connection].send(served_reply(&value));
        harness.run_until("the reply is read", |h| h.program.open().requests == 0);
        for _ in 0..5 {
            harness.run_iteration();
        }
        assert!(
            harness.program.client_usage().buffered_bytes > 0,
            "a part of the reply could not be written yet"
        );
        begin_drain(&mut harness);
        harness.advance(3001);
        if client_reads {
            harness.expect_reply(&mut client, &format!("$60000\r\n{value}\r\n"));
            harness.run_until_closed(&mut client);
            drop(client);
        } else {
            harness.now += Duration::from_millis(501);
        }
        run_until_exit(&mut harness);
    }
}

#[test]
fn sighup_around_sigterm_loses_no_open_request_and_the_process_still_exits() {
    for first in ["hup", "term"] {
        let mut harness = Harness::new(1);
        let mut client = harness.connect();
        client.send(read_request(1));
        let (endpoint, connection, _) = harness.next_request();
        if first == "term" {
            begin_drain(&mut harness);
        }
        let _old = harness.reload_with_new_peers();
        if first == "hup" {
            begin_drain(&mut harness);
        }
        harness.run_until("the watch at the new address", |h| {
            h.discovery.connections.len() == 1
        });
        harness.endpoints[endpoint].connections[connection].send(served_reply("v"));
        harness.expect_reply(&mut client, "$1\r\nv\r\n");
        harness.run_until_closed(&mut client);
        drop(client);
        run_until_exit(&mut harness);
    }
}
