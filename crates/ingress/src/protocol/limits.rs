//! Bounds on the messages that the parsers take.

const MAX_VALUE_BYTES: usize = 64 << 10;
const MAX_LINE_BYTES: usize = 8 << 10;
const MAX_ELEMENTS: usize = 32;
const MAX_DEPTH: usize = 4;
/// The endpoint list is held more than once while it is applied, hence a part of the memory.
const MEMORY_TO_ENDPOINT_LIST_RATIO: usize = 12;
const MIN_ENDPOINT_LIST_BYTES: usize = 4 << 20;

/// Bounds on one message; what exceeds them is malformed.
#[derive(Clone, Copy, Debug)]
pub struct ProtocolLimits {
    /// Longest bulk string or HTTP body, in bytes.
    pub max_value_bytes: usize,
    /// Longest header line, status line or chunk head, in bytes.
    pub max_line_bytes: usize,
    /// Most words of a command and most values of an array.
    pub max_elements: usize,
    /// Deepest nesting of arrays in a reply.
    pub max_depth: usize,
    /// Longest line of the endpoint list, in bytes.
    pub max_list_bytes: usize,
}

impl ProtocolLimits {
    /// The bounds for a process with this much memory, in bytes.
    #[must_use]
    pub fn new(memory_bytes: usize) -> ProtocolLimits {
        ProtocolLimits {
            max_value_bytes: MAX_VALUE_BYTES,
            max_line_bytes: MAX_LINE_BYTES,
            max_elements: MAX_ELEMENTS,
            max_depth: MAX_DEPTH,
            max_list_bytes: (memory_bytes / MEMORY_TO_ENDPOINT_LIST_RATIO)
                .max(MIN_ENDPOINT_LIST_BYTES),
        }
    }

    /// Bytes to hold for one value with its line.
    #[must_use]
    pub fn max_message_bytes(&self) -> usize {
        self.max_value_bytes + self.max_line_bytes
    }
}
