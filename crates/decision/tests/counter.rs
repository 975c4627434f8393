//! The ordinary path and each kind of counter failure, through `common::World`.

mod common;
use common::*;
use roseyard_decision::*;

fn granted(w: &mut World, g: usize, plan: usize, customer: u64, tries: usize) -> usize {
    (0..tries).filter(|_| w.passes(g, plan, customer)).count()
}

#[test]
fn each_request_is_one_add_and_is_refused_at_once_beyond_the_allowance() {
    let mut w = World::new(settings(3), 3, 5);
    let id = w.request(0, 0, 0, 1);
    assert_eq!(
        (w.counts.len(), w.counts[0].add, w.sent(0, id)),
        (1, 1.0, 0)
    );
    assert_eq!(
        w.counts[0].lifetime,
        ms(2000),
        "the window is burst over rate"
    );
    w.count_all(CountMode::Answered);
    assert_eq!(w.sent(0, id), 1);
    w.end(0, Outcome::Ok);
    let more = granted(&mut w, 0, 0, 1, 30);
    assert!((8..=10).contains(&more), "{more} more of a burst of 10");
    let id = w.request(0, 0, 0, 1);
    w.count_all(CountMode::Answered);
    assert_eq!(w.answer_of(0, id), Some(Answer::Refused));
    let advice = w.actions.iter().rev().find_map(|(_, a)| match a {
        Action::Reject { retry_after, .. } => Some(*retry_after),
        _ => None,
    });
    assert!(
        advice.flatten().is_some_and(|d| d > ms(0) && d <= ms(1000)),
        "advice where it is allowed"
    );
}

#[test]
fn totals_tell_one_gateway_what_the_others_passed() {
    let mut w = World::new(settings(3), 3, 5);
    assert!(granted(&mut w, 0, 0, 1, 30) >= 9);
    assert!(
        granted(&mut w, 1, 0, 1, 30) <= 2,
        "the second gateway sees the total"
    );
}

#[test]
fn refused_tries_do_not_inflate_the_count() {
    let mut w = World::new(settings(3), 3, 5);
    granted(&mut w, 0, 0, 1, 200);
    let total: f64 = w.numbers.values().map(|n| n.0).sum();
    assert!(
        total <= 14.0,
        "the count holds {total}, refused tries included"
    );
}

#[test]
fn a_try_that_the_ledger_has_no_room_for_asks_without_adding_and_owes_its_units_if_it_passes() {
    let mut w = World::new(settings(3), 3, 5);
    let total = |w: &World| w.numbers.values().map(|n| n.0).sum::<f64>();
    let before = granted(&mut w, 0, 0, 1, 30) as f64;
    assert_eq!(
        total(&w),
        before,
        "the others see what passed and no try that was refused"
    );
    w.advance(ms(400));
    let passed = granted(&mut w, 0, 0, 1, 5) as f64;
    assert!(passed >= 1.0, "refilled at 5 a second");
    w.advance(ms(400));
    granted(&mut w, 0, 0, 1, 5);
    assert!(total(&w) >= before + passed, "what passed is on the count");
}

#[test]
fn a_fresh_window_is_no_fresh_allowance() {
    let mut w = World::new(settings(3), 3, 5);
    assert!(granted(&mut w, 0, 0, 1, 30) >= 9);
    w.numbers.clear(); // back empty, name forgotten or window over: it looks the same
    assert!(granted(&mut w, 0, 0, 1, 30) <= 2);
}

#[test]
fn a_quota_in_full_use_holds_while_only_a_part_of_the_tries_ask() {
    // Three gateways ask for ten times one customer's quota, and every fifth call is late.
    let mut w = World::new(settings(3), 3, 5);
    for round in 0..1000 {
        w.request(round % 3, 0, 0, 1);
        w.advance(ms(20));
        if round % 5 == 0 {
            w.advance(ms(61));
        }
        w.count_all(CountMode::Answered);
        w.end(0, Outcome::Ok);
    }
    // 32 s at 5 a second and a burst of 10 are 170. Units owed that fade, or an edge that forgets
    // the others, each pass over 230.
    let sent = w.sends.len();
    assert!(
        (130..=210).contains(&sent),
        "{sent} sent on of a quota of 170"
    );
}

#[test]
fn tries_far_beyond_the_quota_do_not_press_a_pressed_counter() {
    let mut w = World::new(settings(3), 3, 5);
    w.passes(0, 0, 1);
    w.numbers.values_mut().for_each(|n| n.0 += 100.0);
    w.passes(0, 0, 1);
    w.request(0, 0, 0, 2);
    w.count_all(CountMode::Refused);
    for _ in 0..60 {
        w.request(0, 0, 0, 1);
    }
    assert_eq!(
        w.counts.len(),
        0,
        "the ledger refuses them whatever the total"
    );
    for k in 0..20 {
        w.request(0, 0, 0, 10 + k);
    }
    assert!(w.counts.len() > 5, "others go on asking");
}

