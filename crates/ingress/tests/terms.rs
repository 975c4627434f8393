//! The five terms of the standing test that go before its older rules: each test forces the case
//! with scripted parties and a clock that it moves. Which mutation of the program each was seen to
//! fail on is listed in `docs/design/crossings.md`. The third term, on cold servers, is
//! `tests/cold_budget.rs` of the root package.

mod common;

use common::ingress_process::{answer_with, line_with, IngressProcess};
use common::*;
use rustix::process::Signal;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

// Term 2: a client that closes or cancels has gone.

/// How a client goes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Leaving {
    /// It does not: the control, in which the attempt has to be made.
    Stays,
    Closes,
    EndsSending,
    Resets,
}

/// What the next attempt of its request waits for.
#[derive(Clone, Copy, Debug)]
enum Awaited {
    Counter,
    Link,
    /// The first attempt's refusal, after which a further one is made.
    Refusal,
}

/// What else goes on on its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ClientState {
    Single,
    /// Further requests wait behind the first.
    Pipelined,
    /// As many commands wait as may, and far more is sent behind them than the system's buffers
    /// take in.
    PausedByCommands,
    /// It takes in no answers, and requests are sent behind them.
    PausedByAnswers,
}

const PING: &str = "*1\r\n$4\r\nPING\r\n";
const ENDPOINTS: usize = 4;
/// More than the ingress reads at once and the system takes in behind that, and less than it holds
/// of one client.
const UNREAD_BEHIND: usize = 300_000;
/// More than may wait on a connection.
const PINGS: usize = 1100;

/// A request's next attempt is about to be made.
struct AboutToSend {
    harness: Harness,
    client: Connection,
    awaited: Awaited,
    /// Server and connection of the attempts that are out, in the order of the requests.
    out: Vec<(usize, usize)>,
}

impl AboutToSend {
    fn new(awaited: Awaited, connection: ClientState) -> AboutToSend {
        let mut harness = Harness::new(ENDPOINTS);
        let client = match connection {
            ClientState::PausedByAnswers => {
                Connection::with_small_buffers(harness.program.address().unwrap())
            }
            _ => harness.connect(),
        };
        harness.run_until("the client is taken in", |s| s.program.open().2 == 1);
        let mut case = AboutToSend {
            harness,
            client,
            awaited,
            out: Vec::new(),
        };
        match awaited {
            Awaited::Counter => case.harness.counter.mode = CounterMode::Silent,
            Awaited::Link => case
                .harness
                .endpoints
                .iter_mut()
                .for_each(Peer::stop_accepting),
            Awaited::Refusal => {}
        }
        let requests = match connection {
            ClientState::Single | ClientState::PausedByCommands => 1,
            ClientState::Pipelined => 3,
            ClientState::PausedByAnswers => 7,
        };
        case.client.send(
            (0..requests)
                .flat_map(|id| read_request_of(100 + id, id))
                .collect::<Vec<u8>>(),
        );
        case.wait(requests as usize);
        match connection {
            ClientState::Single | ClientState::Pipelined => {}
            ClientState::PausedByCommands => case.pause_by_commands(),
            ClientState::PausedByAnswers => case.pause_by_answers(),
        }
        case
    }

    /// Goes on until all requests wait for what is awaited.
    fn wait(&mut self, requests: usize) {
        let harness = &mut self.harness;
        harness.run_until("the requests", |s| s.program.open().0 == requests);
        match self.awaited {
            Awaited::Counter => harness.run_until("the calls", |s| has_unanswered_call(s)),
            Awaited::Link => harness.run_until("the connections are begun", |s| {
                s.program.open().1 == requests
            }),
            Awaited::Refusal => {
                let mut out: Vec<_> = (0..requests).map(|_| harness.next_request()).collect();
                out.sort_by_key(|(_, _, words)| words[2].clone());
                self.out = out
                    .into_iter()
                    .map(|(endpoint, connection, _)| (endpoint, connection))
                    .collect();
            }
        }
    }

