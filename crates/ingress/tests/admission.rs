//! Who stays and who goes when many connect: floods of each shape, restarts, lowered caps,
//! descriptors that run out. The ingress runs in this process, or as a process whose descriptors
//! the test takes away.

mod common;

use common::*;
use roseyard_ingress::clock::Clock;
use roseyard_ingress::program::{config::Config, Program};
use roseyard_operator_config::FileError;
use std::time::Duration;

const PING: &str = "*1\r\n$4\r\nPING\r\n";
const MANY: &str = "admission { silent-room 1; once-room 1 }";

/// A client is served by whatever server its request reaches.
fn served_once(harness: &mut Harness, client: &mut Connection, id: u64) {
    client.send(read_request(id));
    let (s, c, _) = harness.next_request();
    harness.endpoints[s].connections[c].send(served_reply("v"));
    harness.expect_reply(client, "$1\r\nv\r\n");
}

/// Another start of the ingress among the same parties, with the same operator's file.
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
        probe.text().contains("+PONG")
    });
    probe.close();
    harness.run_until("nobody is connected", |s| s.program.open().clients == 0);
}

#[derive(Clone, Copy, Debug)]
enum Shape {
    Silent,
    Byte,
    ConnectClose,
    HalfThenClose,
    OnceThenStay,
    Again,
    Pretend,
}

/// One connection of a flood does what its shape says; what stays open is handed back.
fn flood_once(harness: &mut Harness, shape: Shape, address: [u8; 4], n: u64) -> Option<Connection> {
    let mut end = Connection::connect_from(address, harness.program.address().unwrap());
    harness.advance(1);
    match shape {
        Shape::Silent => {}
        Shape::Byte => end.send("*"),
        Shape::ConnectClose => return None,
        Shape::HalfThenClose => {
            end.send(&read_request(n)[..30]);
            return None;
        }
        Shape::OnceThenStay | Shape::Again => end.send(PING),
        // The usual client's own customer, which the settings let have so much and no more.
        Shape::Pretend => end.send(read_request(n)),
    }
    Some(end)
}

#[test]
fn a_client_that_comes_again_is_served_throughout_floods_of_every_shape_and_source() {
    use Shape::*;
    for (shape, addresses) in [
        (Silent, 1),
        (Byte, 1),
        (ConnectClose, 1),
        (HalfThenClose, 1),
        (OnceThenStay, 1),
        (Again, 1),
        (Pretend, 1),
        (Silent, 4000),
        (OnceThenStay, 4000),
        (Again, 4000),
    ] {
        let mut harness = Harness::with_sockets(1, 64);
        let mut usual = harness.connect();
        served_once(&mut harness, &mut usual, 1);
        served_once(&mut harness, &mut usual, 2);
        let mut held: Vec<Connection> = Vec::new();
        for n in 0..700u32 {
            let address = (0x7f40_0001 + n % addresses).to_be_bytes();
            held.extend(flood_once(
                &mut harness,
                shape,
                address,
                1000 + u64::from(n),
            ));
            if matches!(shape, Again) {
                // Whoever was closed begins again at once.
                held.iter_mut().for_each(Connection::read);
                held.retain(|end| end.is_open);
            }
            if n % 70 == 69 {
                usual.read();
                assert!(
                    usual.is_open,
                    "{shape:?} from {addresses}: closed after {n}"
                );
                usual.send(PING);
                harness.expect_reply(&mut usual, "+PONG\r\n");
            }
        }
        let clients = harness.program.open().clients;
        assert!(
            clients <= 30,
            "{shape:?}: {clients} held under 64 descriptors"
        );
    }
}

