//! Tests the endpoint registry: ids and states of endpoints, stale connections, and unreadable
//! entries.

use roseyard_decision::{EndpointId, EndpointListUpdate, EndpointState};
use roseyard_request_engine::{
    Directory, EndpointListMessage, EndpointRecord, EndpointRecordState, EndpointRegistry,
    RecordResolver, RegistryUpdate,
};
use std::time::Duration;

fn apply(
    registry: &mut EndpointRegistry,
    list: &EndpointListMessage,
    zones: &[String],
) -> RegistryUpdate {
    registry.apply(
        list,
        &RecordResolver {
            zones,
            directory: &Directory::single_service(),
            to_engine_time,
        },
    )
}

fn to_engine_time(ms: f64) -> Option<Duration> {
    Duration::try_from_secs_f64(ms / 1000.0)
        .ok()
        .filter(|d| !d.is_zero())
}

fn list(revision: u64, is_full: bool, entries: &[(&str, &str, u64, f64)]) -> EndpointListMessage {
    let record = |(uid, state, port, started_at_unix_ms): &(&str, &str, u64, f64)| EndpointRecord {
        uid: (*uid).into(),
        address: format!("127.0.0.1:{port}"),
        zone: "b".into(),
        cell: 3,
        state: EndpointRecordState::from((*state).to_owned()),
        weight: 1.0,
        started_at_unix_ms: *started_at_unix_ms,
    };
    EndpointListMessage {
        revision,
        is_full,
        endpoints: entries.iter().map(record).collect(),
        unreadable_count: 0,
    }
}

#[test]
fn an_endpoint_keeps_its_id_until_its_removal_and_a_full_list_removes_unlisted_endpoints() {
    let mut registry = EndpointRegistry::default();
    let zones = ["a".to_owned(), "b".to_owned()];
    let mut update = |l: &EndpointListMessage| apply(&mut registry, l, &zones).update;
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
    assert!(!ids.contains(&entries[0].endpoint), "ids are not reused");
    assert_eq!(
        (registry.ready_endpoint_count(), registry.revision()),
        (2, 4)
    );
}

#[test]
fn idle_connections_are_stale_if_their_endpoint_drains_moves_restarts_or_is_removed() {
    let restarted_at = 4_000_000_000_000.0;
    for (state, port, started_at_unix_ms) in [
        ("DRAINING", 7001, 0.0),
        ("SERVING", 7009, 0.0),
        ("SERVING", 7001, restarted_at),
        ("DELETED", 7001, 0.0),
    ] {
        let mut registry = EndpointRegistry::default();
        apply(
            &mut registry,
            &list(1, true, &[("s-1", "SERVING", 7001, 0.0)]),
            &[],
        );
        let same = apply(
            &mut registry,
            &list(2, false, &[("s-1", "SERVING", 7001, 0.0)]),
            &[],
        );
        assert!(same.stale_endpoints.is_empty());
        let change = apply(
            &mut registry,
            &list(3, false, &[("s-1", state, port, started_at_unix_ms)]),
            &[],
        );
        assert_eq!(
            change.stale_endpoints,
            [EndpointId(1)],
            "{state} {port} {started_at_unix_ms}"
        );
    }
}

#[test]
fn a_new_endpoint_at_a_known_address_replaces_the_old_one() {
    let mut registry = EndpointRegistry::default();
    apply(
        &mut registry,
        &list(1, true, &[("s-1", "SERVING", 7001, 0.0)]),
        &[],
    );
    let change = apply(
        &mut registry,
        &list(2, false, &[("s-2", "SERVING", 7001, 0.0)]),
        &[],
    );
    let EndpointListUpdate::Changes(entries) = change.update else {
        panic!()
    };
    let updates: Vec<_> = entries
        .iter()
        .map(|e| (e.endpoint.0, e.state, e.cell))
        .collect();
    assert_eq!(
        updates,
        [(1, EndpointState::Removed, 3), (2, EndpointState::Ready, 3)]
    );
    assert_eq!(
        change.stale_endpoints,
        [EndpointId(1)],
        "connections to the replaced endpoint are stale"
    );
    assert!(registry.get(EndpointId(1)).is_none() && registry.get(EndpointId(2)).is_some());
}

#[test]
fn an_unreadable_entry_does_not_affect_the_others() {
    let mut registry = EndpointRegistry::default();
    let mut malformed = list(
        1,
        true,
        &[("s-1", "SERVING", 7001, 0.0), ("s-2", "ODD", 7002, 0.0)],
    );
    malformed.endpoints[1].started_at_unix_ms = f64::NAN;
    let change = apply(&mut registry, &malformed, &[]);
    assert_eq!(
        (change.unreadable_count, registry.ready_endpoint_count()),
        (1, 1)
    );
}

#[test]
fn an_endpoint_drains_even_if_the_address_in_its_entry_is_malformed() {
    let mut registry = EndpointRegistry::default();
    apply(
        &mut registry,
        &list(
            1,
            true,
            &[("s-1", "SERVING", 7001, 0.0), ("s-2", "SERVING", 7002, 0.0)],
        ),
        &[],
    );
    let mut malformed = list(2, false, &[("s-2", "DRAINING", 7002, 0.0)]);
    malformed.endpoints[0].address = "nowhere".into();
    let change = apply(&mut registry, &malformed, &[]);
    assert_eq!(
        (
            change.unreadable_count,
            registry.ready_endpoint_count(),
            change.stale_endpoints
        ),
        (0, 1, vec![EndpointId(2)])
    );
    malformed.endpoints[0].uid = "s-3".into();
    let change = apply(&mut registry, &malformed, &[]);
    assert_eq!(
        (change.unreadable_count, registry.ready_endpoint_count()),
        (1, 1),
        "the entry of an unknown endpoint without a valid address is unreadable"
    );
}
