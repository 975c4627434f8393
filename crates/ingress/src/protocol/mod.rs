//! Incremental parsers and encoders, pure on bytes: each takes what has come so far and says what
//! it holds, or that more is needed, or that it is malformed.

pub mod command;
pub mod http;
mod limits;
pub mod list;
pub mod report;
pub mod resp;

pub use limits::ProtocolLimits;

/// Input that no further bytes can make good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// A whole message and its length in bytes; none while more is needed.
pub type Parsed<T> = Result<Option<(T, usize)>, Malformed>;
