//! Rules and symptoms on the side of the servers.

mod common;
use common::*;
use roseyard_decision::*;

/// A steady flow in which the servers of `dead` never answer and the others do after 20 ms.
fn flow(w: &mut World, class: usize, rounds: u64, dead: &[u32]) {
    for k in 0..rounds {
        for n in 0..4 {
            w.request(0, class, 0, 10_000 + 4 * k + n);
        }
        w.count_all(CountMode::Answered);
        w.advance(ms(20));
        let open: Vec<_> = w
            .requests
            .iter()
            .flat_map(|(key, r)| {
                r.attempts
                    .iter()
                    .enumerate()
                    .map(move |(n, a)| (*key, n, a))
            })
            .filter(|(_, _, a)| a.closed.is_none() && !dead.contains(&a.endpoint))
            .map(|(key, n, _)| (key, n))
            .collect();
        for (key, n) in open {
            w.end_attempt(key.0, key.1, n, Outcome::Ok);
        }
    }
}

#[test]
fn a_silent_endpoint_is_left_alone_and_logged() {
    let mut w = World::new(settings(1), 1, 5);
    flow(&mut w, 0, 100, &[]);
    let before = w.sends.len();
    flow(&mut w, 0, 200, &[3]);
    let to_dead = w.sends[before..].iter().filter(|s| s.1 == 3).count();
    assert!(to_dead <= 16, "{to_dead} of 800 sends to the silent server");
    assert!(w
        .notices
        .contains(&Notice::EndpointUnresponsive(EndpointId(3))));
}

#[test]
fn of_classes_that_earn_alike_the_one_with_the_shorter_aim_is_refused_first() {
    // What a request of 1 s can wait for makes one of 400 ms late: held to one bound, either is
    // served badly.
    let held = |class: usize| {
        let mut s = settings(1);
        (
            s.classes[0].latency_objective,
            s.classes[2].latency_objective,
        ) = (ms(400), ms(1000));
        let mut w = World::new(s, 1, 5);
        flow(&mut w, 0, 100, &[]);
        flow(&mut w, 2, 100, &[]);
        let before = w.sends.len();
        for k in 0..400 {
            w.request(0, class, 0, 50_000 + k);
            w.count_all(CountMode::Answered);
        }
        w.sends.len() - before
    };
    let (short, long) = (held(0), held(2));
    assert!(short >= 10, "{short} of 400 at once");
    assert!(
        long >= 2 * short && long < 400,
        "{long} against {short} of 400 at once"
    );
}

#[test]
fn a_request_stuck_on_a_silent_endpoint_gets_a_second_copy() {
    let mut w = World::new(settings(1), 1, 5);
    flow(&mut w, 0, 100, &[]);
    flow(&mut w, 0, 100, &[3]);
    let stuck = w
        .requests
        .values()
        .filter(|r| r.attempts.first().is_some_and(|a| a.endpoint == 3));
    let copied = stuck
        .filter(|r| r.attempts.len() > 1 && r.answer == Some(Answer::Served))
        .count();
    assert!(copied >= 1);
}

#[test]
fn where_copies_are_forbidden_a_stuck_request_moves() {
    let mut s = settings(1);
    s.permissions.hedging = false;
    let mut w = World::new(s, 1, 5);
    flow(&mut w, 0, 100, &[]);
    let mut moved = false;
    for _ in 0..100 {
        flow(&mut w, 0, 1, &[3]);
        let cancel = w.actions.iter().find_map(|(_, a)| match a {
            Action::Cancel { request, attempt } => Some((request.0, *attempt)),
            _ => None,
        });
        if let Some((id, n)) = cancel.filter(|c| w.requests[&(0, c.0)].answer.is_none()) {
            w.end_attempt(0, id, usize::from(n), Outcome::Cancelled);
            moved = w.sent(0, id) == 2;
            break;
        }
    }
    assert!(moved);
}

