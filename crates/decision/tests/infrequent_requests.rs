//! Symptoms on the side of the servers that show where a gateway comes to each of them once in ten
//! seconds.

mod common;
use common::*;
use roseyard_decision::*;
use std::time::Duration;

const GATEWAYS: usize = 30;
const ENDPOINTS: u32 = 60;

fn few_copies() -> Settings {
    let mut s = settings(GATEWAYS as u32);
    s.permissions.hedging = false;
    s.plans[2].max_concurrent = 0;
    s
}

/// Four requests a second at each gateway. `fate` tells how an attempt ends and after how long.
fn rounds(w: &mut World, seconds: u64, fate: impl Fn(usize, u32) -> (Outcome, Duration)) {
    for step in 0..seconds * 20 {
        for g in (0..GATEWAYS).filter(|g| (step + *g as u64).is_multiple_of(5)) {
            let customer = 1_000_000 + step * 100 + g as u64;
            w.request(g, 0, 2, customer);
        }
        loop {
            let now = w.now;
            let due = w
                .requests
                .iter()
                .flat_map(|(k, r)| r.attempts.iter().enumerate().map(move |a| (*k, a)));
            let ready = due
                .filter(|(_, (_, a))| a.closed.is_none())
                .map(|(k, (n, a))| (k, n, fate(k.0, a.endpoint), a.sent))
                .find(|(_, _, (_, after), sent)| now >= *sent + *after);
            let Some((key, n, (outcome, _), _)) = ready else {
                break;
            };
            w.end_attempt(key.0, key.1, n, outcome);
        }
        w.requests
            .retain(|_, r| r.answer.is_none() || r.attempts.iter().any(|a| a.closed.is_none()));
        w.advance(ms(50));
    }
}

fn share_since(w: &World, since: Duration, counts: impl Fn(usize, u32) -> bool) -> f64 {
    let late: Vec<_> = w.sends.iter().filter(|s| s.2 >= since).collect();
    late.iter().filter(|s| counts(s.0, s.1)).count() as f64 / late.len() as f64
}

/// A server takes connections from some gateways only, another one from others.
fn linked(g: usize, endpoint: u32) -> bool {
    (g as u32 * 7 + endpoint * 13).is_multiple_of(5)
}

#[test]
fn gateways_keep_to_the_endpoints_that_take_their_connections() {
    let mut w = World::new(few_copies(), GATEWAYS, ENDPOINTS);
    let fate = |g, endpoint| match linked(g, endpoint) {
        true => (Outcome::Ok, ms(100)),
        false => (Outcome::ConnectFailed, ms(1)),
    };
    rounds(&mut w, 20, fate);
    let since = w.now;
    rounds(&mut w, 20, fate);
    let refused = share_since(&w, since, |g, endpoint| !linked(g, endpoint));
    assert!(
        refused < 0.14,
        "{refused} of the sends go where no connection is to be had"
    );
}

#[test]
fn when_connections_are_taken_again_all_endpoints_are_used_again() {
    let mut w = World::new(few_copies(), GATEWAYS, ENDPOINTS);
    rounds(&mut w, 20, |g, endpoint| match linked(g, endpoint) {
        true => (Outcome::Ok, ms(100)),
        false => (Outcome::ConnectFailed, ms(1)),
    });
    rounds(&mut w, 20, |_, _| (Outcome::Ok, ms(100)));
    let since = w.now;
    rounds(&mut w, 10, |_, _| (Outcome::Ok, ms(100)));
    let reopened = share_since(&w, since, |g, endpoint| !linked(g, endpoint));
    assert!(
        reopened > 0.6,
        "{reopened} of the sends go to the servers that refused before"
    );
}

#[test]
fn a_time_out_keeps_a_rarely_visited_endpoint_from_the_next_requests() {
    let mut w = World::new(few_copies(), GATEWAYS, ENDPOINTS);
    let jammed = |endpoint: u32| endpoint.is_multiple_of(5);
    rounds(&mut w, 5, |_, _| (Outcome::Ok, ms(100)));
    let since = w.now;
    rounds(&mut w, 40, |_, endpoint| match jammed(endpoint) {
        true => (Outcome::Timeout, ms(500)),
        false => (Outcome::Ok, ms(100)),
    });
    let lost = share_since(&w, since, |_, endpoint| jammed(endpoint));
    assert!(
        lost < 0.12,
        "{lost} of the sends go to the fifth of the servers that times out"
    );
}

/// The last answer of a request: refused, and the advice that came with it.
fn advice(w: &World, id: u64) -> Option<Duration> {
    let last = w.actions.iter().rev().find_map(|(_, a)| match a {
        Action::Reject {
            request,
            retry_after,
        } if request.0 == id => Some(*retry_after),
        _ => None,
    });
    last.expect("refused")
}

