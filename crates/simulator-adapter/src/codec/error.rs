//! The reasons why a batch cannot be decoded.

/// The reason why the payload of a batch cannot be decoded.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum CodecError {
    /// The payload ends within a record.
    #[error("record {record} (code {code}): truncated at byte {at}")]
    Truncated {
        /// The index of the record in its batch.
        record: usize,
        /// The code of the record.
        code: u8,
        /// The offset in the payload at which the missing field starts, in bytes.
        at: usize,
    },
    /// The code of a record is unknown.
    #[error("record {record}: unknown event code {code}")]
    UnknownCode {
        /// The index of the record in its batch.
        record: usize,
        /// The code of the record.
        code: u8,
    },
}
