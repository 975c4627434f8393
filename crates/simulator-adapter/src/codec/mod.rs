//! The simulator's wire: bytes to records in the field's terms, and actions to bytes. The wire's
//! own names stand only here, in doc comments.
//!
//! - `record`: the records of a batch;
//! - `decode`, `cursor`: bytes to records;
//! - `reply`: a reply's actions to bytes;
//! - `values`: the wire's codes and names to the decision module's types;
//! - `error`: what is wrong with a batch's bytes.
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
