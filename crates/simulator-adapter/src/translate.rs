//! Converts records to events of the decision module, and its actions to records of a reply.

use crate::codec::values::{
    counter_result, endpoint_state, list_form, load_report, outcome, ListForm, CLIENT_RETRY_FLAG,
};
use crate::codec::{
    AttemptEndedRecord, CounterReplyRecord, EndpointRecord, HealthCheckEndedRecord, Reply,
    RequestRecord,
};
use crate::error::RecordError;
use roseyard_decision::{
    Action, AttemptEnd, CounterKey, CustomerId, EndpointEntry, EndpointId, EndpointListUpdate,
    Event, IncomingRequest, RequestId, ServiceId,
};
use roseyard_platform_config::duration_from_ms;
use std::time::Duration;

/// An odd multiplier that distributes the numbers of endpoints evenly over all ranks: 2^64 divided
/// by the golden ratio.
const RANK_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

pub(crate) fn request_received(record: &RequestRecord) -> Event {
    Event::RequestReceived(IncomingRequest {
        request: RequestId(record.request),
        service: ServiceId::default(),
        class: usize::from(record.class),
        plan: usize::from(record.plan),
        customer: CustomerId(record.customer),
        units: f64::from(record.units),
        ingress_count: record.ingress_count as u32,
        time_left: duration_from_ms(record.time_left_ms),
        is_retry: record.flags & CLIENT_RETRY_FLAG != 0,
    })
}

/// Converts the end of an attempt. `field_names` are the names of the values in a load report.
pub(crate) fn attempt_ended(
    record: &AttemptEndedRecord,
    field_names: &[String],
) -> Result<Event, RecordError> {
    let true_units = (record.true_units > 0).then(|| f64::from(record.true_units));
    Ok(Event::AttemptEnded(AttemptEnd {
        request: RequestId(record.request),
        attempt: record.attempt,
        endpoint: EndpointId(record.endpoint),
        outcome: outcome(record.outcome_code)?,
        elapsed: duration_from_ms(record.elapsed_ms),
        is_request_finished: record.is_finished,
        true_units,
        load: load_report(field_names, &record.load_report),
    }))
}

/// Converts the end of a health check. `field_names` are the names of the values in a load report.
pub(crate) fn health_check_ended(
    record: &HealthCheckEndedRecord,
    field_names: &[String],
) -> Result<Event, RecordError> {
    Ok(Event::HealthCheckEnded {
        service: ServiceId::default(),
        endpoint: EndpointId(record.endpoint),
        outcome: outcome(record.outcome_code)?,
        load: load_report(field_names, &record.load_report),
    })
}

pub(crate) fn counter_reply(record: &CounterReplyRecord) -> Result<Event, RecordError> {
    Ok(Event::CounterReply {
        key: CounterKey(record.key),
        result: counter_result(record.outcome_code, record.total)?,
        elapsed: duration_from_ms(record.elapsed_ms),
    })
}

/// Converts a change of the endpoint list. `endpoints` looks up the entries of the list and is not
/// called if the list is unavailable.
pub(crate) fn endpoint_list_changed<'a>(
    form_code: u8,
    endpoints: impl FnOnce() -> Result<&'a [EndpointRecord], RecordError>,
) -> Result<Event, RecordError> {
    let form = list_form(form_code);
    if matches!(form, Ok(ListForm::Unavailable)) {
        return Ok(Event::EndpointListChanged(EndpointListUpdate::Unavailable));
    }
    let entries = endpoints()?
        .iter()
        .map(endpoint_entry)
        .collect::<Result<Vec<_>, _>>()?;
    let update = match form? {
        ListForm::Changes => EndpointListUpdate::Changes(entries),
        ListForm::Full => EndpointListUpdate::Full(entries),
        ListForm::Unavailable => EndpointListUpdate::Unavailable,
    };
    Ok(Event::EndpointListChanged(update))
}

fn endpoint_entry(record: &EndpointRecord) -> Result<EndpointEntry, RecordError> {
    let state = endpoint_state(record.state_code)?;
    let has_start = record.started_at_ms > 0.0;
    Ok(EndpointEntry {
        endpoint: EndpointId(record.endpoint),
        service: ServiceId::default(),
        zone: u16::from(record.zone),
        cell: record.cell,
        state,
        weight: f64::from(record.weight),
        rank: u64::from(record.endpoint).wrapping_mul(RANK_MULTIPLIER),
        started_at: has_start.then(|| duration_from_ms(record.started_at_ms)),
    })
}

/// Adds an action of an instance to the reply.
pub(crate) fn encode_action(instance: u16, action: Action, reply: &mut Reply) {
    match action {
        Action::Forward {
            request,
            endpoint,
            deadline,
        } => reply.forward(instance, request.0, to_ms(deadline), endpoint.0),
        Action::Reject {
            request,
            retry_after,
            ..
        } => reply.reject(instance, request.0, retry_after.map_or(0.0, to_ms)),
        Action::Fail { request } => reply.fail(instance, request.0),
        Action::Cancel { request, attempt } => {
            reply.cancel_attempt(instance, request.0, attempt);
        }
        Action::IncrementCounter {
            key,
            amount,
            time_to_live,
        } => reply.increment_counter(instance, amount as f32, to_ms(time_to_live), key.0),
        Action::SetTimer { after, tag } => reply.set_timer(instance, to_ms(after), tag.0),
        Action::CheckHealth { endpoint } => reply.check_health(instance, endpoint.0),
        Action::Subscribe => reply.subscribe(instance, true),
        Action::FetchEndpointList => reply.fetch_endpoint_list(instance),
        Action::Log(notice) => reply.log(instance, &notice.to_string()),
    }
}

fn to_ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
