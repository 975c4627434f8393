//! What must hold on every deployment: the second one's kind of ceiling and of units that are
//! settled afterwards, and one set of scenarios under a table of settings, so that a further
//! deployment is a further row.

mod common;
use common::*;
use roseyard_decision::*;
use std::time::Duration;

const SEEDS: u64 = 600;
/// All that may become of a call to the counter.
const MODES: [CountMode; 4] = [
    CountMode::Answered,
    CountMode::LostBefore,
    CountMode::LostAfter,
    CountMode::Refused,
];

/// One draw of a flood on one customer's ceiling through three gateways: uneven traffic, a counter
/// that answers late, loses calls before or after they count, turns away and comes back empty,
/// window edges, and restarts of one gateway or of all. How far the ceiling's store fell, and what
/// went through.
fn flood(seed: u64) -> (f64, usize) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut s = settings(3);
    // A ceiling of 1.7 to 2.6 times the quota, requests of 1 to 8 units, a slack of one of the
    // largest.
    let (rate, times) = (4.4 + 3.2 * rng.f64(), 1.7 + 0.9 * rng.f64());
    let burst = rate * (3.1 + 2.7 * rng.f64());
    let slack = f64::max(8.0, 0.1 * burst * times);
    let ceilings = Plan {
        ceiling_rate: rate * times,
        ceiling_burst: burst * times,
        ceiling_slack: slack,
        ..plan(rate, burst)
    };
    s.plans[1] = ceilings;
    let mut w = World::seeded(s, 3, 5, seed);
    w.strict = false;
    let pressed = rng.f64();
    for _ in 0..800 {
        let g = if rng.f64() < 0.5 { 0 } else { rng.usize(0..3) };
        w.request_of(g, 0, 1, 1, f64::from(rng.u32(1..=8)), ms(1500));
        w.advance(ms(rng.u64(0..30)));
        while w.counts.len() > rng.usize(0..6) {
            let mode = if rng.f64() < pressed {
                MODES[rng.usize(0..4)]
            } else {
                CountMode::Answered
            };
            w.count(rng.usize(0..8), mode);
        }
        w.end(rng.usize(0..8), Outcome::Ok);
        match rng.usize(0..300) {
            0 => w.numbers.clear(),
            1 => w.restart(rng.usize(0..3), 5),
            2 => (0..3).for_each(|g| w.restart(g, 5)),
            3 => w.advance(ms(rng.u64(200..6000))),
            _ => {}
        }
    }
    (w.lowest_ceiling + slack, w.sends.len())
}

/// Requests of one unit in turn through three gateways, each seventh call to the counter lost, a
/// gateway restarted and the counter emptied every 400 ms: only the gateways' own draws differ.
fn turns(seed: u64) -> (f64, usize) {
    let mut w = World::seeded(settings(3), 3, 5, 1000 * seed);
    w.strict = false;
    for round in 0..1500 {
        w.request(round % 3, 0, 1, 1);
        w.count_all(if round % 7 == 0 {
            CountMode::LostBefore
        } else {
            CountMode::Answered
        });
        w.advance(ms(4));
        w.end(0, Outcome::Ok);
        if round % 100 == 99 {
            w.restart(round / 100 % 3, 5);
            w.numbers.clear();
        }
    }
    (
        w.lowest_ceiling + w.settings.plans[1].ceiling_slack,
        w.sends.len(),
    )
}

#[test]
fn a_ceiling_holds_in_turns_over_any_draws_of_the_gateways() {
    held((0..SEEDS).map(|seed| (seed, turns(seed))).collect());
}

#[test]
fn a_ceiling_holds_over_any_order_of_draws() {
    held((0..SEEDS).map(|seed| (seed, flood(seed))).collect());
}

fn held(plays: Vec<(u64, (f64, usize))>) {
    let (seed, (room, _)) = plays
        .iter()
        .min_by(|a, b| a.1 .0.total_cmp(&b.1 .0))
        .unwrap();
    println!("nearest to the ceiling: {room:.2} units of room left, seed {seed}");
    let passed: Vec<u64> = plays
        .iter()
        .filter(|(_, p)| p.0 < -1e-6)
        .map(|(seed, _)| *seed)
        .collect();
    assert!(
        passed.is_empty(),
        "ceiling passed on seeds {passed:?}, by {:.2} units on seed {seed}",
        -room
    );
    let sent = plays.iter().map(|(_, p)| p.1).sum::<usize>() as f64 / SEEDS as f64;
    println!("{sent:.1} requests sent on in the mean");
    assert!(
        sent > 20.0,
        "gateways that let nothing through prove nothing: {sent:.1} requests in the mean"
    );
}

/// One customer asks three gateways for many times its quota, each request guessed at 2 units. The
/// true units sent on, and what the quota gives in that time.
fn settled(truth: f64) -> (f64, f64) {
    let mut w = World::new(settings(3), 3, 5);
    let began = w.now;
    for round in 0..2000 {
        let id = w.request_of(round % 3, 0, 0, 1, 2.0, ms(1500));
        w.count_all(CountMode::Answered);
        w.advance(ms(15));
        if w.sent(round % 3, id) > 0 {
            w.end_telling(round % 3, id, 0, Outcome::Ok, Some(truth));
        }
    }
    let plan = &w.settings.plans[0];
    (
        w.sends.len() as f64 * truth,
        plan.burst + plan.rate * (w.now - began).as_secs_f64(),
    )
}

