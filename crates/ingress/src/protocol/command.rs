//! Decodes the platform's request commands, `API.READ` and `API.WRITE`.
//!
//! This module alone knows the platform's field names (`c`, `t`, `d`, `units`, `spread`, `first`,
//! `k`, `r`).

use super::resp::{decimal, put_array, put_bulk, put_bulk_parts};
use roseyard_request_engine::MAX_NAME_BYTES;

/// Customer numbers are below this limit.
const MAX_CUSTOMERS: u64 = 1 << 33;
/// Maximum number of arguments of a request, including the command name.
const MAX_ARGUMENTS: usize = 5;
/// Index of the argument that holds the `name=value` list.
const FIELD_LIST_INDEX: usize = 3;

/// A decoded request from a client. All required fields are present and valid.
#[derive(Clone, Debug, PartialEq)]
pub struct Request<'a> {
    /// Customer number, below 2^33.
    pub customer: u64,
    /// Request number, chosen by the client.
    pub id: u64,
    /// Name of the class (`c`).
    pub class: &'a str,
    /// Name of the customer's plan (`t`).
    pub plan: &'a str,
    /// How long the client waits for the reply, in milliseconds (`d`).
    pub wait_ms: f64,
    /// Units that the request takes from the customer's quota (`units`).
    pub units: f64,
    /// Number of ingresses over which the customer's requests are spread (`spread`).
    pub ingress_count: u32,
    /// Number of the first of these ingresses (`first`).
    pub first_ingress: u32,
    /// Idempotency key (`k`), if the client sends one.
    pub idempotency_key: Option<u64>,
    /// Whether the client marks the request as a retry (`r=1`).
    pub is_retry: bool,
    /// Value of the route field; `None` if the operator configures no route field or the request
    /// does not contain it.
    pub route: Option<&'a str>,
    /// Position of the value of `d` in the list. It is replaced in the command for the endpoint.
    wait_value_span: Span,
}

/// Error in a command whose framing is valid. The text is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct InvalidCommand(pub &'static str);

/// Returns whether this command name is that of a request.
pub fn is_request_command(argument: &[u8]) -> bool {
    is_read_command(argument) || argument.eq_ignore_ascii_case(b"API.WRITE")
}

/// Returns whether this command name is that of requests of idempotent classes.
pub fn is_read_command(argument: &[u8]) -> bool {
    argument.eq_ignore_ascii_case(b"API.READ")
}

/// Parses exactly 16 hex digits. The standard parser alone would also accept a sign or fewer
/// digits.
fn parse_hex(argument: &[u8]) -> Option<u64> {
    if argument.len() != 16 || !argument.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    u64::from_str_radix(std::str::from_utf8(argument).ok()?, 16).ok()
}

/// Parses an unsigned decimal number without exponent. The standard parser alone would also accept
/// signs, exponents, `nan` and `inf`, which must not enter a customer's counter.
fn parse_decimal(text: &str) -> Option<f64> {
    let (whole, part) = text.split_once('.').unwrap_or((text, "0"));
    let digits = |t: &str| (1..=12).contains(&t.len()) && t.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|_| digits(whole) && digits(part))
}

/// Sets a field to a parsed value. Returns `error` if the value is invalid (`None`) or the field is
/// already set.
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

/// Parses a decimal integer without a sign.
fn parse_unsigned(text: &str) -> Option<u32> {
    let number = text.parse().ok();
    number.filter(|_| text.bytes().all(|byte| byte.is_ascii_digit()))
}

/// Byte range of a value in the `name=value` list.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Span {
    start: usize,
    end: usize,
}

/// Fields parsed so far from the `name=value` list.
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
    /// Parses comma-separated `name=value` items. Skips unknown names.
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

/// Decodes a request from its arguments. The value of the field named `route_field` becomes the
/// route without further parsing.
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

/// The arguments of a request, stored to send the command with each attempt.
#[derive(Clone, Debug)]
pub struct RequestCommand {
    bytes: Box<[u8]>,
    /// End offset of each argument in `bytes`.
    ends: [u32; MAX_ARGUMENTS],
    argument_count: usize,
    wait_value_span: Span,
}

impl RequestCommand {
    /// Copies the arguments from which `request` was decoded.
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

    /// Returns the total length of the arguments, in bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether no bytes are stored, which is never so for a decoded request.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends the command for an endpoint. Only the value of `d` changes: it becomes `wait_ms`,
    /// the time that this ingress waits for the reply.
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