#[test]
fn a_silent_counter_holds_a_request_only_for_a_short_wait() {
    let mut w = World::new(settings(3), 3, 5);
    let id = w.request(0, 0, 0, 1);
    w.advance(ms(45));
    assert_eq!(
        w.sent(0, id),
        1,
        "decided from the ledger well inside the aim of 500 ms"
    );
}

#[test]
fn a_silent_counter_is_told_of_asked_by_few_and_by_all_again_once_it_answers() {
    let mut w = World::new(settings(3), 3, 5);
    for k in 0..40 {
        w.request(0, 0, 0, k);
        w.advance(ms(61));
        w.count_all(CountMode::LostBefore);
        w.end(0, Outcome::Ok);
    }
    assert!(w.notices.contains(&Notice::CounterDegraded));
    let mut at_once = 0;
    for k in 50..90 {
        let id = w.request(0, 0, 0, k);
        at_once += w.sent(0, id);
        w.end(0, Outcome::Ok);
    }
    assert!(
        (25..40).contains(&at_once),
        "who does not ask does not wait: {at_once} of 40"
    );
    assert_eq!(w.counts.len(), 40 - at_once, "some go on adding");
    for k in 100..200 {
        w.request(0, 0, 0, k);
        w.count_all(CountMode::Answered);
        w.end(0, Outcome::Ok);
        w.advance(ms(20));
    }
    let is_of_counter =
        |notice: &&Notice| matches!(notice, Notice::CounterDegraded | Notice::CounterRecovered);
    let last_of_counter = w.notices.iter().rfind(is_of_counter);
    assert_eq!(last_of_counter, Some(&Notice::CounterRecovered));
}

#[test]
fn a_counter_that_takes_half_of_the_wait_is_asked_by_all_though_one_answer_in_thirty_is_late() {
    // The wait is 40 ms. Guards against a pace that only answers quicker than this counter ever is
    // let rise.
    let mut w = World::new(settings(3), 3, 5);
    let mut asked = 0;
    for k in 0..600 {
        w.request(0, 0, 0, 1000 + k);
        asked += w.counts.len();
        w.advance(if k % 30 == 0 { ms(45) } else { ms(18 + k % 3) });
        w.count_all(CountMode::Answered);
        w.end(0, Outcome::Ok);
    }
    assert!(asked >= 540, "{asked} of 600 asked");
}

#[test]
fn a_jammed_counter_is_not_fed() {
    let mut w = World::new(settings(3), 3, 5);
    for k in 0..200 {
        w.request(0, 0, 0, k);
        w.advance(ms(5));
        if w.counts.len() > 8 {
            w.count(0, CountMode::LostAfter);
        }
    }
    while w.counts.len() > 1 {
        w.count(0, CountMode::LostAfter);
    }
    let before = w.counts.len();
    for k in 300..350 {
        w.request(0, 0, 0, k);
    }
    assert!(
        w.counts.len() - before <= 12,
        "{} calls into the jam",
        w.counts.len() - before
    );
}

#[test]
fn a_blind_gateway_does_not_pass_a_flood() {
    let mut w = World::new(settings(3), 3, 5);
    let mut sent = 0;
    for _ in 0..100 {
        let id = w.request(0, 0, 0, 1);
        w.advance(ms(10));
        w.count_all(CountMode::Refused);
        sent += w.sent(0, id);
        w.end(0, Outcome::Ok);
    }
    assert!(
        (3..=16).contains(&sent),
        "{sent} sent in a second of a quota of 5 a second, burst 10"
    );
}

#[test]
fn units_granted_while_the_counter_refused_are_told_with_the_next_add() {
    let mut w = World::new(settings(3), 3, 5);
    for _ in 0..3 {
        w.request(0, 0, 0, 1);
        w.count_all(CountMode::Refused);
    }
    for _ in 0..40 {
        if w.counts.is_empty() {
            w.request(0, 0, 0, 1);
        }
    }
    // Of a start with half of the burst two pass, as two others may grant as much: owed with the
    // one at hand.
    assert!(
        w.counts[0].add > 2.5,
        "the add carries what is owed: {}",
        w.counts[0].add
    );
}

#[test]
fn a_late_answer_never_decides_twice() {
    let mut w = World::new(settings(3), 3, 5);
    let id = w.request(0, 0, 0, 1);
    w.advance(ms(50));
    w.count_all(CountMode::Answered);
    assert_eq!(w.sent(0, id), 1);
    w.finish();
}