    fn pause_by_commands(&mut self) {
        self.client.send(PING.repeat(PINGS));
        let behind: Vec<u8> = (0..)
            .flat_map(|id| read_request_of(5000 + id, 5000 + id))
            .take(UNREAD_BEHIND)
            .collect();
        let mut rest = &behind[..];
        // What the system does not take at once it takes while the ingress still reads.
        for _ in 0..100 {
            rest = &rest[self.client.send_some(rest)..];
            self.harness.run_round();
        }
        assert!(rest.is_empty(), "{} bytes could not be sent", rest.len());
        assert_eq!(
            self.harness.program.open().0,
            1,
            "nothing behind the pause is taken in"
        );
    }

    /// All but the last request are answered, and the answers are not taken in.
    fn pause_by_answers(&mut self) {
        let last = self.out.len() - 1;
        for (endpoint, connection) in self.out.drain(..last) {
            self.harness.endpoints[endpoint].connections[connection]
                .send(served_reply(&"v".repeat(60_000)));
        }
        self.harness.run_until("answers are not taken in", |s| {
            s.program.clients_hold().1 > 256 << 10
        });
        self.client.send(read_request_of(5000, 5000));
        for _ in 0..5 {
            self.harness.run_round();
        }
        assert_eq!(
            self.harness.program.open().0,
            1,
            "nothing behind the pause is taken in"
        );
    }

    fn leave(&mut self, leaving: Leaving) {
        match leaving {
            Leaving::Stays => return,
            Leaving::Closes => {
                let elsewhere = Connection::connect(self.harness.discovery.address);
                drop(std::mem::replace(&mut self.client, elsewhere));
            }
            Leaving::EndsSending => self.client.end_sending(),
            Leaving::Resets => self.client.reset(),
        }
        // No time passes until then.
        self.harness
            .run_until("the client has gone", |s| s.program.open().2 == 0);
    }

    /// What was awaited comes.
    fn go_on(&mut self) {
        match self.awaited {
            Awaited::Counter => self.harness.counter.mode = CounterMode::Replies,
            Awaited::Link => self
                .harness
                .endpoints
                .iter_mut()
                .for_each(Peer::resume_accepting),
            Awaited::Refusal => {
                for (endpoint, connection) in &self.out {
                    self.harness.endpoints[*endpoint].connections[*connection].send("-BUSY\r\n");
                }
            }
        }
    }
}

/// A client leaves in each way while an attempt is awaited: none is begun.
fn no_attempt_begins_after_leaving(awaited: Awaited, connection: ClientState) {
    for leaving in [
        Leaving::Stays,
        Leaving::Closes,
        Leaving::EndsSending,
        Leaving::Resets,
    ] {
        let mut case = AboutToSend::new(awaited, connection);
        case.leave(leaving);
        case.go_on();
        let what = format!("{awaited:?}, {connection:?}, {leaving:?}");
        if leaving == Leaving::Stays {
            case.harness.next_request();
            continue;
        }
        assert_nothing_forwarded(&mut case.harness, &what);
        let (requests, _, clients) = case.harness.program.open();
        assert_eq!(
            (requests, clients),
            (0, 0),
            "{what}: what it held is released"
        );
        assert_eq!(case.harness.program.clients_hold(), (0, 0), "{what}");
    }
}

#[test]
fn a_client_that_leaves_has_no_first_attempt_begun() {
    for connection in [ClientState::Single, ClientState::Pipelined] {
        no_attempt_begins_after_leaving(Awaited::Counter, connection);
        no_attempt_begins_after_leaving(Awaited::Link, connection);
    }
}

#[test]
fn a_client_that_leaves_has_no_further_attempt_begun() {
    for connection in [ClientState::Single, ClientState::Pipelined] {
        no_attempt_begins_after_leaving(Awaited::Refusal, connection);
    }
}

#[test]
fn a_client_that_leaves_while_its_commands_are_paused_has_no_attempt_begun() {
    for awaited in [Awaited::Counter, Awaited::Link, Awaited::Refusal] {
        no_attempt_begins_after_leaving(awaited, ClientState::PausedByCommands);
    }
}

#[test]
fn a_client_that_leaves_without_reading_its_answers_has_no_further_attempt_begun() {
    no_attempt_begins_after_leaving(Awaited::Refusal, ClientState::PausedByAnswers);
}

