//! The list of servers: who is ready, who is gone, and what becomes of connections to them.

use roseyard_decision::{EndpointId, EndpointListUpdate, EndpointState};
use roseyard_request_engine::{
    Directory, EndpointListMessage, EndpointRecord, EndpointRegistry, EntryContext, RegistryUpdate,
};
use std::time::Duration;

fn apply(
    fleet: &mut EndpointRegistry,
    list: &EndpointListMessage,
    zones: &[String],
) -> RegistryUpdate {
    fleet.apply(
        list,
        &EntryContext {
            zones,
            directory: &Directory::single(),
            started,
        },
    )
}

fn started(ms: f64) -> Option<Duration> {
    Duration::try_from_secs_f64(ms / 1000.0)
        .ok()
        .filter(|d| !d.is_zero())
}

fn list(rev: u64, all: bool, entries: &[(&str, &str, u64, f64)]) -> EndpointListMessage {
    let target = |(uid, state, port, boot_ms): &(&str, &str, u64, f64)| EndpointRecord {
        uid: (*uid).into(),
        address: format!("127.0.0.1:{port}"),
        az: "b".into(),
        pod_group: 3,
        state: (*state).into(),
        capacity_hint: 1.0,
        boot_ms: *boot_ms,
    };
    EndpointListMessage {
        rev,
        all,
        targets: entries.iter().map(target).collect(),
        unreadable: 0,
    }
}

#[test]
fn an_endpoint_keeps_its_number_until_it_is_gone_and_a_full_list_ends_those_it_lacks() {
    let mut fleet = EndpointRegistry::default();
    let zones = ["a".to_owned(), "b".to_owned()];
    let mut update = |l: &EndpointListMessage| apply(&mut fleet, l, &zones).update;
    let first = [("s-1", "SERVING", 7001, 0.0), ("s-2", "SERVING", 7002, 0.0)];
    let EndpointListUpdate::Full(entries) = update(&list(1, true, &first)) else {
        panic!()
    };
    assert_eq!((entries[0].zone, entries[0].cell), (1, 3));
    let ids = [entries[0].endpoint, entries[1].endpoint];
    let EndpointListUpdate::Changes(entries) =
        update(&list(2, false, &[("s-2", "DRAINING", 7002, 0.0)]))
    else {
        panic!()
    };
    assert_eq!(
        (entries[0].endpoint, entries[0].state),
        (ids[1], EndpointState::Draining)
    );
    update(&list(3, true, &[("s-1", "SERVING", 7001, 0.0)]));
    let EndpointListUpdate::Changes(entries) =
        update(&list(4, false, &[("s-2", "SERVING", 7002, 0.0)]))
    else {
        panic!()
    };
    assert!(
        !ids.contains(&entries[0].endpoint),
        "a number is never used again"
    );
    assert_eq!((fleet.ready(), fleet.rev), (2, 4));
}

#[test]
fn idle_connections_go_with_what_they_led_to() {
    let booted = 4_000_000_000_000.0;
    for (state, port, boot_ms) in [
        ("DRAINING", 7001, 0.0),
        ("SERVING", 7009, 0.0),
        ("SERVING", 7001, booted),
        ("DELETED", 7001, 0.0),
    ] {
        let mut fleet = EndpointRegistry::default();
        apply(
            &mut fleet,
            &list(1, true, &[("s-1", "SERVING", 7001, 0.0)]),
            &[],
        );
        let same = apply(
            &mut fleet,
            &list(2, false, &[("s-1", "SERVING", 7001, 0.0)]),
            &[],
        );
        assert!(same.stale.is_empty());
        let change = apply(
            &mut fleet,
            &list(3, false, &[("s-1", state, port, boot_ms)]),
            &[],
        );
        assert_eq!(change.stale, [EndpointId(1)], "{state} {port} {boot_ms}");
    }
}

#[test]
fn a_new_endpoint_at_an_old_address_is_another_and_the_old_one_is_gone() {
    let mut fleet = EndpointRegistry::default();
    apply(
        &mut fleet,
        &list(1, true, &[("s-1", "SERVING", 7001, 0.0)]),
        &[],
    );
    let change = apply(
        &mut fleet,
        &list(2, false, &[("s-2", "SERVING", 7001, 0.0)]),
        &[],
    );
    let EndpointListUpdate::Changes(entries) = change.update else {
        panic!()
    };
    let told: Vec<_> = entries
        .iter()
        .map(|e| (e.endpoint.0, e.state, e.cell))
        .collect();
    assert_eq!(
        told,
        [(1, EndpointState::Removed, 3), (2, EndpointState::Ready, 3)]
    );
    assert_eq!(change.stale, [EndpointId(1)], "its connections go with it");
    assert!(fleet.get(EndpointId(1)).is_none() && fleet.get(EndpointId(2)).is_some());
}

#[test]
fn an_entry_that_cannot_be_read_leaves_the_others() {
    let mut fleet = EndpointRegistry::default();
    let mut odd = list(
        1,
        true,
        &[("s-1", "SERVING", 7001, 0.0), ("s-2", "ODD", 7002, 0.0)],
    );
    odd.targets[1].boot_ms = f64::NAN;
    let change = apply(&mut fleet, &odd, &[]);
    assert_eq!((change.bad, fleet.ready()), (1, 1));
}

#[test]
fn word_that_an_endpoint_leaves_counts_whatever_else_cannot_be_read() {
    let mut fleet = EndpointRegistry::default();
    apply(
        &mut fleet,
        &list(
            1,
            true,
            &[("s-1", "SERVING", 7001, 0.0), ("s-2", "SERVING", 7002, 0.0)],
        ),
        &[],
    );
    let mut odd = list(2, false, &[("s-2", "DRAINING", 7002, 0.0)]);
    odd.targets[0].address = "nowhere".into();
    let change = apply(&mut fleet, &odd, &[]);
    assert_eq!(
        (change.bad, fleet.ready(), change.stale),
        (0, 1, vec![EndpointId(2)])
    );
    odd.targets[0].uid = "s-3".into();
    let change = apply(&mut fleet, &odd, &[]);
    assert_eq!(
        (change.bad, fleet.ready()),
        (1, 1),
        "one that was never named is no server"
    );
}
