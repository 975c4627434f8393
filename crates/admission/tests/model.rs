//! Random steps against a naive reference: a plain list of connections that is scanned whole for
//! every decision.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use roseyard_admission::*;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

/// Told with every failure by the runner; another seed plays other steps.
const SEED: u64 = 20_261_201;

#[derive(Clone, Copy, Debug)]
enum Step {
    Connect(u8),
    Ask(usize),
    Greet(usize),
    Wrong(usize),
    Answer(usize, bool),
    End(usize),
    Close(usize),
    Shortage,
    Places(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let n = 0usize..64;
    prop_oneof![
        6 => (0u8..6).prop_map(Step::Connect),
        6 => n.clone().prop_map(Step::Ask),
        1 => n.clone().prop_map(Step::Greet),
        1 => n.clone().prop_map(Step::Wrong),
        6 => (n.clone(), any::<bool>()).prop_map(|(n, served)| Step::Answer(n, served)),
        1 => n.clone().prop_map(Step::End),
        1 => n.prop_map(Step::Close),
        1 => Just(Step::Shortage),
        1 => (2usize..14).prop_map(Step::Places),
        6 => (1u64..900).prop_map(Step::Wait),
    ]
}

#[derive(Clone, Debug)]
struct Held {
    conn: ConnectionId,
    address: u8,
    asked: u32,
    served: u32,
    faults: u32,
    ending: bool,
    busy: Option<bool>,
    /// Its standing when it was last lined up, when that was, and the order of line-ups.
    rank: Reputation,
    since: Duration,
    order: u64,
}

/// The reference.
struct Naive {
    policy: AdmissionPolicy,
    held: Vec<Held>,
    served: BTreeMap<u8, u32>,
    faults: BTreeMap<u8, u32>,
    order: u64,
    warm_until: Duration,
}

impl Naive {
    fn known(&self, address: u8) -> bool {
        self.policy.by_address
            && self
                .served
                .get(&address)
                .is_some_and(|n| *n as f32 >= self.policy.known_after)
    }

    fn rank(&self, c: &Held, now: Duration) -> Reputation {
        let suspect = self.policy.by_address
            && self
                .faults
                .get(&c.address)
                .is_some_and(|n| *n as f32 >= self.policy.suspect_after);
        let own = if now < self.warm_until { 1 } else { 2 };
        match () {
            () if c.ending => Reputation::Ending,
            () if c.faults > c.served || c.served == 0 && suspect => Reputation::Suspect,
            () if c.asked == 0 => Reputation::Silent,
            () if c.asked > 1 && c.served >= own || self.known(c.address) => Reputation::Known,
            () if c.asked > 1 => Reputation::Newcomer,
            () => Reputation::Once,
        }
    }

    fn resting(&self) -> Vec<Held> {
        let mut resting: Vec<Held> = self
            .held
            .iter()
            .filter(|c| c.busy.is_none())
            .cloned()
            .collect();
        resting.sort_by_key(|c| (c.rank, c.order));
        resting
    }

    fn victim(&self, for_one: Reputation, now: Duration) -> Option<ConnectionId> {
        let mut seen = Vec::new();
        self.resting()
            .into_iter()
            .find(|c| {
                let first = !seen.contains(&c.rank);
                seen.push(c.rank);
                let rested = now - c.since;
                first
                    && match c.rank {
                        Reputation::Silent => {
                            for_one >= Reputation::Known
                                || rested >= self.policy.first_command_grace
                        }
                        Reputation::Known => {
                            let just_came = self
                                .held
                                .iter()
                                .any(|c| c.busy.is_none() && c.rank == Reputation::Silent);
                            for_one >= Reputation::Known
                                || rested >= self.policy.known_client_grace && !just_came
                        }
                        _ => true,
                    }
            })
            .map(|c| c.conn)
    }

    fn drop(&mut self, conn: ConnectionId, why: RejectionReason, out: &mut Vec<Action>) {
        self.held.retain(|c| c.conn != conn);
        out.push(Action::Close { conn, why });
    }

    fn line_up(&mut self, conn: ConnectionId, now: Duration, out: &mut Vec<Action>) {
        let Some(at) = self.held.iter().position(|c| c.conn == conn) else {
            return;
        };
        let rank = self.rank(&self.held[at], now);
        self.order += 1;
        (self.held[at].rank, self.held[at].order) = (rank, self.order);
        let room = match rank {
            Reputation::Silent => self.policy.max_idle_without_request,
            Reputation::Once => self.policy.max_idle_after_one_request,
            _ => usize::MAX,
        };
        let alike: Vec<Held> = self
            .resting()
            .into_iter()
            .filter(|c| c.rank == rank)
            .collect();
        if alike.len() > room
            && (rank != Reputation::Silent
                || now - alike[0].since >= self.policy.first_command_grace)
        {
            self.drop(alike[0].conn, RejectionReason::IdleCapacity, out);
        }
    }

