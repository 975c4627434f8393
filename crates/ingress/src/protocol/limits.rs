//! Size limits for the messages that the parsers accept.

const MAX_VALUE_BYTES: usize = 64 << 10;
const MAX_LINE_BYTES: usize = 8 << 10;
const MAX_ELEMENTS: usize = 32;
const MAX_DEPTH: usize = 4;
/// The endpoint list is limited to a fraction of the memory, because several copies of it exist
/// while it is applied.
const MEMORY_TO_ENDPOINT_LIST_RATIO: usize = 12;
const MIN_ENDPOINT_LIST_BYTES: usize = 4 << 20;

/// Limits for one message. A message that exceeds them is malformed.
#[derive(Clone, Copy, Debug)]
pub struct ProtocolLimits {
    /// Maximum length of a bulk string or an HTTP body, in bytes.
    pub max_value_bytes: usize,
    /// Maximum length of a RESP line or of an HTTP reply head, in bytes.
    pub max_line_bytes: usize,
    /// Maximum number of arguments of a command and of elements of an array.
    pub max_elements: usize,
    /// Maximum nesting depth of arrays in a reply.
    pub max_depth: usize,
    /// Maximum size of an endpoint list and of an HTTP chunk, in bytes.
    pub max_list_bytes: usize,
}

impl ProtocolLimits {
    /// Returns the limits for a process that may use `memory_bytes` of memory.
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

    /// Returns the maximum size of one value with its header line, in bytes.
    #[must_use]
    pub fn max_message_bytes(&self) -> usize {
        self.max_value_bytes + self.max_line_bytes
    }
}
