//! The cost of the endpoint list: the complete list at startup, and the change of a single server.

use super::endpoint_set::{EndpointEntry, EndpointSet, EndpointState, RESTART_STATES};
use super::measure::{millis, resident_bytes, resident_growth_mib, timed};
use super::report::{RoleReport, SizeSeries};
use super::run_options::RunOptions;
use super::simulated_ingress::{settings_of_ingress, SimulatedEnvironment, SimulatedIngress};
use super::targets;
use roseyard_ingress::limits::Limits;
use roseyard_ingress::protocol::list;
use roseyard_operator_config::{MachineLimits, OperatorSettings};
use roseyard_request_engine::EndpointListMessage;
use std::sync::Arc;
use std::time::Duration;

const RESTARTS_PER_SAMPLE: usize = 10;
const CHANGES_PER_SAMPLE: usize = RESTARTS_PER_SAMPLE * RESTART_STATES.len();
/// Memory of an ingress in the planned deployment.
const MEMORY_MB: usize = 192;
/// File descriptors of an ingress in the planned deployment.
const DESCRIPTORS: usize = 1024;

/// Measures one ingress for each number of servers.
pub(super) fn run(options: &RunOptions) -> RoleReport {
    let mut figures = Figures::new();
    let mut notes = vec![options.describe_services()];
    let max_bytes = limits().protocol.max_list_bytes;
    // No ingress is dropped before the end, because the next one would reuse its memory and the
    // growth of the resident memory would be too small.
    let mut ingresses = Vec::new();
    for &size in &options.sizes {
        options.progress(&format!("list: {size} servers"));
        let endpoints = Arc::new(EndpointSet::new(size, options.services));
        let line = endpoints.complete_list();
        if line.len() > max_bytes {
            notes.push(format!(
                "the complete list of {size} servers is a line of {} bytes; the ingress accepts at most {max_bytes} bytes and drops it",
                line.len()
            ));
        }
        figures.push_length(size, line.len());
        let mut environment = SimulatedEnvironment::new(options.seed);
        let mut ingress =
            complete_lists(options, &endpoints, &line, &mut environment, &mut figures);
        let changes = changes(options, &endpoints, &mut ingress, &mut environment);
        figures.change.push(size, &changes.costs_us);
        figures.change_bytes.push(size, &[changes.mean_bytes]);
        ingresses.push(ingress);
    }
    options.report("list", "servers", figures.series(), notes)
}

struct Figures {
    bytes: SizeSeries,
    budget: SizeSeries,
    decode: SizeSeries,
    apply: SizeSeries,
    memory: SizeSeries,
    change_bytes: SizeSeries,
    change: SizeSeries,
}

impl Figures {
    fn new() -> Figures {
        let measured = SizeSeries::measured;
        Figures {
            bytes: measured("complete list", "bytes"),
            budget: SizeSeries::derived(
                "complete list, relative to 10 s of the control budget",
                "times",
            ),
            decode: measured("processor time to split and decode the complete list", "ms"),
            apply: measured("processor time to apply the complete list", "ms"),
            memory: measured("memory of the ingress", "MiB"),
            change_bytes: measured("bytes of a change of one server", "bytes"),
            change: measured(
                "processor time to decode and apply a change of one server",
                "us",
            ),
        }
    }

    fn push_length(&mut self, size: usize, line_bytes: usize) {
        let bytes = line_bytes as f64 + 1.0;
        let budget =
            targets::MAX_CONTROL_BYTES_PER_SECOND * targets::MAX_STARTUP_TIME.as_secs_f64();
        self.bytes.push(size, &[bytes]);
        self.budget.push(size, &[bytes / budget]);
    }

    fn series(self) -> Vec<SizeSeries> {
        vec![
            self.bytes,
            self.budget,
            self.decode,
            self.apply,
            self.memory,
            self.change_bytes,
            self.change,
        ]
    }
}

/// Decodes the complete list and applies it to a new ingress in each repeat. Returns the last
/// ingress.
fn complete_lists(
    options: &RunOptions,
    endpoints: &Arc<EndpointSet>,
    line: &[u8],
    environment: &mut SimulatedEnvironment,
    figures: &mut Figures,
) -> SimulatedIngress {
    let size = endpoints.servers();
    let new_ingress = || SimulatedIngress::new(endpoints, targets::INGRESSES, 0, options.seed);
    let mut decodes_ms = Vec::new();
    let mut applies_ms = Vec::new();
    let resident_before = resident_bytes();
    let mut ingress = new_ingress();
    for repeat in 0..options.repeats {
        let (message, took) = timed(|| decode(line));
        decodes_ms.push(millis(took));
        if repeat > 0 {
            ingress = new_ingress();
        }
        let (_, took) = timed(|| ingress.apply_endpoint_list(&message, environment));
        applies_ms.push(millis(took));
    }
    figures.decode.push(size, &decodes_ms);
    figures.apply.push(size, &applies_ms);
    figures
        .memory
        .push(size, &[resident_growth_mib(resident_before)]);
    ingress
}

/// Returns the limits of an ingress in the planned deployment.
pub(super) fn limits() -> Limits {
    let machine = MachineLimits {
        platform_descriptors: DESCRIPTORS,
        system_descriptors: DESCRIPTORS,
    };
    let operator = OperatorSettings::new(&machine);
    Limits::new(
        &operator,
        MEMORY_MB,
        &settings_of_ingress(targets::INGRESSES, 0),
    )
}

fn decode(line: &[u8]) -> EndpointListMessage {
    let mut lists = list::ListSplitter::default();
    let mut found = Vec::new();
    lists.feed(line, &mut found);
    lists.feed(b"\n", &mut found);
    list::decode(&mut found[0]).expect("a line of the testbed decodes")
}

struct Changes {
    /// Mean processor time to decode and apply a change, in microseconds, for each sample.
    costs_us: Vec<f64>,
    mean_bytes: f64,
}

/// Restarts random servers and measures the changes that the ingress receives.
fn changes(
    options: &RunOptions,
    endpoints: &EndpointSet,
    ingress: &mut SimulatedIngress,
    environment: &mut SimulatedEnvironment,
) -> Changes {
    let mut random = fastrand::Rng::with_seed(options.seed);
    let mut costs_us = Vec::new();
    let mut bytes = 0;
    let mut lines = 0;
    let mut revision = ingress.engine.endpoint_registry().revision();
    let mut generations = vec![0u32; endpoints.servers()];
    for _ in 0..options.repeats {
        let mut spent = Duration::ZERO;
        for _ in 0..RESTARTS_PER_SAMPLE {
            let server = random.usize(0..endpoints.servers());
            for state in RESTART_STATES {
                generations[server] += u32::from(state == EndpointState::Serving);
                let entry = EndpointEntry {
                    generation: generations[server],
                    state,
                    ..EndpointEntry::serving(server)
                };
                revision += 1;
                let line = endpoints.watch_line(revision, false, &[entry]);
                let (_, took) = timed(|| ingress.receive_line(&line, environment));
                spent += took;
                bytes += line.len() + 1;
                lines += 1;
            }
        }
        costs_us.push(spent.as_secs_f64() * 1e6 / CHANGES_PER_SAMPLE as f64);
    }
    Changes {
        costs_us,
        mean_bytes: bytes as f64 / f64::from(lines),
    }
}
