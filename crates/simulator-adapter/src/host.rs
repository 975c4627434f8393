//! Records to events and actions to records: many gateways, none knowing of another.

use crate::codec::{decode, Closed, Entry, Record, Reply};
use roseyard_decision::*;
use roseyard_platform_config::{duration_from_ms, PlatformSettings};
use std::collections::BTreeMap;
use std::time::Duration;

struct Instance {
    dispatcher: Dispatcher,
    fields: Vec<String>,
}

/// All instances of one process.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
    tables: BTreeMap<u32, Vec<Entry>>,
}

fn outcome(code: u16) -> Result<Outcome, String> {
    Ok(match code {
        0 => Outcome::Ok,
        13 => Outcome::Error,
        8 => Outcome::Overloaded,
        4 => Outcome::Timeout,
        14 => Outcome::ConnectFailed,
        10 => Outcome::Reset,
        1 => Outcome::Cancelled,
        9 => Outcome::NotStarted,
        other => return Err(format!("unknown outcome {other}")),
    })
}

fn report(fields: &[String], stats: &[f32]) -> Option<LoadReport> {
    if stats.is_empty() {
        return None;
    }
    let mut load = LoadReport::default();
    for (name, value) in fields.iter().zip(stats) {
        let value = f64::from(*value);
        match name.as_str() {
            "busy_reqs" => load.in_flight = Some(value),
            "pending" => load.queued = Some(value),
            "cpu_share" => load.utilisation = Some(value),
            "svc_ms" => load.service_time = Some(duration_from_ms(value)),
            _ => {}
        }
    }
    Some(load)
}

fn entry(e: &Entry) -> Result<EndpointEntry, String> {
    let state = match e.state {
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        0 => EndpointState::Removed,
        other => return Err(format!("unknown server state {other}")),
    };
    Ok(EndpointEntry {
        endpoint: EndpointId(e.worker),
        service: ServiceId::default(),
        zone: u16::from(e.campus),
        cell: e.stripe,
        state,
        weight: f64::from(e.heft),
        rank: u64::from(e.worker).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        started_at: (e.started_at_ms > 0.0).then(|| duration_from_ms(e.started_at_ms)),
    })
}

fn closed(c: &Closed, fields: &[String]) -> Result<Event, String> {
    Ok(Event::AttemptEnded(AttemptEnd {
        request: RequestId(c.req),
        attempt: c.n,
        endpoint: EndpointId(c.worker),
        outcome: outcome(c.code)?,
        elapsed: duration_from_ms(c.duration_ms),
        finished: c.done,
        true_units: (c.true_units > 0).then(|| f64::from(c.true_units)),
        load: report(fields, &c.stats),
    }))
}

fn to_ms(d: Duration) -> f64 {
    d.as_secs_f64() * 1000.0
}

fn encode(reply: &mut Reply, i: u16, action: Action) {
    match action {
        Action::Forward {
            request,
            endpoint,
            deadline,
        } => reply.forward(i, request.0, to_ms(deadline), endpoint.0),
        Action::Reject {
            request,
            retry_after,
        } => reply.reject(i, request.0, retry_after.map_or(0.0, to_ms)),
        Action::Fail { request } => reply.abort(i, request.0),
        Action::Cancel { request, attempt } => reply.retract(i, request.0, attempt),
        Action::IncrementCounter {
            key: name,
            amount: add,
            time_to_live: lifetime,
        } => reply.count(i, add as f32, to_ms(lifetime), name.0),
        Action::SetTimer { after, tag } => reply.wake_at(i, to_ms(after), tag.0),
        Action::CheckHealth { endpoint } => reply.touch(i, endpoint.0),
        Action::Subscribe => reply.track(i, true),
        Action::FetchEndpointList => reply.fetch(i),
        Action::Log(notice) => reply.trace(i, &notice.to_string()),
    }
}

impl Host {
    /// Handles one batch and gives its reply as a frame.
    pub fn batch(&mut self, clock_ms: f64, payload: &[u8]) -> Result<Vec<u8>, String> {
        if !clock_ms.is_finite() || clock_ms < 0.0 {
            return Err(format!("batch header: the clock {clock_ms} is not a time"));
        }
        let mut reply = Reply::default();
        for (n, record) in decode(payload)
            .map_err(|e| e.to_string())?
            .into_iter()
            .enumerate()
        {
            self.record(duration_from_ms(clock_ms), record, &mut reply)
                .map_err(|e| format!("record {n}: {e}"))?;
        }
        Ok(reply.frame())
    }

