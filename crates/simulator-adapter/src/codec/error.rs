//! What is wrong with a batch's bytes.

/// A batch's payload that cannot be decoded.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum CodecError {
    /// The record ends before its fields do.
    #[error("record {record} (code {code}): truncated at byte {at}")]
    Truncated {
        /// Position of the record in its batch, from 0.
        record: usize,
        /// Code of the record.
        code: u8,
        /// Offset in the batch's payload, in bytes.
        at: usize,
    },
    /// The wire has no event with this code.
    #[error("record {record}: unknown event code {code}")]
    UnknownCode {
        /// Position of the record in its batch, from 0.
        record: usize,
        /// Code of the record.
        code: u8,
    },
}
