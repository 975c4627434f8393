//! Services of one ingress: they do not affect each other, and the quotas of customers apply to all
//! of them together.

mod common;
use common::*;
use roseyard_decision::*;

#[test]
fn a_request_is_forwarded_only_to_endpoints_of_its_service() {
    let mut sim = ServiceSimulation::new(high_quota_settings(), 5);
    for round in 0..200 {
        // `ServiceSimulation` asserts for each forward that the endpoint belongs to the service of
        // the request.
        assert!(sim.serve(1 + round % 5), "round {round}");
    }
    assert_eq!(sim.dispatcher.service_count(), 5);
}

#[test]
fn a_quota_applies_to_all_services_together() {
    let mut sim = ServiceSimulation::new(
        Settings {
            plans: vec![plan(0.01, 10.0)],
            ..settings(1)
        },
        5,
    );
    let send_and_serve = |sim: &mut ServiceSimulation, service| {
        let id = sim.request(service, QUOTA_PLAN, 7);
        sim.end_attempt(id, Outcome::Ok, ms(1));
        u32::from(sim.requests[&id].served)
    };
    let served_requests: u32 = (0..50)
        .map(|round| send_and_serve(&mut sim, 1 + round % 5))
        .sum();
    assert_eq!(
        served_requests, 10,
        "all services share the burst of one bucket"
    );
}

#[test]
fn a_ceiling_applies_to_all_services_together_while_the_counter_does_not_reply() {
    let mut sim = ServiceSimulation::new(high_quota_settings(), 8);
    sim.counter_replies = false;
    for round in 0..200 {
        let id = sim.request(1 + round % 8, CEILING_PLAN, 7);
        sim.advance(ms(100));
        sim.end_attempt(id, Outcome::Ok, ms(1));
    }
    let served = sim.requests.values().filter(|record| record.served).count();
    // 20 s at 16 units per second, plus a burst of 32 and a slack of 3.2.
    assert!(served <= 20 * 16 + 35, "{served} requests served");
    let mut single_service = ServiceSimulation::new(high_quota_settings(), 1);
    single_service.counter_replies = false;
    for _ in 0..200 {
        let id = single_service.request(1, CEILING_PLAN, 7);
        single_service.advance(ms(100));
        single_service.end_attempt(id, Outcome::Ok, ms(1));
    }
    let served_alone = single_service
        .requests
        .values()
        .filter(|record| record.served)
        .count();
    assert!(
        served <= served_alone + 2,
        "{served} requests served by eight services, {served_alone} by one"
    );
}

#[test]
fn a_service_whose_endpoints_all_fail_does_not_affect_other_services() {
    for outcome in [
        Outcome::ConnectFailed,
        Outcome::Timeout,
        Outcome::Error,
        Outcome::Overloaded,
    ] {
        let mut sim = ServiceSimulation::new(high_quota_settings(), 2);
        let mut unserved = 0;
        for _ in 0..100 {
            let id = sim.request_within_quota(1);
            assert!(
                sim.serve(2),
                "{outcome:?}: a request of the other service was not served"
            );
            // Further attempts of this request fail too, until it is rejected or fails.
            for _ in 0..8 {
                sim.end_attempt(id, outcome, ms(5));
            }
            unserved += u32::from(sim.requests[&id].rejected);
            sim.advance(ms(15));
        }
        assert!(
            unserved > 0,
            "{outcome:?}: no request of the failing service was rejected or failed"
        );
        let with_further_attempts = sim
            .requests
            .values()
            .filter(|record| record.service == 2 && record.attempts.len() > 1);
        assert_eq!(
            with_further_attempts.count(),
            0,
            "{outcome:?}: requests of the other service needed further attempts"
        );
    }
}

#[test]
fn a_flood_on_one_service_takes_no_capacity_from_another() {
    let mut sim = ServiceSimulation::new(high_quota_settings(), 2);
    assert_eq!(sim.count_served(2, 50), 50);
    assert_eq!(sim.count_served(1, 50), 50);
    for _ in 0..50 {
        // The flood gets no responses, so its requests stay in flight.
        for _ in 0..40 {
            sim.request_within_quota(1);
        }
        assert!(sim.serve(2));
        sim.advance(ms(15));
    }
    let flood = sim.requests.values().filter(|record| record.service == 1);
    assert!(
        flood.filter(|record| record.rejected).count() > 1000,
        "too few requests of the flood were rejected"
    );
}

#[test]
fn a_draining_service_is_dropped_without_affecting_others() {
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
        "a service without endpoints and requests is dropped"
    );
}

