//! Runs the instances of the decision module that the simulator has started in this process. They
//! do not share state.

use crate::codec::{decode, EndpointRecord, Record, Reply};
use crate::error::{BatchError, RecordError};
use crate::translate::{
    attempt_ended, counter_reply, encode_action, endpoint_list_changed, health_check_ended,
    request_received,
};
use roseyard_decision::{Dispatcher, Event, RequestId, TimerTag};
use roseyard_platform_config::{duration_from_ms, PlatformSettings};
use std::collections::BTreeMap;
use std::time::Duration;

/// The instances of the process and the numbered endpoint lists that records refer to.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
    endpoint_lists: BTreeMap<u32, Vec<EndpointRecord>>,
}

struct Instance {
    dispatcher: Dispatcher,
    /// The names of the values in a load report, in the order of the values.
    load_report_fields: Vec<String>,
}

impl Host {
    /// Handles a batch and returns its encoded reply. At the first error, the remaining records of
    /// the batch are skipped; the error names the record.
    pub fn handle_batch(&mut self, clock_ms: f64, payload: &[u8]) -> Result<Vec<u8>, BatchError> {
        if !clock_ms.is_finite() || clock_ms < 0.0 {
            return Err(BatchError::InvalidClock { clock_ms });
        }
        let now = duration_from_ms(clock_ms);
        let mut reply = Reply::default();
        for (position, record) in decode(payload)?.into_iter().enumerate() {
            self.handle_record(now, record, &mut reply)
                .map_err(|source| BatchError::Record {
                    record: position,
                    source,
                })?;
        }
        Ok(reply.frame())
    }

    fn handle_record(
        &mut self,
        now: Duration,
        record: Record,
        reply: &mut Reply,
    ) -> Result<(), RecordError> {
        match record {
            Record::EndpointList { list, endpoints } => {
                self.endpoint_lists.insert(list, endpoints);
            }
            Record::InstanceStarted {
                instance,
                seed,
                settings,
            } => self.start_instance(instance, seed, &settings)?,
            Record::InstanceStopped { instance } => {
                self.instances.remove(&instance);
            }
            // The decision module does not exchange messages with its peers.
            Record::PeerMessage { .. } => {}
            Record::EndpointListChanged {
                instance,
                form,
                list,
                ..
            } => {
                let event = endpoint_list_changed(form, || self.endpoint_list(list))?;
                self.handle_event(now, instance, event, reply);
            }
            Record::StreamStarted {
                instance,
                request,
                attempt,
                ..
            } => {
                let request = RequestId(request);
                let event = Event::StreamStarted { request, attempt };
                self.handle_event(now, instance, event, reply);
            }
            Record::TimerExpired { instance, tag } => {
                self.handle_event(now, instance, Event::TimerExpired(TimerTag(tag)), reply);
            }
            Record::RequestReceived(record) => {
                self.handle_event(now, record.instance, request_received(&record), reply);
            }
            Record::ClientDisconnected { instance, request } => {
                let event = Event::ClientDisconnected(RequestId(request));
                self.handle_event(now, instance, event, reply);
            }
            Record::CounterReply(record) => {
                self.handle_event(now, record.instance, counter_reply(&record)?, reply);
            }
            Record::AttemptEnded(record) => {
                let event = attempt_ended(&record, self.load_report_fields(record.instance))?;
                self.handle_event(now, record.instance, event, reply);
            }
            Record::HealthCheckEnded(record) => {
                let event = health_check_ended(&record, self.load_report_fields(record.instance))?;
                self.handle_event(now, record.instance, event, reply);
            }
        }
        Ok(())
    }

    /// Starts an instance. It replaces a running instance with the same number.
    fn start_instance(
        &mut self,
        instance: u16,
        seed: u64,
        settings: &[u8],
    ) -> Result<(), RecordError> {
        let config_error = |source| RecordError::PlatformConfig { instance, source };
        let platform_settings = PlatformSettings::parse(settings).map_err(config_error)?;
        let settings = platform_settings
            .decision_settings()
            .map_err(config_error)?;
        let dispatcher = Dispatcher::new(settings, seed)
            .map_err(|source| RecordError::Settings { instance, source })?;
        let load_report_fields = platform_settings.load_report_fields().to_vec();
        self.instances.insert(
            instance,
            Instance {
                dispatcher,
                load_report_fields,
            },
        );
        Ok(())
    }

    /// Passes an event to an instance and adds the resulting actions to the reply. The event is
    /// ignored if the instance does not exist.
    fn handle_event(&mut self, now: Duration, instance: u16, event: Event, reply: &mut Reply) {
        let mut actions = Vec::new();
        if let Some(instance) = self.instances.get_mut(&instance) {
            instance.dispatcher.handle(now, event, &mut actions);
        }
        for action in actions {
            encode_action(instance, action, reply);
        }
    }

    /// Returns the names of the values in the load reports of an instance; empty if the instance
    /// does not exist.
    fn load_report_fields(&self, instance: u16) -> &[String] {
        self.instances
            .get(&instance)
            .map_or(&[], |instance| &instance.load_report_fields)
    }

    fn endpoint_list(&self, list: u32) -> Result<&[EndpointRecord], RecordError> {
        self.endpoint_lists
            .get(&list)
            .map(Vec::as_slice)
            .ok_or(RecordError::UnknownList { list })
    }
}