// Term 1: a change counts as told 6 s after discovery had it and could be reached.

/// What becomes of calls to discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Refuses,
    /// Connections never come up.
    Hangs,
    Silent,
    /// The head of an answer, and nothing behind it.
    HeadOnly,
    /// Half of a list, and nothing behind it.
    HalfList,
    Resets,
    TurnsAway,
    /// The watch ends instead of telling.
    EndsAtOnce,
}

const FAULTS: [Fault; 8] = [
    Fault::Refuses,
    Fault::Hangs,
    Fault::Silent,
    Fault::HeadOnly,
    Fault::HalfList,
    Fault::Resets,
    Fault::TurnsAway,
    Fault::EndsAtOnce,
];

/// A change counts as told so long after discovery had it and could be reached, ...
const TOLD: Duration = Duration::from_secs(6);
/// ... and so long after SIGHUP where the new place has it by then.
const TOLD_AFTER_RELOAD: Duration = Duration::from_secs(4);
const STEP_MS: u64 = 100;

/// What an ingress is started with.
#[derive(Clone, Copy, Debug)]
struct Mode {
    /// Are lists pushed, or asked for by calls that may wait?
    pushed: bool,
    ingresses: u32,
    /// Milliseconds in which sends have to end after a drain was told.
    grace: u64,
}

const MODES: [Mode; 4] = [
    Mode {
        pushed: true,
        ingresses: 1,
        grace: 2000,
    },
    Mode {
        pushed: true,
        ingresses: 300,
        grace: 500,
    },
    Mode {
        pushed: false,
        ingresses: 300,
        grace: 2000,
    },
    Mode {
        pushed: false,
        ingresses: 300,
        grace: 0,
    },
];

/// A site whose discovery has a change to tell, once it may.
struct Telling {
    harness: Harness,
    mode: Mode,
    /// Connections to discovery that have had what is meant for them.
    seen: usize,
    /// A place that discovery has left and that goes on telling that nothing has changed.
    left: Option<Peer>,
}

impl Telling {
    fn new(mode: Mode) -> Telling {
        Telling::with(mode, &[])
    }

    /// One whose configuration has words replaced.
    fn with(mode: Mode, words: &[(&str, &str)]) -> Telling {
        let mut harness = Harness::new(2);
        let ingresses = format!("\"Balancers\":{},", mode.ingresses);
        let discovery = if mode.pushed {
            "\"Discovery\":\"automatic\""
        } else {
            "\"Discovery\":\"subscribe\""
        };
        let tier = [
            ("\"Balancers\":1,", &*ingresses),
            ("\"Discovery\":\"automatic\"", discovery),
        ];
        harness.restart_with_drain_grace(mode.grace, &[&tier, words].concat());
        harness.discovery_replies = false;
        let seen = harness.discovery.connections.len();
        Telling {
            harness,
            mode,
            seen,
            left: None,
        }
    }

    fn news(&self) -> String {
        endpoint_list(
            42,
            false,
            &[endpoint_entry(
                0,
                self.harness.endpoints[0].address,
                "DRAINING",
            )],
        )
    }

    /// From now on this is what becomes of calls; the watch that is open falls silent, or breaks.
    fn fail(&mut self, fault: Fault) {
        match fault {
            Fault::Refuses => self.harness.discovery.stop(),
            Fault::Hangs => self.harness.discovery.stop_accepting(),
            Fault::Silent | Fault::HeadOnly | Fault::HalfList => {}
            Fault::Resets | Fault::TurnsAway | Fault::EndsAtOnce => {
                self.harness
                    .discovery
                    .connections
                    .iter_mut()
                    .for_each(Connection::close);
            }
        }
        self.seen = self.harness.discovery.connections.len();
    }

    /// Calls from now on find a discovery that can be reached; those from before are never
    /// answered.
    fn recover(&mut self, fault: Fault) {
        match fault {
            Fault::Refuses => self.harness.discovery.restart(),
            Fault::Hangs => {
                self.harness.discovery.resume_accepting();
                self.harness.discovery.accept();
            }
            _ => {}
        }
        self.seen = self.harness.discovery.connections.len();
    }

