//! What all sections share in reading values.

use kdl::KdlEntry;

/// Is this a label: letters, digits, dots, dashes and underscores, of 1 to `max_bytes` bytes?
pub(crate) fn is_label(text: &str, max_bytes: usize) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'-' | b'_');
    (1..=max_bytes).contains(&text.len()) && text.bytes().all(is_allowed)
}

/// A whole number that is not negative.
pub(crate) fn unsigned(entry: &KdlEntry) -> Option<u64> {
    let number = entry.value().as_integer()?;
    u64::try_from(number).ok()
}

/// The message for a value that is not allowed where it stands.
pub(crate) fn not_allowed(entry: &KdlEntry) -> String {
    match entry.value().as_string() {
        Some(text) => format!("{text:?} is not allowed here"),
        None => format!("{} is not allowed here", entry.value()),
    }
}
