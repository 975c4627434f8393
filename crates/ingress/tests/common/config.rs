//! Configurations of an ingress among fakes on loopback, and their limits.

use super::messages::endpoint_entry;
use super::peer::Peer;
use roseyard_ingress::limits::Limits;
use roseyard_ingress::protocol::ProtocolLimits;
use roseyard_operator_config::{File, MachineLimits, OperatorSettings};
use roseyard_platform_config::PlatformSettings;
use std::net::SocketAddr;

pub(crate) const SETTINGS: &str = include_str!("../settings.json");

/// The parsers' limits in an ingress of the usual size.
pub(crate) fn limits() -> ProtocolLimits {
    limits_of(1, 2000).protocol
}

/// The limits in a tier of so many ingresses, with so many milliseconds of grace for requests to
/// endpoints that drain.
pub(crate) fn limits_of(ingresses: u32, drain_grace_ms: u32) -> Limits {
    let operator = OperatorSettings::new(&MachineLimits {
        sockets: 1024,
        allowed: 1024,
    });
    let settings = SETTINGS
        .replace("\"Balancers\":1,", &format!("\"Balancers\":{ingresses},"))
        .replace(
            "\"StopSendingWithinMs\":2000.0",
            &format!("\"StopSendingWithinMs\":{drain_grace_ms}.0"),
        );
    let settings = PlatformSettings::parse(settings.as_bytes()).unwrap();
    Limits::new(&operator, 192, &settings)
}

/// A configuration of an ingress among these peers.
pub(crate) fn config(
    counter: &Peer,
    discovery: &Peer,
    endpoints: &[Peer],
    sockets: usize,
) -> String {
    let known: Vec<String> = endpoints
        .iter()
        .enumerate()
        .map(|(n, s)| endpoint_entry(n, s.address, "SERVING"))
        .collect();
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{}","counter":"{}","seed":"0123456789abcdef",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},
        "known":{{"rev":41,"all":true,"targets":[{}]}},"settings":{SETTINGS}}}"#,
        discovery.address,
        counter.address,
        known.join(",")
    )
}

/// A valid operator's file.
pub(crate) fn operator_file(text: &str) -> File {
    File::parse("roseyard.kdl", text).unwrap()
}
