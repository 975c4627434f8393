//! Failures and restarts at size, played on hollow ingresses.

use super::hollow::{Demand, Hollow, Load, Split, Traffic, World, UNIX_MS};
use super::listing::{Entry, Listing, State};
use super::measure::timed;
use super::report::{Figure, RoleReport};
use super::{list, targets, Run};
use std::sync::Arc;
use std::time::Duration;

/// Zones, over which servers are spread in turn: one holds some 4,150.
const ZONES: usize = 13;
/// Servers of a rack.
const RACK_SERVERS: usize = 40;
/// A service of the mean size, which has a server in the rack.
const SERVICE: usize = 17;
/// A service of two regions, half of its servers in each.
const SPLIT_SERVICE: usize = 16;
const STEP: Duration = Duration::from_millis(100);
/// The span over which a cold server must not get too much.
const TIP_AFTER: Duration = Duration::from_secs(3);

/// Plays each event with so many ingresses.
pub(super) fn run(run: &Run) -> RoleReport {
    let mut figures = Vec::new();
    run.progress("events: one ingress restarts");
    let first = run.sizes[0];
    restart(run, first, &mut figures);
    run.progress("events: a rack goes");
    rack(run, first, &mut figures);
    for &size in &run.sizes {
        run.progress("events: two regions lose each other");
        regions(run, size, &mut figures);
        run.progress("events: a zone goes and returns cold");
        zone(run, size, &mut figures);
    }
    run.progress("events: a zone's servers in the whole list");
    zone_in_whole_list(run, first, &mut figures);
    control(&run.sizes, &mut figures);
    let notes = vec![
        run.shape(),
        format!("a restart and a zone's changes: one ingress that holds all {} servers", targets::SERVERS),
        format!("a rack: {} ingresses, a service of {SERVICE}, one server of which is in it; nobody is told for 10 s",
            targets::INGRESSES),
        format!("regions: a service of {SPLIT_SERVICE}, half of its servers out of reach, for 30 s"),
        "a zone: as many servers an ingress as in the plan; 7.7% of both go and return cold".into(),
        "membership in the same events is measured with its role".into(),
    ];
    run.report("events", "ingresses", figures, notes)
}

fn one(figures: &mut Vec<Figure>, quantity: &str, unit: &str, size: usize, value: f64) {
    match figures
        .iter_mut()
        .find(|figure| figure.quantity == quantity)
    {
        Some(figure) => figure.push(size, &[value]),
        None => {
            let mut figure = Figure::measured(quantity, unit);
            figure.push(size, &[value]);
            figures.push(figure);
        }
    }
}

/// One ingress starts with nothing, and is told the whole list.
fn restart(run: &Run, size: usize, figures: &mut Vec<Figure>) {
    let listing = Arc::new(Listing::new(targets::SERVERS, run.services));
    let line = listing.whole();
    let mut world = World::new(run.seed);
    let (mut hollow, took) = timed(|| {
        let mut hollow = Hollow::new(&listing, targets::INGRESSES, 0, run.seed);
        hollow.take_line(&line, &mut world);
        hollow
    });
    let load = Load {
        rate: targets::REQUESTS_PER_INGRESS,
        tenants: targets::TENANTS,
        demand: Demand::ByServers,
    };
    hollow.run(Duration::from_secs(1), Some(load), &mut world);
    let first = hollow.traffic;
    one(
        figures,
        "restart: bytes of the list",
        "bytes",
        size,
        line.len() as f64 + 1.0,
    );
    one(
        figures,
        "restart: processor time until the list is in",
        "ms",
        size,
        took.as_secs_f64() * 1e3,
    );
    one(
        figures,
        "restart: requests refused in the first second",
        "%",
        size,
        refused(&first),
    );
}

fn refused(traffic: &Traffic) -> f64 {
    let ended = traffic.served + traffic.refused + traffic.failed;
    100.0 * (traffic.refused + traffic.failed) as f64 / ended.max(1) as f64
}

fn fleet(ingresses: usize, run: &Run, listing: &Arc<Listing>, world: &mut World) -> Vec<Hollow> {
    let line = listing.whole();
    let one = |number| {
        let mut hollow = Hollow::new(listing, ingresses, number, run.seed);
        hollow.take_line(&line, world);
        hollow
    };
    (0..ingresses).map(one).collect()
}

