//! The RESP2 protocol: parses commands from clients and replies from endpoints, and encodes both.

use super::{Malformed, Parsed, ProtocolLimits};

/// A value of a reply. Text is borrowed from the input.
#[derive(Clone, Debug, PartialEq)]
pub enum Value<'a> {
    /// `+text`
    Simple(&'a [u8]),
    /// `-text`
    Error(&'a [u8]),
    /// `:number`
    Integer(i64),
    /// A bulk string, or null.
    Bulk(Option<&'a [u8]>),
    /// An array, or null.
    Array(Option<Vec<Value<'a>>>),
}

/// Parses the line at `at`, of up to `max_bytes`. Returns it without its end, and the start of the
/// next line.
fn line(input: &[u8], at: usize, max_bytes: usize) -> Parsed<&[u8]> {
    let rest = &input[at..];
    let head = &rest[..rest.len().min(max_bytes + 2)];
    match head.iter().position(|b| *b == b'\n') {
        Some(end) if end > 0 && rest[end - 1] == b'\r' => {
            Ok(Some((&rest[..end - 1], at + end + 1)))
        }
        Some(_) => Err(Malformed("line without CR")),
        None if rest.len() > max_bytes => Err(Malformed("line too long")),
        None => Ok(None),
    }
}

/// Parses the length of a bulk string or array. `-1`, which stands for null, returns `None`; other
/// negative numbers are malformed.
fn length(digits: &[u8]) -> Result<Option<usize>, Malformed> {
    if digits == b"-1" {
        return Ok(None);
    }
    let is_valid = !digits.is_empty() && digits.len() <= 9 && digits.iter().all(u8::is_ascii_digit);
    let number = || std::str::from_utf8(digits).ok()?.parse().ok();
    is_valid
        .then(number)
        .flatten()
        .map(Some)
        .ok_or(Malformed("invalid length"))
}

/// Parses the content of a bulk string that has length `len` and begins at `at`.
fn bulk(input: &[u8], at: usize, len: usize) -> Parsed<&[u8]> {
    let Some(framed) = input.get(at..at + len + 2) else {
        return Ok(None);
    };
    if &framed[len..] != b"\r\n" {
        return Err(Malformed("bulk string without its end"));
    }
    Ok(Some((&framed[..len], at + len + 2)))
}

/// Number of arguments stored per command. No supported command has more.
const MAX_STORED_ARGUMENTS: usize = 8;

/// The first arguments of a command, beginning with its name, and the total number of arguments.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CommandArguments<'a> {
    stored: [&'a [u8]; MAX_STORED_ARGUMENTS],
    count: usize,
}

impl<'a> CommandArguments<'a> {
    /// Returns the stored arguments, at most `MAX_STORED_ARGUMENTS`.
    pub fn as_slice(&self) -> &[&'a [u8]] {
        &self.stored[..self.count.min(MAX_STORED_ARGUMENTS)]
    }
}

/// Parses a command, which is an array of bulk strings.
pub fn command<'a>(input: &'a [u8], limits: &ProtocolLimits) -> Parsed<CommandArguments<'a>> {
    let mut arguments = CommandArguments::default();
    match input.first() {
        None => return Ok(None),
        Some(b'*') => {}
        Some(_) => return Err(Malformed("expected '*'")),
    }
    let Some((head, mut at)) = line(input, 0, 32)? else {
        return Ok(None);
    };
    let count = length(&head[1..])?.unwrap_or(0);
    if count > limits.max_elements {
        return Err(Malformed("too many words"));
    }
    for _ in 0..count {
        match input.get(at) {
            None => return Ok(None),
            Some(b'$') => {}
            Some(_) => return Err(Malformed("expected '$'")),
        }
        let Some((head, next)) = line(input, at, 32)? else {
            return Ok(None);
        };
        let len = length(&head[1..])?.ok_or(Malformed("null in a command"))?;
        if len > limits.max_value_bytes {
            return Err(Malformed("value too long"));
        }
        let Some((argument, next)) = bulk(input, next, len)? else {
            return Ok(None);
        };
        if let Some(slot) = arguments.stored.get_mut(arguments.count) {
            *slot = argument;
        }
        arguments.count += 1;
        at = next;
    }
    Ok(Some((arguments, at)))
}

/// Parses a reply.
pub fn value<'a>(input: &'a [u8], limits: &ProtocolLimits) -> Parsed<Value<'a>> {
    parse_value(input, 0, limits, limits.max_depth)
}

fn parse_value<'a>(
    input: &'a [u8],
    at: usize,
    limits: &ProtocolLimits,
    depth: usize,
) -> Parsed<Value<'a>> {
    let Some(kind) = input.get(at) else {
        return Ok(None);
    };
    if !b"+-:$*".contains(kind) {
        return Err(Malformed("unknown RESP type, expected one of +-:$*"));
    }
    let max_bytes = if matches!(kind, b'+' | b'-') {
        limits.max_line_bytes
    } else {
        32
    };
    let Some((head, mut at)) = line(input, at, max_bytes)? else {
        return Ok(None);
    };
    let text = &head[1..];
    let parsed = match kind {
        b'+' => Value::Simple(text),
        b'-' => Value::Error(text),
        b':' => {
            let number = std::str::from_utf8(text).ok().and_then(|t| t.parse().ok());
            Value::Integer(number.ok_or(Malformed("invalid integer"))?)
        }
        b'$' => match length(text)? {
            None => Value::Bulk(None),
            Some(len) if len > limits.max_value_bytes => return Err(Malformed("value too long")),
            Some(len) => {
                let Some((content, next)) = bulk(input, at, len)? else {
                    return Ok(None);
                };
                at = next;
                Value::Bulk(Some(content))
            }
        },
        _ => match length(text)? {
            None => Value::Array(None),
            Some(count) if count > limits.max_elements => return Err(Malformed("array too long")),
            Some(_) if depth == 0 => return Err(Malformed("arrays are nested too deeply")),
            Some(count) => {
                let mut values = Vec::with_capacity(count);
                for _ in 0..count {
                    let Some((value, next)) = parse_value(input, at, limits, depth - 1)? else {
                        return Ok(None);
                    };
                    values.push(value);
                    at = next;
                }
                Value::Array(Some(values))
            }
        },
    };
    Ok(Some((parsed, at)))
}

/// Appends the header of an array of `count` elements.
pub fn put_array(out: &mut Vec<u8>, count: usize) {
    put_head(out, b'*', count);
}

/// Appends a bulk string.
pub fn put_bulk(out: &mut Vec<u8>, text: &[u8]) {
    put_bulk_parts(out, &[text]);
}

/// Appends a bulk string that consists of `parts`.
pub fn put_bulk_parts(out: &mut Vec<u8>, parts: &[&[u8]]) {
    put_head(out, b'$', parts.iter().map(|p| p.len()).sum());
    parts.iter().for_each(|part| out.extend_from_slice(part));
    out.extend_from_slice(b"\r\n");
}

fn put_head(out: &mut Vec<u8>, kind: u8, count: usize) {
    out.push(kind);
    out.extend_from_slice(decimal(count as u64, &mut [0; 20]));
    out.extend_from_slice(b"\r\n");
}

/// Writes the decimal digits of `number` at the end of `digits` and returns them. Avoids the cost
/// of the standard formatter for each message.
pub fn decimal(mut number: u64, digits: &mut [u8; 20]) -> &[u8] {
    let mut at = digits.len();
    loop {
        at -= 1;
        digits[at] = b'0' + (number % 10) as u8;
        number /= 10;
        if number == 0 {
            return &digits[at..];
        }
    }
}
