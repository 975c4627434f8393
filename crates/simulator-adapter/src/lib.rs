//! The adapter between the decision module and the simulator's wire. It translates; it decides
//! nothing.
//!
//! - [`codec`]: the wire;
//! - `translate`: records to events, and actions to a reply;
//! - [`host`]: the instances;
//! - `error`: why a batch cannot be handled;
//! - [`serve`]: batches from an input, replies to an output.

pub mod codec;
mod error;
pub mod host;
mod translate;

pub use error::{BatchError, RecordError, ServeError};

use host::Host;
use std::io::{self, Read, Write};

/// Bytes of a batch's header: the length of the payload (u32) and the clock in milliseconds (f64).
const HEADER_BYTES: usize = 12;

/// Serves batches until the input ends. An error names the record that cannot be handled; nothing
/// is written for its batch.
pub fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), ServeError> {
    let mut host = Host::default();
    let mut payload = Vec::new();
    while let Some(header) = read_header(input)? {
        read_payload(input, header.payload_bytes, &mut payload)?;
        let reply = host.handle_batch(header.clock_ms, &payload)?;
        output.write_all(&reply)?;
        output.flush()?;
    }
    Ok(())
}

struct BatchHeader {
    payload_bytes: u64,
    clock_ms: f64,
}

/// Reads a batch's header; none if the input ends before it.
fn read_header(input: &mut impl Read) -> Result<Option<BatchHeader>, ServeError> {
    let mut header = [0u8; HEADER_BYTES];
    let received = fill(input, &mut header)?;
    if received == 0 {
        return Ok(None);
    }
    if received < HEADER_BYTES {
        return Err(ServeError::TruncatedHeader {
            received,
            expected: HEADER_BYTES,
        });
    }
    let [a, b, c, d, clock @ ..] = header;
    Ok(Some(BatchHeader {
        payload_bytes: u64::from(u32::from_le_bytes([a, b, c, d])),
        clock_ms: f64::from_le_bytes(clock),
    }))
}

/// Reads a batch's payload. The buffer grows with what is received: a wrong length allocates
/// nothing.
fn read_payload(
    input: &mut impl Read,
    expected: u64,
    payload: &mut Vec<u8>,
) -> Result<(), ServeError> {
    payload.clear();
    input.by_ref().take(expected).read_to_end(payload)?;
    let received = payload.len() as u64;
    if received != expected {
        return Err(ServeError::TruncatedBatch { received, expected });
    }
    Ok(())
}

/// Reads until the buffer is full or the input ends, and returns the number of bytes.
fn fill(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut received = 0;
    while received < buffer.len() {
        match input.read(&mut buffer[received..])? {
            0 => break,
            count => received += count,
        }
    }
    Ok(received)
}
