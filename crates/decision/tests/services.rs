//! Services in one ingress: what happens to one affects no other, and customers' quotas span them
//! all.

mod common;
use common::*;
use roseyard_decision::*;

#[test]
fn a_request_goes_to_endpoints_of_its_own_service_alone() {
    let mut sim = ServiceSimulation::new(high_quota_settings(), 5);
    for round in 0..200 {
        // The simulation asserts of each forward that it goes to an endpoint of the request's
        // service.
        assert!(sim.serve(1 + round % 5), "round {round}");
    }
    assert_eq!(sim.dispatcher.service_count(), 5);
}

#[test]
fn a_quota_is_one_for_all_services() {
    let mut sim = ServiceSimulation::new(
        Settings {
            plans: vec![plan(0.01, 10.0)],
            ..settings(1)
        },
        5,
    );
    let served = |sim: &mut ServiceSimulation, service| {
        let id = sim.request(service, QUOTA_PLAN, 7);
        sim.end_attempt(id, Outcome::Ok, ms(1));
        u32::from(sim.requests[&id].served)
    };
    let all: u32 = (0..50).map(|round| served(&mut sim, 1 + round % 5)).sum();
    assert_eq!(
        all, 10,
        "the burst of one bucket, not of one for each service"
    );
}

#[test]
fn a_ceiling_is_one_for_all_services_where_the_counter_does_not_reply() {
    let mut sim = ServiceSimulation::new(high_quota_settings(), 8);
    sim.counter_replies = false;
    for round in 0..200 {
        let id = sim.request(1 + round % 8, CEILING_PLAN, 7);
        sim.advance(ms(100));
        sim.end_attempt(id, Outcome::Ok, ms(1));
    }
    let served = sim.requests.values().filter(|record| record.served).count();
    // 20 s at 16 units a second, and a depth of 32 with a slack of 3.2.
    assert!(served <= 20 * 16 + 35, "{served} served");
    let mut alone = ServiceSimulation::new(high_quota_settings(), 1);
    alone.counter_replies = false;
    for _ in 0..200 {
        let id = alone.request(1, CEILING_PLAN, 7);
        alone.advance(ms(100));
        alone.end_attempt(id, Outcome::Ok, ms(1));
    }
    let served_alone = alone
        .requests
        .values()
        .filter(|record| record.served)
        .count();
    assert!(
        served <= served_alone + 2,
        "{served} over eight services, {served_alone} over one"
    );
}

#[test]
fn a_service_whose_endpoints_all_fail_or_hang_affects_no_other() {
    for outcome in [
        Outcome::ConnectFailed,
        Outcome::Timeout,
        Outcome::Error,
        Outcome::Overloaded,
    ] {
        let mut sim = ServiceSimulation::new(high_quota_settings(), 2);
        let mut broken = 0;
        for _ in 0..100 {
            let id = sim.request_within_quota(1);
            assert!(
                sim.serve(2),
                "{outcome:?}: the other service is served as ever"
            );
            // Further attempts of the broken one fail too, until it gives up.
            for _ in 0..8 {
                sim.end_attempt(id, outcome, ms(5));
            }
            broken += u32::from(sim.requests[&id].rejected);
            sim.advance(ms(15));
        }
        assert!(
            broken > 0,
            "{outcome:?}: the broken service rejects or fails"
        );
        let further = sim
            .requests
            .values()
            .filter(|record| record.service == 2 && record.attempts.len() > 1);
        assert_eq!(
            further.count(),
            0,
            "{outcome:?}: no further attempt of the other was needed"
        );
    }
}

#[test]
fn a_flood_on_one_service_takes_no_capacity_from_another() {
    let mut sim = ServiceSimulation::new(high_quota_settings(), 2);
    assert_eq!(sim.count_served(2, 50), 50);
    assert_eq!(sim.count_served(1, 50), 50);
    for _ in 0..50 {
        // Nothing of the flood is answered: it stays in flight.
        for _ in 0..40 {
            sim.request_within_quota(1);
        }
        assert!(sim.serve(2));
        sim.advance(ms(15));
    }
    let flood = sim.requests.values().filter(|record| record.service == 1);
    assert!(
        flood.filter(|record| record.rejected).count() > 1000,
        "the flood itself is rejected"
    );
}

#[test]
fn a_draining_service_stops_alone_and_is_dropped() {
    let mut sim = ServiceSimulation::new(high_quota_settings(), 3);
    assert!(sim.serve(1) && sim.serve(2));
    let drained = (0..ENDPOINTS_PER_SERVICE)
        .map(|index| service_entry(1, index, EndpointState::Draining, None))
        .collect();
    sim.change_endpoints(drained);
    let id = sim.request_within_quota(1);
    assert!(sim.requests[&id].rejected && sim.requests[&id].attempts.is_empty());
    assert!(sim.serve(2));
    sim.advance(ms(500));
    assert_eq!(
        sim.dispatcher.service_count(),
        2,
        "a service without endpoints and requests holds no state"
    );
}

