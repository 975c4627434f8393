//! Admission of clients: which connections are kept and which are closed during floods, after a
//! restart and when limits are lowered.

mod common;

use common::*;
use roseyard_ingress::clock::Clock;
use roseyard_ingress::program::{config::Config, Program};
use roseyard_operator_config::OperatorFileError;

const PING: &str = "*1\r\n$4\r\nPING\r\n";
/// An operator's file by which idle clients may fill the whole capacity, whether they have sent no
/// command or one.
const FULL_IDLE_SHARES: &str = "admission { silent-room 1; once-room 1 }";

/// Sends a read, lets the endpoint that receives it serve it, and checks the client's reply.
fn serve_read(harness: &mut Harness, client: &mut Connection, id: u64) {
    client.send(read_request(id));
    let (endpoint, connection, _) = harness.next_request();
    harness.endpoints[endpoint].connections[connection].send(served_reply("v"));
    harness.expect_reply(client, "$1\r\nv\r\n");
}

/// Restarts the ingress with the same peers and this operator's file, and waits until it is ready.
fn restart(harness: &mut Harness, file: &str) {
    let text = config(
        &harness.counter.peer,
        &harness.discovery,
        &harness.endpoints,
        64,
    );
    let config = Config::parse(text.into(), |_| None).unwrap();
    let clock = Clock::start();
    harness.program = Program::start(&config, &operator_file(file), clock).unwrap();
    harness.now = clock.now();
    let mut probe = harness.connect();
    harness.run_until("the ingress is ready", |_| {
        probe.send(PING);
        probe.read();
        probe.received_text().contains("+PONG")
    });
    probe.close();
    harness.run_until("no client is connected", |h| h.program.open().clients == 0);
}

/// What the connections of a flood do.
#[derive(Clone, Copy, Debug)]
enum FloodKind {
    /// They send nothing.
    Silent,
    /// They send the first byte of a command.
    OneByte,
    /// They are closed at once.
    ConnectThenClose,
    /// They send part of a request and are closed.
    HalfThenClose,
    /// They send one command and stay open.
    OneCommand,
    /// They send one command. A client drops a connection that the ingress has closed, and opens
    /// another.
    Reconnect,
    /// They send a request of the active client's customer, which has a quota.
    SameCustomer,
}

/// Opens one connection of a flood. Returns it unless the client has closed it.
fn open_flood_connection(
    harness: &mut Harness,
    kind: FloodKind,
    address: [u8; 4],
    n: u64,
) -> Option<Connection> {
    let mut client = Connection::connect_from(address, harness.program.address().unwrap());
    harness.advance(1);
    match kind {
        FloodKind::Silent => {}
        FloodKind::OneByte => client.send("*"),
        FloodKind::ConnectThenClose => return None,
        FloodKind::HalfThenClose => {
            client.send(&read_request(n)[..30]);
            return None;
        }
        FloodKind::OneCommand | FloodKind::Reconnect => client.send(PING),
        FloodKind::SameCustomer => client.send(read_request(n)),
    }
    Some(client)
}

#[test]
fn a_returning_client_is_served_throughout_floods_of_every_kind_and_source() {
    use FloodKind::*;
    for (kind, address_count) in [
        (Silent, 1),
        (OneByte, 1),
        (ConnectThenClose, 1),
        (HalfThenClose, 1),
        (OneCommand, 1),
        (Reconnect, 1),
        (SameCustomer, 1),
        (Silent, 4000),
        (OneCommand, 4000),
        (Reconnect, 4000),
    ] {
        let mut harness = Harness::with_descriptors(1, 64);
        let mut active = harness.connect();
        serve_read(&mut harness, &mut active, 1);
        serve_read(&mut harness, &mut active, 2);
        let mut flood: Vec<Connection> = Vec::new();
        for n in 0..700u32 {
            let address = (0x7f40_0001 + n % address_count).to_be_bytes();
            flood.extend(open_flood_connection(
                &mut harness,
                kind,
                address,
                1000 + u64::from(n),
            ));
            if matches!(kind, Reconnect) {
                // Connections that the ingress has closed are dropped before the next one opens.
                flood.iter_mut().for_each(Connection::read);
                flood.retain(|client| client.is_open);
            }
            if n % 70 == 69 {
                active.read();
                assert!(
                    active.is_open,
                    "{kind:?}, {address_count} addresses: active client closed after {n} connections"
                );
                active.send(PING);
                harness.expect_reply(&mut active, "+PONG\r\n");
            }
        }
        let clients = harness.program.open().clients;
        assert!(
            clients <= 30,
            "{kind:?}: {clients} clients are connected with 64 descriptors"
        );
    }
}

