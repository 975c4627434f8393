//! Named cases: what the operators fear, each caused by its own steps.

use roseyard_admission::*;
use std::net::IpAddr;
use std::time::Duration;

const START: Duration = Duration::from_secs(86_400);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

struct World {
    controller: AdmissionController,
    now: Duration,
    next: u64,
}

impl World {
    fn new(policy: AdmissionPolicy) -> World {
        World {
            controller: AdmissionController::new(policy, 3, START),
            now: START,
            next: 0,
        }
    }

    fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.controller.handle(self.now, event, &mut out);
        out
    }

    fn connect(&mut self, peer: &str) -> (ConnectionId, Vec<Action>) {
        let conn = ConnectionId(self.next);
        self.next += 1;
        (
            conn,
            self.tell(Event::Connected {
                conn,
                peer: peer.parse::<IpAddr>().unwrap(),
            }),
        )
    }

    /// Asks and is served so many times.
    fn serve(&mut self, conn: ConnectionId, times: usize) {
        for _ in 0..times {
            assert_eq!(self.tell(Event::RequestReceived { conn, customer: 9 }), []);
            self.tell(Event::Answered { conn, served: true });
            self.tell(Event::BecameIdle(conn));
        }
    }
}

fn turned_away(actions: &[Action]) -> Option<RejectionReason> {
    actions.iter().find_map(|a| {
        if let Action::RejectConnection { why, .. } = a {
            Some(*why)
        } else {
            None
        }
    })
}

#[test]
fn a_known_client_is_served_at_once_though_the_reserve_is_lent_out_and_all_newcomers_ask() {
    let policy = AdmissionPolicy {
        by_address: true,
        reserve: 2,
        max_idle_after_one_request: 10,
        max_idle_without_request: 10,
        ..AdmissionPolicy::of(10)
    };
    let mut world = World::new(policy);
    let (known, _) = world.connect("192.0.2.1");
    world.serve(known, 3);
    world.tell(Event::Closed {
        conn: known,
        fault: false,
    });
    let mut refused = 0;
    for n in 0..10 {
        let (conn, actions) = world.connect(&format!("198.51.100.{n}"));
        assert_eq!(actions, [], "the reserve is lent");
        refused += world
            .tell(Event::RequestReceived { conn, customer: n })
            .len();
    }
    assert_eq!(
        refused, 2,
        "two of the ten may connect but not have requests open"
    );
    let (again, actions) = world.connect("192.0.2.1");
    assert!(
        matches!(
            actions[..],
            [Action::Close {
                why: RejectionReason::Displaced,
                ..
            }]
        ),
        "{actions:?}"
    );
    assert_eq!(
        world.tell(Event::RequestReceived {
            conn: again,
            customer: 9
        }),
        []
    );
    world.now += ms(10);
    let (_, actions) = world.connect("198.51.100.77");
    assert!(
        matches!(actions[..], [Action::Close { .. }]),
        "{actions:?}: the other lent place goes on to a newcomer"
    );
    // Now the other known clients' places are all that is left, and none of them is closed.
    let (conn, _) = world.connect("192.0.2.1");
    assert_eq!(world.tell(Event::RequestReceived { conn, customer: 9 }), []);
    let (_, actions) = world.connect("198.51.100.78");
    assert_eq!(
        turned_away(&actions),
        Some(RejectionReason::AtCapacity),
        "{actions:?}"
    );
}

#[test]
fn a_known_client_finds_a_place_after_a_restart_with_a_snapshot_while_newcomers_hold_all() {
    let policy = AdmissionPolicy {
        by_address: true,
        max_idle_without_request: 8,
        max_idle_after_one_request: 8,
        ..AdmissionPolicy::of(8)
    };
    let mut before = World::new(policy.clone());
    let (conn, _) = before.connect("2001:db8::5");
    before.serve(conn, 8);
    let bytes = before.controller.snapshot(100, before.now).encode(0);
    let (snapshot, _) = Snapshot::decode(&bytes).unwrap();
    for (age, known) in [
        (Duration::ZERO, true),
        (Duration::from_secs(3600), true),
        (Duration::from_secs(36_000), false),
    ] {
        let mut world = World::new(policy.clone());
        world.controller.restore(&snapshot, age, START);
        for n in 0..8 {
            let (conn, _) = world.connect(&format!("198.51.100.{n}"));
            world.tell(Event::CommandHandled(conn));
            world.tell(Event::BecameIdle(conn));
        }
        // At the same moment, with no time to rest for anybody.
        let (conn, actions) = world.connect("2001:db8::5:1");
        assert!(matches!(
            actions[..],
            [Action::Close {
                why: RejectionReason::Displaced,
                ..
            }]
        ));
        world.tell(Event::CommandHandled(conn));
        let standing = world.controller.reputation(conn, START);
        assert_eq!(
            standing == Some(Reputation::Known),
            known,
            "{age:?}: {standing:?}"
        );
    }
}