    fn rest(&mut self, conn: ConnectionId, now: Duration, out: &mut Vec<Action>) {
        let Some(c) = self.held.iter_mut().find(|c| c.conn == conn) else {
            return;
        };
        (c.busy, c.since) = (None, now);
        let address = c.address;
        let open = self.held.iter().filter(|c| c.address == address).count();
        if self
            .policy
            .per_client
            .is_some_and(|cap| self.policy.by_address && open > cap as usize)
        {
            return self.drop(conn, RejectionReason::ClientCap, out);
        }
        self.line_up(conn, now, out);
        if self.held.len() > self.policy.capacity {
            if let Some(first) = self.resting().first().map(|c| c.conn) {
                self.drop(first, RejectionReason::Displaced, out);
            }
        }
    }

    fn connect(&mut self, conn: ConnectionId, address: u8, now: Duration, out: &mut Vec<Action>) {
        let open = self.held.iter().filter(|c| c.address == address).count();
        let after = self.policy.retry_after;
        if self
            .policy
            .per_client
            .is_some_and(|cap| self.policy.by_address && open >= cap as usize)
        {
            return out.push(Action::RejectConnection {
                conn,
                after,
                why: RejectionReason::ClientCap,
            });
        }
        if self.held.len() >= self.policy.capacity {
            let standing = if self.known(address) {
                Reputation::Known
            } else {
                Reputation::Newcomer
            };
            match self.victim(standing, now) {
                Some(victim) => self.drop(victim, RejectionReason::Displaced, out),
                None => {
                    return out.push(Action::RejectConnection {
                        conn,
                        after,
                        why: RejectionReason::AtCapacity,
                    })
                }
            }
        }
        let rank = Reputation::Silent;
        let (asked, served, faults, ending, busy) = (0, 0, 0, false, None);
        let order = self.order;
        let since = now;
        self.held.push(Held {
            conn,
            address,
            asked,
            served,
            faults,
            ending,
            busy,
            rank,
            since,
            order,
        });
        self.line_up(conn, now, out);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::default() })]

    #[test]
    fn every_decision_is_the_naive_reference_s(
        by_address in any::<bool>(),
        per_client in prop::option::of(1u32..5),
        reserve in 0usize..4,
        steps in prop::collection::vec(step(), 1..300),
    ) {
        let mut now = Duration::from_secs(100);
        let policy = AdmissionPolicy {
            reserve, by_address, per_client, max_remembered: 8, max_idle_after_one_request: 3, max_idle_without_request: 4,
            known_half_life: Duration::from_secs(1 << 30), suspect_half_life: Duration::from_secs(1 << 30),
            warm_up: Duration::from_secs(5), ..AdmissionPolicy::of(8)
        };
        let mut naive = Naive {
            policy: policy.clone(), held: Vec::new(), served: BTreeMap::new(), faults: BTreeMap::new(),
            order: 0, warm_until: now + policy.warm_up,
        };
        let mut controller = AdmissionController::new(policy, 7, now);
        let mut generation = 0u64;
        for step in steps {
            let (mut done, mut wanted) = (Vec::new(), Vec::new());
            let pick = |n: usize| naive.held.get(n % naive.held.len().max(1)).cloned();
            match step {
                Step::Wait(ms) => now += Duration::from_millis(ms),
                Step::Connect(address) => {
                    generation += 1;
                    let slot = (0..).find(|s| naive.held.iter().all(|c| c.conn.0 as u32 != *s)).unwrap();
                    let conn = ConnectionId(generation << 32 | u64::from(slot));
                    let peer = IpAddr::V4(Ipv4Addr::new(192, 0, 2, address));
                    controller.handle(now, Event::Connected { conn, peer }, &mut done);
                    naive.connect(conn, address, now, &mut wanted);
                }
                Step::Ask(n) => if let Some(c) = pick(n).filter(|c| !c.ending) {
                    controller.handle(now, Event::RequestReceived { conn: c.conn, customer: 1 }, &mut done);
                    let kept = if c.asked > 0 { naive.policy.reserve / 2 } else { naive.policy.reserve };
                    let lent = naive.policy.capacity.saturating_sub(kept);
                    let guests = naive.held.iter().filter(|c| c.busy == Some(true)).count();
                    let at = naive.held.iter().position(|h| h.conn == c.conn).unwrap();
                    naive.held[at].asked += 1;
                    if c.busy.is_none() {
                        let guest = naive.rank(&naive.held[at], now) < Reputation::Known;
                        if guest && guests >= lent {
                            wanted.push(Action::RejectRequest { after: naive.policy.retry_after });
                        } else {
                            naive.held[at].busy = Some(guest);
                        }
                    }
                },
                Step::Greet(n) => if let Some(c) = pick(n).filter(|c| c.busy.is_none() && !c.ending) {
                    controller.handle(now, Event::CommandHandled(c.conn), &mut done);
                    controller.handle(now, Event::BecameIdle(c.conn), &mut done);
                    naive.held.iter_mut().find(|h| h.conn == c.conn).unwrap().asked += 1;
                    naive.rest(c.conn, now, &mut wanted);
                },
                Step::Wrong(n) => if let Some(c) = pick(n).filter(|c| c.busy.is_none() && !c.ending) {
                    controller.handle(now, Event::ProtocolError(c.conn), &mut done);
                    controller.handle(now, Event::BecameIdle(c.conn), &mut done);
                    naive.held.iter_mut().find(|h| h.conn == c.conn).unwrap().faults += 1;
                    *naive.faults.entry(c.address).or_default() += 1;
                    naive.rest(c.conn, now, &mut wanted);
                },
                Step::Answer(n, served) => if let Some(c) = pick(n).filter(|c| c.busy.is_some()) {
                    controller.handle(now, Event::Answered { conn: c.conn, served }, &mut done);
                    controller.handle(now, Event::BecameIdle(c.conn), &mut done);
                    if served {
                        naive.held.iter_mut().find(|h| h.conn == c.conn).unwrap().served += 1;
                        *naive.served.entry(c.address).or_default() += 1;
                    }
                    naive.rest(c.conn, now, &mut wanted);
                },
                Step::End(n) => if let Some(c) = pick(n).filter(|c| c.busy.is_none()) {
                    controller.handle(now, Event::HalfClosed(c.conn), &mut done);
                    naive.held.iter_mut().find(|h| h.conn == c.conn).unwrap().ending = true;
                    naive.rest(c.conn, now, &mut wanted);
                },
                Step::Close(n) => if let Some(c) = pick(n) {
                    controller.handle(now, Event::Closed { conn: c.conn, fault: false }, &mut done);
                    naive.held.retain(|h| h.conn != c.conn);
                },
                Step::Shortage => {
                    controller.handle(now, Event::DescriptorsExhausted, &mut done);
                    match naive.victim(Reputation::Newcomer, now) {
                        Some(conn) => naive.drop(conn, RejectionReason::Displaced, &mut wanted),
                        None => wanted.push(Action::Pause { until: now + naive.policy.first_command_grace }),
                    }
                }
                Step::Places(capacity) => {
                    naive.policy.capacity = capacity;
                    controller.set_policy(naive.policy.clone(), now, &mut done);
                    while naive.held.len() > capacity {
                        let Some(first) = naive.resting().first().map(|c| c.conn) else { break };
                        naive.drop(first, RejectionReason::Displaced, &mut wanted);
                    }
                }
            }
            prop_assert_eq!(&done, &wanted, "{:?}", step);
            let busy = naive.held.iter().filter(|c| c.busy.is_some()).count();
            prop_assert_eq!(controller.held(), naive.held.len());
            prop_assert!(controller.held() <= naive.policy.capacity.max(busy), "beyond the places only with requests open");
            let sizes = controller.cache_sizes();
            prop_assert!(sizes.clients <= 8 + controller.held() && sizes.neighbourhoods <= 8 + controller.held());
            prop_assert!(sizes.customers <= 8);
            for c in &naive.held {
                prop_assert_eq!(controller.reputation(c.conn, now), Some(naive.rank(c, now)));
            }
        }
    }

    #[test]
    fn shares_never_pass_the_total_and_minima_are_always_there(
        total in 30usize..60,
        steps in prop::collection::vec((0usize..8, any::<bool>()), 1..400),
    ) {
        let least = [3, 8, 6, 2, 1, 1, 1, 1];
        let shares = least.map(|least| DescriptorShare { least, most: least * 4 });
        let mut budget = DescriptorBudget::new(total, shares).unwrap();
        for (of, take) in steps {
            let (of, held) = (DESCRIPTOR_USES[of], budget.used(DESCRIPTOR_USES[of]));
            match take {
                true => {
                    let granted = budget.take(of);
                    prop_assert!(granted || held >= budget.share(of).least, "a minimum was refused");
                    prop_assert_eq!(budget.used(of), held + usize::from(granted));
                }
                false => budget.give(of),
            }
            prop_assert!(DESCRIPTOR_USES.iter().map(|u| budget.used(*u)).sum::<usize>() <= total);
            let owed: usize = DESCRIPTOR_USES.iter().map(|u| budget.used(*u).max(budget.share(*u).least)).sum();
            prop_assert!(owed <= total, "what is guaranteed is no longer there");
        }
    }
}