    fn record(&mut self, now: Duration, record: Record, reply: &mut Reply) -> Result<(), String> {
        let (i, event) = match record {
            Record::Census { table, items } => {
                self.tables.insert(table, items);
                return Ok(());
            }
            Record::Create { i, salt, options } => {
                let wrong = |e: String| format!("Create for instance {i}: {e}");
                let options =
                    PlatformSettings::parse(&options).map_err(|e| wrong(e.to_string()))?;
                let settings = options.settings().map_err(|e| wrong(e.to_string()))?;
                let dispatcher =
                    Dispatcher::new(settings, salt).map_err(|e| wrong(format!("settings: {e}")))?;
                let fields = options.load_report_fields().to_vec();
                self.instances.insert(i, Instance { dispatcher, fields });
                return Ok(());
            }
            Record::Shutdown { i } => {
                self.instances.remove(&i);
                return Ok(());
            }
            // The design tells peers nothing and hears nothing from them.
            Record::Whisper { .. } => return Ok(()),
            Record::Membership { i, form, table, .. } => (i, self.list(form, table)?),
            Record::Flowing { i, req, n, .. } => (
                i,
                Event::StreamStarted {
                    request: RequestId(req),
                    attempt: n,
                },
            ),
            Record::Wakeup { i, tag } => (i, Event::TimerExpired(TimerTag(tag))),
            Record::WorkItem(w) => (
                w.i,
                Event::RequestReceived(IncomingRequest {
                    request: RequestId(w.req),
                    service: ServiceId::default(),
                    class: usize::from(w.band),
                    plan: usize::from(w.grade),
                    customer: CustomerId(w.key),
                    units: f64::from(w.units),
                    ingress_count: w.doors as u32,
                    time_left: duration_from_ms(w.left_ms),
                    is_retry: w.marks & 2 != 0,
                }),
            ),
            Record::Aborted { i, req } => (i, Event::ClientDisconnected(RequestId(req))),
            Record::Added {
                i,
                value,
                name,
                code,
                duration_ms,
            } => {
                let result = match code {
                    0 => CounterResult::Total(f64::from(value)),
                    8 | 14 => CounterResult::NotAdded,
                    4 => CounterResult::Unknown,
                    other => return Err(format!("Added: unknown outcome {other}")),
                };
                (
                    i,
                    Event::CounterReply {
                        key: CounterKey(name),
                        result,
                        elapsed: duration_from_ms(duration_ms),
                    },
                )
            }
            Record::Closed(c) => (c.i, closed(&c, self.fields(c.i))?),
            Record::Health {
                i,
                worker,
                code,
                stats,
                ..
            } => {
                let (outcome, load) = (outcome(code)?, report(self.fields(i), &stats));
                let service = ServiceId::default();
                (
                    i,
                    Event::HealthCheckEnded {
                        service,
                        endpoint: EndpointId(worker),
                        outcome,
                        load,
                    },
                )
            }
        };
        let mut actions = Vec::new();
        if let Some(instance) = self.instances.get_mut(&i) {
            instance.dispatcher.handle(now, event, &mut actions);
        }
        for action in actions {
            encode(reply, i, action);
        }
        Ok(())
    }

    fn fields(&self, i: u16) -> &[String] {
        self.instances.get(&i).map_or(&[], |x| &x.fields)
    }

    fn list(&self, form: u8, table: u32) -> Result<Event, String> {
        if form == 3 {
            return Ok(Event::EndpointListChanged(EndpointListUpdate::Unavailable));
        }
        let items = self
            .tables
            .get(&table)
            .ok_or(format!("Membership: no list numbered {table}"))?;
        let entries = items.iter().map(entry).collect::<Result<Vec<_>, _>>()?;
        match form {
            0 => Ok(Event::EndpointListChanged(EndpointListUpdate::Changes(
                entries,
            ))),
            1 | 2 => Ok(Event::EndpointListChanged(EndpointListUpdate::Full(
                entries,
            ))),
            other => Err(format!("Membership: unknown form {other}")),
        }
    }
}
