//! Parsing and error messages of values that all sections share.

use kdl::KdlEntry;

/// Whether the text is a label, which consists of 1 to `max_bytes` ASCII letters, digits, dots,
/// hyphens and underscores.
pub(crate) fn is_label(text: &str, max_bytes: usize) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'-' | b'_');
    (1..=max_bytes).contains(&text.len()) && text.bytes().all(is_allowed)
}

/// Returns the value as a whole number; `None` if it is of another type, negative or too large.
pub(crate) fn unsigned_integer(entry: &KdlEntry) -> Option<u64> {
    let number = entry.value().as_integer()?;
    u64::try_from(number).ok()
}

/// Returns the error message for a value that the setting or line does not allow.
pub(crate) fn invalid_value_message(entry: &KdlEntry) -> String {
    match entry.value().as_string() {
        Some(text) => format!("invalid value {text:?}"),
        None => format!("invalid value {}", entry.value()),
    }
}