/// Goes on to a time with all ingresses in step; what has gone in and out meanwhile.
fn go_on(fleet: &mut [Hollow], until: Duration, load: Load, world: &mut World) -> Traffic {
    fleet
        .iter_mut()
        .for_each(|hollow| hollow.traffic = Traffic::default());
    let mut now = fleet.first().map_or(until, Hollow::now);
    while now < until {
        now += STEP;
        fleet
            .iter_mut()
            .for_each(|hollow| hollow.run(now, Some(load), world));
    }
    let mut total = Traffic::default();
    fleet.iter().for_each(|hollow| total += hollow.traffic);
    total
}

/// One server in each of many services dies without a word.
fn rack(run: &Run, size: usize, figures: &mut Vec<Figure>) {
    let mut world = World::new(run.seed);
    let listing = Arc::new(Listing::single(SERVICE));
    let mut fleet = fleet(targets::INGRESSES, run, &listing, &mut world);
    let load = service_load();
    go_on(&mut fleet, Duration::from_secs(60), load, &mut world);
    world.down.insert(0);
    let blind = go_on(&mut fleet, Duration::from_secs(70), load, &mut world);
    let share = 100.0 * blind.failed_attempts as f64 / blind.attempts.max(1) as f64;
    one(
        figures,
        "rack: attempts at dead servers until it is told",
        "% of attempts",
        size,
        share,
    );
    one(
        figures,
        "rack: requests of its services refused until it is told",
        "%",
        size,
        refused(&blind),
    );
    let deleted = |server| Entry {
        state: State::Deleted,
        ..Entry::serving(server)
    };
    let rack = Listing::single(RACK_SERVERS);
    let told = rack.encode(
        2,
        false,
        &(0..RACK_SERVERS).map(deleted).collect::<Vec<_>>(),
    );
    one(
        figures,
        "rack: bytes of the change at each ingress",
        "bytes",
        size,
        told.len() as f64 + 1.0,
    );
}

/// An even share of an ingress's requests, for one service.
fn service_load() -> Load {
    let rate = targets::REQUESTS_PER_INGRESS / targets::SERVICES as f64;
    Load {
        rate,
        tenants: targets::TENANTS,
        demand: Demand::ByServers,
    }
}

/// Half of a service's servers cannot be reached from half of the ingresses, nor the others from
/// the others.
fn regions(run: &Run, ingresses: usize, figures: &mut Vec<Figure>) {
    let mut world = World::new(run.seed);
    let listing = Arc::new(Listing::single(SPLIT_SERVICE));
    let mut fleet = fleet(ingresses, run, &listing, &mut world);
    // A service that is asked often enough that each ingress learns.
    let load = Load {
        rate: 4.0,
        tenants: targets::TENANTS,
        demand: Demand::ByServers,
    };
    go_on(&mut fleet, Duration::from_secs(20), load, &mut world);
    world.split = Some(Split {
        ingresses: ingresses / 2,
        servers: SPLIT_SERVICE / 2,
    });
    let first = go_on(&mut fleet, Duration::from_secs(25), load, &mut world);
    let later = go_on(&mut fleet, Duration::from_secs(50), load, &mut world);
    world.split = None;
    let met = go_on(&mut fleet, Duration::from_secs(55), load, &mut world);
    let failed = |t: &Traffic| 100.0 * t.failed_attempts as f64 / t.attempts.max(1) as f64;
    one(
        figures,
        "regions: attempts out of reach, first 5 s",
        "% of attempts",
        ingresses,
        failed(&first),
    );
    one(
        figures,
        "regions: attempts out of reach, after that",
        "% of attempts",
        ingresses,
        failed(&later),
    );
    one(
        figures,
        "regions: requests refused, first 5 s",
        "%",
        ingresses,
        refused(&first),
    );
    one(
        figures,
        "regions: requests refused, after that",
        "%",
        ingresses,
        refused(&later),
    );
    one(
        figures,
        "regions: requests refused, 5 s after they met",
        "%",
        ingresses,
        refused(&met),
    );
}

/// Plays only a zone's return, at each size.
pub fn zone_returns(run: &Run) -> RoleReport {
    let mut figures = Vec::new();
    run.sizes
        .iter()
        .for_each(|&size| zone(run, size, &mut figures));
    run.report("zone", "ingresses", figures, vec![run.shape()])
}

/// The servers of one zone among so many.
fn zone_servers(servers: usize) -> impl Iterator<Item = usize> {
    (0..servers).step_by(ZONES)
}

