//! Property tests: random sequences of steps are compared with models, and parsers are given random
//! input. The model of a client's connection is its replies in order; that of a connection to an
//! endpoint is one attempt at a time.

mod common;

use common::*;
use proptest::prelude::*;
use roseyard_ingress::protocol::command::{self, RequestCommand};
use roseyard_ingress::protocol::{http, list, report, resp};
use roseyard_ingress::transport::{Deadlines, Key, Slots};
use std::collections::BTreeMap;
use std::time::Duration;

/// A step of the client or of an endpoint.
#[derive(Clone, Debug)]
enum Step {
    /// The client writes up to this number of its remaining bytes.
    Write(usize),
    /// An endpoint serves the open attempt with this index.
    Serve(usize),
    /// An endpoint replies to the attempt with an error.
    Fail(usize),
    /// An endpoint closes the connection of the attempt.
    Close(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1usize..90).prop_map(Step::Write),
        3 => (0usize..4).prop_map(Step::Serve),
        1 => (0usize..4).prop_map(Step::Fail),
        1 => (0usize..4).prop_map(Step::Close),
    ]
}

/// Returns the replies that the client can read so far. Replies keep the order of the commands, so
/// that a request without a reply holds back the replies to later commands.
fn expected_replies(model: &[Option<String>]) -> String {
    model.iter().map_while(Clone::clone).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// The requests have idempotency keys and each endpoint is a pod group of its own, so that each
    /// request has a single attempt. It ends as this attempt does, and replies keep their order.
    #[test]
    fn a_client_reads_its_replies_in_order_whatever_the_endpoints_do(
        pings in prop::collection::vec(any::<bool>(), 1..7),
        steps in prop::collection::vec(step(), 1..60),
    ) {
        // With four endpoints none of the few requests is rejected for load.
        let mut harness = Harness::new(4);
        let mut client = harness.connect();
        let mut client_bytes = Vec::new();
        let mut ends = Vec::new();
        let mut model = Vec::new();
        for (id, ping) in pings.iter().enumerate() {
            match ping {
                true => client_bytes.extend(b"*1\r\n$4\r\nPING\r\n"),
                false => client_bytes.extend(request("API.WRITE", id as u64, WRITE_FIELDS)),
            }
            ends.push(client_bytes.len());
            model.push(ping.then(|| "+PONG\r\n".to_owned()));
        }
        let mut written = 0usize;
        // The command of each open attempt by endpoint and connection. A connection must have no
        // open attempt when another one arrives on it.
        let mut open_attempts: BTreeMap<(usize, usize), usize> = BTreeMap::new();
        let all = steps.into_iter().chain([Step::Write(usize::MAX)]).chain((0..8).map(|_| Step::Serve(0)));
        for step in all {
            if let Step::Write(n) = step {
                let end = written.saturating_add(n).min(client_bytes.len());
                client.send(&client_bytes[written..end]);
                written = end;
            }
            // Every completely written request reaches an endpoint.
            let complete = ends.iter().zip(&pings).filter(|(end, ping)| **end <= written && !**ping).count();
            while open_attempts.len() + count_replied(&model, &pings) < complete {
                let (endpoint, connection, words) = harness.next_request();
                let id = usize::from_str_radix(&words[2], 16).unwrap();
                prop_assert!(open_attempts.insert((endpoint, connection), id).is_none(), "two attempts on one connection");
            }
            let nth_attempt = |n: usize| open_attempts.iter().nth(n).map(|(location, id)| (*location, *id));
            match step {
                Step::Serve(n) => if let Some(((endpoint, connection), id)) = nth_attempt(n) {
                    harness.endpoints[endpoint].connections[connection].send(served_reply(&id.to_string()));
                    model[id] = Some(format!("$1\r\n{id}\r\n"));
                    open_attempts.remove(&(endpoint, connection));
                },
                Step::Fail(n) => if let Some(((endpoint, connection), id)) = nth_attempt(n) {
                    harness.endpoints[endpoint].connections[connection].send("-ERR failed\r\n");
                    model[id] = Some("-ERR failed\r\n".to_owned());
                    open_attempts.remove(&(endpoint, connection));
                },
                Step::Close(n) => if let Some(((endpoint, connection), id)) = nth_attempt(n) {
                    harness.endpoints[endpoint].connections[connection].close();
                    model[id] = Some("-ERR failed\r\n".to_owned());
                    open_attempts.remove(&(endpoint, connection));
                },
                Step::Write(_) => {}
            }
            let complete = ends.iter().filter(|end| **end <= written).count();
            let text = expected_replies(&model[..complete]);
            harness.run_until("the replies", |_| {
                client.read();
                client.input.len() >= text.len()
            });
            prop_assert_eq!(client.received_text(), text);
        }
        prop_assert!(model.iter().all(Option::is_some));
        prop_assert_eq!(harness.program.open().requests, 0);
    }
}