#[test]
fn ten_thousand_connections_from_one_address_hold_no_more_than_its_cap() {
    let file = "admission { by-address #true; per-client 5; rate-client 100 burst=50 }";
    let mut harness = Harness::with_operator_file(1, 64, 192, file);
    let mut usual = harness.connect();
    served_once(&mut harness, &mut usual, 1);
    let to = harness.program.address().unwrap();
    let mut told = 0;
    let mut held = Vec::new();
    for n in 0..10_000 {
        held.push(Connection::connect_from([127, 64, 0, 1], to));
        if n % 50 == 49 {
            harness.advance(1);
            for end in &mut held {
                end.read();
                told += usize::from(end.input.starts_with(b"-BUSY "));
            }
            held.retain(|end| end.is_open);
        }
    }
    assert!(told > 9_000, "{told} were told when to come again");
    assert!(
        harness.program.open().clients <= 6,
        "{:?}",
        harness.program.open()
    );
    served_once(&mut harness, &mut usual, 2);
}

#[test]
fn a_known_client_is_served_after_a_restart_though_newcomers_hold_every_place() {
    let path = std::env::temp_dir().join(format!("roseyard-{}-standing", std::process::id()));
    let kept = format!("admission {{ by-address #true; silent-room 1; once-room 1; known-after 2 }}\nstanding {{ file \"{}\"; most 10 }}", path.display());
    for (file, remembers) in [(kept.as_str(), true), (MANY, false)] {
        let mut harness = Harness::with_operator_file(1, 64, 192, file);
        let mut known =
            Connection::connect_from([127, 0, 0, 9], harness.program.address().unwrap());
        for id in 1..4 {
            served_once(&mut harness, &mut known, id);
        }
        // It dies; only what it has written down outlasts it.
        harness.program.end();
        restart(&mut harness, file);
        let mut flood: Vec<Connection> = (0..30)
            .map(|n| Connection::connect_from([127, 64, 0, n], harness.program.address().unwrap()))
            .collect();
        for end in &mut flood {
            harness.advance(1);
            end.send(PING);
            harness.expect_reply(end, "+PONG\r\n");
        }
        assert_eq!(harness.program.open().clients, 30, "the cap is full");
        let mut known =
            Connection::connect_from([127, 0, 0, 9], harness.program.address().unwrap());
        served_once(&mut harness, &mut known, 9);
        // Another hundred come: with the snapshot it is known at once, without it after it has come
        // again.
        if !remembers {
            served_once(&mut harness, &mut known, 10);
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
    // A torn file is passed over, and the ingress starts all the same.
    let whole = std::fs::read(&path).unwrap();
    std::fs::write(&path, &whole[..whole.len() - 3]).unwrap();
    let mut harness = Harness::with_operator_file(1, 64, 192, &kept);
    let mut client = harness.connect();
    served_once(&mut harness, &mut client, 1);
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn the_reserve_is_lent_to_newcomers_that_rest_and_a_known_client_is_served_at_once() {
    // 30 places, of which 3 are kept.
    let file =
        "admission { by-address #true; reserve 0.1; silent-room 1; once-room 1; known-after 2 }";
    let mut harness = Harness::with_operator_file(1, 64, 192, file);
    let to = harness.program.address().unwrap();
    let mut known = Connection::connect_from([127, 0, 0, 9], to);
    for id in 1..4 {
        served_once(&mut harness, &mut known, id);
    }
    known.close();
    harness.run_until("its end", |s| s.program.open().clients == 0);
    // Their requests wait for their totals for as long as the test's clock stands still.
    harness.counter.mode = CounterMode::Silent;
    let mut newcomers: Vec<Connection> = (0..30)
        .map(|n| Connection::connect_from([127, 64, 0, n], to))
        .collect();
    let mut refused = 0;
    for (n, end) in newcomers.iter_mut().enumerate() {
        // Customers of their own, so that no quota refuses them.
        end.send(request_of_customer(
            500 + n as u64,
            "API.READ",
            100 + n as u64,
            READ_FIELDS,
        ));
        let held = harness.program.open().requests;
        harness.run_until("it is held or refused", |s| {
            end.read();
            s.program.open().requests > held || !end.input.is_empty()
        });
        refused += usize::from(end.text() == "-BUSY 500\r\n");
    }
    assert_eq!(
        refused, 3,
        "that many may connect but not have requests open"
    );
    assert_eq!(harness.program.open().clients, 30);
    // The listener took a breath when all that rested had just come.
    harness.advance(10);
    let mut known = Connection::connect_from([127, 0, 0, 9], to);
    known.send(PING);
    harness.expect_reply(&mut known, "+PONG\r\n");
    assert_eq!(
        harness.program.open().clients,
        30,
        "one that rested made room"
    );
}

#[test]
fn caps_hold_for_mapped_addresses_and_a_lowered_one_closes_what_rests() {
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
    // A listener of the mapped address: whoever comes over IPv4 is seen with a mapped one.
    let to =
        std::net::SocketAddr::from(([127, 0, 0, 1], harness.program.address().unwrap().port()));
    let mut ends: Vec<Connection> = (1..=9)
        .map(|n| Connection::connect_from([127, 0, 0, n], to))
        .collect();
    let mut ninth = ends.pop().unwrap();
    harness.expect_reply(&mut ninth, "-BUSY 500\r\n");
    harness.run_until_closed(&mut ninth);
    // One has a request out, and a bad file changes nothing.
    ends[0].send(read_request(1));
    let (s, c, _) = harness.next_request();
    let wrong = roseyard_operator_config::File::parse("roseyard.kdl", "admission { plcaes 3 }")
        .unwrap_err();
    harness
        .program
        .reload(Err(FileError::Invalid(wrong).into()));
    assert_eq!(harness.program.open().clients, 8);
    harness.program.reload(Ok((parsed(), file(3))));
    harness.advance(1);
    assert_eq!(
        harness.program.open().clients,
        3,
        "those that rested longest are gone"
    );
    harness.endpoints[s].connections[c].send(served_reply("v"));
    harness.expect_reply(&mut ends[0], "$1\r\nv\r\n");
    assert!(ends[0].is_open, "the one with a request out has its answer");
}

mod descriptors {
    use super::*;
    use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};
    use std::io::{BufRead, BufReader};
    use std::process::{Child, Command, Stdio};

    struct ChildProcess(Child, std::path::PathBuf);

    impl Drop for ChildProcess {
        fn drop(&mut self) {
            let _ = self.0.kill();
            let _ = self.0.wait();
            let _ = std::fs::remove_file(&self.1);
        }
    }

    /// The parties around a program that runs by its own clock.
    struct Around {
        counter: FakeCounter,
        discovery: Peer,
        endpoints: Vec<Peer>,
    }

    impl Around {
        fn serve(&mut self) {
            self.counter.serve();
            self.discovery.read();
            for end in &mut self.discovery.connections {
                if end.input.ends_with(b"\r\n\r\n") {
                    end.input.clear();
                    end.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
                }
            }
            self.endpoints.iter_mut().for_each(Peer::read);
        }

        fn run_until(&mut self, what: &str, mut come: impl FnMut(&mut Around) -> bool) {
            let start = std::time::Instant::now();
            while !come(self) {
                self.serve();
                assert!(
                    start.elapsed() < Duration::from_secs(20),
                    "never came: {what}"
                );
                std::thread::yield_now();
            }
        }
    }

    /// Submits are out; then the system has no descriptor left, connections flood in, and the first
    /// server turns every submit away, so that each needs a link to another. All get one answer,
    /// through SIGHUP and SIGTERM.
    #[test]
    fn submits_in_flight_get_one_answer_each_when_descriptors_run_out() {
        let endpoints: Vec<Peer> = (0..3).map(|_| Peer::new()).collect();
        let mut around = Around {
            counter: FakeCounter::new(),
            discovery: Peer::new(),
            endpoints,
        };
        let text = config(
            &around.counter.peer,
            &around.discovery,
            &around.endpoints,
            1024,
        );
        let path =
            std::env::temp_dir().join(format!("roseyard-{}-run-out.json", std::process::id()));
        std::fs::write(&path, text).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_roseyard-ingress"));
        command
            .env("LB_CONFIG", &path)
            .env_remove("LB_DISCOVERY")
            .stderr(Stdio::piped());
        let mut running = ChildProcess(command.spawn().unwrap(), path);
        let mut log = BufReader::new(running.0.stderr.take().unwrap());
        let mut line = String::new();
        log.read_line(&mut line).unwrap();
        let to = line.trim().rsplit('=').next().unwrap().parse().unwrap();
        let pid = Pid::from_child(&running.0);
        let mut clients: Vec<Connection> = (0..6).map(|_| Connection::connect(to)).collect();
        // As the front does: what is asked before discovery has spoken is refused.
        clients[0].send(PING);
        around.run_until("ready", |_| {
            clients[0].read();
            if clients[0].input.starts_with(b"-LOADING") && clients[0].input.ends_with(b"\n") {
                clients[0].input.clear();
                clients[0].send(PING);
            }
            clients[0].input == b"+PONG\r\n"
        });
        clients[0].input.clear();
        for (n, client) in clients.iter_mut().enumerate() {
            client.send(request_of_customer(
                500 + n as u64,
                "API.WRITE",
                1 + n as u64,
                WRITE_FIELDS,
            ));
        }
        let mut out = Vec::new();
        around.run_until("six submits", |a| {
            for (s, party) in a.endpoints.iter_mut().enumerate() {
                while let Some((c, words)) = party.next_command() {
                    if words[0] == "API.WRITE" {
                        out.push((s, c, words[2].clone()));
                    }
                }
            }
            out.len() == 6
        });
        // As many as it holds now, and no more.
        let held = std::fs::read_dir(format!("/proc/{}/fd", running.0.id()))
            .unwrap()
            .count() as u64;
        let limit = prlimit(
            Some(pid),
            Resource::Nofile,
            Rlimit {
                current: Some(held),
                maximum: Some(held),
            },
        );
        limit.unwrap();
        let mut flood: Vec<Connection> = (0..40).map(|_| Connection::connect(to)).collect();
        around.run_until("some of the flood to be told to come again", |_| {
            flood.iter_mut().for_each(Connection::read);
            flood
                .iter()
                .any(|f| f.input.starts_with(b"-BUSY ") || !f.is_open)
        });
        kill_process(pid, Signal::HUP).unwrap();
        for (s, c, _) in &out {
            around.endpoints[*s].connections[*c].send("-BUSY\r\n");
        }
        let mut further = 0;
        let mut term = false;
        around.run_until("an answer to each submit", |a| {
            for party in &mut a.endpoints {
                while let Some((c, words)) = party.next_command() {
                    if words[0] == "API.WRITE" {
                        further += 1;
                        party.connections[c].send(served_reply("v"));
                    }
                }
            }
            if further >= 2 && !std::mem::replace(&mut term, true) {
                kill_process(pid, Signal::TERM).unwrap();
            }
            clients.iter_mut().for_each(Connection::read);
            clients.iter().all(|c| !c.input.is_empty())
        });
        around.run_until("the end of each connection", |_| {
            clients.iter_mut().for_each(Connection::read);
            clients.iter().all(|c| !c.is_open)
        });
        let served = clients.iter().filter(|c| c.text() == "$1\r\nv\r\n").count();
        for client in &clients {
            let one = ["$1\r\nv\r\n", "-ERR failed\r\n"].contains(&client.text())
                || client.text().starts_with("-BUSY") && client.text().matches("\r\n").count() == 1;
            assert!(one, "exactly one answer: {:?}", client.text());
        }
        assert!(
            served >= 2 && further >= served,
            "links were still opened: {served} served, {further} further attempts"
        );
        around.run_until("the end", |_| running.0.try_wait().unwrap().is_some());
        assert_eq!(running.0.wait().unwrap().code(), Some(0));
    }
}