/// A zone's ingresses and servers go and return cold.
fn zone(run: &Run, ingresses: usize, figures: &mut Vec<Figure>) {
    let servers = ingresses * targets::SERVERS / targets::INGRESSES;
    let mut world = World::new(run.seed);
    let listing = Arc::new(Listing::new(servers, run.services));
    let mut fleet = fleet(ingresses, run, &listing, &mut world);
    let load = Load {
        rate: targets::REQUESTS_PER_INGRESS,
        tenants: targets::TENANTS,
        demand: Demand::ByServers,
    };
    go_on(&mut fleet, Duration::from_secs(4), load, &mut world);
    let deleted = |server| Entry {
        state: State::Deleted,
        ..Entry::serving(server)
    };
    let gone = listing.encode(
        2,
        false,
        &zone_servers(servers).map(deleted).collect::<Vec<_>>(),
    );
    fleet
        .iter_mut()
        .for_each(|hollow| hollow.take_line(&gone, &mut world));
    let without = go_on(&mut fleet, Duration::from_secs(8), load, &mut world);
    let back = Duration::from_secs(8);
    let started_ms = UNIX_MS + back.as_millis() as u64;
    let cold = |server| Entry {
        generation: 1,
        started_ms,
        ..Entry::serving(server)
    };
    let told = listing.encode(
        3,
        false,
        &zone_servers(servers).map(cold).collect::<Vec<_>>(),
    );
    fleet
        .iter_mut()
        .for_each(|hollow| hollow.take_line(&told, &mut world));
    world.arrivals = Some(Vec::new());
    let with = go_on(&mut fleet, back + TIP_AFTER, load, &mut world);
    let mut sends = vec![0usize; servers];
    world
        .arrivals
        .take()
        .unwrap_or_default()
        .iter()
        .for_each(|arrival| sends[arrival.server] += 1);
    let cold: Vec<usize> = zone_servers(servers).map(|server| sends[server]).collect();
    let all: usize = sends.iter().sum();
    let cold_sum: usize = cold.iter().sum();
    let warm = (all - cold_sum) as f64 / (servers - cold.len()).max(1) as f64;
    let mean = cold_sum as f64 / cold.len() as f64;
    let most = cold.iter().max().copied().unwrap_or(0) as f64;
    one(
        figures,
        "zone: requests refused while it is gone",
        "%",
        ingresses,
        refused(&without),
    );
    one(
        figures,
        "zone: requests refused in the 3 s after its return",
        "%",
        ingresses,
        refused(&with),
    );
    one(
        figures,
        "zone: sends at a cold server in its first 3 s, mean",
        "of a warm one",
        ingresses,
        mean / warm,
    );
    one(
        figures,
        "zone: sends at a cold server in its first 3 s, most",
        "of a warm one",
        ingresses,
        most / warm,
    );
}

/// The changes that tell of a zone, at an ingress that holds all servers.
fn zone_in_whole_list(run: &Run, size: usize, figures: &mut Vec<Figure>) {
    let listing = Arc::new(Listing::new(targets::SERVERS, run.services));
    let mut world = World::new(run.seed);
    let mut hollow = Hollow::new(&listing, targets::INGRESSES, 0, run.seed);
    hollow.take_line(&listing.whole(), &mut world);
    for (revision, state, what) in [(2, State::Deleted, "goes"), (3, State::Serving, "returns")] {
        let generation = u32::from(state == State::Serving);
        let entry = |server| Entry {
            generation,
            state,
            ..Entry::serving(server)
        };
        let line = listing.encode(
            revision,
            false,
            &zone_servers(targets::SERVERS)
                .map(entry)
                .collect::<Vec<_>>(),
        );
        let (_, took) = timed(|| hollow.take_line(&line, &mut world));
        one(
            figures,
            &format!("zone: bytes at an ingress when it {what}"),
            "bytes",
            size,
            line.len() as f64 + 1.0,
        );
        let name = format!("zone: processor time at an ingress when it {what}");
        one(figures, &name, "ms", size, took.as_secs_f64() * 1e3);
    }
}

/// All control machines restart, and every ingress opens its watch again.
fn control(sizes: &[usize], figures: &mut Vec<Figure>) {
    let longest_wait = list::limits().driver.discovery.max_backoff_rejected;
    // Calls are spread over half of the wait at random.
    let calls = targets::INGRESSES as f64 / longest_wait.mul_f64(0.75).as_secs_f64();
    let whole =
        (Listing::single(targets::SERVERS).whole().len() + 1) as f64 * targets::INGRESSES as f64;
    let mut again = Figure::reckoned(
        "control restarts: watches opened again by 4,300 ingresses",
        "calls/s",
    );
    let mut bytes = Figure::reckoned("control restarts: whole lists to 4,300 ingresses", "bytes");
    sizes.iter().for_each(|&size| again.push(size, &[calls]));
    sizes.iter().for_each(|&size| bytes.push(size, &[whole]));
    figures.extend([again, bytes]);
}
