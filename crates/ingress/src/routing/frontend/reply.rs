//! Replies to clients, as bytes.

use crate::protocol::resp;
use crate::routing::engine::Response;
use std::time::Duration;

/// Bytes of a bulk string besides its text, at most.
const BULK_FRAME_BYTES: usize = 16;

/// The reply that rejects, with the time after which to retry.
pub(super) fn busy(retry_after: Option<Duration>) -> Vec<u8> {
    match retry_after {
        Some(after) => format!("-BUSY {}\r\n", after.as_millis().max(1)).into_bytes(),
        None => b"-BUSY\r\n".to_vec(),
    }
}

/// The reply to a request with this response.
pub(super) fn of_response(response: Response) -> Vec<u8> {
    match response {
        Response::Served(value) => {
            let mut reply = Vec::with_capacity(value.len() + BULK_FRAME_BYTES);
            resp::put_bulk(&mut reply, &value);
            reply
        }
        Response::Rejected { retry_after, .. } => busy(retry_after),
        Response::Failed => b"-ERR failed\r\n".to_vec(),
    }
}
