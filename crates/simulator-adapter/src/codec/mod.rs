//! The simulator's wire format. It decodes batches of records and encodes replies. The names that
//! the wire format uses for records are given in the doc comments of this module.
//!
//! - `record`: the records of a batch;
//! - `decode`, `cursor`: decode a batch;
//! - `reply`: encodes the actions of a reply;
//! - `values`: converts codes and names on the wire to types of the decision module;
//! - `error`: the reasons why a batch cannot be decoded.
//!
//! All numbers are little-endian, without padding.

mod cursor;
mod decode;
mod error;
mod record;
mod reply;
pub(crate) mod values;

pub use decode::decode;
pub use error::CodecError;
pub use record::{
    AttemptEndedRecord, CounterReplyRecord, EndpointRecord, HealthCheckEndedRecord, Record,
    RequestRecord,
};
pub use reply::Reply;
