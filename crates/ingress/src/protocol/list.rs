//! Splits and decodes the endpoint lists that arrive on the discovery watch.

use roseyard_platform_config::PlatformConfigError;
pub use roseyard_request_engine::{EndpointListMessage, EndpointRecord};

/// Splits the byte stream of a watch into lists. Each list is a JSON object on one line or, if it
/// is indented, on several. Discovery sends an empty line when nothing has changed.
#[derive(Default)]
pub struct ListSplitter {
    buffer: Vec<u8>,
    /// Number of open braces and brackets.
    depth: usize,
    /// Whether the last byte is inside a JSON string.
    in_string: bool,
    /// Whether the last byte is a backslash that escapes the next one.
    is_escaped: bool,
}

impl ListSplitter {
    /// Returns the number of buffered bytes, which belong to an incomplete list.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Processes received bytes. Appends complete lists, empty lines and malformed lines to
    /// `found`.
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

    /// Returns whether a line end completes the buffered bytes: they are a whole list, an empty
    /// line or a truncated list. A list is truncated if the line ends inside a string or is empty,
    /// since a valid list contains neither.
    fn is_complete(&self) -> bool {
        let line = self.buffer.rsplit(|byte| *byte == b'\n').next();
        let is_empty = line.unwrap_or_default().trim_ascii().is_empty();
        self.depth == 0 || self.in_string || is_empty
    }
}

/// Decodes one list that a [`ListSplitter`] has returned. Overwrites `line` while parsing.
pub fn decode(line: &mut [u8]) -> Result<EndpointListMessage, PlatformConfigError> {
    roseyard_platform_config::decode(line)
}