#[test]
fn guessed_units_are_settled_with_the_next_add() {
    let mut w = World::new(settings(3), 3, 5);
    let id = w.request(0, 0, 0, 1);
    w.count_all(CountMode::Answered);
    let endpoint = EndpointId(w.requests[&(0, id)].attempts[0].endpoint);
    w.requests.get_mut(&(0, id)).unwrap().attempts[0].closed = Some(Outcome::Ok);
    w.requests.get_mut(&(0, id)).unwrap().answer = Some(Answer::Served);
    let end = AttemptEnd {
        request: RequestId(id),
        attempt: 0,
        endpoint,
        outcome: Outcome::Ok,
        elapsed: ms(9),
        finished: true,
        true_units: Some(4.0),
        load: None,
    };
    w.tell(0, Event::AttemptEnded(end));
    w.request(0, 0, 0, 1);
    assert!(
        w.counts[0].add > 3.9,
        "one for the request and three more of the last: {}",
        w.counts[0].add
    );
}

#[test]
fn ceiling_holds_when_all_are_blind_and_when_all_are_informed() {
    for mode in [
        CountMode::LostBefore,
        CountMode::Refused,
        CountMode::Answered,
    ] {
        let mut w = World::new(settings(3), 3, 5);
        for round in 0..600 {
            w.request(round % 3, 0, 1, 1);
            w.count_all(mode);
            w.advance(ms(5));
            w.end(0, Outcome::Ok);
        }
        assert!(w.sends.len() > 10);
    }
}

#[test]
fn one_informed_gateway_passes_a_whole_quota_under_a_ceiling() {
    let mut w = World::new(settings(3), 3, 5);
    w.advance(ms(1000));
    w.passes(0, 1, 1);
    w.advance(ms(4000));
    let before = w.sends.len();
    for _ in 0..400 {
        w.passes(0, 1, 1);
        w.advance(ms(10));
    }
    let rate = (w.sends.len() - before) as f64 / 4.8;
    assert!(rate >= 9.0, "{rate} a second of a quota of 10");
}

#[test]
fn attempts_open_at_once_are_bounded_without_a_rate() {
    let mut w = World::new(settings(3), 3, 5);
    let sent: usize = (0..10)
        .map(|_| {
            let id = w.request(0, 0, 2, 1);
            w.sent(0, id)
        })
        .sum();
    assert_eq!(sent, 2, "a third of four, rounded up");
    assert!(w.counts.is_empty());
}

#[test]
fn ceiling_alone_holds_a_customer_whose_quota_is_far_above_it() {
    for modes in [
        [CountMode::Answered; 4],
        [CountMode::LostBefore; 4],
        [
            CountMode::Answered,
            CountMode::Answered,
            CountMode::LostAfter,
            CountMode::Refused,
        ],
    ] {
        let mut s = settings(3);
        (s.plans[1].rate, s.plans[1].burst) = (100.0, 300.0);
        let mut w = World::new(s, 3, 5);
        for dispatcher in 0..3 {
            w.request(dispatcher, 0, 1, 1);
            w.count_all(CountMode::Answered);
        }
        w.advance(ms(2500));
        for round in 0..900 {
            w.request(round % 3, 0, 1, 1);
            w.count_all(modes[round % 4]);
            w.advance(ms(5));
            w.end(0, Outcome::Ok);
        }
        assert!(w.sends.len() > 20);
    }
}

#[test]
fn after_the_counter_came_back_empty_the_others_are_seen_again() {
    let mut w = World::new(settings(3), 3, 5);
    for _ in 0..60 {
        w.passes(0, 0, 1);
        w.advance(ms(10));
    }
    w.numbers.clear();
    w.advance(ms(1200));
    assert!(granted(&mut w, 1, 0, 1, 10) >= 4);
    assert!(
        granted(&mut w, 0, 0, 1, 10) <= 3,
        "what the other passed since is in the new total"
    );
}

#[test]
fn calls_cut_off_with_their_connections_do_not_slow_the_asking() {
    // Every third call is lost at once, as by a reset under it; the others are answered.
    let mut w = World::new(settings(3), 3, 5);
    let mut asked = 0;
    for round in 0..600 {
        w.request(0, 0, 0, round % 50);
        asked += w.counts.len();
        w.advance(ms(1));
        w.count_all(if round % 3 == 0 {
            CountMode::LostBefore
        } else {
            CountMode::Answered
        });
        w.advance(ms(20));
        w.end(0, Outcome::Ok);
    }
    assert_eq!(asked, 600, "each try asks");
}