#[test]
fn true_units_above_and_below_the_guess_keep_to_the_allowance_over_all_gateways() {
    for truth in [1.0, 2.0, 3.0, 5.0] {
        let (sent, allowance) = settled(truth);
        println!("truth {truth} of a guess of 2: {sent} true units sent of {allowance}");
        assert!(
            sent <= 1.15 * allowance,
            "truth {truth}: {sent} sent of {allowance}"
        );
        assert!(
            sent >= 0.8 * allowance,
            "truth {truth}: {sent} sent of {allowance}, room is left unused"
        );
    }
}

/// One customer of each of three plans asks three gateways for so many times its quota, for a
/// minute; the counter answers this part of the calls and turns the others away. By plan: units
/// sent on against the allowance, and the share of tries that were refused while the store that the
/// quota means held half of its units or more.
fn use_by_plan(times: f64, part: f64, seed: u64) -> Vec<(f64, f64)> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut s = settings(3);
    let ceiling = Plan {
        ceiling_rate: 12.6,
        ceiling_burst: 54.0,
        ceiling_slack: 8.0,
        ..plan(6.0, 26.0)
    };
    s.plans = vec![plan(1.7, 8.0), ceiling, plan(24.0, 50.0)];
    let mut w = World::seeded(s, 3, 5, seed);
    let (began, step) = (w.now, ms(10));
    let plans = w.settings.plans.clone();
    let mut stores: Vec<f64> = plans.iter().map(|p| p.burst).collect();
    let (mut sent, mut tries, mut with_room) = (vec![0.0; 3], vec![0.0; 3], vec![0.0; 3]);
    for _ in 0..6000 {
        for (n, plan) in plans.iter().enumerate() {
            stores[n] = (stores[n] + plan.rate * step.as_secs_f64()).min(plan.burst);
            // Two units a request, in the mean.
            if rng.f64() >= times * plan.rate / 2.0 * step.as_secs_f64() {
                continue;
            }
            let (g, units) = (rng.usize(0..3), f64::from(rng.u32(1..=3)));
            let id = w.request_of(g, 0, n, n as u64 + 1, units, ms(1500));
            w.count_all(if rng.f64() < part {
                CountMode::Answered
            } else {
                CountMode::Refused
            });
            tries[n] += 1.0;
            if w.sent(g, id) > 0 {
                sent[n] += units;
                stores[n] -= units.min(stores[n].max(0.0));
                w.end_attempt(g, id, 0, Outcome::Ok);
            } else if stores[n] >= plan.burst / 2.0 {
                with_room[n] += 1.0;
            }
        }
        w.advance(step);
    }
    let seconds = (w.now - began).as_secs_f64();
    let asked = |n: usize| times * plans[n].rate * seconds;
    let allowance = |n: usize| (plans[n].burst + plans[n].rate * seconds).min(asked(n));
    (0..3)
        .map(|n| (sent[n] / allowance(n), with_room[n] / tries[n]))
        .collect()
}

#[test]
fn each_plan_keeps_to_its_allowance_as_far_as_the_counter_answers() {
    // Without totals a gateway sees its own part of a customer alone, and what all grant together
    // passes the quota.
    for (part, beyond) in [(1.0, 1.1), (0.3, 1.55), (0.15, 1.7)] {
        for times in [0.5, 3.0] {
            let plays: Vec<_> = (0..2).map(|seed| use_by_plan(times, part, seed)).collect();
            for n in 0..3 {
                let mean =
                    |of: fn(&(f64, f64)) -> f64| plays.iter().map(|p| of(&p[n])).sum::<f64>() / 2.0;
                let (used, room) = (mean(|p| p.0), mean(|p| p.1));
                println!("part {part}, {times} times the quota, plan {n}: {used:.2} used, {room:.2} refused with room");
                assert!(
                    used <= beyond,
                    "part {part}, plan {n}: {used:.2} of the allowance"
                );
                assert!(
                    used >= 0.7,
                    "part {part}, plan {n}: only {used:.2} of the allowance"
                );
            }
        }
    }
}

/// A deployment, by what sets it apart.
#[derive(Clone, Copy, Debug)]
struct Row {
    ingress_count: usize,
    counter: bool,
    ceiling: bool,
    settles: bool,
    halls: u16,
    copies: bool,
    health_checks: bool,
    grace: u64,
}

/// Few gateways before servers in one hall, no second copies.
const PLAIN: Row = Row {
    ingress_count: 2,
    counter: true,
    ceiling: false,
    settles: false,
    halls: 1,
    copies: false,
    health_checks: true,
    grace: 2000,
};

/// Few before servers in two halls: units settled afterwards, a ceiling, second copies.
const SETTLED: Row = Row {
    ingress_count: 3,
    ceiling: true,
    settles: true,
    halls: 2,
    copies: true,
    grace: 1000,
    ..PLAIN
};

