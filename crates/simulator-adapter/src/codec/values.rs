//! Converts codes and names on the wire to types of the decision module.

use crate::error::RecordError;
use roseyard_decision::{CounterResult, EndpointState, LoadReport, Outcome};
use roseyard_platform_config::duration_from_ms;

/// The bit of [`RequestRecord::flags`](super::RequestRecord::flags) that marks a retry of the
/// client.
pub(crate) const CLIENT_RETRY_FLAG: u16 = 2;

/// The form of an endpoint list in a record.
#[derive(Clone, Copy)]
pub(crate) enum ListForm {
    Changes,
    Full,
    Unavailable,
}

pub(crate) fn list_form(code: u8) -> Result<ListForm, RecordError> {
    match code {
        0 => Ok(ListForm::Changes),
        // A list that was fetched again, or the last list that the instance had received.
        1 | 2 => Ok(ListForm::Full),
        3 => Ok(ListForm::Unavailable),
        form => Err(RecordError::UnknownListForm { form }),
    }
}

pub(crate) fn endpoint_state(code: u8) -> Result<EndpointState, RecordError> {
    match code {
        0 => Ok(EndpointState::Removed),
        1 => Ok(EndpointState::Ready),
        2 => Ok(EndpointState::Draining),
        code => Err(RecordError::UnknownEndpointState { code }),
    }
}

pub(crate) fn outcome(code: u16) -> Result<Outcome, RecordError> {
    match code {
        0 => Ok(Outcome::Ok),
        1 => Ok(Outcome::Cancelled),
        4 => Ok(Outcome::Timeout),
        8 => Ok(Outcome::Overloaded),
        9 => Ok(Outcome::NotStarted),
        10 => Ok(Outcome::Reset),
        13 => Ok(Outcome::Error),
        14 => Ok(Outcome::ConnectFailed),
        code => Err(RecordError::UnknownOutcome { code }),
    }
}

pub(crate) fn counter_result(code: u16, total: f32) -> Result<CounterResult, RecordError> {
    match code {
        0 => Ok(CounterResult::Total(f64::from(total))),
        4 => Ok(CounterResult::Unknown),
        8 | 14 => Ok(CounterResult::NotAdded),
        code => Err(RecordError::UnknownCounterOutcome { code }),
    }
}

/// Converts the values of a load report, whose names are given by the settings; `None` if there are
/// no values. Values that the decision module does not use are ignored.
pub(crate) fn load_report(field_names: &[String], values: &[f32]) -> Option<LoadReport> {
    if values.is_empty() {
        return None;
    }
    let mut load = LoadReport::default();
    for (name, value) in field_names.iter().zip(values) {
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