    /// Lets time pass while calls fail so; how many calls there were.
    fn step(&mut self, fault: Fault) -> usize {
        self.harness.advance(STEP_MS);
        let news = self.news();
        let calls = self.harness.discovery.connections.split_at_mut(self.seen).1;
        for call in calls.iter_mut() {
            match fault {
                Fault::Refuses | Fault::Hangs | Fault::Silent => {}
                Fault::HeadOnly => call.send(WATCH_HEAD),
                Fault::HalfList => {
                    call.send(format!("{WATCH_HEAD}{}", chunk(&news[..news.len() / 2])))
                }
                Fault::Resets => call.reset(),
                Fault::TurnsAway => {
                    call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                }
                Fault::EndsAtOnce => call.send(format!("{WATCH_HEAD}0\r\n\r\n")),
            }
        }
        let made = calls.len();
        self.seen += made;
        for _ in 0..made {
            self.harness.run_round();
        }
        made
    }

    fn fail_for(&mut self, fault: Fault, time: Duration) {
        let end = self.harness.now + time;
        while self.harness.now < end {
            self.step(fault);
        }
    }

    /// Calls are answered with the change; it has to be held this long after `since` at the latest.
    fn held_within(&mut self, most: Duration, since: Duration, what: &str) {
        let news = format!("{WATCH_HEAD}{}", chunk(&self.news()));
        while self.harness.program.list_version() == 41 {
            let late = self.harness.now - since;
            assert!(
                late <= most,
                "{what}, {:?}: not told after {late:?}",
                self.mode
            );
            self.harness.advance(STEP_MS);
            if let Some(left) = &mut self.left {
                left.read();
                left.connections
                    .iter_mut()
                    .for_each(|end| end.send(chunk("\n")));
            }
            for call in &mut self.harness.discovery.connections[self.seen..] {
                call.send(&news);
            }
            if self.harness.discovery.connections.len() > self.seen {
                self.seen = self.harness.discovery.connections.len();
                self.harness
                    .run_until("the news", |s| s.program.list_version() == 42);
            }
        }
    }

    /// SIGHUP moves discovery to a new place; the old one stays as it is.
    fn move_discovery(&mut self) -> Peer {
        let old = std::mem::replace(&mut self.harness.discovery, Peer::new());
        drop(self.harness.reload());
        self.seen = 0;
        old
    }
}

#[test]
fn a_change_is_held_6_s_after_discovery_can_be_reached_again() {
    for mode in MODES {
        for fault in FAULTS {
            // Many lengths, as the wait between calls grows with them, where it does.
            let outages: &[u64] = match fault {
                Fault::Hangs | Fault::Silent | Fault::HeadOnly | Fault::HalfList => &[4050, 17_350],
                _ => &[4050, 11_150, 17_350, 31_050],
            };
            for outage in outages.iter().map(|ms| Duration::from_millis(*ms)) {
                let mut telling = Telling::new(mode);
                telling.fail(fault);
                telling.fail_for(fault, outage);
                telling.recover(fault);
                let since = telling.harness.now;
                telling.held_within(TOLD, since, &format!("{fault:?} for {outage:?}"));
            }
        }
    }
}

#[test]
fn a_change_that_a_silent_watch_and_a_failed_call_missed_is_held_before_sends_must_have_ended() {
    for mode in MODES {
        for fault in FAULTS {
            let mut telling = Telling::new(mode);
            let since = telling.harness.now;
            // The watch has fallen silent; the one call that follows fails.
            let waits = Duration::from_millis(2500);
            telling.fail_for(Fault::Silent, waits);
            if matches!(fault, Fault::Refuses | Fault::Hangs) {
                telling.harness.discovery.connections.clear();
                telling.fail(fault);
                telling.fail_for(fault, Duration::from_millis(700));
                telling.recover(fault);
            } else {
                while telling.step(fault) == 0 {}
            }
            let most = TOLD + Duration::from_millis(mode.grace);
            telling.held_within(most, since, &format!("silent, then {fault:?}"));
        }
    }
}

