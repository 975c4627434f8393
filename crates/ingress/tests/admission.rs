//! Which clients are kept and which are closed when many connect: floods of every kind, restarts,
//! lowered limits.

mod common;

use common::*;
use roseyard_ingress::clock::Clock;
use roseyard_ingress::program::{config::Config, Program};
use roseyard_operator_config::OperatorFileError;

const PING: &str = "*1\r\n$4\r\nPING\r\n";
const UNLIMITED_IDLE: &str = "admission { silent-room 1; once-room 1 }";

/// A client is served by whatever endpoint its request reaches.
fn serve_read(harness: &mut Harness, client: &mut Connection, id: u64) {
    client.send(read_request(id));
    let (s, c, _) = harness.next_request();
    harness.endpoints[s].connections[c].send(served_reply("v"));
    harness.expect_reply(client, "$1\r\nv\r\n");
}

/// Restarts the ingress among the same peers, with this operator's file.
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
    harness.run_until("it is ready", |_| {
        probe.send(PING);
        probe.read();
        probe.received_text().contains("+PONG")
    });
    probe.close();
    harness.run_until("no client is connected", |s| s.program.open().clients == 0);
}

#[derive(Clone, Copy, Debug)]
enum FloodKind {
    Silent,
    OneByte,
    ConnectThenClose,
    HalfThenClose,
    OneCommand,
    Reconnect,
    SameCustomer,
}

/// Makes one connection of a flood; returns it if it stays open.
fn connect_once(
    harness: &mut Harness,
    kind: FloodKind,
    address: [u8; 4],
    n: u64,
) -> Option<Connection> {
    let mut end = Connection::connect_from(address, harness.program.address().unwrap());
    harness.advance(1);
    match kind {
        FloodKind::Silent => {}
        FloodKind::OneByte => end.send("*"),
        FloodKind::ConnectThenClose => return None,
        FloodKind::HalfThenClose => {
            end.send(&read_request(n)[..30]);
            return None;
        }
        FloodKind::OneCommand | FloodKind::Reconnect => end.send(PING),
        // The active client's own customer, which has a quota.
        FloodKind::SameCustomer => end.send(read_request(n)),
    }
    Some(end)
}

