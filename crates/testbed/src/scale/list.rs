//! What the list of servers costs: the whole list of a start, and the change of one server.

use super::hollow::{Hollow, World};
use super::listing::{Entry, Listing, State};
use super::measure::{resident_bytes, timed};
use super::report::{Figure, RoleReport};
use super::{targets, Run};
use roseyard_ingress::limits::Limits;
use roseyard_ingress::protocol::list;
use std::sync::Arc;
use std::time::Duration;

const DELTAS_A_SAMPLE: usize = 30;

/// Plays one ingress at each number of servers.
pub(super) fn run(run: &Run) -> RoleReport {
    let mut bytes = Figure::measured("whole list", "bytes");
    let mut decode = Figure::measured("finding and decoding the whole list", "ms");
    let mut apply = Figure::measured("taking the whole list in", "ms");
    let mut delta = Figure::measured("change of one server, all of it", "us");
    let mut delta_bytes = Figure::measured("change of one server", "bytes");
    let mut memory = Figure::measured("memory of the ingress", "MiB");
    let mut start = Figure::reckoned("whole list over 10 s of the control budget", "times");
    let (mut held, mut notes) = (Vec::new(), vec![run.shape()]);
    let bound = limits().protocol.max_list_bytes;
    for &size in &run.sizes {
        run.progress(&format!("list: {size} servers"));
        let listing = Arc::new(Listing::new(size, run.services));
        let line = listing.whole();
        let wire = line.len() as f64 + 1.0;
        bytes.push(size, &[wire]);
        start.push(
            size,
            &[wire / (targets::BYTES_PER_SECOND * targets::READY_WITHIN.as_secs_f64())],
        );
        if line.len() > bound {
            notes.push(format!(
                "the whole list of {size} servers is a line of {} bytes; the ingress takes {bound} at most and drops it",
                line.len()
            ));
        }
        let (mut decodes, mut applies) = (Vec::new(), Vec::new());
        let before = resident_bytes();
        let mut world = World::new(run.seed);
        let mut hollow = Hollow::new(&listing, targets::INGRESSES, 0, run.seed);
        for repeat in 0..run.repeats {
            let (decoded, took) = timed(|| found(&line));
            decodes.push(millis(took));
            if repeat > 0 {
                hollow = Hollow::new(&listing, targets::INGRESSES, 0, run.seed);
            }
            let (_, took) = timed(|| hollow.apply_endpoint_list(&decoded, &mut world));
            applies.push(millis(took));
        }
        decode.push(size, &decodes);
        apply.push(size, &applies);
        memory.push(
            size,
            &[resident_bytes().saturating_sub(before) as f64 / f64::from(1 << 20)],
        );
        let (took, each) = deltas(run, &listing, &mut hollow, &mut world);
        delta.push(size, &took);
        delta_bytes.push(size, &[each]);
        held.push(hollow);
    }
    let figures = vec![bytes, start, decode, apply, memory, delta_bytes, delta];
    run.report("list", "servers", figures, notes)
}

/// The limits of an ingress of the full size.
pub(super) fn limits() -> Limits {
    let machine = roseyard_operator_config::MachineLimits {
        sockets: 1024,
        allowed: 1024,
    };
    let operator = roseyard_operator_config::OperatorSettings::new(&machine);
    Limits::new(
        &operator,
        192,
        &super::hollow::options(targets::INGRESSES, 0),
    )
}

fn found(line: &[u8]) -> roseyard_request_engine::EndpointListMessage {
    let (mut lists, mut found) = (list::Lists::default(), Vec::new());
    lists.take(line, &mut found);
    lists.take(b"\n", &mut found);
    list::decode(&mut found[0]).expect("a line of the lab's own")
}

fn millis(took: Duration) -> f64 {
    took.as_secs_f64() * 1e3
}

/// Microseconds for the change of one server, decoded and taken in, and its bytes: in turn one
/// drains, goes, and comes back as a new process.
fn deltas(run: &Run, listing: &Listing, hollow: &mut Hollow, world: &mut World) -> (Vec<f64>, f64) {
    let mut rng = fastrand::Rng::with_seed(run.seed);
    let (mut samples, mut bytes, mut lines) = (Vec::new(), 0, 0);
    let mut revision = hollow.engine.endpoint_registry().rev;
    let mut generations = vec![0u32; listing.servers()];
    for _ in 0..run.repeats {
        let mut sample = Duration::ZERO;
        for _ in 0..DELTAS_A_SAMPLE / 3 {
            let server = rng.usize(0..listing.servers());
            for state in [State::Draining, State::Deleted, State::Serving] {
                generations[server] += u32::from(state == State::Serving);
                let entry = Entry {
                    generation: generations[server],
                    state,
                    ..Entry::serving(server)
                };
                revision += 1;
                let line = listing.encode(revision, false, &[entry]);
                let (_, took) = timed(|| hollow.take_line(&line, world));
                (sample, bytes, lines) = (sample + took, bytes + line.len() + 1, lines + 1);
            }
        }
        samples.push(sample.as_secs_f64() * 1e6 / DELTAS_A_SAMPLE as f64);
    }
    (samples, bytes as f64 / f64::from(lines))
}
