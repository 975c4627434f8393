//! Tests the directory of services against a reference model.

#[path = "directory/changes.rs"]
mod changes;
#[path = "directory/model.rs"]
mod model;

use changes::{add, assign, network, remove, set_default, set_route};
use model::Model;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use roseyard_decision::ServiceId;
use roseyard_request_engine::*;
use std::net::SocketAddr;

/// The seed of the random changes, which proptest prints with each failure.
const SEED: u64 = 20_261_202;
const BOUNDS: DirectoryBounds = DirectoryBounds {
    services: 4,
    routes: 6,
};
const NAMES: [&str; 6] = ["forms", "orders", "mail", "search", "images", "billing"];
const ROUTES: [&str; 8] = ["a", "b", "eu/a", "eu/b", "us/a", "us/b", "", "a/long/one"];
const UIDS: [&str; 4] = ["s-1", "s-2", "s-3", "s-4"];
const NETWORKS: [&str; 8] = [
    "10.0.0.0/8",
    "10.1.0.0/16",
    "10.1.2.0/24",
    "10.1.2.3/32",
    "0.0.0.0/0",
    "2001:db8::/32",
    "2001:db8:1::/48",
    "192.0.2.0/25",
];
const ADDRESSES: [&str; 8] = [
    "10.1.2.3:80",
    "10.1.2.4:80",
    "10.1.9.9:80",
    "10.9.9.9:80",
    "192.0.2.1:80",
    "[2001:db8:1::5]:80",
    "[2001:db8:2::5]:80",
    "[::ffff:10.1.2.3]:80",
];

/// Checks that all lookups in the directory give the same results as in the model.
fn check_against_model(directory: &Directory, model: &Model) -> Result<(), TestCaseError> {
    let mut names: Vec<&str> = directory.services().map(|(_, name)| name).collect();
    let mut expected: Vec<&str> = model.services.iter().map(String::as_str).collect();
    names.sort_unstable();
    expected.sort_unstable();
    prop_assert_eq!(names, expected);
    prop_assert_eq!(directory.service_count(), model.services.len());
    prop_assert_eq!(directory.route_count(), model.routes.len());
    prop_assert_eq!(directory.selector_count(), model.selectors.len());
    prop_assert_eq!(directory.is_single_service(), model.is_single);
    for name in NAMES {
        let id = directory.id(name);
        prop_assert_eq!(id.is_some(), model.has(name));
        prop_assert_eq!(id.and_then(|id| directory.name(id)), id.map(|_| name));
        prop_assert_ne!(
            id,
            Some(SINGLE_SERVICE),
            "named services do not have the id of the single service"
        );
    }
    let expected = |name: Option<&String>| match model.is_single {
        true => Some(SINGLE_SERVICE),
        false => name.map(|name| directory.id(name).unwrap()),
    };
    for route in ROUTES {
        prop_assert_eq!(
            directory.service_of_route(route),
            expected(model.routes.get(route)),
            "{}",
            route
        );
    }
    prop_assert_eq!(
        directory.default_service(),
        expected(model.default.as_ref())
    );
    for uid in UIDS {
        for address in ADDRESSES {
            let address: SocketAddr = address.parse().unwrap();
            let found = directory.service_of_endpoint(uid, address);
            prop_assert_eq!(
                found,
                expected(model.endpoint_service(uid, address)),
                "{} at {}",
                uid,
                address
            );
        }
    }
    Ok(())
}

/// Whether an effect states that the endpoint may have moved to another service.
fn covers(effect: &DirectoryEffect, uid: &str, address: SocketAddr) -> bool {
    match effect {
        DirectoryEffect::Unchanged | DirectoryEffect::Added(_) | DirectoryEffect::Removed(_) => {
            false
        }
        DirectoryEffect::Reassigned(EndpointSelector::Uid(moved)) => **moved == *uid,
        DirectoryEffect::Reassigned(EndpointSelector::Network(network)) => {
            network.contains(&address.ip().to_canonical())
        }
        DirectoryEffect::DefaultReassigned | DirectoryEffect::AllReassigned => true,
    }
}

fn services_of_endpoints(
    directory: &Directory,
) -> Vec<(&'static str, SocketAddr, Option<ServiceId>)> {
    let mut services = Vec::new();
    for uid in UIDS {
        for address in ADDRESSES {
            let address = address.parse().unwrap();
            services.push((uid, address, directory.service_of_endpoint(uid, address)));
        }
    }
    services
}

fn change() -> impl Strategy<Value = DirectoryChange> {
    let name = || prop::sample::select(&NAMES[..]);
    let route = || prop::sample::select(&ROUTES[..]);
    let any_selector = || {
        prop_oneof![
            prop::sample::select(&NETWORKS[..]).prop_map(network),
            prop::sample::select(&UIDS[..]).prop_map(EndpointSelector::uid),
        ]
    };
    prop_oneof![
        4 => name().prop_map(add),
        2 => name().prop_map(remove),
        4 => (route(), name()).prop_map(|(route, name)| set_route(route, name)),
        2 => route().prop_map(|route| DirectoryChange::RemoveRoute { route: route.into() }),
        4 => (any_selector(), name()).prop_map(|(selector, name)| assign(selector, name)),
        2 => any_selector().prop_map(|selector| DirectoryChange::Unassign { selector }),
        1 => prop::option::of(name()).prop_map(set_default),
        1 => (0..6usize, 0..8usize)
            .prop_map(|(services, routes)| DirectoryChange::SetBounds(DirectoryBounds { services, routes })),
        1 => any::<bool>().prop_map(DirectoryChange::SetSingleService),
    ]
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Default::default()
    }
}

