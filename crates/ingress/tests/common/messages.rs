//! What clients, endpoints and discovery send.

use roseyard_ingress::protocol::resp;
use std::net::SocketAddr;

/// An endpoint's entry in an endpoint list.
pub(crate) fn endpoint_entry(n: usize, at: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"uid":"s-{n}","endpoint":"{at}","az":"dc","model":"m","pod_group":{n},"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

/// The customer of requests where none is named.
const CUSTOMER: u64 = 0xb4d6_5521;

/// A request as clients send it.
pub(crate) fn request(name: &str, id: u64, list: &str) -> Vec<u8> {
    request_of_customer(CUSTOMER, name, id, list)
}

/// A request of this customer.
pub(crate) fn request_of_customer(customer: u64, name: &str, id: u64, list: &str) -> Vec<u8> {
    command(&[
        name,
        &format!("{customer:016x}"),
        &format!("{id:016x}"),
        list,
    ])
}

/// A write with a body of this size.
pub(crate) fn write_with_body(id: u64, body: usize) -> Vec<u8> {
    let (customer, id) = (format!("{CUSTOMER:016x}"), format!("{id:016x}"));
    command(&["API.WRITE", &customer, &id, WRITE_FIELDS, &"x".repeat(body)])
}

fn command(words: &[&str]) -> Vec<u8> {
    let mut out = Vec::new();
    resp::put_array(&mut out, words.len());
    words
        .iter()
        .for_each(|word| resp::put_bulk(&mut out, word.as_bytes()));
    out
}

pub(crate) const READ_FIELDS: &str = "c=form-load,t=seedling,d=3000,units=1,spread=1,first=0";
pub(crate) const WRITE_FIELDS: &str =
    "c=submit,t=seedling,d=3000,k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0";

pub(crate) fn read_request(id: u64) -> Vec<u8> {
    request("API.READ", id, READ_FIELDS)
}

/// An endpoint's reply with this value.
pub(crate) fn served_reply(value: &str) -> String {
    format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len())
}

/// The head of the reply to a watch request.
pub(crate) const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A chunk of a watch.
pub(crate) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A line of the endpoint list with these entries.
pub(crate) fn endpoint_list(rev: u64, all: bool, targets: &[String]) -> String {
    format!(
        "{{\"rev\":{rev},\"all\":{all},\"targets\":[{}]}}\n",
        targets.join(",")
    )
}

/// A read of this customer.
pub(crate) fn read_request_of_customer(customer: u64, id: u64) -> Vec<u8> {
    request_of_customer(customer, "API.READ", id, READ_FIELDS)
}

/// Entries of so many endpoints, each at an address of its own.
pub(crate) fn many_endpoint_entries(endpoints: usize) -> Vec<String> {
    let address =
        |n: usize| SocketAddr::from(([127, (n >> 16) as u8 + 1, (n >> 8) as u8, n as u8], 6379));
    (0..endpoints)
        .map(|n| endpoint_entry(n, address(n), "SERVING"))
        .collect()
}
