//! Why a batch cannot be handled. The texts name the record as it comes on the wire.

use crate::codec::CodecError;
use roseyard_decision::SettingsError;
use roseyard_platform_config::PlatformConfigError;
use std::io;

/// Why serving has ended before the input did.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// Reading or writing failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The input ends within a batch's header.
    #[error("batch header: truncated after {received} of {expected} bytes")]
    TruncatedHeader {
        /// Bytes received.
        received: usize,
        /// Bytes of a header.
        expected: usize,
    },
    /// The input ends within a batch's payload.
    #[error("batch: truncated after {received} of {expected} bytes")]
    TruncatedBatch {
        /// Bytes received.
        received: u64,
        /// Bytes that the header gives.
        expected: u64,
    },
    /// A batch cannot be handled.
    #[error(transparent)]
    Batch(#[from] BatchError),
}

/// Why a batch cannot be handled.
#[derive(Debug, thiserror::Error)]
pub enum BatchError {
    /// The clock is not finite, or negative.
    #[error("batch header: the clock {clock_ms} is not a time")]
    InvalidClock {
        /// The clock in milliseconds.
        clock_ms: f64,
    },
    /// The payload cannot be decoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// A record cannot be handled.
    #[error("record {record}: {source}")]
    Record {
        /// Position of the record in its batch, from 0.
        record: usize,
        /// Why.
        source: RecordError,
    },
}

/// Why a record cannot be handled.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The settings of an instance cannot be decoded or mapped.
    #[error("Create for instance {instance}: {source}")]
    PlatformConfig {
        /// The instance.
        instance: u16,
        /// Why.
        source: PlatformConfigError,
    },
    /// The settings of an instance are out of range.
    #[error("Create for instance {instance}: settings: {source}")]
    Settings {
        /// The instance.
        instance: u16,
        /// Why.
        source: SettingsError,
    },
    /// No endpoint list has this number.
    #[error("Membership: no list numbered {list}")]
    UnknownList {
        /// The number.
        list: u32,
    },
    /// The wire has no such form of an endpoint list.
    #[error("Membership: unknown form {form}")]
    UnknownListForm {
        /// The code.
        form: u8,
    },
    /// The wire has no such state of an endpoint.
    #[error("unknown server state {code}")]
    UnknownEndpointState {
        /// The code.
        code: u8,
    },
    /// The wire has no such outcome.
    #[error("unknown outcome {code}")]
    UnknownOutcome {
        /// The code.
        code: u16,
    },
    /// The wire has no such outcome of a call to the counter.
    #[error("Added: unknown outcome {code}")]
    UnknownCounterOutcome {
        /// The code.
        code: u16,
    },
}
