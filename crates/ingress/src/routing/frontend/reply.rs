//! Encodes replies to clients in RESP.

use crate::protocol::resp;
use crate::routing::engine::Response;
use std::time::Duration;

/// Most bytes that the encoding of a bulk string adds to its value.
const MAX_BULK_FRAMING_BYTES: usize = 16;

/// The reply to a request that has failed.
pub(super) const FAILED: &[u8] = b"-ERR failed\r\n";

/// Encodes the error for input that cannot be parsed, or is not finished in time.
pub(super) fn protocol_error(error: &str) -> Vec<u8> {
    format!("-ERR Protocol error: {error}\r\n").into_bytes()
}

/// Encodes a rejection. The retry time is sent in milliseconds, at least 1; with `None` the reply
/// has none.
pub(super) fn busy(retry_after: Option<Duration>) -> Vec<u8> {
    match retry_after {
        Some(after) => format!("-BUSY {}\r\n", after.as_millis().max(1)).into_bytes(),
        None => b"-BUSY\r\n".to_vec(),
    }
}

/// Encodes the driver's response to a request.
pub(super) fn from_response(response: Response) -> Vec<u8> {
    match response {
        Response::Served(value) => {
            let mut reply = Vec::with_capacity(value.len() + MAX_BULK_FRAMING_BYTES);
            resp::put_bulk(&mut reply, &value);
            reply
        }
        Response::Rejected { retry_after, .. } => busy(retry_after),
        Response::Failed => FAILED.to_vec(),
    }
}
