//! Decodes the payload of a batch. The fields are read in the order of the wire format.

use super::cursor::Cursor;
use super::error::CodecError;
use super::record::{
    AttemptEndedRecord, CounterReplyRecord, EndpointRecord, HealthCheckEndedRecord, Record,
    RequestRecord,
};

/// Decodes the payload of a batch. An error names the first record that cannot be decoded.
pub fn decode(payload: &[u8]) -> Result<Vec<Record>, CodecError> {
    let mut cursor = Cursor::new(payload);
    let mut records = Vec::new();
    while !cursor.is_at_end() {
        cursor.record = records.len();
        cursor.code = cursor.u8()?;
        records.push(record(&mut cursor)?);
    }
    Ok(records)
}

/// Decodes the fields of a record whose code has already been read.
fn record(cursor: &mut Cursor) -> Result<Record, CodecError> {
    match cursor.code {
        1 => endpoint_list_changed(cursor),
        2 => attempt_ended(cursor),
        3 => stream_started(cursor),
        4 => Ok(Record::TimerExpired {
            instance: cursor.u16()?,
            tag: cursor.u32()?,
        }),
        5 => request_received(cursor),
        6 => Ok(Record::EndpointList {
            list: cursor.u32()?,
            endpoints: endpoints(cursor)?,
        }),
        7 => health_check_ended(cursor),
        8 => Ok(Record::ClientDisconnected {
            instance: cursor.u16()?,
            request: cursor.u64()?,
        }),
        9 => instance_started(cursor),
        10 => peer_message(cursor),
        11 => Ok(Record::InstanceStopped {
            instance: cursor.u16()?,
        }),
        12 => counter_reply(cursor),
        code => Err(CodecError::UnknownCode {
            record: cursor.record,
            code,
        }),
    }
}

fn endpoint_list_changed(cursor: &mut Cursor) -> Result<Record, CodecError> {
    Ok(Record::EndpointListChanged {
        instance: cursor.u16()?,
        form: cursor.u8()?,
        revision: cursor.u64()?,
        list: cursor.u32()?,
    })
}

fn attempt_ended(cursor: &mut Cursor) -> Result<Record, CodecError> {
    Ok(Record::AttemptEnded(AttemptEndedRecord {
        instance: cursor.u16()?,
        request: cursor.u64()?,
        metered_usage: cursor.u16()?,
        attempt: cursor.u16()?,
        elapsed_ms: cursor.f64()?,
        is_finished: cursor.u8()? != 0,
        endpoint: cursor.u32()?,
        true_units: cursor.u16()?,
        outcome_code: cursor.u16()?,
        load_report: load_report(cursor)?,
    }))
}

fn stream_started(cursor: &mut Cursor) -> Result<Record, CodecError> {
    Ok(Record::StreamStarted {
        instance: cursor.u16()?,
        request: cursor.u64()?,
        elapsed_ms: cursor.f64()?,
        attempt: cursor.u16()?,
        endpoint: cursor.u32()?,
    })
}

fn request_received(cursor: &mut Cursor) -> Result<Record, CodecError> {
    Ok(Record::RequestReceived(RequestRecord {
        instance: cursor.u16()?,
        request: cursor.u64()?,
        units: cursor.f32()?,
        class: cursor.u16()?,
        first_ingress: cursor.f32()?,
        time_left_ms: cursor.f64()?,
        customer: cursor.u64()?,
        ingress_count: cursor.f32()?,
        plan: cursor.u16()?,
        flags: cursor.u16()?,
    }))
}

fn health_check_ended(cursor: &mut Cursor) -> Result<Record, CodecError> {
    Ok(Record::HealthCheckEnded(HealthCheckEndedRecord {
        instance: cursor.u16()?,
        endpoint: cursor.u32()?,
        outcome_code: cursor.u16()?,
        elapsed_ms: cursor.f64()?,
        load_report: load_report(cursor)?,
    }))
}

fn instance_started(cursor: &mut Cursor) -> Result<Record, CodecError> {
    let instance = cursor.u16()?;
    let seed = cursor.u64()?;
    let length = cursor.u32()?;
    Ok(Record::InstanceStarted {
        instance,
        seed,
        settings: cursor.bytes(length as usize)?.to_vec(),
    })
}

fn peer_message(cursor: &mut Cursor) -> Result<Record, CodecError> {
    let instance = cursor.u16()?;
    let sender = cursor.u16()?;
    let length = cursor.u16()?;
    Ok(Record::PeerMessage {
        instance,
        sender,
        bytes: cursor.bytes(length as usize)?.to_vec(),
    })
}

fn counter_reply(cursor: &mut Cursor) -> Result<Record, CodecError> {
    Ok(Record::CounterReply(CounterReplyRecord {
        instance: cursor.u16()?,
        total: cursor.f32()?,
        key: cursor.u64()?,
        outcome_code: cursor.u16()?,
        elapsed_ms: cursor.f64()?,
    }))
}

fn load_report(cursor: &mut Cursor) -> Result<Vec<f32>, CodecError> {
    let count = cursor.u8()?;
    (0..count).map(|_| cursor.f32()).collect()
}

/// Decodes the entries of an endpoint list. The vector grows as entries are decoded, so that an
/// incorrect count does not cause a large allocation.
fn endpoints(cursor: &mut Cursor) -> Result<Vec<EndpointRecord>, CodecError> {
    let count = cursor.u32()?;
    let mut endpoints = Vec::new();
    for _ in 0..count {
        endpoints.push(EndpointRecord {
            endpoint: cursor.u32()?,
            zone: cursor.u8()?,
            machine_kind: cursor.u8()?,
            cell: cursor.u16()?,
            state_code: cursor.u8()?,
            weight: cursor.f32()?,
            started_at_ms: cursor.f64()?,
        });
    }
    Ok(endpoints)
}
