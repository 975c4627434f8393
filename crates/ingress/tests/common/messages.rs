//! Messages that clients, endpoints and discovery send.

use roseyard_ingress::protocol::resp;
use std::net::SocketAddr;

/// Returns the entry of endpoint `n` in an endpoint list.
pub(crate) fn endpoint_entry(n: usize, address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"uid":"s-{n}","endpoint":"{address}","az":"dc","model":"m","pod_group":{n},"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

/// The customer of requests that are built without one.
const CUSTOMER: u64 = 0xb4d6_5521;

/// Returns a request of the default customer with this command name and these fields.
pub(crate) fn request(name: &str, id: u64, fields: &str) -> Vec<u8> {
    request_of_customer(CUSTOMER, name, id, fields)
}

/// Returns a request of this customer.
pub(crate) fn request_of_customer(customer: u64, name: &str, id: u64, fields: &str) -> Vec<u8> {
    command(&[
        name,
        &format!("{customer:016x}"),
        &format!("{id:016x}"),
        fields,
    ])
}

/// Returns a write with a body of this many bytes.
pub(crate) fn write_with_body(id: u64, body_bytes: usize) -> Vec<u8> {
    let (customer, id) = (format!("{CUSTOMER:016x}"), format!("{id:016x}"));
    command(&[
        "API.WRITE",
        &customer,
        &id,
        WRITE_FIELDS,
        &"x".repeat(body_bytes),
    ])
}

/// Returns the beginning of a write, with 60,000 bytes of an argument that is longer.
pub(crate) fn unfinished_write() -> String {
    format!("*5\r\n$9\r\nAPI.WRITE\r\n$65536\r\n{}", "x".repeat(60_000))
}

fn command(words: &[&str]) -> Vec<u8> {
    let mut out = Vec::new();
    resp::put_array(&mut out, words.len());
    words
        .iter()
        .for_each(|word| resp::put_bulk(&mut out, word.as_bytes()));
    out
}

/// The fields of a valid read: class, plan, deadline in milliseconds, units, the number of
/// ingresses that the customer's requests come through, and the first of these.
pub(crate) const READ_FIELDS: &str = "c=form-load,t=seedling,d=3000,units=1,spread=1,first=0";
/// The fields of a valid write, which has an idempotency key.
pub(crate) const WRITE_FIELDS: &str =
    "c=submit,t=seedling,d=3000,k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0";

/// Returns a read of the default customer.
pub(crate) fn read_request(id: u64) -> Vec<u8> {
    request("API.READ", id, READ_FIELDS)
}

/// Returns an endpoint's successful reply with this value.
pub(crate) fn served_reply(value: &str) -> String {
    format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len())
}

/// The head of discovery's reply to a watch request; chunks follow it.
pub(crate) const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Encodes a text as a chunk of an HTTP body.
pub(crate) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns a line of a watch with these entries, either a full endpoint list or a partial update.
pub(crate) fn endpoint_list(rev: u64, is_full: bool, targets: &[String]) -> String {
    format!(
        "{{\"rev\":{rev},\"all\":{is_full},\"targets\":[{}]}}\n",
        targets.join(",")
    )
}

/// Returns a read of this customer.
pub(crate) fn read_request_of_customer(customer: u64, id: u64) -> Vec<u8> {
    request_of_customer(customer, "API.READ", id, READ_FIELDS)
}

/// Returns the entries of `endpoints` endpoints, each with its own address.
pub(crate) fn many_endpoint_entries(endpoints: usize) -> Vec<String> {
    let address =
        |n: usize| SocketAddr::from(([127, (n >> 16) as u8 + 1, (n >> 8) as u8, n as u8], 6379));
    (0..endpoints)
        .map(|n| endpoint_entry(n, address(n), "SERVING"))
        .collect()
}
