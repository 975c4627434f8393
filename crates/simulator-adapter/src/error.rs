//! The reasons why a batch cannot be handled. Messages use the record names of the wire format.

use crate::codec::CodecError;
use roseyard_decision::SettingsError;
use roseyard_platform_config::PlatformConfigError;
use std::io;

/// The reason why [`serve`](crate::serve) stopped before the end of the input.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// Reading the input or writing the output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The input ended within the header of a batch.
    #[error("batch header: truncated after {received} of {expected} bytes")]
    TruncatedHeader {
        /// The number of bytes received.
        received: usize,
        /// The size of a header in bytes.
        expected: usize,
    },
    /// The input ended within the payload of a batch.
    #[error("batch: truncated after {received} of {expected} bytes")]
    TruncatedBatch {
        /// The number of bytes received.
        received: u64,
        /// The length of the payload in the header, in bytes.
        expected: u64,
    },
    /// A batch cannot be handled.
    #[error(transparent)]
    Batch(#[from] BatchError),
}

/// The reason why a batch cannot be handled.
#[derive(Debug, thiserror::Error)]
pub enum BatchError {
    /// The clock is negative or not finite.
    #[error("batch header: invalid clock {clock_ms} ms, expected a finite number not below 0")]
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
        /// The index of the record in its batch.
        record: usize,
        /// The cause.
        source: RecordError,
    },
}

/// The reason why a record cannot be handled.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The settings of an instance cannot be decoded or converted.
    #[error("Create for instance {instance}: {source}")]
    PlatformConfig {
        /// The number of the instance.
        instance: u16,
        /// The cause.
        source: PlatformConfigError,
    },
    /// The settings of an instance contain a value out of range.
    #[error("Create for instance {instance}: settings: {source}")]
    Settings {
        /// The number of the instance.
        instance: u16,
        /// The cause.
        source: SettingsError,
    },
    /// No endpoint list with this number was received.
    #[error("Membership: no list numbered {list}")]
    UnknownList {
        /// The number of the list.
        list: u32,
    },
    /// The form of an endpoint list is unknown.
    #[error("Membership: unknown form {form}")]
    UnknownListForm {
        /// The code on the wire.
        form: u8,
    },
    /// The state of an endpoint is unknown.
    #[error("unknown endpoint state {code}")]
    UnknownEndpointState {
        /// The code on the wire.
        code: u8,
    },
    /// The outcome of an attempt or a health check is unknown.
    #[error("unknown outcome {code}")]
    UnknownOutcome {
        /// The code on the wire.
        code: u16,
    },
    /// The outcome of a call to the counter is unknown.
    #[error("Added: unknown outcome {code}")]
    UnknownCounterOutcome {
        /// The code on the wire.
        code: u16,
    },
}