/// Returns the number of requests of the model that have their reply.
fn count_replied(model: &[Option<String>], pings: &[bool]) -> usize {
    model
        .iter()
        .zip(pings)
        .filter(|(known_reply, ping)| known_reply.is_some() && !**ping)
        .count()
}

/// Parses a complete command into its words.
fn parse_words(bytes: &[u8]) -> Vec<Vec<u8>> {
    let (words, used) = resp::command(bytes, &protocol_limits()).unwrap().unwrap();
    assert_eq!(used, bytes.len());
    words.as_slice().iter().map(|w| w.to_vec()).collect()
}

proptest! {
    #[test]
    fn a_command_is_complete_at_its_last_byte_and_not_before(
        command_words in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 1..8),
    ) {
        let mut bytes = Vec::new();
        resp::put_array(&mut bytes, command_words.len());
        command_words.iter().for_each(|word| resp::put_bulk(&mut bytes, word));
        for end in 0..bytes.len() {
            prop_assert_eq!(resp::command(&bytes[..end], &protocol_limits()), Ok(None));
        }
        prop_assert_eq!(parse_words(&bytes), command_words);
    }

    #[test]
    fn an_endpoint_gets_the_command_of_the_client_except_for_the_deadline(
        before in "([ab]=[0-9a-f]{0,8},){0,3}",
        after in "(,[e-z]x=[0-9a-f]{0,8}){0,3}",
        (deadline_ms, client_deadline_ms) in (1u64..100_000, 0u32..100_000),
        body in prop::option::of(prop::collection::vec(any::<u8>(), 0..40)),
    ) {
        let rest = "c=x,t=y,units=1,spread=1,first=0";
        let list = |d: &str| format!("{before}d={d}{after},{rest}").into_bytes();
        let (customer, id) = (b"00000000b4d65521".to_vec(), b"9b1f03aa5c7e2d41".to_vec());
        let sent = [vec![b"API.WRITE".to_vec(), customer, id, list(&client_deadline_ms.to_string())], Vec::from_iter(body)];
        let mut sent = sent.concat();
        let words: Vec<&[u8]> = sent.iter().map(Vec::as_slice).collect();
        let request = command::decode_request(&words, None).unwrap();
        prop_assert_eq!((request.customer, request.wait_ms), (0xb4d6_5521, f64::from(client_deadline_ms)));
        let mut bytes = Vec::new();
        RequestCommand::new(&words, &request).put(deadline_ms, &mut bytes);
        sent[3] = list(&deadline_ms.to_string());
        prop_assert_eq!(self::parse_words(&bytes), sent);
    }

    #[test]
    fn a_chunk_is_complete_at_its_last_byte_and_not_before(body in prop::collection::vec(any::<u8>(), 0..60)) {
        let mut bytes = format!("{:x}\r\n", body.len()).into_bytes();
        bytes.extend(&body);
        bytes.extend(b"\r\n");
        for end in 0..bytes.len() {
            prop_assert_eq!(http::chunk(&bytes[..end], &protocol_limits()), Ok(None));
        }
        prop_assert_eq!(http::chunk(&bytes, &protocol_limits()), Ok(Some((&body[..], bytes.len()))));
    }

    #[test]
    fn no_input_makes_a_parser_panic_or_consume_more_bytes_than_there_are(
        kind in prop::sample::select(vec![&b""[..], b"*", b"*2\r\n$", b"$3\r\n", b"HTTP/1.1 200 OK\r\n", b"5\r\n"]),
        rest in prop::collection::vec(prop::sample::select(b"*$+-:0123456789abc\r\n \xff={}\"".to_vec()), 0..60),
    ) {
        let input = [kind, &rest].concat();
        let limits = protocol_limits();
        let used = [
            resp::command(&input, &limits).ok().flatten().map(|f| f.1),
            resp::value(&input, &limits).ok().flatten().map(|f| f.1),
            http::reply(&input, false, &limits).ok().flatten().map(|f| f.1),
            http::reply(&input, true, &limits).ok().flatten().map(|f| f.1),
            http::chunk(&input, &limits).ok().flatten().map(|f| f.1),
        ];
        prop_assert!(used.into_iter().flatten().all(|n| n > 0 && n <= input.len()));
        let load = report::parse_load_report(&input);
        prop_assert!(load.is_none_or(|l| l.utilisation.is_none_or(f64::is_finite)));
        prop_assert!(list::decode(&mut input.clone()).is_err(), "none of these is a list");
    }
}

