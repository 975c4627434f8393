//! The HTTP/1.1 client protocol for the counter and discovery: parses replies, encodes requests.

use super::{Malformed, Parsed, ProtocolLimits};
use std::io::Write;

/// How the end of a reply's body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(usize),
    /// The body is sent in chunks (`transfer-encoding: chunked`).
    Chunked,
    /// The body ends when the peer closes the connection.
    UntilClose,
}

/// Status line and headers of a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyHead {
    /// HTTP status code.
    pub status: u16,
    /// How the body is framed.
    pub body: Framing,
    /// Whether the peer closes the connection after this reply.
    pub closes_connection: bool,
}

/// Parses the head of a reply, including the empty line after the headers.
pub fn parse_reply_head(input: &[u8], limits: &ProtocolLimits) -> Parsed<ReplyHead> {
    let searched = &input[..input.len().min(limits.max_line_bytes)];
    let Some(end) = searched.windows(4).position(|w| w == b"\r\n\r\n") else {
        return match input.len() >= limits.max_line_bytes {
            true => Err(Malformed("response head too long")),
            false => Ok(None),
        };
    };
    let text = std::str::from_utf8(&input[..end])
        .map_err(|_| Malformed("response head is not valid UTF-8"))?;
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or_default();
    let status = first
        .strip_prefix("HTTP/1.")
        .and_then(|rest| rest.split(' ').nth(1));
    let status = status
        .and_then(|s| s.parse().ok())
        .ok_or(Malformed("invalid status line"))?;
    let mut head = ReplyHead {
        status,
        body: Framing::UntilClose,
        closes_connection: first.starts_with("HTTP/1.0"),
    };
    // Replies with these status codes never have a body, even if a header announces one.
    let has_no_body = matches!(status, 100..=199 | 204 | 304);
    if has_no_body {
        head.body = Framing::Length(0);
    }
    for line in lines {
        let (name, value) = line
            .split_once(':')
            .ok_or(Malformed("response header without a colon"))?;
        let value = value.trim();
        if name.eq_ignore_ascii_case("content-length") && head.body == Framing::UntilClose {
            let length = value.parse().ok().filter(|n| *n <= limits.max_value_bytes);
            head.body = Framing::Length(length.ok_or(Malformed("invalid content-length"))?);
        } else if name.eq_ignore_ascii_case("transfer-encoding") && !has_no_body {
            if !value.eq_ignore_ascii_case("chunked") {
                return Err(Malformed("unsupported transfer-encoding, expected chunked"));
            }
            head.body = Framing::Chunked;
        } else if name.eq_ignore_ascii_case("connection") {
            head.closes_connection |= value.eq_ignore_ascii_case("close");
        }
    }
    Ok(Some((head, end + 4)))
}

/// Parses one chunk of a chunked body. The returned offset includes the chunk header and the
/// trailing line end. An empty chunk is the last one.
pub fn chunk<'a>(input: &'a [u8], limits: &ProtocolLimits) -> Parsed<&'a [u8]> {
    let searched = &input[..input.len().min(64)];
    let Some(end) = searched.iter().position(|b| *b == b'\n') else {
        return match searched.len() >= 64 {
            true => Err(Malformed("chunk header too long")),
            false => Ok(None),
        };
    };
    let size = searched[..end]
        .strip_suffix(b"\r")
        .ok_or(Malformed("chunk header without CR"))?;
    let size = size.split(|b| *b == b';').next().unwrap_or_default();
    let size = std::str::from_utf8(size)
        .ok()
        .filter(|s| !s.is_empty() && s.len() <= 8);
    let size = size.and_then(|s| usize::from_str_radix(s.trim(), 16).ok());
    let size = size
        .filter(|n| *n <= limits.max_list_bytes)
        .ok_or(Malformed("invalid chunk size"))?;
    let start = end + 1;
    let Some(framed) = input.get(start..start + size + 2) else {
        return Ok(None);
    };
    if &framed[size..] != b"\r\n" {
        return Err(Malformed("chunk data without trailing CRLF"));
    }
    Ok(Some((&framed[..size], start + size + 2)))
}

/// Parses a complete reply of the counter with its body. `at_eof` says that the peer has closed its
/// sending side, which completes a body without a length; a connection reset does not.
pub fn reply<'a>(
    input: &'a [u8],
    at_eof: bool,
    limits: &ProtocolLimits,
) -> Parsed<(ReplyHead, &'a [u8])> {
    let Some((head, at)) = parse_reply_head(input, limits)? else {
        return Ok(None);
    };
    match head.body {
        Framing::Length(n) => Ok(input.get(at..at + n).map(|body| ((head, body), at + n))),
        Framing::Chunked => {
            // The counter's totals are short: one chunk holds the body, and an empty one ends it.
            let Some((body, used)) = chunk(&input[at..], limits)? else {
                return Ok(None);
            };
            let end = at + used;
            if body.is_empty() {
                return Ok(Some(((head, body), end)));
            }
            let Some((last, used)) = chunk(&input[end..], limits)? else {
                return Ok(None);
            };
            match last.is_empty() {
                true => Ok(Some(((head, body), end + used))),
                false => Err(Malformed("counter total in more than one chunk")),
            }
        }
        Framing::UntilClose => Ok(at_eof.then(|| ((head, &input[at..]), input.len()))),
    }
}

/// Appends a request that adds `add` to the counter `name` and makes the counter keep it for
/// `keep_ms`. The reply contains the new total.
pub fn put_increment_request(out: &mut Vec<u8>, host: &str, name: u64, add: f64, keep_ms: u64) {
    let _ = write!(
        out,
        "POST /tally/{name:016x}?n={add}&keep_ms={keep_ms} HTTP/1.1\r\nHost: {host}\r\nContent-Length: 0\r\n\r\n"
    );
}

/// Appends the request for a watch that reports the endpoint lists after revision `after`.
pub fn put_watch_request(out: &mut Vec<u8>, host: &str, after: u64) {
    let _ = write!(
        out,
        "GET /discovery/hosts?watch=1&after={after} HTTP/1.1\r\nHost: {host}\r\n\r\n"
    );
}