#[test]
fn a_service_that_returns_is_warming_up_by_its_endpoints_start_times() {
    let mut settings = high_quota_settings();
    settings.ingress_count = 300;
    let mut sim = ServiceSimulation::new(settings, 2);
    // In the first seconds each of many ingresses forwards next to nothing to few endpoints.
    sim.advance(ms(10_000));
    let served_warm = sim.count_served(1, 100);
    assert!(served_warm > 90, "{served_warm} of 100 while warm");
    let gone = (0..ENDPOINTS_PER_SERVICE)
        .map(|index| service_entry(1, index, EndpointState::Removed, None))
        .collect();
    sim.change_endpoints(gone);
    sim.advance(ms(1000));
    let now = sim.now;
    let warming_up = (0..ENDPOINTS_PER_SERVICE)
        .map(|index| service_entry(1, index, EndpointState::Ready, Some(now)))
        .collect();
    sim.change_endpoints(warming_up);
    let served_warming_up = sim.count_served(1, 100);
    assert!(
        served_warming_up < served_warm / 2,
        "{served_warming_up} of 100 to endpoints warming up, {served_warm} to warm ones"
    );
    assert_eq!(sim.count_served(2, 20), 20, "the other service is warm");
}

#[test]
fn an_endpoint_that_migrates_gets_nothing_more_from_its_previous_service() {
    let mut sim = ServiceSimulation::new(high_quota_settings(), 2);
    let out = sim.request_within_quota(1);
    let endpoint_that_migrates = sim.requests[&out].attempts[0];
    let index = endpoint_that_migrates % 1000;
    // The endpoint leaves the first service and joins the third, under its own number there.
    sim.change_endpoints(vec![
        service_entry(1, index, EndpointState::Removed, None),
        service_entry(3, index, EndpointState::Ready, None),
    ]);
    for _ in 0..50 {
        let id = sim.request_within_quota(1);
        assert_ne!(
            sim.requests[&id].attempts.first(),
            Some(&endpoint_that_migrates)
        );
        sim.end_attempt(id, Outcome::Ok, ms(1));
        assert!(sim.serve(3));
    }
    // What was in flight there ends normally.
    sim.end_attempt(out, Outcome::Ok, ms(300));
    assert!(sim.requests[&out].served);
}

#[test]
fn a_service_without_requests_is_never_woken() {
    let mut sim = ServiceSimulation::new(high_quota_settings(), 100);
    for service in 1..=100 {
        assert!(sim.serve(service));
    }
    // Deadlines of requests that are over come due; then there is nothing more.
    sim.advance(ms(10_000));
    assert!(sim.timers.is_empty(), "{:?}", sim.timers);
}

#[test]
fn churn_of_services_leaves_the_state_of_the_live_ones() {
    let mut sim = ServiceSimulation::new(high_quota_settings(), 10);
    for service in 100..100_100 {
        sim.change_endpoints(vec![service_entry(service, 0, EndpointState::Ready, None)]);
        if service % 100 == 0 {
            assert!(sim.serve(service));
        }
        sim.change_endpoints(vec![service_entry(
            service,
            0,
            EndpointState::Removed,
            None,
        )]);
        // One that had a request stays until its next maintenance, 50 ms later: that is eleven of
        // them.
        assert!(
            sim.dispatcher.service_count() <= 22,
            "{} after {service}",
            sim.dispatcher.service_count()
        );
    }
    sim.advance(ms(10_000));
    assert_eq!(sim.dispatcher.service_count(), 10);
}

#[test]
fn a_complete_list_drops_the_services_that_it_does_not_name() {
    let mut sim = ServiceSimulation::new(high_quota_settings(), 10);
    let out = sim.request_within_quota(9);
    sim.handle(Event::EndpointListChanged(EndpointListUpdate::Full(
        (1..=3).flat_map(ready_entries).collect(),
    )));
    assert_eq!(
        sim.dispatcher.service_count(),
        4,
        "one has a request in flight"
    );
    sim.end_attempt(out, Outcome::Ok, ms(5));
    assert!(sim.requests[&out].served);
    sim.advance(ms(5000));
    assert_eq!(sim.dispatcher.service_count(), 3);
}

#[test]
fn an_ingress_that_has_just_started_serves_services_with_few_requests() {
    const SERVICES: u32 = 300;
    // 430 ingresses before 300 services of four endpoints: a hundredth of an endpoint of each falls
    // to one of them.
    let settings = Settings {
        ingress_count: 430,
        ..high_quota_settings()
    };
    let mut sim = ServiceSimulation::new(settings, SERVICES);
    for n in 0..200 {
        let id = sim.request_within_quota(1 + (n * 7) % SERVICES);
        sim.advance(ms(5));
        sim.end_attempt(id, Outcome::Ok, ms(5));
    }
    let rejected = sim
        .requests
        .values()
        .filter(|record| record.rejected)
        .count();
    assert!(
        rejected <= 10,
        "{rejected} of 200 requests of the first second rejected"
    );
}

#[test]
fn an_ingress_that_has_just_started_does_not_fill_idle_endpoints_of_many_services() {
    const SERVICES: u32 = 300;
    const INGRESSES: u32 = 430;
    let settings = Settings {
        ingress_count: INGRESSES,
        ..high_quota_settings()
    };
    let mut sim = ServiceSimulation::new(settings, SERVICES);
    for n in 0..2000 {
        // Nobody answers.
        sim.request_within_quota(1 + (n * 7) % SERVICES);
    }
    let sent = sim
        .requests
        .values()
        .filter(|record| record.in_flight)
        .count();
    let at_each_endpoint =
        sent as f64 * f64::from(INGRESSES) / f64::from(SERVICES * ENDPOINTS_PER_SERVICE);
    assert!(
        at_each_endpoint <= 10.0,
        "{at_each_endpoint} in flight at each endpoint if all ingresses start at once"
    );
}