#[test]
fn ten_thousand_connections_from_one_address_stay_within_its_limit() {
    let file = "admission { by-address #true; per-client 5; rate-client 100 burst=50 }";
    let mut harness = Harness::with_operator_file(1, 64, 192, file);
    let mut active = harness.connect();
    serve_read(&mut harness, &mut active, 1);
    let to = harness.program.address().unwrap();
    let mut rejected = 0;
    let mut flood = Vec::new();
    for n in 0..10_000 {
        flood.push(Connection::connect_from([127, 64, 0, 1], to));
        if n % 50 == 49 {
            harness.advance(1);
            for client in &mut flood {
                client.read();
                rejected += usize::from(client.input.starts_with(b"-BUSY "));
            }
            flood.retain(|client| client.is_open);
        }
    }
    assert!(
        rejected > 9_000,
        "only {rejected} of 10,000 were rejected with a retry time"
    );
    assert!(
        harness.program.open().clients <= 6,
        "{:?}",
        harness.program.open()
    );
    serve_read(&mut harness, &mut active, 2);
}

#[test]
fn a_known_client_is_served_after_a_restart_at_capacity() {
    let path = std::env::temp_dir().join(format!("roseyard-{}-standing", std::process::id()));
    let file_with_snapshot = format!("admission {{ by-address #true; silent-room 1; once-room 1; known-after 2 }}\nstanding {{ file \"{}\"; most 10 }}", path.display());
    for (file, has_snapshot) in [
        (file_with_snapshot.as_str(), true),
        (FULL_IDLE_SHARES, false),
    ] {
        let mut harness = Harness::with_operator_file(1, 64, 192, file);
        let mut known =
            Connection::connect_from([127, 0, 0, 9], harness.program.address().unwrap());
        for id in 1..4 {
            serve_read(&mut harness, &mut known, id);
        }
        // The ingress ends; only the snapshot file remains.
        harness.program.finalize();
        restart(&mut harness, file);
        let mut flood: Vec<Connection> = (0..30)
            .map(|n| Connection::connect_from([127, 64, 0, n], harness.program.address().unwrap()))
            .collect();
        for client in &mut flood {
            harness.advance(1);
            client.send(PING);
            harness.expect_reply(client, "+PONG\r\n");
        }
        assert_eq!(
            harness.program.open().clients,
            30,
            "the capacity is reached"
        );
        let mut known =
            Connection::connect_from([127, 0, 0, 9], harness.program.address().unwrap());
        serve_read(&mut harness, &mut known, 9);
        // With the snapshot the client is known at once, without it only after a second request.
        // Then it is kept while 100 more clients connect.
        if !has_snapshot {
            serve_read(&mut harness, &mut known, 10);
        }
        for n in 0..100 {
            harness.advance(5);
            let mut client =
                Connection::connect_from([127, 65, 0, n], harness.program.address().unwrap());
            client.send(PING);
            harness.expect_reply(&mut client, "+PONG\r\n");
            flood.push(client);
        }
        known.read();
        assert!(known.is_open, "has_snapshot: {has_snapshot}");
    }
    // A truncated snapshot is ignored, and the ingress starts without it.
    let snapshot = std::fs::read(&path).unwrap();
    std::fs::write(&path, &snapshot[..snapshot.len() - 3]).unwrap();
    let mut harness = Harness::with_operator_file(1, 64, 192, &file_with_snapshot);
    let mut client = harness.connect();
    serve_read(&mut harness, &mut client, 1);
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn new_clients_may_occupy_the_reserve_while_idle_and_a_known_client_is_served_at_once() {
    // The capacity is 30 clients, of which 3 are reserved.
    let file =
        "admission { by-address #true; reserve 0.1; silent-room 1; once-room 1; known-after 2 }";
    let mut harness = Harness::with_operator_file(1, 64, 192, file);
    let to = harness.program.address().unwrap();
    let mut known = Connection::connect_from([127, 0, 0, 9], to);
    for id in 1..4 {
        serve_read(&mut harness, &mut known, id);
    }
    known.close();
    harness.run_until("no client is connected", |h| h.program.open().clients == 0);
    // Without the counter's totals, requests wait for as long as the test's clock stands still.
    harness.counter.mode = CounterMode::Silent;
    let mut new_clients: Vec<Connection> = (0..30)
        .map(|n| Connection::connect_from([127, 64, 0, n], to))
        .collect();
    let mut rejected = 0;
    for (n, client) in new_clients.iter_mut().enumerate() {
        // Each has its own customer, so that all are within their quotas.
        client.send(request_of_customer(
            500 + n as u64,
            "API.READ",
            100 + n as u64,
            READ_FIELDS,
        ));
        let open_before = harness.program.open().requests;
        harness.run_until("the request is open or rejected", |h| {
            client.read();
            h.program.open().requests > open_before || !client.input.is_empty()
        });
        rejected += usize::from(client.received_text() == "-BUSY 500\r\n");
    }
    assert_eq!(
        rejected, 3,
        "new clients may use the reserve for connections but not for requests"
    );
    assert_eq!(harness.program.open().clients, 30);
    // The ingress has paused accepting because all idle clients have only just connected.
    harness.advance(10);
    let mut known = Connection::connect_from([127, 0, 0, 9], to);
    known.send(PING);
    harness.expect_reply(&mut known, "+PONG\r\n");
    assert_eq!(
        harness.program.open().clients,
        30,
        "one idle client was closed for the known one"
    );
}

#[test]
fn limits_hold_for_mapped_addresses_and_lowering_one_closes_idle_clients() {
    let mut harness = Harness::with_operator_file(
        1,
        64,
        192,
        "admission { by-address #true; per-neighbourhood 8 }",
    );
    let text = config(
        &harness.counter.peer,
        &harness.discovery,
        &harness.endpoints,
        64,
    );
    let text = text.replace(
        "\"listen\":\"127.0.0.1:0\"",
        "\"listen\":\"[::ffff:127.0.0.1]:0\"",
    );
    let parsed = || Config::parse(text.clone().into(), |_| None).unwrap();
    let file = |max_clients: usize| {
        operator_file(&format!(
            "admission {{ by-address #true; per-neighbourhood {max_clients} }}"
        ))
    };
    let clock = Clock::start();
    harness.program = Program::start(&parsed(), &file(8), clock).unwrap();
    harness.now = clock.now();
    // The listener is on a mapped address, so the ingress sees IPv4 clients with mapped addresses.
    let to =
        std::net::SocketAddr::from(([127, 0, 0, 1], harness.program.address().unwrap().port()));
    let mut clients: Vec<Connection> = (1..=9)
        .map(|n| Connection::connect_from([127, 0, 0, n], to))
        .collect();
    let mut ninth = clients.pop().unwrap();
    harness.expect_reply(&mut ninth, "-BUSY 500\r\n");
    harness.run_until_closed(&mut ninth);
    // One client has a request in flight. Reloading an invalid file changes nothing.
    clients[0].send(read_request(1));
    let (endpoint, connection, _) = harness.next_request();
    let error =
        roseyard_operator_config::OperatorFile::parse("roseyard.kdl", "admission { plcaes 3 }")
            .unwrap_err();
    harness
        .program
        .reload(Err(OperatorFileError::Invalid(error).into()));
    assert_eq!(harness.program.open().clients, 8);
    harness.program.reload(Ok((parsed(), file(3))));
    harness.advance(1);
    assert_eq!(
        harness.program.open().clients,
        3,
        "the clients that were idle for longest are closed"
    );
    harness.endpoints[endpoint].connections[connection].send(served_reply("v"));
    harness.expect_reply(&mut clients[0], "$1\r\nv\r\n");
    assert!(
        clients[0].is_open,
        "the client with a request in flight is not closed"
    );
}