#[test]
fn a_change_at_the_place_that_sighup_names_is_held_4_s_later_whatever_the_old_one_does() {
    for mode in MODES {
        for fault in FAULTS {
            let mut telling = Telling::new(mode);
            telling.fail(fault);
            telling.fail_for(fault, Duration::from_millis(9050));
            let _old = telling.move_discovery();
            let since = telling.harness.now;
            telling.held_within(
                TOLD_AFTER_RELOAD,
                since,
                &format!("moved away from {fault:?}"),
            );
        }
        let mut telling = Telling::new(mode);
        telling.left = Some(telling.move_discovery());
        let since = telling.harness.now;
        telling.held_within(
            TOLD_AFTER_RELOAD,
            since,
            "moved away from a place that goes on",
        );
    }
}

#[test]
fn a_change_is_held_6_s_after_the_last_of_several_places_can_be_reached() {
    for mode in MODES {
        for fault in FAULTS {
            let mut telling = Telling::new(mode);
            telling.fail(Fault::TurnsAway);
            telling.fail_for(Fault::TurnsAway, Duration::from_millis(9050));
            // Three moves in a row, each to a place that fails for a while, the last one longest.
            let mut old = Vec::new();
            for time in [100, 1500, 7050] {
                old.push(telling.move_discovery());
                telling.fail(fault);
                telling.fail_for(fault, Duration::from_millis(time));
            }
            telling.recover(fault);
            let since = telling.harness.now;
            telling.held_within(TOLD, since, &format!("moved thrice, {fault:?}"));
        }
    }
}

#[test]
fn a_long_list_is_waited_for_while_its_parts_follow_one_another_and_not_when_it_dribbles() {
    const PARTS: usize = 15;
    const BETWEEN_MS: u64 = 400;
    for dribbles in [false, true] {
        let mut telling = Telling::new(MODES[0]);
        telling
            .harness
            .discovery
            .connections
            .iter_mut()
            .for_each(Connection::close);
        let before = telling.harness.discovery.connections.len();
        while telling.harness.discovery.connections.len() == before {
            telling.harness.advance(STEP_MS);
        }
        // Longer to come than a call may stay without a word.
        let whole = endpoint_list(42, true, &many_targets(600));
        let part = if dribbles {
            1
        } else {
            whole.len().div_ceil(PARTS)
        };
        telling.harness.discovery.connections[before].send(WATCH_HEAD);
        for n in 0..PARTS {
            let text = &whole[n * part..whole.len().min((n + 1) * part)];
            telling.harness.discovery.connections[before].send(chunk(text));
            for _ in 0..5 {
                telling.harness.run_round();
            }
            telling.harness.advance(BETWEEN_MS);
        }
        let calls = telling.harness.discovery.connections.len() - before;
        if dribbles {
            assert!(calls > 1, "one call was waited for without end");
        } else {
            assert_eq!((calls, telling.harness.program.list_version()), (1, 42));
        }
    }
}

// Term 4: idle clients fill the descriptors while discovery is down. With none left at all it is
// `descriptor_shortage.rs`.

#[test]
fn idle_clients_that_fill_the_descriptors_leave_discovery_counter_and_endpoints_theirs() {
    for fault in [
        Fault::Refuses,
        Fault::Hangs,
        Fault::Silent,
        Fault::TurnsAway,
    ] {
        let mut telling = Telling::with(MODES[0], &[("\"sockets\":1024", "\"sockets\":64")]);
        let mut usual = telling.harness.connect();
        usual.send(PING.repeat(2));
        telling
            .harness
            .expect_reply(&mut usual, "+PONG\r\n+PONG\r\n");
        telling.fail(fault);
        let mut idle = Vec::new();
        for n in 0..200 {
            let mut client = telling.harness.connect();
            // Half of them say nothing at all.
            if n % 2 == 0 {
                client.send(PING);
            }
            idle.push(client);
            // Faster than admission ends those that say nothing: else they are few by themselves.
            if n % 10 == 0 {
                telling.step(fault);
            }
            if n % 50 == 0 {
                serve_request(
                    &mut telling.harness,
                    &mut usual,
                    read_request_of(100 + n, n),
                );
            }
        }
        assert!(
            telling.harness.program.open().2 < 64,
            "{fault:?}: no more clients than descriptors"
        );
        telling.recover(fault);
        let since = telling.harness.now;
        let most = Duration::from_millis(1000 + STEP_MS);
        telling.held_within(most, since, &format!("{fault:?}, filled with idle clients"));
        let counted = telling.harness.counter.calls.len();
        usual.send(read_request_of(900, 900));
        let (endpoint, connection, _) = telling.harness.next_request();
        assert_eq!(
            (endpoint, telling.harness.counter.calls.len()),
            (1, counted + 1),
            "{fault:?}"
        );
        telling.harness.endpoints[endpoint].connections[connection].send(served_reply("v"));
        telling.harness.expect_reply(&mut usual, "$1\r\nv\r\n");
    }
}