#[test]
fn a_service_that_returns_with_restarted_endpoints_is_warming_up() {
    let mut settings = high_quota_settings();
    settings.ingress_count = 300;
    let mut sim = ServiceSimulation::new(settings, 2);
    // In its first seconds, each of many ingresses forwards very little to a service with few
    // endpoints.
    sim.advance(ms(10_000));
    let served_warm = sim.count_served(1, 100);
    assert!(
        served_warm > 90,
        "{served_warm} of 100 requests served by warm endpoints"
    );
    let removed = (0..ENDPOINTS_PER_SERVICE)
        .map(|index| service_entry(1, index, EndpointState::Removed, None))
        .collect();
    sim.change_endpoints(removed);
    sim.advance(ms(1000));
    let now = sim.now;
    let warming_up = (0..ENDPOINTS_PER_SERVICE)
        .map(|index| service_entry(1, index, EndpointState::Ready, Some(now)))
        .collect();
    sim.change_endpoints(warming_up);
    let served_warming_up = sim.count_served(1, 100);
    assert!(
        served_warming_up < served_warm / 2,
        "of 100 requests, {served_warming_up} served while warming up, {served_warm} when warm"
    );
    assert_eq!(
        sim.count_served(2, 20),
        20,
        "the endpoints of the other service are still warm"
    );
}

#[test]
fn an_endpoint_that_changes_its_service_gets_no_more_requests_of_the_previous_one() {
    let mut sim = ServiceSimulation::new(high_quota_settings(), 2);
    let in_flight_id = sim.request_within_quota(1);
    let moved_endpoint = sim.requests[&in_flight_id].attempts[0];
    let index = moved_endpoint % 1000;
    // The endpoint leaves service 1 and joins service 3, where it has another id.
    sim.change_endpoints(vec![
        service_entry(1, index, EndpointState::Removed, None),
        service_entry(3, index, EndpointState::Ready, None),
    ]);
    for _ in 0..50 {
        let id = sim.request_within_quota(1);
        assert_ne!(sim.requests[&id].attempts.first(), Some(&moved_endpoint));
        sim.end_attempt(id, Outcome::Ok, ms(1));
        assert!(sim.serve(3));
    }
    // The attempt that was in flight at the endpoint ends normally.
    sim.end_attempt(in_flight_id, Outcome::Ok, ms(300));
    assert!(sim.requests[&in_flight_id].served);
}

#[test]
fn a_service_without_requests_sets_no_timers() {
    let mut sim = ServiceSimulation::new(high_quota_settings(), 100);
    for service in 1..=100 {
        assert!(sim.serve(service));
    }
    // The timers for the deadlines of the ended requests expire, and no other is set.
    sim.advance(ms(10_000));
    assert!(sim.timers.is_empty(), "{:?}", sim.timers);
}

#[test]
fn state_stays_bounded_while_services_are_added_and_removed() {
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
        // A removed service that had a request keeps its state until its next maintenance, 50 ms
        // later. By then there are up to eleven such services.
        assert!(
            sim.dispatcher.service_count() <= 22,
            "{} services have state after service {service} was removed",
            sim.dispatcher.service_count()
        );
    }
    sim.advance(ms(10_000));
    assert_eq!(sim.dispatcher.service_count(), 10);
}

#[test]
fn a_full_list_drops_the_services_that_it_does_not_contain() {
    let mut sim = ServiceSimulation::new(high_quota_settings(), 10);
    let in_flight_id = sim.request_within_quota(9);
    sim.handle(Event::EndpointListChanged(EndpointListUpdate::Full(
        (1..=3).flat_map(ready_entries).collect(),
    )));
    assert_eq!(
        sim.dispatcher.service_count(),
        4,
        "three listed services, and one that has a request in flight"
    );
    sim.end_attempt(in_flight_id, Outcome::Ok, ms(5));
    assert!(sim.requests[&in_flight_id].served);
    sim.advance(ms(5000));
    assert_eq!(sim.dispatcher.service_count(), 3);
}

#[test]
fn an_ingress_that_has_just_started_serves_services_with_few_requests() {
    const SERVICES: u32 = 300;
    // With 430 ingresses and four endpoints per service, the share of one ingress in a service is
    // about a hundredth of an endpoint.
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
        "{rejected} of the 200 requests in the first second were rejected"
    );
}

#[test]
fn an_ingress_that_has_just_started_does_not_overload_idle_endpoints_of_many_services() {
    const SERVICES: u32 = 300;
    const INGRESSES: u32 = 430;
    let settings = Settings {
        ingress_count: INGRESSES,
        ..high_quota_settings()
    };
    let mut sim = ServiceSimulation::new(settings, SERVICES);
    for n in 0..2000 {
        // No endpoint responds.
        sim.request_within_quota(1 + (n * 7) % SERVICES);
    }
    let in_flight_requests = sim
        .requests
        .values()
        .filter(|record| record.in_flight)
        .count();
    let in_flight_per_endpoint = in_flight_requests as f64 * f64::from(INGRESSES)
        / f64::from(SERVICES * ENDPOINTS_PER_SERVICE);
    assert!(
        in_flight_per_endpoint <= 10.0,
        "{in_flight_per_endpoint} requests in flight per endpoint if all ingresses start at once"
    );
}
