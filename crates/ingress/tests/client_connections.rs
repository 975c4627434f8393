//! Time-outs of silent and idle client connections, and connections beyond the capacity.

mod common;

use common::*;

#[test]
fn silent_and_incomplete_clients_are_closed_before_idle_ones() {
    let mut harness = Harness::new(1);
    let (mut silent, mut incomplete, mut active) =
        (harness.connect(), harness.connect(), harness.connect());
    incomplete.send("*4\r\n$8\r\nAPI.");
    active.send("*1\r\n$4\r\nPING\r\n".repeat(2));
    harness.expect_reply(&mut active, "+PONG\r\n+PONG\r\n");
    harness.run_until("all clients are accepted and their bytes are read", |h| {
        h.program.open().clients == 3 && h.program.client_usage().buffered_bytes > 0
    });
    harness.advance(2100);
    harness.run_iteration();
    assert_eq!(harness.program.open().clients, 3);
    harness.advance(101);
    harness.run_until_closed(&mut silent);
    assert_eq!(
        harness.read_line(&mut incomplete),
        "-ERR Protocol error: command not finished in time\r\n"
    );
    harness.run_until_closed(&mut incomplete);
    harness.advance(3700);
    harness.run_iteration();
    active.read();
    assert!(
        active.is_open,
        "idle for 5.9 s of the 6 s allowed between commands"
    );
    harness.advance(101);
    harness.run_until_closed(&mut active);
}

#[test]
fn a_connection_with_a_pending_request_is_not_idle() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect();
    client.send(request(
        "API.READ",
        1,
        &READ_FIELDS.replace("d=3000", "d=60000"),
    ));
    let (_, connection, _) = harness.next_request();
    for _ in 0..10 {
        harness.advance(2000);
    }
    harness.endpoints[0].connections[connection].send(served_reply("v"));
    harness.expect_reply(&mut client, "$1\r\nv\r\n");
}

#[test]
fn hundreds_of_silent_clients_do_not_displace_an_active_one() {
    let mut harness = Harness::with_descriptors(1, 64);
    let mut active = harness.connect();
    active.send("*1\r\n$4\r\nPING\r\n");
    harness.expect_reply(&mut active, "+PONG\r\n");
    let silent: Vec<Connection> = (0..300)
        .map(|_| {
            let client = harness.connect();
            harness.advance(1);
            client
        })
        .collect();
    assert!(
        harness.program.open().clients <= 24,
        "{:?}",
        harness.program.open()
    );
    active.send(read_request(1));
    let (_, connection, _) = harness.next_request();
    harness.endpoints[0].connections[connection].send(served_reply("v"));
    harness.expect_reply(&mut active, "$1\r\nv\r\n");
    drop(silent);
}

#[test]
fn clients_with_one_command_do_not_displace_a_returning_one() {
    let mut harness = Harness::with_descriptors(1, 64);
    let mut active = harness.connect();
    active.send("*1\r\n$4\r\nPING\r\n".repeat(2));
    harness.expect_reply(&mut active, "+PONG\r\n+PONG\r\n");
    let mut others = Vec::new();
    for _ in 0..60 {
        let mut client = harness.connect();
        client.send("*1\r\n$4\r\nPING\r\n");
        harness.advance(1);
        harness.expect_reply(&mut client, "+PONG\r\n");
        others.push(client);
    }
    active.read();
    assert!(
        active.is_open,
        "the returning client is kept although it was idle for longest"
    );
    harness.advance(2201);
    harness.run_until_closed(others.last_mut().unwrap());
    active.read();
    assert!(active.is_open);
}

#[test]
fn bytes_buffered_for_all_clients_are_bounded_by_the_memory() {
    let mut harness = Harness::with_memory(1, 1024, 32);
    let mut active = harness.connect();
    let mut clients: Vec<Connection> = (0..120).map(|_| harness.connect()).collect();
    let part = unfinished_write();
    for client in &mut clients {
        client.send(&part);
        for _ in 0..3 {
            harness.run_iteration();
        }
        assert!(harness.program.client_usage().buffered_bytes <= 4 << 20);
    }
    assert!(
        harness.program.open().clients < 100,
        "the clients with the most buffered bytes are closed"
    );
    active.send(read_request(1));
    let (_, connection, _) = harness.next_request();
    harness.endpoints[0].connections[connection].send(served_reply("v"));
    harness.expect_reply(&mut active, "$1\r\nv\r\n");
}

#[test]
fn more_clients_than_descriptors_are_served_by_closing_idle_connections() {
    let mut harness = Harness::with_descriptors(1, 48);
    let mut clients = Vec::new();
    for _ in 0..40 {
        let mut client = harness.connect();
        client.send("*1\r\n$4\r\nPING\r\n");
        harness.expect_reply(&mut client, "+PONG\r\n");
        clients.push(client);
    }
    let connected = harness.program.open().clients;
    assert!((1..40).contains(&connected), "{connected} clients");
    harness.run_until_closed(&mut clients[0]);
}