// Term 5: nine in ten restarted processes are ready within 10 s.

/// A restarted process has to be ready by then.
const READY: Duration = Duration::from_secs(10);
/// Answers each call to discovery with this text, so late.
fn discovery_answers(listener: TcpListener, late: Duration, text: String) {
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, text) = (stream.unwrap(), text.clone());
            std::thread::spawn(move || {
                let mut head = [0; 4096];
                if matches!(stream.read(&mut head), Ok(n) if n > 0) {
                    std::thread::sleep(late);
                    let _ = stream.write_all(text.as_bytes());
                    // The watch stays open until the other side ends it.
                    let _ = stream.read(&mut head);
                }
            });
        }
    });
}

/// Asks again and again at this address, over restarts; how many were served.
fn load_on(address: SocketAddr, first_id: u64, ends: Arc<AtomicBool>, served: Arc<AtomicU64>) {
    let mut id = first_id;
    while !ends.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(address) else {
            std::thread::yield_now();
            continue;
        };
        stream
            .set_read_timeout(Some(Duration::from_secs(5)))
            .unwrap();
        let mut answer = [0; 512];
        while !ends.load(Ordering::Relaxed) {
            id += 1;
            if stream.write_all(&read_request_of(id % 1000, id)).is_err() {
                break;
            }
            match stream.read(&mut answer) {
                Ok(n @ 1..) => {
                    served.fetch_add(u64::from(answer[..n].starts_with(b"$")), Ordering::Relaxed)
                }
                _ => break,
            };
        }
    }
}

/// Waits until `PING` is answered.
fn until_ready(running: &IngressProcess) {
    let mut stream = running.connect();
    // Far beyond what is asked for, so that a late start is told by how late it is.
    stream
        .set_read_timeout(Some(Duration::from_secs(300)))
        .unwrap();
    loop {
        stream.write_all(PING.as_bytes()).unwrap();
        let mut answer = [0; 256];
        let n = stream.read(&mut answer).unwrap();
        if answer[..n].starts_with(b"+PONG") {
            return;
        }
    }
}

/// Restarts an ingress so many times at its address while clients go on asking; how long each took
/// to be ready.
fn restarts_under_load(name: &str, discovery: &Peer, restarts: usize) -> Vec<Duration> {
    const CLIENTS: u64 = 3;
    let (endpoint, counter) = (Peer::new(), Peer::new());
    answer_with(
        endpoint.blocking_listener(),
        b"first=0\r\n",
        "*3\r\n$2\r\nhi\r\n$-1\r\n$-1\r\n",
    );
    answer_with(
        counter.blocking_listener(),
        b"\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1",
    );
    let text = config(&counter, discovery, std::slice::from_ref(&endpoint), 1024);
    let mut running = IngressProcess::start(name, &text);
    let address = running.address;
    let text = text.replace(
        "\"listen\":\"127.0.0.1:0\"",
        &format!("\"listen\":\"{address}\""),
    );
    until_ready(&running);
    let (ends, served) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(0)),
    );
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (ends, served) = (ends.clone(), served.clone());
            std::thread::spawn(move || load_on(address, n << 32, ends, served))
        })
        .collect();
    let mut took = Vec::new();
    for n in 0..restarts {
        let before = served.load(Ordering::Relaxed);
        running.signal(Signal::TERM);
        let begun = Instant::now();
        // It waits for the address while the one before still listens.
        let next = IngressProcess::start(&format!("{name}-{n}"), &text);
        until_ready(&next);
        took.push(begun.elapsed());
        let mut old = std::mem::replace(&mut running, next);
        assert!(
            old.child.wait().unwrap().success(),
            "the one before ends well"
        );
        assert!(
            served.load(Ordering::Relaxed) > before,
            "clients are served meanwhile"
        );
    }
    ends.store(true, Ordering::Relaxed);
    clients
        .into_iter()
        .for_each(|client| client.join().unwrap());
    took
}

