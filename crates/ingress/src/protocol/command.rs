//! The platform's requests: `API.READ` and `API.WRITE`.

use super::resp::{decimal, put_array, put_bulk, put_bulk_of};
use roseyard_request_engine::MAX_NAME_BYTES;

/// A request as a client words it; every field is there and can be read.
#[derive(Clone, Debug, PartialEq)]
pub struct Request<'a> {
    /// The customer's number.
    pub customer: u64,
    /// The request's number.
    pub id: u64,
    /// Name of the class.
    pub class: &'a str,
    /// Name of the customer's plan.
    pub plan: &'a str,
    /// How long the client waits, in milliseconds.
    pub wait_ms: f64,
    /// Units that it takes from the quota.
    pub units: f64,
    /// Ingresses through which the customer's requests come, and the number of the first.
    pub ingress_count: u32,
    /// The first of them.
    pub first: u32,
    /// The idempotency key.
    pub key: Option<u64>,
    /// The client says that it asks again.
    pub is_retry: bool,
    /// Its route, where one is read.
    pub route: Option<&'a str>,
    /// Where the value of `d` stands in the list of names and values.
    deadline: (usize, usize),
}

/// What is wrong with a request; framing is intact.
pub type Wrong = &'static str;

/// Is this word the name of a request's command?
pub fn is_request(word: &[u8]) -> bool {
    is_read(word) || word.eq_ignore_ascii_case(b"API.WRITE")
}

/// Is it the one for classes that may safely be repeated?
pub fn is_read(word: &[u8]) -> bool {
    word.eq_ignore_ascii_case(b"API.READ")
}

/// 16 hex digits. Guards against what the standard parser takes beside them: a sign, fewer digits.
fn hex(word: &[u8]) -> Option<u64> {
    let good = word.len() == 16 && word.iter().all(u8::is_ascii_hexdigit);
    u64::from_str_radix(std::str::from_utf8(word).ok().filter(|_| good)?, 16).ok()
}

/// A plain decimal number. Guards against signs, exponents, `nan` and `inf`, which the standard
/// parser takes and which would reach the count of a customer.
fn decimal_number(text: &str) -> Option<f64> {
    let (whole, part) = text.split_once('.').unwrap_or((text, "0"));
    let digits = |t: &str| (1..=12).contains(&t.len()) && t.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|_| digits(whole) && digits(part))
}

/// Puts a field's value down, once.
fn put<T>(place: &mut Option<T>, value: Option<T>, wrong: Wrong) -> Result<(), Wrong> {
    match (&place, &value) {
        (None, Some(_)) => *place = value,
        _ => return Err(wrong),
    }
    Ok(())
}

/// Reads a request's words; `route_field` is the name whose value is the request's route, as it
/// stands.
pub fn request<'a>(words: &[&'a [u8]], route_field: Option<&str>) -> Result<Request<'a>, Wrong> {
    let (4 | 5, [_, customer, id, list, ..]) = (words.len(), words) else {
        return Err("wrong number of arguments");
    };
    let customer = hex(customer)
        .filter(|c| *c < 1 << 33)
        .ok_or("invalid customer")?;
    let id = hex(id).ok_or("invalid request id")?;
    let list = std::str::from_utf8(list).map_err(|_| "invalid list of names and values")?;
    let (mut class, mut plan, mut wait, mut units) = (None, None, None, None);
    let (mut ingress_count, mut first, mut key, mut again) = (None, None, None, None);
    let mut route = None;
    let mut at = 0;
    for item in list.split(',') {
        let (name, value) = item.split_once('=').ok_or("expected name=value")?;
        let whole = || {
            value
                .parse::<u32>()
                .ok()
                .filter(|_| value.bytes().all(|b| b.is_ascii_digit()))
        };
        if route_field == Some(name) {
            let bounded = (1..=MAX_NAME_BYTES).contains(&value.len());
            put(&mut route, Some(value).filter(|_| bounded), "invalid route")?;
        }
        match name {
            "c" => put(&mut class, Some(value), "invalid c")?,
            "t" => put(&mut plan, Some(value), "invalid t")?,
            "d" => {
                let place = (at + 2, at + item.len());
                put(
                    &mut wait,
                    decimal_number(value).map(|ms| (ms, place)),
                    "invalid d",
                )?;
            }
            "units" => put(&mut units, decimal_number(value), "invalid units")?,
            "spread" => put(&mut ingress_count, whole(), "invalid spread")?,
            "first" => put(&mut first, whole(), "invalid first")?,
            "k" => put(&mut key, hex(value.as_bytes()), "invalid k")?,
            "r" => put(&mut again, whole().filter(|r| *r <= 1), "invalid r")?,
            _ => {}
        }
        at += item.len() + 1;
    }
    let (wait_ms, deadline) = wait.ok_or("d is missing")?;
    Ok(Request {
        customer,
        id,
        class: class.ok_or("c is missing")?,
        plan: plan.ok_or("t is missing")?,
        wait_ms,
        units: units.ok_or("units is missing")?,
        ingress_count: ingress_count.ok_or("spread is missing")?,
        first: first.ok_or("first is missing")?,
        key,
        is_retry: again == Some(1),
        route,
        deadline,
    })
}

/// A request's words, held for its attempts.
#[derive(Clone, Debug)]
pub struct Held {
    bytes: Box<[u8]>,
    ends: [u32; 5],
    count: usize,
    deadline: (usize, usize),
}

impl Held {
    /// Keeps the words of a request that was read.
    pub fn new(words: &[&[u8]], request: &Request) -> Held {
        let mut bytes = Vec::with_capacity(words.iter().map(|w| w.len()).sum());
        let mut ends = [0; 5];
        for (word, end) in words.iter().zip(&mut ends) {
            bytes.extend_from_slice(word);
            *end = bytes.len() as u32;
        }
        let count = words.len().min(ends.len());
        Held {
            bytes: bytes.into_boxed_slice(),
            ends,
            count,
            deadline: request.deadline,
        }
    }

    /// Bytes held.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Holds it nothing? Never, for a request that was read.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends the command for a server: unchanged, but that `d` tells how long this ingress waits.
    pub fn put(&self, wait_ms: u64, out: &mut Vec<u8>) {
        put_array(out, self.count);
        let mut start = 0;
        for (n, end) in self.ends[..self.count].iter().enumerate() {
            let word = &self.bytes[start..*end as usize];
            start = *end as usize;
            if n == 3 {
                let (from, to) = self.deadline;
                put_bulk_of(
                    out,
                    &[&word[..from], decimal(wait_ms, &mut [0; 20]), &word[to..]],
                );
            } else {
                put_bulk(out, word);
            }
        }
    }
}
