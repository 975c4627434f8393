//! Encoding of client requests in RESP: a command with the customer, the request id and a list of
//! `name=value` parameters.

/// Encodes a request of the idempotent class `form-load`.
#[must_use]
pub fn request(customer: u64, id: u64) -> Vec<u8> {
    encode("API.READ", &parameters("form-load", 1), customer, id)
}

/// Encodes a request of the class `sign`, which is not idempotent.
#[must_use]
pub fn non_idempotent_request(customer: u64, id: u64) -> Vec<u8> {
    encode("API.WRITE", &parameters("sign", 1), customer, id)
}

/// Encodes a request of a customer whose requests are spread over this many ingresses.
/// `extra_parameters` is appended to the parameter list and starts with a comma if it is not empty.
#[must_use]
pub fn request_through(
    idempotent: bool,
    customer: u64,
    id: u64,
    ingress_count: u32,
    extra_parameters: &str,
) -> Vec<u8> {
    let (command, class) = if idempotent {
        ("API.READ", "form-load")
    } else {
        ("API.WRITE", "sign")
    };
    let list = parameters(class, ingress_count) + extra_parameters;
    encode(command, &list, customer, id)
}

fn parameters(class: &str, ingress_count: u32) -> String {
    format!("c={class},t=lab,d=2000,units=1,spread={ingress_count},first=0")
}

fn encode(command: &str, list: &str, customer: u64, id: u64) -> Vec<u8> {
    let customer = format!("{customer:016x}");
    let id = format!("{id:016x}");
    let mut out = String::from("*4\r\n");
    for part in [command, &customer, &id, list] {
        out += &format!("${}\r\n{part}\r\n", part.len());
    }
    out.into_bytes()
}
