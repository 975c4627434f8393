//! The endpoint lists that discovery's watch brings.

use roseyard_platform_config::PlatformConfigError;
pub use roseyard_request_engine::{EndpointListMessage, EndpointRecord};

/// Splits the bytes of a watch into lists. Each is one JSON object, on one line or indented over
/// several; an empty line says that nothing has changed.
#[derive(Default)]
pub struct ListSplitter {
    buffer: Vec<u8>,
    /// Braces and brackets that are open.
    depth: usize,
    /// The last byte stands in a string.
    in_string: bool,
    /// The last byte is a backslash in a string.
    is_escaped: bool,
}

impl ListSplitter {
    /// Bytes of a list whose rest is still to come.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Takes bytes; complete lists, empty lines and lines that can be neither go to `found`.
    pub fn feed(&mut self, bytes: &[u8], found: &mut Vec<Vec<u8>>) {
        for byte in bytes {
            if *byte == b'\n' && self.is_complete() {
                found.push(std::mem::take(self).buffer);
                continue;
            }
            self.buffer.push(*byte);
            self.track_structure(*byte);
        }
    }

    fn track_structure(&mut self, byte: u8) {
        match byte {
            _ if self.is_escaped => self.is_escaped = false,
            b'\\' if self.in_string => self.is_escaped = true,
            b'"' => self.in_string = !self.in_string,
            b'{' | b'[' if !self.in_string => self.depth += 1,
            b'}' | b']' if !self.in_string => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }

    /// Does the end of a line complete what is held? So it does for a whole list, for an empty
    /// line, and for one that was cut: no string goes over a line end, and no list has an empty
    /// line.
    fn is_complete(&self) -> bool {
        let line = self.buffer.rsplit(|byte| *byte == b'\n').next();
        let is_empty = line.unwrap_or_default().trim_ascii().is_empty();
        self.depth == 0 || self.in_string || is_empty
    }
}

/// Decodes one list of a watch, in place.
pub fn decode(line: &mut [u8]) -> Result<EndpointListMessage, PlatformConfigError> {
    roseyard_platform_config::decode(line)
}
