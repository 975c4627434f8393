//! HTTP replies of counter and discovery, and the calls that are written to them.

use roseyard_ingress::protocol::http::{put_increment_request, reply, Framing};
use roseyard_ingress::protocol::{Malformed, ProtocolLimits};

fn limits() -> ProtocolLimits {
    ProtocolLimits::new(192 << 20)
}

fn parsed(text: &str) -> Result<Option<(u16, String, bool, usize)>, Malformed> {
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
fn a_total_comes_with_its_length_or_in_a_chunk() {
    let plain = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\nX: y\r\n\r\n12.5HTTP";
    assert_eq!(
        parsed(plain),
        Ok(Some((200, "12.5".into(), false, plain.len() - 4)))
    );
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n12\r\n0\r\n\r\n";
    assert_eq!(
        parsed(chunked),
        Ok(Some((200, "12".into(), false, chunked.len())))
    );
    for end in 0..plain.len() - 4 {
        assert_eq!(parsed(&plain[..end]), Ok(None), "{end}");
    }
}

#[test]
fn a_refusal_may_close_and_an_odd_answer_is_malformed() {
    let refusal = "HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(
        parsed(refusal),
        Ok(Some((503, String::new(), true, refusal.len())))
    );
    for bad in [
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        "HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
        "SMTP 200\r\n\r\n",
    ] {
        assert!(parsed(bad).is_err(), "{bad:?}");
    }
}

#[test]
fn a_body_without_a_length_is_whole_when_the_sending_has_ended() {
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
        "its head is not whole"
    );
}

#[test]
fn a_call_is_worded_as_the_counter_takes_it() {
    let mut out = Vec::new();
    put_increment_request(&mut out, "127.0.0.1:6400", 0xb4d65521, 2.5, 4000);
    let text = String::from_utf8(out).unwrap();
    assert!(
        text.starts_with("POST /tally/00000000b4d65521?n=2.5&keep_ms=4000 HTTP/1.1\r\n"),
        "{text}"
    );
    assert!(text.ends_with("\r\n\r\n"));
}
