//! Named cases of the controller, one for each situation that operators meet.

use roseyard_admission::*;
use std::net::IpAddr;
use std::time::Duration;

const START: Duration = Duration::from_secs(86_400);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

struct Harness {
    controller: AdmissionController,
    now: Duration,
    next: u64,
}

impl Harness {
    fn new(policy: AdmissionPolicy) -> Harness {
        Harness {
            controller: AdmissionController::new(policy, 3, START),
            now: START,
            next: 0,
        }
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.controller.handle(self.now, event, &mut out);
        out
    }

    fn connect(&mut self, peer_address: &str) -> (ConnectionId, Vec<Action>) {
        let connection = ConnectionId(self.next);
        self.next += 1;
        (
            connection,
            self.handle(Event::Connected {
                connection,
                peer_address: peer_address.parse::<IpAddr>().unwrap(),
            }),
        )
    }

    fn request(&mut self, connection: ConnectionId, customer: u64) -> Vec<Action> {
        self.handle(Event::RequestReceived {
            connection,
            customer,
        })
    }

    /// Sends so many requests, each of which is served.
    fn serve(&mut self, connection: ConnectionId, times: usize) {
        for _ in 0..times {
            assert_eq!(self.request(connection, 9), []);
            self.handle(Event::RequestAnswered {
                connection,
                served: true,
            });
            self.handle(Event::BecameIdle(connection));
        }
    }
}

fn rejection_reason(actions: &[Action]) -> Option<RejectionReason> {
    actions.iter().find_map(|a| {
        if let Action::RejectConnection { reason, .. } = a {
            Some(*reason)
        } else {
            None
        }
    })
}

#[test]
fn a_known_client_is_served_at_once_while_new_clients_hold_the_reserve_and_send_requests() {
    let policy = AdmissionPolicy {
        identify_clients_by_address: true,
        reserve: 2,
        max_idle_after_one_command: 10,
        max_idle_without_command: 10,
        ..AdmissionPolicy::with_capacity(10)
    };
    let mut harness = Harness::new(policy);
    let (known, _) = harness.connect("192.0.2.1");
    harness.serve(known, 3);
    harness.handle(Event::Closed {
        connection: known,
        client_fault: false,
    });
    let mut rejected = 0;
    for n in 0..10 {
        let (connection, actions) = harness.connect(&format!("198.51.100.{n}"));
        assert_eq!(actions, [], "the reserve is available to new clients");
        rejected += harness.request(connection, n).len();
    }
    assert_eq!(
        rejected, 2,
        "two of the ten may connect but not have requests open"
    );
    let (returning, actions) = harness.connect("192.0.2.1");
    assert!(
        matches!(
            actions[..],
            [Action::Close {
                reason: RejectionReason::Evicted,
                ..
            }]
        ),
        "{actions:?}"
    );
    assert_eq!(harness.request(returning, 9), []);
    harness.now += ms(10);
    let (_, actions) = harness.connect("198.51.100.77");
    assert!(
        matches!(actions[..], [Action::Close { .. }]),
        "{actions:?}: the rest of the reserve goes to a new client"
    );
    // Only busy and known clients' connections are left, and none of them is evicted.
    let (connection, _) = harness.connect("192.0.2.1");
    assert_eq!(harness.request(connection, 9), []);
    let (_, actions) = harness.connect("198.51.100.78");
    assert_eq!(
        rejection_reason(&actions),
        Some(RejectionReason::AtCapacity),
        "{actions:?}"
    );
}

#[test]
fn a_known_client_is_accepted_after_a_restart_with_a_snapshot_while_new_clients_hold_all_capacity()
{
    let policy = AdmissionPolicy {
        identify_clients_by_address: true,
        max_idle_without_command: 8,
        max_idle_after_one_command: 8,
        ..AdmissionPolicy::with_capacity(8)
    };
    let mut before = Harness::new(policy.clone());
    let (connection, _) = before.connect("2001:db8::5");
    before.serve(connection, 8);
    let bytes = before.controller.snapshot(100, before.now).encode(0);
    let snapshot = Snapshot::decode(&bytes).unwrap().snapshot;
    for (age, known) in [
        (Duration::ZERO, true),
        (Duration::from_secs(3600), true),
        (Duration::from_secs(36_000), false),
    ] {
        let mut harness = Harness::new(policy.clone());
        harness.controller.restore(&snapshot, age, START);
        for n in 0..8 {
            let (connection, _) = harness.connect(&format!("198.51.100.{n}"));
            harness.handle(Event::CommandHandled(connection));
            harness.handle(Event::BecameIdle(connection));
        }
        // At the same moment: no connection has been idle for any time.
        let (connection, actions) = harness.connect("2001:db8::5:1");
        assert!(matches!(
            actions[..],
            [Action::Close {
                reason: RejectionReason::Evicted,
                ..
            }]
        ));
        harness.handle(Event::CommandHandled(connection));
        let reputation = harness.controller.reputation(connection, START);
        assert_eq!(
            reputation == Some(Reputation::Known),
            known,
            "{age:?}: {reputation:?}"
        );
    }
}