proptest! {
    /// Compares the slots with a model that keeps removed entries: a key finds its own entry or
    /// none, never the entry that has since taken its slot.
    #[test]
    fn a_stale_key_finds_nothing(steps in prop::collection::vec((any::<bool>(), 0usize..40), 1..120)) {
        let mut slots = Slots::default();
        let mut model: Vec<(Key, Option<usize>)> = Vec::new();
        for (n, (insert, index)) in steps.into_iter().enumerate() {
            if insert {
                model.push((slots.insert_with(|_| n), Some(n)));
            } else if let Some((key, value)) = model.get_mut(index) {
                prop_assert_eq!(slots.remove(*key), value.take());
            }
            for (key, value) in &model {
                prop_assert_eq!(slots.get(*key), value.as_ref());
                prop_assert_eq!(Key::unpack(key.pack()), *key);
            }
            prop_assert_eq!(slots.len(), model.iter().filter(|m| m.1.is_some()).count());
        }
    }

    /// Compares the deadlines with a model of one time for each owner: each deadline fires once, in
    /// order, at the time that was set last, and not after it was cleared.
    #[test]
    fn deadlines_fire_in_order_at_the_time_set_last(
        steps in prop::collection::vec((0usize..6, prop::option::of(0u64..50), 0u64..4), 1..100),
    ) {
        let mut deadlines = Deadlines::default();
        let mut owners: [Option<Duration>; 6] = [None; 6];
        let mut model: BTreeMap<usize, Duration> = BTreeMap::new();
        let mut now = 0;
        for (owner, at, elapsed) in steps {
            let at = at.map(Duration::from_millis);
            deadlines.set(&mut owners[owner], at, owner);
            match at {
                Some(at) => model.insert(owner, at),
                None => model.remove(&owner),
            };
            prop_assert_eq!(deadlines.next(), model.values().min().copied());
            now += elapsed;
            while let Some(fired_owner) = deadlines.pop_expired(Duration::from_millis(now)) {
                owners[fired_owner] = None;
                let at = model.remove(&fired_owner).expect("set");
                prop_assert!(at <= Duration::from_millis(now) && model.values().all(|other| *other >= at));
            }
            prop_assert!(model.values().all(|at| *at > Duration::from_millis(now)));
        }
    }
}
