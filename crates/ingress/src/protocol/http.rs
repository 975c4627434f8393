//! HTTP/1.1 as a client of the counter and of discovery: replies parsed, calls written.

use super::{Malformed, Parsed, ProtocolLimits};
use std::io::Write;

/// How a reply's body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// This many bytes.
    Length(usize),
    /// In chunks.
    Chunked,
    /// All until the connection ends.
    UntilClose,
}

/// A reply's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyHead {
    /// Status.
    pub status: u16,
    /// The body's framing.
    pub body: Framing,
    /// The peer closes the connection after this reply.
    pub closes_connection: bool,
}

/// The head of a reply and its length.
pub fn parse_reply_head(input: &[u8], limits: &ProtocolLimits) -> Parsed<ReplyHead> {
    let seen = &input[..input.len().min(limits.max_line_bytes)];
    let Some(end) = seen.windows(4).position(|w| w == b"\r\n\r\n") else {
        return match input.len() >= limits.max_line_bytes {
            true => Err(Malformed("head too long")),
            false => Ok(None),
        };
    };
    let text = std::str::from_utf8(&input[..end]).map_err(|_| Malformed("head is not a text"))?;
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or_default();
    let status = first
        .strip_prefix("HTTP/1.")
        .and_then(|rest| rest.split(' ').nth(1));
    let status = status
        .and_then(|s| s.parse().ok())
        .ok_or(Malformed("no status line"))?;
    let mut found = ReplyHead {
        status,
        body: Framing::UntilClose,
        closes_connection: first.starts_with("HTTP/1.0"),
    };
    // These never have a body, whatever their headers say.
    let has_no_body = matches!(status, 100..=199 | 204 | 304);
    if has_no_body {
        found.body = Framing::Length(0);
    }
    for line in lines {
        let (name, value) = line
            .split_once(':')
            .ok_or(Malformed("header without a colon"))?;
        let value = value.trim();
        if name.eq_ignore_ascii_case("content-length") && found.body == Framing::UntilClose {
            let length = value.parse().ok().filter(|n| *n <= limits.max_value_bytes);
            found.body = Framing::Length(length.ok_or(Malformed("invalid content-length"))?);
        } else if name.eq_ignore_ascii_case("transfer-encoding") && !has_no_body {
            if !value.eq_ignore_ascii_case("chunked") {
                return Err(Malformed("unknown transfer-encoding"));
            }
            found.body = Framing::Chunked;
        } else if name.eq_ignore_ascii_case("connection") {
            found.closes_connection |= value.eq_ignore_ascii_case("close");
        }
    }
    Ok(Some((found, end + 4)))
}

/// One chunk of a chunked body and its length with its frame; an empty one is the last.
pub fn chunk<'a>(input: &'a [u8], limits: &ProtocolLimits) -> Parsed<&'a [u8]> {
    let seen = &input[..input.len().min(64)];
    let Some(end) = seen.iter().position(|b| *b == b'\n') else {
        return match seen.len() >= 64 {
            true => Err(Malformed("chunk head too long")),
            false => Ok(None),
        };
    };
    let size = seen[..end]
        .strip_suffix(b"\r")
        .ok_or(Malformed("line without CR"))?;
    let size = size.split(|b| *b == b';').next().unwrap_or_default();
    let size = std::str::from_utf8(size)
        .ok()
        .filter(|s| !s.is_empty() && s.len() <= 8);
    let size = size.and_then(|s| usize::from_str_radix(s.trim(), 16).ok());
    let size = size
        .filter(|n| *n <= limits.max_list_bytes)
        .ok_or(Malformed("invalid chunk size"))?;
    let start = end + 1;
    let Some(found) = input.get(start..start + size + 2) else {
        return Ok(None);
    };
    if &found[size..] != b"\r\n" {
        return Err(Malformed("chunk without its end"));
    }
    Ok(Some((&found[..size], start + size + 2)))
}

/// A complete reply with its body, as the counter sends it. `ended`: the peer has ended its
/// sending, which alone ends a body without a length; a reset does not.
pub fn reply<'a>(
    input: &'a [u8],
    at_eof: bool,
    limits: &ProtocolLimits,
) -> Parsed<(ReplyHead, &'a [u8])> {
    let Some((found, at)) = parse_reply_head(input, limits)? else {
        return Ok(None);
    };
    match found.body {
        Framing::Length(n) => Ok(input.get(at..at + n).map(|body| ((found, body), at + n))),
        Framing::Chunked => {
            // The counter's totals are short: a body of one chunk and the last.
            let Some((body, used)) = chunk(&input[at..], limits)? else {
                return Ok(None);
            };
            let end = at + used;
            if body.is_empty() {
                return Ok(Some(((found, body), end)));
            }
            let Some((last, used)) = chunk(&input[end..], limits)? else {
                return Ok(None);
            };
            match last.is_empty() {
                true => Ok(Some(((found, body), end + used))),
                false => Err(Malformed("a total in several chunks")),
            }
        }
        Framing::UntilClose => Ok(at_eof.then(|| ((found, &input[at..]), input.len()))),
    }
}

/// Appends a call to the counter.
pub fn put_increment_request(out: &mut Vec<u8>, host: &str, name: u64, add: f64, keep_ms: u64) {
    let _ = write!(
        out,
        "POST /tally/{name:016x}?n={add}&keep_ms={keep_ms} HTTP/1.1\r\nHost: {host}\r\nContent-Length: 0\r\n\r\n"
    );
}

/// Appends the call that opens a watch after this version of the list.
pub fn put_watch_request(out: &mut Vec<u8>, host: &str, after: u64) {
    let _ = write!(
        out,
        "GET /discovery/hosts?watch=1&after={after} HTTP/1.1\r\nHost: {host}\r\n\r\n"
    );
}