#[test]
fn without_a_snapshot_one_served_request_makes_a_connection_of_several_requests_known_in_warm_up() {
    let mut harness = Harness::new(AdmissionPolicy {
        max_idle_without_command: 4,
        max_idle_after_one_command: 4,
        ..AdmissionPolicy::with_capacity(4)
    });
    let serve_once_and_fail_once = |harness: &mut Harness| {
        let (connection, _) = harness.connect("127.0.0.1");
        harness.serve(connection, 1);
        assert_eq!(
            harness.controller.reputation(connection, harness.now),
            Some(Reputation::OneCommand),
            "one command on a connection is not enough"
        );
        harness.request(connection, 9);
        harness.handle(Event::RequestAnswered {
            connection,
            served: false,
        });
        harness.handle(Event::BecameIdle(connection));
        connection
    };
    let regular = serve_once_and_fail_once(&mut harness);
    assert_eq!(
        harness.controller.reputation(regular, harness.now),
        Some(Reputation::Known)
    );
    for _ in 0..40 {
        harness.now += ms(12);
        let (connection, _) = harness.connect("127.0.0.1");
        harness.handle(Event::CommandHandled(connection));
        harness.handle(Event::BecameIdle(connection));
    }
    assert_eq!(
        harness.controller.reputation(regular, harness.now),
        Some(Reputation::Known),
        "none was accepted at its cost"
    );
    harness.now += Duration::from_secs(20);
    let late = serve_once_and_fail_once(&mut harness);
    assert_eq!(
        harness.controller.reputation(late, harness.now),
        Some(Reputation::New),
        "after the warm-up two are needed"
    );
}

#[test]
fn caps_hold_for_a_client_and_its_network_in_each_form_of_the_address() {
    let policy = AdmissionPolicy {
        identify_clients_by_address: true,
        max_per_client: Some(2),
        max_per_network: Some(5),
        ..AdmissionPolicy::with_capacity(100)
    };
    let mut harness = Harness::new(policy);
    let reason = |harness: &mut Harness, peer_address: &str| {
        rejection_reason(&harness.connect(peer_address).1)
    };
    assert_eq!(reason(&mut harness, "192.0.2.1"), None);
    let (second, _) = harness.connect("::ffff:192.0.2.1");
    assert_eq!(
        reason(&mut harness, "192.0.2.1"),
        Some(RejectionReason::ClientCap)
    );
    assert_eq!(
        reason(&mut harness, "::ffff:192.0.2.1"),
        Some(RejectionReason::ClientCap)
    );
    harness.handle(Event::Closed {
        connection: second,
        client_fault: false,
    });
    assert_eq!(reason(&mut harness, "192.0.2.1"), None);
    for n in 2..5 {
        assert_eq!(reason(&mut harness, &format!("192.0.2.{n}")), None);
    }
    assert_eq!(
        reason(&mut harness, "192.0.2.9"),
        Some(RejectionReason::NetworkCap)
    );
    assert_eq!(reason(&mut harness, "192.0.3.9"), None);
}

#[test]
fn a_client_beyond_its_connect_rate_gets_a_retry_time_and_becomes_suspect() {
    let rate = Some(Rate {
        per_second: 2.0,
        burst: 4.0,
    });
    let mut harness = Harness::new(AdmissionPolicy {
        identify_clients_by_address: true,
        client_connect_rate: rate,
        suspect_after_faults: 5.0,
        ..AdmissionPolicy::with_capacity(100)
    });
    let mut taken = Vec::new();
    for _ in 0..60 {
        let (connection, actions) = harness.connect("192.0.2.1");
        match actions[..] {
            [] => taken.push(connection),
            [Action::RejectConnection {
                retry_after,
                reason: RejectionReason::ClientRate,
                ..
            }] => assert!(retry_after >= ms(500)),
            _ => panic!("{actions:?}"),
        }
    }
    assert_eq!(taken.len(), 4);
    assert_eq!(
        harness.controller.reputation(taken[0], harness.now),
        Some(Reputation::Suspect)
    );
    assert!(
        rejection_reason(&harness.connect("192.0.2.2").1).is_none(),
        "another client of its network is not"
    );
    harness.now += Duration::from_secs(60);
    assert_eq!(
        harness.controller.reputation(taken[0], harness.now),
        Some(Reputation::NoCommand),
        "and its faults decay"
    );
}

#[test]
fn requests_of_new_clients_are_rate_limited_and_those_of_known_clients_are_not() {
    let new_client_request_rate = Some(Rate {
        per_second: 10.0,
        burst: 4.0,
    });
    let mut harness = Harness::new(AdmissionPolicy {
        identify_clients_by_address: true,
        new_client_request_rate,
        known_after_served_requests: 2.0,
        ..AdmissionPolicy::with_capacity(100)
    });
    let (known, _) = harness.connect("192.0.2.1");
    harness.serve(known, 3);
    harness.handle(Event::Closed {
        connection: known,
        client_fault: false,
    });
    let is_rejected = |harness: &mut Harness, peer_address: &str| {
        let (connection, _) = harness.connect(peer_address);
        let actions = harness.request(connection, 1);
        harness.handle(Event::BecameIdle(connection));
        actions.contains(&Action::RejectRequest {
            retry_after: ms(500),
        })
    };
    harness.now += ms(1000);
    let of = (0..20)
        .filter(|n| is_rejected(&mut harness, &format!("198.51.100.{n}")))
        .count();
    assert_eq!(of, 16, "a burst of four passes");
    assert!(!(0..20).any(|_| is_rejected(&mut harness, "192.0.2.1")));
}