proptest! {
    #![proptest_config(config(400))]

    #[test]
    fn after_any_changes_the_directory_agrees_with_the_model(changes in prop::collection::vec(change(), 1..60)) {
        let (mut directory, mut model) = (Directory::new(BOUNDS), Model::new());
        let mut assigned: Vec<ServiceId> = Vec::new();
        for change in changes {
            let before = services_of_endpoints(&directory);
            let is_valid = model.apply(&change);
            match directory.apply(change.clone()) {
                Ok(effect) => {
                    prop_assert!(is_valid, "accepted although it is invalid: {:?}", change);
                    for ((uid, address, old), (_, _, new)) in before.into_iter().zip(services_of_endpoints(&directory)) {
                        prop_assert!(old == new || covers(&effect, uid, address), "{:?}: {} {}", effect, uid, address);
                    }
                    if let DirectoryEffect::Added(id) = effect {
                        prop_assert!(!assigned.contains(&id), "ids are not reused");
                        assigned.push(id);
                    }
                }
                Err(error) => prop_assert!(!is_valid, "{:?}: {}", change, error),
            }
            check_against_model(&directory, &model)?;
        }
    }

    #[test]
    fn the_difference_of_two_directories_turns_one_into_the_other(
        from in prop::collection::vec(change(), 0..60),
        to in prop::collection::vec(change(), 0..60),
    ) {
        let build = |changes: Vec<DirectoryChange>| {
            let (mut directory, mut model) = (Directory::new(BOUNDS), Model::new());
            for change in changes {
                model.apply(&change);
                // The previous test shows that the directory rejects the same changes as the model.
                let _ = directory.apply(change);
            }
            (directory, model)
        };
        let ((mut directory, _), (new, model)) = (build(from), build(to));
        let kept: Vec<_> = directory.services().map(|(id, name)| (id, name.to_owned())).collect();
        for change in directory.difference(&new) {
            let applied = directory.apply(change.clone());
            prop_assert!(applied.is_ok(), "{:?}: {:?}", change, applied);
        }
        check_against_model(&directory, &model)?;
        prop_assert_eq!(directory.bounds(), new.bounds());
        prop_assert!(directory.difference(&new).is_empty(), "no changes remain");
        for (id, name) in kept.iter().filter(|(_, name)| new.id(name).is_some()) {
            prop_assert_eq!(directory.id(name), Some(*id), "a service in both directories keeps its id");
        }
    }
}

#[test]
fn without_configured_services_everything_belongs_to_one_service() {
    let directory = Directory::single_service();
    let address = "10.0.0.1:80".parse().unwrap();
    assert_eq!(directory.service_of_route("any"), Some(ServiceId(0)));
    assert_eq!(directory.default_service(), Some(ServiceId(0)));
    assert_eq!(
        directory.service_of_endpoint("s-1", address),
        Some(ServiceId(0))
    );
    assert_eq!(
        (directory.service_count(), directory.capacity()),
        (0, 0),
        "no memory is allocated"
    );
}

#[test]
fn a_rejected_change_gives_the_reason_and_leaves_the_directory_unchanged() {
    let mut directory = Directory::new(DirectoryBounds {
        services: 2,
        routes: 1,
    });
    for change in [
        add("forms"),
        add("mail"),
        set_route("a", "forms"),
        assign(network("10.0.0.0/8"), "forms"),
        set_default(Some("mail")),
    ] {
        directory.apply(change).unwrap();
    }
    let unknown = EndpointSelector::uid("s-1");
    for (change, reason) in [
        (add("third"), "too many services: at most 2 are allowed"),
        (add("mail"), "service 'mail' already exists"),
        (remove("odd"), "there is no service 'odd'"),
        (
            remove("forms"),
            "service 'forms' is in use: it has 1 routes and 1 endpoint selectors",
        ),
        (
            remove("mail"),
            "service 'mail' is in use: it has 0 routes and 0 endpoint selectors and is the default",
        ),
        (set_route("a", "odd"), "there is no service 'odd'"),
        (
            set_route("b", "mail"),
            "too many routes: at most 1 are allowed",
        ),
        (
            DirectoryChange::RemoveRoute { route: "b".into() },
            "there is no route 'b'",
        ),
        (assign(unknown.clone(), "odd"), "there is no service 'odd'"),
        (
            DirectoryChange::Unassign { selector: unknown },
            "there is no endpoint selector 's-1'",
        ),
        (set_default(Some("odd")), "there is no service 'odd'"),
        (
            DirectoryChange::SetBounds(DirectoryBounds {
                services: 1,
                routes: 9,
            }),
            "too many services: at most 1 are allowed",
        ),
    ] {
        let before = directory.clone();
        assert_eq!(directory.apply(change).unwrap_err().to_string(), reason);
        assert_eq!(directory.difference(&before), [], "{reason}");
        assert_eq!(directory.bounds(), before.bounds());
    }
}

#[test]
fn retained_routes_and_endpoints_always_have_a_service_while_a_full_directory_is_replaced() {
    let build = |service: &str| {
        let mut directory = Directory::new(DirectoryBounds {
            services: 1,
            routes: 1,
        });
        let endpoints = assign(network("10.0.0.0/8"), service);
        for change in [
            add(service),
            set_route("a", service),
            endpoints,
            set_default(Some(service)),
        ] {
            directory.apply(change).unwrap();
        }
        directory
    };
    let (mut directory, new) = (build("old"), build("new"));
    let address = "10.1.1.1:80".parse().unwrap();
    for change in directory.difference(&new) {
        directory.apply(change).unwrap();
        assert!(directory.service_of_route("a").is_some());
        assert!(directory.service_of_endpoint("s-1", address).is_some());
        assert!(directory.default_service().is_some());
    }
    assert_eq!(directory.id("old"), None);
    assert_eq!(directory.bounds().services, 1);
}
