//! The platform's requests: `API.READ` and `API.WRITE`.
//!
//! The platform's field names (`c`, `t`, `d`, `units`, `spread`, `first`, `k`, `r`) are mapped
//! here, and nowhere else.

use super::resp::{decimal, put_array, put_bulk, put_bulk_parts};
use roseyard_request_engine::MAX_NAME_BYTES;

/// Customers have numbers below this.
const MAX_CUSTOMERS: u64 = 1 << 33;
/// Most words of a request.
const MAX_ARGUMENTS: usize = 5;
/// The word that holds the list of names and values.
const FIELD_LIST_INDEX: usize = 3;

/// A request as a client sends it; every required field is there and readable.
#[derive(Clone, Debug, PartialEq)]
pub struct Request<'a> {
    /// The customer's number.
    pub customer: u64,
    /// The request's number, chosen by the client.
    pub id: u64,
    /// Name of the class (`c`).
    pub class: &'a str,
    /// Name of the customer's plan (`t`).
    pub plan: &'a str,
    /// How long the client waits, in milliseconds (`d`).
    pub wait_ms: f64,
    /// Units that it takes from the quota (`units`).
    pub units: f64,
    /// Number of ingresses through which the customer's requests come (`spread`).
    pub ingress_count: u32,
    /// Number of the first of them (`first`).
    pub first_ingress: u32,
    /// The idempotency key (`k`).
    pub idempotency_key: Option<u64>,
    /// The client says that it sends the request again (`r=1`).
    pub is_retry: bool,
    /// Its route, where the operator names a field for it.
    pub route: Option<&'a str>,
    /// Where the value of `d` stands in the list, to be replaced for the endpoint.
    wait_value_span: Span,
}

/// What is wrong with a command whose framing is intact. The text goes to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct InvalidCommand(pub &'static str);

/// Is this word the name of a request's command?
pub fn is_request_command(argument: &[u8]) -> bool {
    is_read_command(argument) || argument.eq_ignore_ascii_case(b"API.WRITE")
}

/// Is it the one for classes that are idempotent?
pub fn is_read_command(argument: &[u8]) -> bool {
    argument.eq_ignore_ascii_case(b"API.READ")
}

/// 16 hex digits. The standard parser alone would take a sign or fewer digits too.
fn parse_hex(argument: &[u8]) -> Option<u64> {
    if argument.len() != 16 || !argument.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    u64::from_str_radix(std::str::from_utf8(argument).ok()?, 16).ok()
}

/// A plain decimal number. The standard parser alone would take signs, exponents, `nan` and `inf`
/// too, which must not reach a customer's count.
fn parse_decimal(text: &str) -> Option<f64> {
    let (whole, part) = text.split_once('.').unwrap_or((text, "0"));
    let digits = |t: &str| (1..=12).contains(&t.len()) && t.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|_| digits(whole) && digits(part))
}

/// Sets a field's value; an error if it is missing, unreadable or set already.
fn set_once<T>(
    field: &mut Option<T>,
    value: Option<T>,
    error: &'static str,
) -> Result<(), InvalidCommand> {
    if field.is_some() || value.is_none() {
        return Err(InvalidCommand(error));
    }
    *field = value;
    Ok(())
}

/// A plain decimal number without a sign.
fn parse_unsigned(text: &str) -> Option<u32> {
    let number = text.parse().ok();
    number.filter(|_| text.bytes().all(|byte| byte.is_ascii_digit()))
}

/// Where a value stands in the list of names and values, in bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Span {
    start: usize,
    end: usize,
}

/// The fields of the list of names and values that were read so far.
#[derive(Default)]
struct Fields<'a> {
    class: Option<&'a str>,
    plan: Option<&'a str>,
    wait_ms: Option<f64>,
    wait_value_span: Option<Span>,
    units: Option<f64>,
    ingress_count: Option<u32>,
    first_ingress: Option<u32>,
    idempotency_key: Option<u64>,
    retry: Option<u32>,
    route: Option<&'a str>,
}