#[test]
fn a_returning_client_is_served_throughout_floods_of_every_kind_and_source() {
    use FloodKind::*;
    for (kind, addresses) in [
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
        let mut held: Vec<Connection> = Vec::new();
        for n in 0..700u32 {
            let address = (0x7f40_0001 + n % addresses).to_be_bytes();
            held.extend(connect_once(
                &mut harness,
                kind,
                address,
                1000 + u64::from(n),
            ));
            if matches!(kind, Reconnect) {
                // Those that were closed reconnect at once.
                held.iter_mut().for_each(Connection::read);
                held.retain(|end| end.is_open);
            }
            if n % 70 == 69 {
                active.read();
                assert!(
                    active.is_open,
                    "{kind:?} from {addresses}: closed after {n}"
                );
                active.send(PING);
                harness.expect_reply(&mut active, "+PONG\r\n");
            }
        }
        let clients = harness.program.open().clients;
        assert!(
            clients <= 30,
            "{kind:?}: {clients} held under 64 descriptors"
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
    let mut held = Vec::new();
    for n in 0..10_000 {
        held.push(Connection::connect_from([127, 64, 0, 1], to));
        if n % 50 == 49 {
            harness.advance(1);
            for end in &mut held {
                end.read();
                rejected += usize::from(end.input.starts_with(b"-BUSY "));
            }
            held.retain(|end| end.is_open);
        }
    }
    assert!(
        rejected > 9_000,
        "{rejected} were rejected with a retry time"
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
    let kept = format!("admission {{ by-address #true; silent-room 1; once-room 1; known-after 2 }}\nstanding {{ file \"{}\"; most 10 }}", path.display());
    for (file, remembers) in [(kept.as_str(), true), (UNLIMITED_IDLE, false)] {
        let mut harness = Harness::with_operator_file(1, 64, 192, file);
        let mut known =
            Connection::connect_from([127, 0, 0, 9], harness.program.address().unwrap());
        for id in 1..4 {
            serve_read(&mut harness, &mut known, id);
        }
        // The process ends; only its snapshot outlasts it.
        harness.program.finalize();
        restart(&mut harness, file);
        let mut flood: Vec<Connection> = (0..30)
            .map(|n| Connection::connect_from([127, 64, 0, n], harness.program.address().unwrap()))
            .collect();
        for end in &mut flood {
            harness.advance(1);
            end.send(PING);
            harness.expect_reply(end, "+PONG\r\n");
        }
        assert_eq!(harness.program.open().clients, 30, "the limit is reached");
        let mut known =
            Connection::connect_from([127, 0, 0, 9], harness.program.address().unwrap());
        serve_read(&mut harness, &mut known, 9);
        // Another hundred connect: with the snapshot it is known at once, without it after another
        // request.
        if !remembers {
            serve_read(&mut harness, &mut known, 10);
        }
        for n in 0..100 {
            harness.advance(5);
            let mut end =
                Connection::connect_from([127, 65, 0, n], harness.program.address().unwrap());
            end.send(PING);
            harness.expect_reply(&mut end, "+PONG\r\n");
            flood.push(end);
        }
        known.read();
        assert!(known.is_open, "remembers: {remembers}");
    }
    // A cut file is ignored, and the ingress starts all the same.
    let snapshot = std::fs::read(&path).unwrap();
    std::fs::write(&path, &snapshot[..snapshot.len() - 3]).unwrap();
    let mut harness = Harness::with_operator_file(1, 64, 192, &kept);
    let mut client = harness.connect();
    serve_read(&mut harness, &mut client, 1);
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn the_reserve_is_lent_to_idle_new_clients_and_a_known_client_is_served_at_once() {
    // A capacity of 30, of which 3 are reserved.
    let file =
        "admission { by-address #true; reserve 0.1; silent-room 1; once-room 1; known-after 2 }";
    let mut harness = Harness::with_operator_file(1, 64, 192, file);
    let to = harness.program.address().unwrap();
    let mut known = Connection::connect_from([127, 0, 0, 9], to);
    for id in 1..4 {
        serve_read(&mut harness, &mut known, id);
    }
    known.close();
    harness.run_until("its end", |s| s.program.open().clients == 0);
    // Their requests wait for totals as long as the test's clock stands still.
    harness.counter.mode = CounterMode::Silent;
    let mut new_clients: Vec<Connection> = (0..30)
        .map(|n| Connection::connect_from([127, 64, 0, n], to))
        .collect();
    let mut rejected = 0;
    for (n, end) in new_clients.iter_mut().enumerate() {
        // Customers of their own, so that each is within its quota.
        end.send(request_of_customer(
            500 + n as u64,
            "API.READ",
            100 + n as u64,
            READ_FIELDS,
        ));
        let held = harness.program.open().requests;
        harness.run_until("it is open or rejected", |s| {
            end.read();
            s.program.open().requests > held || !end.input.is_empty()
        });
        rejected += usize::from(end.received_text() == "-BUSY 500\r\n");
    }
    assert_eq!(
        rejected, 3,
        "that many may connect but have no request open"
    );
    assert_eq!(harness.program.open().clients, 30);
    // The listener paused when all idle clients had just connected.
    harness.advance(10);
    let mut known = Connection::connect_from([127, 0, 0, 9], to);
    known.send(PING);
    harness.expect_reply(&mut known, "+PONG\r\n");
    assert_eq!(
        harness.program.open().clients,
        30,
        "an idle client was closed for it"
    );
}

#[test]
fn limits_hold_for_mapped_addresses_and_a_lowered_one_closes_idle_clients() {
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
    let file = |most: usize| {
        operator_file(&format!(
            "admission {{ by-address #true; per-neighbourhood {most} }}"
        ))
    };
    let clock = Clock::start();
    harness.program = Program::start(&parsed(), &file(8), clock).unwrap();
    harness.now = clock.now();
    // A listener on the mapped address: IPv4 clients are seen with mapped addresses.
    let to =
        std::net::SocketAddr::from(([127, 0, 0, 1], harness.program.address().unwrap().port()));
    let mut ends: Vec<Connection> = (1..=9)
        .map(|n| Connection::connect_from([127, 0, 0, n], to))
        .collect();
    let mut ninth = ends.pop().unwrap();
    harness.expect_reply(&mut ninth, "-BUSY 500\r\n");
    harness.run_until_closed(&mut ninth);
    // One has a request in flight, and an invalid file changes nothing.
    ends[0].send(read_request(1));
    let (s, c, _) = harness.next_request();
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
        "those that were idle longest are closed"
    );
    harness.endpoints[s].connections[c].send(served_reply("v"));
    harness.expect_reply(&mut ends[0], "$1\r\nv\r\n");
    assert!(
        ends[0].is_open,
        "the one with a request in flight has its reply"
    );
}
