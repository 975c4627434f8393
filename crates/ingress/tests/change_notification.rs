//! A change of the endpoint list is applied within a bounded time once discovery has it and can be
//! reached, whichever fault came before, also while idle clients use up the descriptors.
//! `descriptor_shortage.rs` tests the case in which no descriptor is left at all.

mod common;

use common::*;
use std::time::Duration;

const PING: &str = "*1\r\n$4\r\nPING\r\n";

#[test]
fn a_change_is_applied_within_6_s_of_discovery_being_reachable_again() {
    for mode in DISCOVERY_MODES {
        for fault in DISCOVERY_FAULTS {
            // The backoff grows with the length of the outage.
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
fn a_change_missed_by_a_silent_watch_and_a_failed_call_is_applied_within_6_s_and_the_drain_grace() {
    for mode in DISCOVERY_MODES {
        for fault in DISCOVERY_FAULTS {
            let mut change = PendingChange::new(mode);
            let since = change.harness.now;
            // The watch falls silent, and the next call fails.
            let silence = Duration::from_millis(2500);
            change.fail_for(DiscoveryFault::Silent, silence);
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
            let max_delay = MAX_NOTIFICATION_DELAY + Duration::from_millis(mode.drain_grace_ms);
            change.assert_applied_within(max_delay, since, &format!("silent, then {fault:?}"));
        }
    }
}

#[test]
fn a_change_at_a_reloaded_address_is_applied_within_4_s_whatever_the_old_address_does() {
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
                &format!("reload with a new address after {fault:?}"),
            );
        }
        let mut change = PendingChange::new(mode);
        change.old_discovery = Some(change.migrate_discovery());
        let since = change.harness.now;
        change.assert_applied_within(
            MAX_NOTIFICATION_DELAY_AFTER_RELOAD,
            since,
            "reload with a new address while the old one keeps sending",
        );
    }
}

#[test]
fn a_change_is_applied_within_6_s_of_the_last_of_several_new_addresses_being_reachable() {
    for mode in DISCOVERY_MODES {
        for fault in DISCOVERY_FAULTS {
            let mut change = PendingChange::new(mode);
            change.fail(DiscoveryFault::Rejects);
            change.fail_for(DiscoveryFault::Rejects, Duration::from_millis(9050));
            // Three reloads in a row, each with a new address that fails for a while, the last one
            // for the longest time.
            let mut old_peers = Vec::new();
            for outage_ms in [100, 1500, 7050] {
                old_peers.push(change.migrate_discovery());
                change.fail(fault);
                change.fail_for(fault, Duration::from_millis(outage_ms));
            }
            change.recover(fault);
            let since = change.harness.now;
            change.assert_applied_within(
                MAX_NOTIFICATION_DELAY,
                since,
                &format!("three reloads with new addresses, {fault:?}"),
            );
        }
    }
}

#[test]
fn a_call_continues_while_parts_of_a_long_list_arrive_but_not_when_the_list_trickles() {
    const PARTS: usize = 15;
    const PART_INTERVAL_MS: u64 = 400;
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
        // The whole list takes longer to arrive than a call may stay silent.
        let complete_list = endpoint_list(42, true, &many_endpoint_entries(600));
        let part_bytes = if trickles {
            1
        } else {
            complete_list.len().div_ceil(PARTS)
        };
        change.harness.discovery.connections[before].send(WATCH_HEAD);
        for n in 0..PARTS {
            let text =
                &complete_list[n * part_bytes..complete_list.len().min((n + 1) * part_bytes)];
            change.harness.discovery.connections[before].send(chunk(text));
            for _ in 0..5 {
                change.harness.run_iteration();
            }
            change.harness.advance(PART_INTERVAL_MS);
        }
        let calls = change.harness.discovery.connections.len() - before;
        if trickles {
            assert!(
                calls > 1,
                "the ingress waits without limit for a list that trickles"
            );
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
            // The clients connect faster than admission closes the silent ones.
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
            "{fault:?}: fewer clients than descriptors"
        );
        change.recover(fault);
        let since = change.harness.now;
        let max_delay = Duration::from_millis(1000 + STEP_MS);
        change.assert_applied_within(max_delay, since, &format!("{fault:?}, with idle clients"));
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