impl<'a> Fields<'a> {
    /// Reads `name=value` items; unknown names are skipped.
    fn from_list(list: &'a str, route_field: Option<&str>) -> Result<Fields<'a>, InvalidCommand> {
        let mut fields = Fields::default();
        let mut start = 0;
        for item in list.split(',') {
            let end = start + item.len();
            let (name, value) = item
                .split_once('=')
                .ok_or(InvalidCommand("expected name=value"))?;
            if route_field == Some(name) {
                let is_bounded = (1..=MAX_NAME_BYTES).contains(&value.len());
                let route = Some(value).filter(|_| is_bounded);
                set_once(&mut fields.route, route, "invalid route")?;
            }
            let value_span = Span {
                start: end - value.len(),
                end,
            };
            fields.set(name, value, value_span)?;
            start = end + 1;
        }
        Ok(fields)
    }

    fn set(&mut self, name: &str, value: &'a str, span: Span) -> Result<(), InvalidCommand> {
        match name {
            "c" => set_once(&mut self.class, Some(value), "invalid c"),
            "t" => set_once(&mut self.plan, Some(value), "invalid t"),
            "d" => {
                self.wait_value_span = Some(span);
                set_once(&mut self.wait_ms, parse_decimal(value), "invalid d")
            }
            "units" => set_once(&mut self.units, parse_decimal(value), "invalid units"),
            "spread" => {
                let count = parse_unsigned(value);
                set_once(&mut self.ingress_count, count, "invalid spread")
            }
            "first" => set_once(
                &mut self.first_ingress,
                parse_unsigned(value),
                "invalid first",
            ),
            "k" => set_once(
                &mut self.idempotency_key,
                parse_hex(value.as_bytes()),
                "invalid k",
            ),
            "r" => {
                let flag = parse_unsigned(value).filter(|flag| *flag <= 1);
                set_once(&mut self.retry, flag, "invalid r")
            }
            _ => Ok(()),
        }
    }
}

/// Reads a request's words; `route_field` is the name whose value is the request's route, as it
/// stands.
pub fn decode_request<'a>(
    arguments: &[&'a [u8]],
    route_field: Option<&str>,
) -> Result<Request<'a>, InvalidCommand> {
    let (4 | 5, [_, customer, id, list, ..]) = (arguments.len(), arguments) else {
        return Err(InvalidCommand("wrong number of arguments"));
    };
    let customer = parse_hex(customer)
        .filter(|customer| *customer < MAX_CUSTOMERS)
        .ok_or(InvalidCommand("invalid customer"))?;
    let id = parse_hex(id).ok_or(InvalidCommand("invalid request id"))?;
    let list = std::str::from_utf8(list)
        .map_err(|_| InvalidCommand("invalid list of names and values"))?;
    let fields = Fields::from_list(list, route_field)?;
    let missing = InvalidCommand;
    Ok(Request {
        customer,
        id,
        wait_ms: fields.wait_ms.ok_or(missing("d is missing"))?,
        wait_value_span: fields.wait_value_span.ok_or(missing("d is missing"))?,
        class: fields.class.ok_or(missing("c is missing"))?,
        plan: fields.plan.ok_or(missing("t is missing"))?,
        units: fields.units.ok_or(missing("units is missing"))?,
        ingress_count: fields.ingress_count.ok_or(missing("spread is missing"))?,
        first_ingress: fields.first_ingress.ok_or(missing("first is missing"))?,
        idempotency_key: fields.idempotency_key,
        is_retry: fields.retry == Some(1),
        route: fields.route,
    })
}

/// The words of a request, kept for its attempts.
#[derive(Clone, Debug)]
pub struct RequestCommand {
    bytes: Box<[u8]>,
    /// Where each word ends.
    ends: [u32; MAX_ARGUMENTS],
    argument_count: usize,
    wait_value_span: Span,
}

impl RequestCommand {
    /// Keeps the words of a request that was read.
    pub fn new(arguments: &[&[u8]], request: &Request) -> RequestCommand {
        let mut bytes = Vec::with_capacity(arguments.iter().map(|argument| argument.len()).sum());
        let mut ends = [0; MAX_ARGUMENTS];
        for (argument, end) in arguments.iter().zip(&mut ends) {
            bytes.extend_from_slice(argument);
            *end = bytes.len() as u32;
        }
        RequestCommand {
            bytes: bytes.into_boxed_slice(),
            ends,
            argument_count: arguments.len().min(MAX_ARGUMENTS),
            wait_value_span: request.wait_value_span,
        }
    }

    /// Bytes kept.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Are no bytes kept? Never for a request that was read.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends the command for an endpoint: unchanged, except that `d` says how long this ingress
    /// waits, in milliseconds.
    pub fn put(&self, wait_ms: u64, out: &mut Vec<u8>) {
        put_array(out, self.argument_count);
        let mut start = 0;
        for (position, end) in self.ends[..self.argument_count].iter().enumerate() {
            let argument = &self.bytes[start..*end as usize];
            start = *end as usize;
            if position == FIELD_LIST_INDEX {
                let before = &argument[..self.wait_value_span.start];
                let after = &argument[self.wait_value_span.end..];
                put_bulk_parts(out, &[before, decimal(wait_ms, &mut [0; 20]), after]);
            } else {
                put_bulk(out, argument);
            }
        }
    }
}