#[test]
fn whatever_is_given_up_on_is_answered_at_once_and_told_when_to_come_back() {
    let most = ms(1000);
    let told = |w: &World, id: u64, what: &str| {
        let advice = advice(w, id).unwrap_or_else(|| panic!("{what}: no advice"));
        assert!(
            advice > Duration::ZERO && advice <= most,
            "{what}: {advice:?}"
        );
    };
    // Quota: the returned total passes the allowance.
    let mut w = World::new(settings(1), 1, 20);
    w.numbers.insert(7, (100.0, w.now + ms(2000)));
    let id = w.request(0, 0, 0, 7);
    w.count_all(CountMode::Answered);
    told(&w, id, "quota");
    // Ceiling: nothing may be spent alone, and no total comes.
    let id = w.request(0, 0, 1, 7);
    w.count_all(CountMode::Refused);
    told(&w, id, "ceiling");
    // Load: far more at once than the servers hold.
    let mut w = World::new(settings(1), 1, 2);
    let ids: Vec<_> = (0..60).map(|k| w.request(0, 0, 0, 100 + k)).collect();
    w.count_all(CountMode::Answered);
    let refused: Vec<_> = ids
        .iter()
        .filter(|id| w.answer_of(0, **id) == Some(Answer::Refused))
        .collect();
    assert!(!refused.is_empty() && refused.iter().all(|id| w.sent(0, **id) == 0));
    refused.iter().for_each(|id| told(&w, **id, "load"));
    assert!(
        ids.iter()
            .all(|id| w.answer_of(0, *id).is_some() || w.sent(0, *id) == 1),
        "none is held back"
    );
    // No server at all.
    let mut w = World::new(settings(1), 1, 0);
    let id = w.request(0, 0, 0, 1);
    w.count_all(CountMode::Answered);
    told(&w, id, "no server");
    // Open at once: one more than the plan lets be out.
    let mut w = World::new(settings(1), 1, 20);
    let ids: Vec<_> = (0..5).map(|_| w.request(0, 0, 2, 3)).collect();
    told(&w, ids[4], "open at once");
    // Further attempts: the last one that may be made has failed.
    let mut w = World::new(settings(1), 1, 20);
    let id = w.request(0, 3, 0, 1);
    w.count_all(CountMode::Answered);
    while w.answer_of(0, id).is_none() {
        let n = w.sent(0, id) - 1;
        w.end_attempt(0, id, n, Outcome::ConnectFailed);
    }
    told(&w, id, "attempts");
}

#[test]
fn gateways_do_not_all_probe_and_take_the_same_few_endpoints() {
    let mut s = few_copies();
    (s.permissions.health_checks, s.load_reports_on_health_check) = (true, true);
    let mut w = World::new(s, GATEWAYS, ENDPOINTS);
    rounds(&mut w, 5, |_, _| (Outcome::Ok, ms(100)));
    let mut first = std::collections::BTreeMap::new();
    for (g, action) in &w.actions {
        if let Action::CheckHealth { endpoint } = action {
            first.entry(*g).or_insert(endpoint.0);
        }
    }
    let endpoints: std::collections::BTreeSet<_> = first.values().collect();
    assert!(
        first.len() == GATEWAYS && endpoints.len() > 15,
        "{} first probes at {endpoints:?}",
        first.len()
    );
}

#[test]
fn a_bound_of_a_fraction_holds_for_all_gateways_together() {
    let mut s = few_copies();
    s.ingress_count = 150;
    let mut w = World::new(s, 150, 20);
    let mut held = 0;
    for step in 0..500u64 {
        for g in 0..150 {
            w.request(g, 0, 2, 1_000_000 + step * 1000 + g as u64);
        }
        let (now, late) = (w.now, ms(600));
        let due: Vec<_> = w
            .requests
            .iter()
            .flat_map(|(k, r)| r.attempts.iter().enumerate().map(move |a| (*k, a)))
            .filter(|(_, (_, a))| a.closed.is_none() && now >= a.sent + late)
            .map(|(k, (n, _))| (k, n))
            .collect();
        due.iter()
            .for_each(|(k, n)| w.end_attempt(k.0, k.1, *n, Outcome::Ok));
        w.requests
            .retain(|_, r| r.attempts.iter().any(|a| a.closed.is_none()));
        w.advance(ms(50));
        held += if step >= 400 { w.requests.len() } else { 0 };
    }
    let mean = held / 100;
    assert!(
        mean < 70,
        "{mean} out, of a floor of two a server, while all answers are late"
    );
}

#[test]
fn a_widely_shared_ceiling_lets_calm_customers_through_without_totals() {
    let mut w = World::new(settings(16), 16, 20);
    let mut passed = 0;
    for round in 0..40 {
        for g in 0..16 {
            let id = w.request(g, 0, 1, 1); // the world checks rule 5 at each send
            w.count_all(CountMode::Refused);
            passed += usize::from(round >= 8 && w.sent(g, id) > 0);
        }
        w.advance(ms(100));
        while w
            .requests
            .values()
            .any(|r| r.attempts.iter().any(|a| a.closed.is_none()))
        {
            w.end(0, Outcome::Ok);
        }
        w.advance(ms(1400));
    }
    let share = passed as f64 / (32 * 16) as f64;
    assert!(
        share > 0.85,
        "{share} of ten tries a second pass under a ceiling of sixteen"
    );
}