#[test]
fn without_a_snapshot_one_that_comes_again_is_known_by_one_served_request_during_the_warm_up() {
    let mut world = World::new(AdmissionPolicy {
        max_idle_without_request: 4,
        max_idle_after_one_request: 4,
        ..AdmissionPolicy::of(4)
    });
    let again = |world: &mut World| {
        let (conn, _) = world.connect("127.0.0.1");
        world.serve(conn, 1);
        assert_eq!(
            world.controller.reputation(conn, world.now),
            Some(Reputation::Once),
            "one that stays is not known by that"
        );
        world.tell(Event::RequestReceived { conn, customer: 9 });
        world.tell(Event::Answered {
            conn,
            served: false,
        });
        world.tell(Event::BecameIdle(conn));
        conn
    };
    let usual = again(&mut world);
    assert_eq!(
        world.controller.reputation(usual, world.now),
        Some(Reputation::Known)
    );
    for _ in 0..40 {
        world.now += ms(12);
        let (conn, _) = world.connect("127.0.0.1");
        world.tell(Event::CommandHandled(conn));
        world.tell(Event::BecameIdle(conn));
    }
    assert_eq!(
        world.controller.reputation(usual, world.now),
        Some(Reputation::Known),
        "it was not closed for any"
    );
    world.now += Duration::from_secs(20);
    let late = again(&mut world);
    assert_eq!(
        world.controller.reputation(late, world.now),
        Some(Reputation::Newcomer),
        "later it takes two"
    );
}

#[test]
fn caps_hold_for_a_client_and_its_neighbourhood_however_the_address_is_written() {
    let policy = AdmissionPolicy {
        by_address: true,
        per_client: Some(2),
        per_neighbourhood: Some(5),
        ..AdmissionPolicy::of(100)
    };
    let mut world = World::new(policy);
    let why = |world: &mut World, peer: &str| turned_away(&world.connect(peer).1);
    assert_eq!(why(&mut world, "192.0.2.1"), None);
    let (second, _) = world.connect("::ffff:192.0.2.1");
    assert_eq!(
        why(&mut world, "192.0.2.1"),
        Some(RejectionReason::ClientCap)
    );
    assert_eq!(
        why(&mut world, "::ffff:192.0.2.1"),
        Some(RejectionReason::ClientCap)
    );
    world.tell(Event::Closed {
        conn: second,
        fault: false,
    });
    assert_eq!(why(&mut world, "192.0.2.1"), None);
    for n in 2..5 {
        assert_eq!(why(&mut world, &format!("192.0.2.{n}")), None);
    }
    assert_eq!(
        why(&mut world, "192.0.2.9"),
        Some(RejectionReason::NeighbourhoodCap)
    );
    assert_eq!(why(&mut world, "192.0.3.9"), None);
}

#[test]
fn one_that_hammers_is_told_when_to_come_and_becomes_suspect() {
    let rate = Some(Rate {
        per_second: 2.0,
        burst: 4.0,
    });
    let mut world = World::new(AdmissionPolicy {
        by_address: true,
        rate_client: rate,
        suspect_after: 5.0,
        ..AdmissionPolicy::of(100)
    });
    let mut taken = Vec::new();
    for _ in 0..60 {
        let (conn, actions) = world.connect("192.0.2.1");
        match actions[..] {
            [] => taken.push(conn),
            [Action::RejectConnection {
                after,
                why: RejectionReason::ClientRate,
                ..
            }] => assert!(after >= ms(500)),
            _ => panic!("{actions:?}"),
        }
    }
    assert_eq!(taken.len(), 4);
    assert_eq!(
        world.controller.reputation(taken[0], world.now),
        Some(Reputation::Suspect)
    );
    assert!(
        turned_away(&world.connect("192.0.2.2").1).is_none(),
        "its neighbour is not"
    );
    world.now += Duration::from_secs(60);
    assert_eq!(
        world.controller.reputation(taken[0], world.now),
        Some(Reputation::Silent),
        "and it fades"
    );
}

#[test]
fn newcomers_ask_at_their_pace_and_known_clients_at_any() {
    let new_client_request_rate = Some(Rate {
        per_second: 10.0,
        burst: 4.0,
    });
    let mut world = World::new(AdmissionPolicy {
        by_address: true,
        new_client_request_rate,
        known_after: 2.0,
        ..AdmissionPolicy::of(100)
    });
    let (known, _) = world.connect("192.0.2.1");
    world.serve(known, 3);
    world.tell(Event::Closed {
        conn: known,
        fault: false,
    });
    let refused = |world: &mut World, peer: &str| {
        let (conn, _) = world.connect(peer);
        let actions = world.tell(Event::RequestReceived { conn, customer: 1 });
        world.tell(Event::BecameIdle(conn));
        actions.contains(&Action::RejectRequest { after: ms(500) })
    };
    world.now += ms(1000);
    let of = (0..20)
        .filter(|n| refused(&mut world, &format!("198.51.100.{n}")))
        .count();
    assert_eq!(of, 16, "a burst of four passes");
    assert!(!(0..20).any(|_| refused(&mut world, "192.0.2.1")));
}

