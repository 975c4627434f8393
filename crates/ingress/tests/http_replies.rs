//! Parsing of the HTTP replies of the counter and discovery, and the text of calls to the counter.

use roseyard_ingress::protocol::http::{put_increment_request, reply, Framing};
use roseyard_ingress::protocol::{Malformed, ProtocolLimits};

fn limits() -> ProtocolLimits {
    ProtocolLimits::new(192 << 20)
}

/// Parses a reply: its status, its body, whether it closes the connection, and its length in bytes.
fn parse_reply(text: &str) -> Result<Option<(u16, String, bool, usize)>, Malformed> {
    let found = reply(text.as_bytes(), false, &limits())?;
    Ok(found.map(|((h, body), used)| {
        (
            h.status,
            String::from_utf8_lossy(body).into(),
            h.closes_connection,
            used,
        )
    }))
}

#[test]
fn a_total_is_read_from_a_body_with_a_content_length_or_in_chunks() {
    let plain = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\nX: y\r\n\r\n12.5HTTP";
    assert_eq!(
        parse_reply(plain),
        Ok(Some((200, "12.5".into(), false, plain.len() - 4)))
    );
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n12\r\n0\r\n\r\n";
    assert_eq!(
        parse_reply(chunked),
        Ok(Some((200, "12".into(), false, chunked.len())))
    );
    for end in 0..plain.len() - 4 {
        assert_eq!(parse_reply(&plain[..end]), Ok(None), "{end}");
    }
}

#[test]
fn a_rejection_may_close_the_connection_and_an_invalid_reply_is_malformed() {
    let rejection = "HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(
        parse_reply(rejection),
        Ok(Some((503, String::new(), true, rejection.len())))
    );
    for invalid in [
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        "HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
        "SMTP 200\r\n\r\n",
    ] {
        assert!(parse_reply(invalid).is_err(), "{invalid:?}");
    }
}

#[test]
fn a_body_without_a_length_is_complete_at_the_end_of_the_stream() {
    let text = b"HTTP/1.1 200 OK\r\n\r\n12";
    assert_eq!(reply(text, false, &limits()), Ok(None), "more may follow");
    let (found, used) = reply(text, true, &limits()).unwrap().unwrap();
    assert_eq!(
        (found.0.body, found.1, used),
        (Framing::UntilClose, &b"12"[..], text.len())
    );
    assert_eq!(
        reply(&text[..18], true, &limits()),
        Ok(None),
        "its head is incomplete"
    );
}

#[test]
fn a_call_has_the_request_line_that_the_counter_expects() {
    let mut out = Vec::new();
    put_increment_request(&mut out, "127.0.0.1:6400", 0xb4d65521, 2.5, 4000);
    let text = String::from_utf8(out).unwrap();
    assert!(
        text.starts_with("POST /tally/00000000b4d65521?n=2.5&keep_ms=4000 HTTP/1.1\r\n"),
        "{text}"
    );
    assert!(text.ends_with("\r\n\r\n"));
}
