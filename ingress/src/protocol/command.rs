//! The platform's requests: `API.READ` and `API.WRITE`.

use super::resp::{decimal, put_array, put_bulk, put_bulk_of};

/// A request as a client words it.
#[derive(Clone, Debug, PartialEq)]
pub struct Request<'a> {
    /// The customer's number.
    pub customer: u64,
    /// Name of the class.
    pub class: &'a str,
    /// Name of the customer's plan.
    pub plan: &'a str,
    /// How long the client waits, in milliseconds.
    pub wait_ms: f64,
    /// Units that it takes from the quota.
    pub units: f64,
    /// Ingresses through which the customer's requests come.
    pub spread: u32,
    /// Where the value of `d` stands in the list of names and values.
    deadline: (usize, usize),
}

/// What is wrong with a request; framing is intact.
pub type Wrong = &'static str;

/// Is this word the name of a request's command?
pub fn is_request(word: &[u8]) -> bool {
    word.eq_ignore_ascii_case(b"API.READ") || word.eq_ignore_ascii_case(b"API.WRITE")
}

/// Reads a request's words.
pub fn request<'a>(words: &[&'a [u8]]) -> Result<Request<'a>, Wrong> {
    let [_, customer, _, list, ..] = words else { return Err("wrong number of arguments") };
    if words.len() > 5 {
        return Err("wrong number of arguments");
    }
    let text = |bytes: &'a [u8]| std::str::from_utf8(bytes).map_err(|_| "not a text");
    let customer = u64::from_str_radix(text(customer)?, 16).map_err(|_| "invalid customer")?;
    let list = text(list)?;
    let mut found =
        Request { customer, class: "", plan: "", wait_ms: 0.0, units: 1.0, spread: 1, deadline: (0, 0) };
    let mut at = 0;
    for item in list.split(',') {
        let (name, value) = item.split_once('=').ok_or("expected name=value")?;
        let number = || value.parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0);
        match name {
            "c" => found.class = value,
            "t" => found.plan = value,
            "d" => {
                found.wait_ms = number().ok_or("invalid d")?;
                found.deadline = (at + 2, at + item.len());
            }
            "units" => found.units = number().ok_or("invalid units")?,
            "spread" => found.spread = value.parse().map_err(|_| "invalid spread")?,
            _ => {}
        }
        at += item.len() + 1;
    }
    if found.deadline.0 == 0 {
        return Err("d is missing");
    }
    Ok(found)
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
        Held { bytes: bytes.into_boxed_slice(), ends, count, deadline: request.deadline }
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
                put_bulk_of(out, &[&word[..from], decimal(wait_ms, &mut [0; 20]), &word[to..]]);
            } else {
                put_bulk(out, word);
            }
        }
    }
}
