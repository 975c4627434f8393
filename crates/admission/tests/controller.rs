//! The behaviour of the controller in single situations, such as a flood of new clients or a
//! restart.

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
    next_id: u64,
}

impl Harness {
    fn new(policy: AdmissionPolicy) -> Harness {
        Harness {
            controller: AdmissionController::new(policy, 3, START),
            now: START,
            next_id: 0,
        }
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.controller.handle(self.now, event, &mut out);
        out
    }

    fn connect(&mut self, peer_address: &str) -> (ConnectionId, Vec<Action>) {
        let connection = ConnectionId(self.next_id);
        self.next_id += 1;
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

    /// Sends requests one after another, each of which is admitted and served.
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
fn a_known_client_is_served_at_once_while_new_clients_fill_the_capacity_and_the_reserve() {
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
        assert_eq!(actions, [], "a new client may connect on the reserve");
        rejected += harness.request(connection, n).len();
    }
    assert_eq!(
        rejected, 2,
        "two of the ten connections are on the reserve and may not have open requests"
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
        "{actions:?}: a new client should evict the other idle connection on the reserve"
    );
    // Only connections that are busy or belong to known clients are left, and none is evicted.
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
fn a_restored_client_is_known_after_a_restart_while_new_clients_fill_the_capacity() {
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
        // The clock has not advanced, so no connection has been idle for any time.
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
fn during_warm_up_one_served_request_makes_a_connection_with_several_commands_known() {
    let mut harness = Harness::new(AdmissionPolicy {
        max_idle_without_command: 4,
        max_idle_after_one_command: 4,
        ..AdmissionPolicy::with_capacity(4)
    });
    let serve_one_of_two_requests = |harness: &mut Harness| {
        let (connection, _) = harness.connect("127.0.0.1");
        harness.serve(connection, 1);
        assert_eq!(
            harness.controller.reputation(connection, harness.now),
            Some(Reputation::OneCommand),
            "one command does not make the connection known"
        );
        harness.request(connection, 9);
        harness.handle(Event::RequestAnswered {
            connection,
            served: false,
        });
        harness.handle(Event::BecameIdle(connection));
        connection
    };
    let served_connection = serve_one_of_two_requests(&mut harness);
    assert_eq!(
        harness
            .controller
            .reputation(served_connection, harness.now),
        Some(Reputation::Known)
    );
    for _ in 0..40 {
        harness.now += ms(12);
        let (connection, _) = harness.connect("127.0.0.1");
        harness.handle(Event::CommandHandled(connection));
        harness.handle(Event::BecameIdle(connection));
    }
    assert_eq!(
        harness
            .controller
            .reputation(served_connection, harness.now),
        Some(Reputation::Known),
        "the known connection is not evicted for new ones"
    );
    harness.now += Duration::from_secs(20);
    let late_connection = serve_one_of_two_requests(&mut harness);
    assert_eq!(
        harness.controller.reputation(late_connection, harness.now),
        Some(Reputation::New),
        "two served requests are required after the warm-up period"
    );
}

#[test]
fn connection_caps_apply_to_a_client_and_its_network_in_both_forms_of_an_address() {
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
fn a_client_that_exceeds_its_connect_rate_gets_a_retry_time_and_becomes_suspect() {
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
    let mut accepted = Vec::new();
    for _ in 0..60 {
        let (connection, actions) = harness.connect("192.0.2.1");
        match actions[..] {
            [] => accepted.push(connection),
            [Action::RejectConnection {
                retry_after,
                reason: RejectionReason::ClientRate,
                ..
            }] => assert!(retry_after >= ms(500)),
            _ => panic!("{actions:?}"),
        }
    }
    assert_eq!(accepted.len(), 4);
    assert_eq!(
        harness.controller.reputation(accepted[0], harness.now),
        Some(Reputation::Suspect)
    );
    assert!(
        rejection_reason(&harness.connect("192.0.2.2").1).is_none(),
        "another client of the network is not rejected"
    );
    harness.now += Duration::from_secs(60);
    assert_eq!(
        harness.controller.reputation(accepted[0], harness.now),
        Some(Reputation::NoCommand),
        "the faults of the address have decayed"
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
    let rejected_count = (0..20)
        .filter(|n| is_rejected(&mut harness, &format!("198.51.100.{n}")))
        .count();
    assert_eq!(rejected_count, 16, "a burst of four is admitted");
    assert!(!(0..20).any(|_| is_rejected(&mut harness, "192.0.2.1")));
}

#[test]
fn a_lowered_cap_closes_idle_connections_at_once_and_busy_ones_when_they_become_idle() {
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
    // If the capacity is lowered below the number of open connections, a busy connection stays open
    // until it is idle.
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
fn a_known_customer_makes_no_more_connections_trusted_than_the_policy_allows() {
    let policy = AdmissionPolicy {
        max_trusted_connections_per_customer: 2,
        max_idle_without_command: 50,
        max_idle_after_one_command: 50,
        warm_up_period: ms(0),
        ..AdmissionPolicy::with_capacity(50)
    };
    let mut harness = Harness::new(policy);
    let (served_connection, _) = harness.connect("127.0.0.1");
    harness.serve(served_connection, 4);
    harness.handle(Event::Closed {
        connection: served_connection,
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
fn accepting_pauses_during_the_first_command_grace_period_but_allowlisted_addresses_connect() {
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
        "all connections are in their grace periods"
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
