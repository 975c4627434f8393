//! The list of servers as discovery and the configuration word it.

pub use roseyard_engine::{List, Target};

/// Decodes one line of a watch, in place.
pub fn decode(line: &mut [u8]) -> Result<List, String> {
    simd_json::serde::from_slice(line).map_err(|e| e.to_string())
}
