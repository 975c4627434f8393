//! The adapter between roseyard and the bench's wire. It translates; it decides nothing.

pub mod codec;
pub mod host;

use std::io::{self, Read, Write};

fn fill(input: &mut impl Read, buf: &mut [u8]) -> io::Result<usize> {
    let mut got = 0;
    while got < buf.len() {
        match input.read(&mut buf[got..])? {
            0 => break,
            n => got += n,
        }
    }
    Ok(got)
}

/// Serves batches until the input ends; an error says which record is wrong and how.
pub fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut host = host::Host::default();
    let mut payload = Vec::new();
    loop {
        let mut header = [0u8; 12];
        match fill(input, &mut header).map_err(|e| e.to_string())? {
            0 => return Ok(()),
            12 => {}
            n => return Err(format!("batch header: truncated after {n} of 12 bytes")),
        }
        let [a, b, c, d, clock @ ..] = header;
        let length = u64::from(u32::from_le_bytes([a, b, c, d]));
        payload.clear();
        // Grows with what really comes, so that a wrong length allocates nothing.
        input
            .by_ref()
            .take(length)
            .read_to_end(&mut payload)
            .map_err(|e| e.to_string())?;
        if payload.len() as u64 != length {
            return Err(format!(
                "batch: truncated after {} of {length} bytes",
                payload.len()
            ));
        }
        let reply = host.batch(f64::from_le_bytes(clock), &payload)?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|e| e.to_string())?;
    }
}