#[test]
fn an_endpoint_that_fails_fast_does_not_draw_everything() {
    let mut w = World::new(settings(1), 1, 5);
    let before = w.sends.len();
    for k in 0..200 {
        for j in 0..3 {
            let id = w.request(0, 2, 0, 20_000 + 3 * k + j);
            w.count_all(CountMode::Answered);
            for n in 0..4 {
                if w.sent(0, id) == n + 1 && w.requests[&(0, id)].attempts[n].endpoint == 2 {
                    w.end_attempt(0, id, n, Outcome::ConnectFailed);
                }
            }
        }
        w.advance(ms(120));
        for _ in 0..3 {
            w.end(0, Outcome::Ok);
        }
    }
    let bad = w.sends[before..].iter().filter(|s| s.1 == 2).count();
    assert!(bad <= 20, "{bad} sends to the failing server");
}

#[test]
fn an_unsafe_request_that_may_have_run_fails_and_is_not_refused() {
    let mut w = World::new(settings(1), 1, 5);
    let id = w.request(0, 2, 0, 1);
    w.count_all(CountMode::Answered);
    w.end(0, Outcome::Reset);
    assert_eq!(
        (w.answer_of(0, id), w.sent(0, id)),
        (Some(Answer::Failed), 1)
    );
}

#[test]
fn an_unsafe_request_that_never_ran_goes_elsewhere() {
    let mut w = World::new(settings(1), 1, 5);
    let id = w.request(0, 2, 0, 1);
    w.count_all(CountMode::Answered);
    w.end(0, Outcome::Overloaded);
    let endpoints: Vec<_> = w.requests[&(0, id)]
        .attempts
        .iter()
        .map(|a| a.endpoint)
        .collect();
    assert_eq!(endpoints.len(), 2);
    assert_ne!(endpoints[0], endpoints[1]);
}

#[test]
fn a_keyed_repeat_stays_in_its_cell_and_inside_its_window() {
    let mut w = World::new(settings(1), 1, 6);
    let id = w.request(0, 1, 0, 1);
    w.count_all(CountMode::Answered);
    w.end(0, Outcome::Reset);
    let endpoints: Vec<_> = w.requests[&(0, id)]
        .attempts
        .iter()
        .map(|a| a.endpoint % 2)
        .collect();
    assert_eq!(endpoints.len(), 2);
    assert_eq!(endpoints[0], endpoints[1]);
    w.advance(ms(395));
    let before = w.sent(0, id);
    w.advance(ms(55));
    let open = w.requests[&(0, id)].attempts.len() - 1;
    if w.answer_of(0, id).is_none() {
        w.end_attempt(0, id, open, Outcome::Reset);
    }
    assert_eq!(
        w.sent(0, id),
        before,
        "nothing goes out once the key may be forgotten"
    );
}

#[test]
fn nothing_goes_to_a_draining_or_removed_endpoint() {
    let mut w = World::new(settings(1), 1, 3);
    let drain = vec![entry(0, EndpointState::Draining, None)];
    w.tell(
        0,
        Event::EndpointListChanged(EndpointListUpdate::Changes(drain)),
    );
    w.tell(
        0,
        Event::EndpointListChanged(EndpointListUpdate::Full(vec![entry(
            1,
            EndpointState::Ready,
            None,
        )])),
    );
    let before = w.sends.len();
    flow(&mut w, 0, 50, &[]);
    assert!(w.sends[before..].iter().all(|s| s.1 == 1));
}

#[test]
fn a_cold_endpoint_gets_no_more_than_its_budget() {
    let mut w = World::new(settings(1), 1, 5);
    flow(&mut w, 0, 150, &[]);
    // Said to be large, so that the choice alone would favour it.
    let cold = EndpointEntry {
        weight: 20.0,
        ..entry(4, EndpointState::Ready, Some(w.now))
    };
    w.tell(
        0,
        Event::EndpointListChanged(EndpointListUpdate::Changes(vec![cold])),
    );
    let before = w.sends.len();
    flow(&mut w, 0, 100, &[]);
    let sends = &w.sends[before..];
    let to_cold = sends.iter().filter(|s| s.1 == 4).count() as f64;
    let to_warm = sends.iter().filter(|s| s.1 != 4).count() as f64 / 4.0;
    assert!(
        to_cold <= 0.6 * to_warm + 1.0,
        "{to_cold} to the cold one, {to_warm} to each warm one"
    );
}

