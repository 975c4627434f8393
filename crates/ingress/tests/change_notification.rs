//! A change of the endpoint list is applied within a bounded time once discovery has it and can be
//! reached, whatever failed before, also while idle clients fill the descriptors. With no descriptor
//! left at all it is `descriptor_shortage.rs`.

mod common;

use common::*;
use std::time::Duration;

const PING: &str = "*1\r\n$4\r\nPING\r\n";

#[test]
fn a_change_is_applied_within_6_s_of_discovery_being_reachable_again() {
    for mode in DISCOVERY_MODES {
        for fault in DISCOVERY_FAULTS {
            // Several lengths, as the backoff grows with them.
            let outages: &[u64] = match fault {
                DiscoveryFault::NeverAccepts
                | DiscoveryFault::Silent
                | DiscoveryFault::HeadOnly
                | DiscoveryFault::HalfList => &[4050, 17_350],
                _ => &[4050, 11_150, 17_350, 31_050],
            };
            for outage in outages.iter().map(|ms| Duration::from_millis(*ms)) {
                let mut change = PendingChange::new(mode);
                change.fail(fault);
                change.fail_for(fault, outage);
                change.recover(fault);
                let since = change.harness.now;
                change.assert_applied_within(
                    MAX_NOTIFICATION_DELAY,
                    since,
                    &format!("{fault:?} for {outage:?}"),
                );
            }
        }
    }
}

#[test]
fn a_change_missed_by_a_silent_watch_and_a_failed_call_is_applied_within_the_grace() {
    for mode in DISCOVERY_MODES {
        for fault in DISCOVERY_FAULTS {
            let mut change = PendingChange::new(mode);
            let since = change.harness.now;
            // The watch has fallen silent; the call after it fails.
            let waits = Duration::from_millis(2500);
            change.fail_for(DiscoveryFault::Silent, waits);
            if matches!(
                fault,
                DiscoveryFault::Refuses | DiscoveryFault::NeverAccepts
            ) {
                change.harness.discovery.connections.clear();
                change.fail(fault);
                change.fail_for(fault, Duration::from_millis(700));
                change.recover(fault);
            } else {
                while change.step(fault) == 0 {}
            }
            let most = MAX_NOTIFICATION_DELAY + Duration::from_millis(mode.drain_grace_ms);
            change.assert_applied_within(most, since, &format!("silent, then {fault:?}"));
        }
    }
}

#[test]
fn a_change_at_a_reloaded_address_is_applied_within_4_s_whatever_the_old_one_does() {
    for mode in DISCOVERY_MODES {
        for fault in DISCOVERY_FAULTS {
            let mut change = PendingChange::new(mode);
            change.fail(fault);
            change.fail_for(fault, Duration::from_millis(9050));
            let _old = change.migrate_discovery();
            let since = change.harness.now;
            change.assert_applied_within(
                MAX_NOTIFICATION_DELAY_AFTER_RELOAD,
                since,
                &format!("moved away from {fault:?}"),
            );
        }
        let mut change = PendingChange::new(mode);
        change.old_discovery = Some(change.migrate_discovery());
        let since = change.harness.now;
        change.assert_applied_within(
            MAX_NOTIFICATION_DELAY_AFTER_RELOAD,
            since,
            "moved away from an address that keeps sending",
        );
    }
}

#[test]
fn a_change_is_applied_within_6_s_of_the_last_of_several_addresses_being_reachable() {
    for mode in DISCOVERY_MODES {
        for fault in DISCOVERY_FAULTS {
            let mut change = PendingChange::new(mode);
            change.fail(DiscoveryFault::Rejects);
            change.fail_for(DiscoveryFault::Rejects, Duration::from_millis(9050));
            // Three migrations in a row, each to an address that fails for a while, the last longest.
            let mut old = Vec::new();
            for time in [100, 1500, 7050] {
                old.push(change.migrate_discovery());
                change.fail(fault);
                change.fail_for(fault, Duration::from_millis(time));
            }
            change.recover(fault);
            let since = change.harness.now;
            change.assert_applied_within(
                MAX_NOTIFICATION_DELAY,
                since,
                &format!("moved thrice, {fault:?}"),
            );
        }
    }
}

#[test]
fn a_long_list_is_awaited_while_its_parts_arrive_and_not_when_it_trickles() {
    const PARTS: usize = 15;
    const BETWEEN_MS: u64 = 400;
    for trickles in [false, true] {
        let mut change = PendingChange::new(DISCOVERY_MODES[0]);
        change
            .harness
            .discovery
            .connections
            .iter_mut()
            .for_each(Connection::close);
        let before = change.harness.discovery.connections.len();
        while change.harness.discovery.connections.len() == before {
            change.harness.advance(STEP_MS);
        }
        // Takes longer than a call may stay silent.
        let complete_list = endpoint_list(42, true, &many_endpoint_entries(600));
        let part = if trickles {
            1
        } else {
            complete_list.len().div_ceil(PARTS)
        };
        change.harness.discovery.connections[before].send(WATCH_HEAD);
        for n in 0..PARTS {
            let text = &complete_list[n * part..complete_list.len().min((n + 1) * part)];
            change.harness.discovery.connections[before].send(chunk(text));
            for _ in 0..5 {
                change.harness.run_iteration();
            }
            change.harness.advance(BETWEEN_MS);
        }
        let calls = change.harness.discovery.connections.len() - before;
        if trickles {
            assert!(calls > 1, "one call was waited for without end");
        } else {
            assert_eq!((calls, change.harness.program.list_revision()), (1, 42));
        }
    }
}

#[test]
fn idle_clients_do_not_take_the_descriptors_of_discovery_counter_and_endpoints() {
    for fault in [
        DiscoveryFault::Refuses,
        DiscoveryFault::NeverAccepts,
        DiscoveryFault::Silent,
        DiscoveryFault::Rejects,
    ] {
        let mut change = PendingChange::with_replacements(
            DISCOVERY_MODES[0],
            &[("\"sockets\":1024", "\"sockets\":64")],
        );
        let mut active = change.harness.connect();
        active.send(PING.repeat(2));
        change
            .harness
            .expect_reply(&mut active, "+PONG\r\n+PONG\r\n");
        change.fail(fault);
        let mut idle = Vec::new();
        for n in 0..200 {
            let mut client = change.harness.connect();
            // Half of them send nothing.
            if n % 2 == 0 {
                client.send(PING);
            }
            idle.push(client);
            // Faster than admission closes the silent ones.
            if n % 10 == 0 {
                change.step(fault);
            }
            if n % 50 == 0 {
                serve_request(
                    &mut change.harness,
                    &mut active,
                    read_request_of_customer(100 + n, n),
                );
            }
        }
        assert!(
            change.harness.program.open().clients < 64,
            "{fault:?}: no more clients than descriptors"
        );
        change.recover(fault);
        let since = change.harness.now;
        let most = Duration::from_millis(1000 + STEP_MS);
        change.assert_applied_within(most, since, &format!("{fault:?}, filled with idle clients"));
        let counter_calls = change.harness.counter.calls.len();
        active.send(read_request_of_customer(900, 900));
        let (endpoint, connection, _) = change.harness.next_request();
        assert_eq!(
            (endpoint, change.harness.counter.calls.len()),
            (1, counter_calls + 1),
            "{fault:?}"
        );
        change.harness.endpoints[endpoint].connections[connection].send(served_reply("v"));
        change.harness.expect_reply(&mut active, "$1\r\nv\r\n");
    }
}
