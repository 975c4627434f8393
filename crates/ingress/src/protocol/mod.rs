//! Incremental parsers and encoders that work on byte slices and do no I/O. Each parser takes the
//! bytes received so far and returns a message, that more bytes are needed, or an error.

pub mod command;
pub mod http;
mod limits;
pub mod list;
pub mod report;
pub mod resp;

pub use limits::ProtocolLimits;

/// Error for input that stays invalid whatever bytes follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// A parsed message and the offset at which it ends in the input; `None` if more bytes are needed.
pub type Parsed<T> = Result<Option<(T, usize)>, Malformed>;
