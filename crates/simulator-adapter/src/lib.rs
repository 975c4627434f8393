//! Connects the decision module to the simulator. The adapter translates between the simulator's
//! wire format and the types of the decision module, and takes no decisions itself.
//!
//! - [`codec`]: encodes and decodes the wire format;
//! - `translate`: converts records to events, and actions to records of a reply;
//! - [`host`]: runs the simulated instances;
//! - `error`: the reasons why a batch cannot be handled;
//! - [`serve`]: reads batches from an input and writes replies to an output.

pub mod codec;
mod error;
pub mod host;
mod translate;

pub use error::{BatchError, RecordError, ServeError};

use host::Host;
use std::io::{self, Read, Write};

/// The size of a batch's header, which consists of the length of the payload in bytes (u32) and the
/// clock in milliseconds (f64).
const HEADER_BYTES: usize = 12;

/// Reads batches and writes their replies until the input ends. An error names the record that
/// cannot be handled; no reply is written for its batch.
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

/// Reads the header of a batch; `None` if the input ends before it.
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

/// Reads the payload of a batch. The buffer grows as data is received, so that an incorrect length
/// in the header does not cause a large allocation.
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

/// Reads until the buffer is full or the input ends. Returns the number of bytes read.
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
