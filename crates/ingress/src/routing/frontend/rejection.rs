//! Closes connections at once: those that are refused, evicted or give way when memory is short.
//! Each command that is on the connection, buffered or not yet read, is rejected first.

use super::reply;
use crate::protocol::{resp, ProtocolLimits};
use crate::routing::io::READ_BUFFER_BYTES;
use crate::transport::{ReadOutcome, Stream};
use std::time::Duration;

/// Most bytes of input that are read to reject the commands in them, and then discarded.
const MAX_REJECTED_INPUT_BYTES: usize = 1 << 19;
const DISCARD_BUFFER_BYTES: usize = 512;

/// Sends at least one rejection with the time after which the client may retry, and closes the
/// connection.
pub(super) fn reject(mut stream: Stream, retry_after: Duration, limits: &ProtocolLimits) {
    let rejection = reply::busy(Some(retry_after));
    if reject_commands(&mut stream, &rejection, limits) == 0 {
        stream.output().extend_from_slice(&rejection);
    }
    close(stream);
}

/// Rejects the commands that have arrived on an idle connection, and closes it.
pub(super) fn close_idle(mut stream: Stream, retry_after: Duration, limits: &ProtocolLimits) {
    reject_commands(&mut stream, &reply::busy(Some(retry_after)), limits);
    close(stream);
}

/// Adds a rejection for each complete command on the connection, and returns their number.
fn reject_commands(stream: &mut Stream, rejection: &[u8], limits: &ProtocolLimits) -> usize {
    let mut rejected_count = 0;
    let mut rejected_bytes = 0;
    while rejected_bytes < MAX_REJECTED_INPUT_BYTES {
        let outcome = stream.read_available(limits.max_message_bytes(), READ_BUFFER_BYTES, true);
        let mut offset = 0;
        while let Ok(Some((_, length))) = resp::command(&stream.input()[offset..], limits) {
            offset += length;
            rejected_count += 1;
            stream.output().extend_from_slice(rejection);
        }
        stream.consume(offset);
        rejected_bytes += offset;
        if outcome != ReadOutcome::LimitReached || offset == 0 {
            break;
        }
    }
    rejected_count
}

/// Writes the output as far as the socket accepts it, and closes the connection.
fn close(mut stream: Stream) {
    let _ = stream.flush();
    let _ = stream.shut_down_write();
    // Closing a socket with unread input sends a reset, which destroys replies in transit.
    let _ = stream.discard(MAX_REJECTED_INPUT_BYTES, &mut [0; DISCARD_BUFFER_BYTES]);
}