#[test]
fn a_cap_lowered_below_what_is_open_closes_idle_connections_now_and_busy_ones_once_they_are_idle() {
    let policy = AdmissionPolicy {
        identify_clients_by_address: true,
        ..AdmissionPolicy::with_capacity(10)
    };
    let mut harness = Harness::new(policy.clone());
    let connections: Vec<ConnectionId> = (0..5).map(|_| harness.connect("192.0.2.1").0).collect();
    for connection in &connections[3..] {
        harness.request(*connection, 1);
    }
    let mut out = Vec::new();
    harness.controller.set_policy(
        AdmissionPolicy {
            max_per_client: Some(1),
            ..policy.clone()
        },
        harness.now,
        &mut out,
    );
    let closed = |n: usize| Action::Close {
        connection: connections[n],
        reason: RejectionReason::ClientCap,
    };
    assert_eq!(out, [closed(0), closed(1), closed(2)]);
    assert_eq!(
        harness.handle(Event::BecameIdle(connections[3])),
        [closed(3)]
    );
    assert_eq!(harness.handle(Event::BecameIdle(connections[4])), []);
    // A capacity below what is open: the busy connection stays until it is idle.
    let connection = harness.connect("192.0.2.2").0;
    harness.request(connection, 1);
    harness.request(connections[4], 1);
    harness.controller.set_policy(
        AdmissionPolicy {
            capacity: 1,
            reserve: 0,
            ..policy
        },
        harness.now,
        &mut out,
    );
    assert_eq!(harness.controller.open_connections(), 2);
    assert_eq!(
        harness.handle(Event::BecameIdle(connection)),
        [Action::Close {
            connection,
            reason: RejectionReason::Evicted
        }]
    );
}

#[test]
fn a_known_customer_s_name_lifts_the_reputation_of_no_more_connections_than_the_limit() {
    let policy = AdmissionPolicy {
        max_trusted_connections_per_customer: 2,
        max_idle_without_command: 50,
        max_idle_after_one_command: 50,
        warm_up_period: ms(0),
        ..AdmissionPolicy::with_capacity(50)
    };
    let mut harness = Harness::new(policy);
    let (regular, _) = harness.connect("127.0.0.1");
    harness.serve(regular, 4);
    harness.handle(Event::Closed {
        connection: regular,
        client_fault: false,
    });
    let reputations: Vec<_> = (0..20)
        .map(|_| {
            let (connection, _) = harness.connect("127.0.0.1");
            harness.request(connection, 9);
            harness.handle(Event::RequestAnswered {
                connection,
                served: false,
            });
            harness.handle(Event::BecameIdle(connection));
            harness
                .controller
                .reputation(connection, harness.now)
                .unwrap()
        })
        .collect();
    assert_eq!(
        reputations
            .iter()
            .filter(|s| **s == Reputation::New)
            .count(),
        2
    );
    assert_eq!(
        reputations
            .iter()
            .filter(|s| **s == Reputation::OneCommand)
            .count(),
        18
    );
}

#[test]
fn at_capacity_without_commands_accepting_pauses_for_the_grace_but_not_for_allowlisted_addresses() {
    let allowlist = AddressList::new(["10.0.0.0/8".parse().unwrap()]);
    let mut harness = Harness::new(AdmissionPolicy {
        allowlist,
        max_idle_without_command: 4,
        ..AdmissionPolicy::with_capacity(4)
    });
    for _ in 0..4 {
        harness.connect("127.0.0.1");
    }
    assert_eq!(
        harness.controller.accept_paused_until(harness.now),
        Some(START + ms(10)),
        "no connection is past its grace"
    );
    let (_, actions) = harness.connect("127.0.0.1");
    assert_eq!(
        rejection_reason(&actions),
        Some(RejectionReason::AtCapacity)
    );
    let (own, actions) = harness.connect("10.1.2.3");
    assert_eq!(
        actions,
        [Action::Close {
            connection: ConnectionId(0),
            reason: RejectionReason::Evicted
        }]
    );
    assert_eq!(
        harness.controller.reputation(own, harness.now),
        Some(Reputation::Allowlisted)
    );
    harness.now += ms(10);
    assert_eq!(harness.controller.accept_paused_until(harness.now), None);
    assert!(matches!(
        harness.connect("127.0.0.1").1[..],
        [Action::Close { .. }]
    ));
    assert_eq!(
        harness.handle(Event::DescriptorsExhausted),
        [Action::Close {
            connection: ConnectionId(2),
            reason: RejectionReason::Evicted
        }]
    );
}