#[test]
fn when_everything_is_silent_nobody_is_ejected_for_good() {
    let mut w = World::new(settings(1), 1, 4);
    flow(&mut w, 0, 50, &[]);
    flow(&mut w, 0, 60, &[0, 1, 2, 3]);
    w.advance(ms(3000));
    let before = w.sends.len();
    flow(&mut w, 0, 20, &[]);
    assert!(
        w.sends.len() - before >= 10,
        "{} sent after the silence",
        w.sends.len() - before
    );
}

#[test]
fn overload_is_refused_early_and_not_queued() {
    let mut w = World::new(settings(1), 1, 3);
    let mut ids = Vec::new();
    for k in 0..200 {
        ids.push(w.request(0, 0, 0, 30_000 + k));
        w.count_all(CountMode::Answered);
    }
    let refused = ids
        .iter()
        .filter(|id| w.answer_of(0, **id) == Some(Answer::Refused))
        .count();
    assert!(
        refused >= 150,
        "{refused} refused of 200 at once on three servers"
    );
}

#[test]
fn every_request_has_its_answer_when_nothing_answers() {
    let mut w = World::new(settings(1), 1, 3);
    for class in 0..4 {
        w.request(0, class, 0, class as u64);
    }
    w.finish();
}

#[test]
fn discovery_is_asked_where_it_must_be_and_again_after_a_failure() {
    let mut s = settings(1);
    s.discovery = DiscoveryMode::Poll;
    let mut w = World::new(s, 1, 3);
    let asked = |w: &World| {
        w.actions
            .iter()
            .filter(|(_, a)| *a == Action::Subscribe)
            .count()
    };
    assert_eq!(asked(&w), 1);
    w.tell(
        0,
        Event::EndpointListChanged(EndpointListUpdate::Unavailable),
    );
    w.advance(ms(1500));
    assert_eq!(asked(&w), 2);
}

#[test]
fn settings_that_cannot_be_served_are_named() {
    let bad = |change: fn(&mut Settings)| {
        let mut s = settings(1);
        change(&mut s);
        Dispatcher::new(s, 1).err()
    };
    assert_eq!(bad(|s| s.classes.clear()), Some(SettingsError::NoClass));
    assert_eq!(bad(|s| s.plans.clear()), Some(SettingsError::NoPlan));
    assert!(bad(|s| s.plans[0].rate = f64::NAN).is_some());
    assert!(bad(|s| s.endpoint_limits.initial_capacity_ratio = -1.0).is_some());
}

#[test]
fn a_jam_that_makes_every_endpoint_look_silent_is_not_fed() {
    let mut w = World::new(settings(1), 1, 4);
    flow(&mut w, 0, 100, &[]);
    for k in 0..400 {
        w.request_for(0, 0, 0, 50_000 + k, ms(900));
        w.count_all(CountMode::Answered);
        w.advance(ms(5));
        let due: Vec<_> = w
            .requests
            .iter()
            .flat_map(|(key, r)| {
                r.attempts
                    .iter()
                    .enumerate()
                    .map(move |(n, a)| (*key, n, a, r.deadline))
            })
            .filter(|(_, _, a, deadline)| a.closed.is_none() && *deadline <= w.now)
            .map(|(key, n, _, _)| (key, n))
            .collect();
        for (key, n) in due {
            w.end_attempt(key.0, key.1, n, Outcome::Timeout);
        }
    }
    let late = w.sends.iter().filter(|s| s.2 + ms(1000) > w.now).count();
    assert!(
        late <= 60,
        "{late} sends in the last second into a jam, of 200 tries"
    );
}

#[test]
fn a_stream_that_started_outlives_its_deadline_and_ends_its_copies() {
    let mut s = settings(1);
    s.classes[0].streamed = true;
    let mut w = World::new(s, 1, 5);
    let id = w.request(0, 0, 0, 1);
    w.count_all(CountMode::Answered);
    w.tell(
        0,
        Event::StreamStarted {
            request: RequestId(id),
            attempt: 0,
        },
    );
    w.advance(ms(3000));
    assert_eq!(
        (w.answer_of(0, id), w.sent(0, id)),
        (None, 1),
        "neither failed nor copied"
    );
    w.end_attempt(0, id, 0, Outcome::Ok);
    assert_eq!(w.answer_of(0, id), Some(Answer::Served));
}