#[test]
fn a_cap_lowered_below_what_is_open_closes_what_rests_now_and_what_is_busy_when_it_rests() {
    let policy = AdmissionPolicy {
        by_address: true,
        ..AdmissionPolicy::of(10)
    };
    let mut world = World::new(policy.clone());
    let conns: Vec<ConnectionId> = (0..5).map(|_| world.connect("192.0.2.1").0).collect();
    for conn in &conns[3..] {
        world.tell(Event::RequestReceived {
            conn: *conn,
            customer: 1,
        });
    }
    let mut out = Vec::new();
    world.controller.set_policy(
        AdmissionPolicy {
            per_client: Some(1),
            ..policy.clone()
        },
        world.now,
        &mut out,
    );
    let closed = |n: usize| Action::Close {
        conn: conns[n],
        why: RejectionReason::ClientCap,
    };
    assert_eq!(out, [closed(0), closed(1), closed(2)]);
    assert_eq!(world.tell(Event::BecameIdle(conns[3])), [closed(3)]);
    assert_eq!(world.tell(Event::BecameIdle(conns[4])), []);
    // Places below what is held: the busy one stays until it rests.
    let conn = world.connect("192.0.2.2").0;
    world.tell(Event::RequestReceived { conn, customer: 1 });
    world.tell(Event::RequestReceived {
        conn: conns[4],
        customer: 1,
    });
    world.controller.set_policy(
        AdmissionPolicy {
            capacity: 1,
            reserve: 0,
            ..policy
        },
        world.now,
        &mut out,
    );
    assert_eq!(world.controller.held(), 2);
    assert_eq!(
        world.tell(Event::BecameIdle(conn)),
        [Action::Close {
            conn,
            why: RejectionReason::Displaced
        }]
    );
}

#[test]
fn a_customer_s_name_lends_standing_to_so_many_and_a_pretender_gains_no_more() {
    let policy = AdmissionPolicy {
        customer_trusted_connections: 2,
        max_idle_without_request: 50,
        max_idle_after_one_request: 50,
        warm_up: ms(0),
        ..AdmissionPolicy::of(50)
    };
    let mut world = World::new(policy);
    let (usual, _) = world.connect("127.0.0.1");
    world.serve(usual, 4);
    world.tell(Event::Closed {
        conn: usual,
        fault: false,
    });
    let standings: Vec<_> = (0..20)
        .map(|_| {
            let (conn, _) = world.connect("127.0.0.1");
            world.tell(Event::RequestReceived { conn, customer: 9 });
            world.tell(Event::Answered {
                conn,
                served: false,
            });
            world.tell(Event::BecameIdle(conn));
            world.controller.reputation(conn, world.now).unwrap()
        })
        .collect();
    assert_eq!(
        standings
            .iter()
            .filter(|s| **s == Reputation::Newcomer)
            .count(),
        2
    );
    assert_eq!(
        standings.iter().filter(|s| **s == Reputation::Once).count(),
        18
    );
}

#[test]
fn a_full_house_of_silent_ones_waits_a_breath_and_listed_addresses_pass_them() {
    let listed = AddressList::new(["10.0.0.0/8".parse().unwrap()]);
    let mut world = World::new(AdmissionPolicy {
        listed,
        max_idle_without_request: 4,
        ..AdmissionPolicy::of(4)
    });
    for _ in 0..4 {
        world.connect("127.0.0.1");
    }
    assert_eq!(
        world.controller.pause(world.now),
        Some(START + ms(10)),
        "none has had time to speak"
    );
    let (_, actions) = world.connect("127.0.0.1");
    assert_eq!(turned_away(&actions), Some(RejectionReason::AtCapacity));
    let (own, actions) = world.connect("10.1.2.3");
    assert_eq!(
        actions,
        [Action::Close {
            conn: ConnectionId(0),
            why: RejectionReason::Displaced
        }]
    );
    assert_eq!(
        world.controller.reputation(own, world.now),
        Some(Reputation::AddressList)
    );
    world.now += ms(10);
    assert_eq!(world.controller.pause(world.now), None);
    assert!(matches!(
        world.connect("127.0.0.1").1[..],
        [Action::Close { .. }]
    ));
    assert_eq!(
        world.tell(Event::DescriptorsExhausted),
        [Action::Close {
            conn: ConnectionId(2),
            why: RejectionReason::Displaced
        }]
    );
}