const ROWS: [Row; 6] = [
    PLAIN,
    SETTLED,
    Row {
        ingress_count: 2,
        copies: false,
        health_checks: false,
        ..SETTLED
    },
    Row {
        ingress_count: 12,
        ..SETTLED
    },
    Row {
        ingress_count: 300,
        ceiling: true,
        ..PLAIN
    },
    // No counter at all.
    Row {
        ingress_count: 12,
        counter: false,
        halls: 3,
        copies: true,
        health_checks: false,
        grace: 0,
        ..PLAIN
    },
];

impl Row {
    fn settings(self) -> Settings {
        let mut s = settings(self.ingress_count as u32);
        (
            s.classes[0].latency_objective,
            s.classes[2].latency_objective,
        ) = (ms(400), ms(1000));
        s.classes[2].priority_weight = 3.0;
        if !self.counter {
            s.counter = None;
        }
        if !self.ceiling {
            s.plans[1] = plan(10.0, 20.0);
        }
        s.permissions.hedging = self.copies;
        s.permissions.health_checks = self.health_checks;
        s.endpoint_limits.drain_grace = ms(self.grace);
        s
    }
}

/// Servers drain, go, come back cold and change halls; answers are lost, late, spoilt and never
/// come; the counter fails each way; gateways restart, clients leave. `World` holds every action
/// against the rules: one answer each, no unsafe request twice, a keyed one in its group and
/// window, no second attempt where copies are forbidden, nothing to a server beyond the grace, and
/// the ceiling.
fn play(row: Row, seed: u64) -> World {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut w = World::seeded(row.settings(), row.ingress_count, 6, seed);
    let outcomes = [
        Outcome::Ok,
        Outcome::Ok,
        Outcome::Ok,
        Outcome::Ok,
        Outcome::Error,
        Outcome::Overloaded,
        Outcome::Timeout,
        Outcome::ConnectFailed,
        Outcome::Reset,
    ];
    for _ in 0..1500 {
        let (g, class) = (rng.usize(0..row.ingress_count), rng.usize(0..4));
        let (plan, customer) = (rng.usize(0..2), rng.u64(0..4));
        let units = if row.settles {
            f64::from(rng.u32(1..=3))
        } else {
            1.0
        };
        w.request_of(g, class, plan, customer, units, ms(rng.u64(100..1900)));
        w.advance(ms(rng.u64(0..15)));
        while w.counts.len() > rng.usize(0..10) {
            w.count(rng.usize(0..20), MODES[rng.usize(0..8) / 2]);
        }
        let truth = row.settles.then(|| f64::from(rng.u32(1..=8)));
        w.end_some(
            rng.usize(0..30),
            outcomes[rng.usize(0..outcomes.len())],
            truth,
        );
        match rng.usize(0..60) {
            0 | 1 => {
                let draw = rng.usize(0..6).saturating_sub(3);
                let state = [
                    EndpointState::Ready,
                    EndpointState::Draining,
                    EndpointState::Removed,
                ][draw.min(2)];
                let mut e = entry(rng.u32(0..6), state, rng.bool().then_some(w.now));
                e.zone = rng.u16(0..row.halls);
                let to = if rng.bool() {
                    0..row.ingress_count
                } else {
                    g..g + 1
                };
                to.for_each(|g| {
                    w.tell(
                        g,
                        Event::EndpointListChanged(EndpointListUpdate::Changes(vec![e])),
                    )
                });
            }
            2 => w.client_gone(rng.usize(0..30)),
            3 => w.restart(g, 6),
            4 => w.numbers.clear(),
            _ => {}
        }
    }
    w.finish();
    w
}

#[test]
fn the_rules_hold_on_every_deployment() {
    for row in ROWS {
        for seed in 0..12 {
            println!("{row:?}, seed {seed}");
            let w = play(row, seed);
            // Four customers ask for more than their quotas; most rows send on a third.
            assert!(
                w.sends.len() > 250,
                "{row:?}: {} sent on of 1500",
                w.sends.len()
            );
        }
    }
}

#[test]
fn an_unsafe_request_that_may_have_run_is_answered_once_and_never_sent_again() {
    for row in ROWS {
        for outcome in [Outcome::Reset, Outcome::Error, Outcome::Timeout] {
            let mut w = World::new(row.settings(), row.ingress_count, 6);
            // Of many gateways one may refuse its first few: what goes out from all of them has to
            // fit.
            let mut tries = (1..200).map(|customer| {
                let id = w.request(0, 2, 0, customer);
                w.count_all(CountMode::Answered);
                w.advance(ms(50));
                (id, w.sent(0, id))
            });
            let (id, _) = tries
                .find(|(_, sent)| *sent == 1)
                .expect("one that is sent on");
            w.end_attempt(0, id, 0, outcome);
            w.advance(Duration::from_secs(3));
            assert_eq!(
                (w.sent(0, id), w.answer_of(0, id)),
                (1, Some(Answer::Failed)),
                "{row:?}, {outcome:?}"
            );
        }
    }
}