#[test]
fn nine_in_ten_of_twenty_restarts_under_load_are_ready_within_10_s() {
    let empty_line = format!("{WATCH_HEAD}{}", chunk("\n"));
    let discoveries = [
        ("quick", Some(0)),
        ("late", Some(300)),
        ("slow", Some(1500)),
        ("silent", None),
    ]
    .map(|(name, late)| {
        let discovery = Peer::new();
        if let Some(late) = late {
            discovery_answers(
                discovery.blocking_listener(),
                Duration::from_millis(late),
                empty_line.clone(),
            );
        }
        (name, discovery)
    });
    let mut took: Vec<Duration> = std::thread::scope(|scope| {
        let chains = discoveries.each_ref().map(|(name, discovery)| {
            scope.spawn(move || restarts_under_load(&format!("ready-{name}"), discovery, 5))
        });
        chains
            .into_iter()
            .flat_map(|chain| chain.join().unwrap())
            .collect()
    });
    took.sort();
    println!("ready after: {took:?}");
    assert!(
        took[17] <= READY,
        "nine in ten of 20 restarts were ready after {:?}: {took:?}",
        took[17]
    );
}

/// A list of so many servers, each at an address of its own.
fn many_targets(endpoints: usize) -> Vec<String> {
    let address =
        |n: usize| SocketAddr::from(([127, (n >> 16) as u8 + 1, (n >> 8) as u8, n as u8], 6379));
    (0..endpoints)
        .map(|n| endpoint_entry(n, address(n), "SERVING"))
        .collect()
}

/// The most memory that a process has held, in MB.
fn peak_mb(process: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|l| l.starts_with("VmHWM:")).unwrap();
    line.split_whitespace()
        .nth(1)
        .unwrap()
        .parse::<usize>()
        .unwrap()
        >> 10
}

#[test]
fn a_process_that_starts_with_54000_endpoints_is_ready_within_10_s_and_takes_the_whole_list_in() {
    const ENDPOINTS: usize = 54_000;
    const MEMORY_MB: usize = 192;
    let (counter, discovery) = (Peer::new(), Peer::new());
    let whole = endpoint_list(42, true, &many_targets(ENDPOINTS));
    discovery_answers(
        discovery.blocking_listener(),
        Duration::ZERO,
        format!("{WATCH_HEAD}{}", chunk(&whole)),
    );
    let text = config(&counter, &discovery, &[], 1024);
    let known = format!("\"targets\":[{}]", many_targets(ENDPOINTS).join(","));
    let text = text.replace("\"targets\":[]", &known);
    let begun = Instant::now();
    let mut running = IngressProcess::start_with(
        "54000",
        &text,
        Command::new(env!("CARGO_BIN_EXE_roseyard-ingress")),
    );
    until_ready(&running);
    let ready = begun.elapsed();
    loop {
        let line = line_with(&mut running.log, "");
        assert!(
            !line.contains("invalid chunk size"),
            "the list is refused: {line}"
        );
        if line.contains("endpoint list applied revision=42 ready=54000") {
            break;
        }
    }
    let (held, peak) = (begun.elapsed(), peak_mb(running.child.id()));
    println!(
        "{ENDPOINTS} servers: ready after {ready:?}, list held after {held:?}, peak {peak} MB"
    );
    assert!(ready <= READY, "ready after {ready:?}");
    assert!(peak < MEMORY_MB, "{peak} MB of {MEMORY_MB}");
}
