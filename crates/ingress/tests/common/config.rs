//! Configurations of an ingress among fakes on loopback, and their limits.

use super::messages::endpoint_entry;
use super::peer::Peer;
use roseyard_ingress::limits::Limits;
use roseyard_ingress::program::config::{Config, ConfigurationError};
use roseyard_ingress::program::ProgramError;
use roseyard_ingress::protocol::ProtocolLimits;
use roseyard_operator_config::{MachineLimits, OperatorFile, OperatorFileError, OperatorSettings};
use roseyard_platform_config::PlatformSettings;
use std::net::SocketAddr;

pub(crate) const PLATFORM_SETTINGS: &str = include_str!("../settings.json");

/// The parsers' limits in an ingress of the usual size.
pub(crate) fn protocol_limits() -> ProtocolLimits {
    tier_limits(1, 2000).protocol
}

/// The limits in a tier of so many ingresses, with so many milliseconds of grace for requests to
/// endpoints that drain.
pub(crate) fn tier_limits(ingresses: u32, drain_grace_ms: u32) -> Limits {
    let operator = OperatorSettings::new(&MachineLimits {
        platform_descriptors: 1024,
        system_descriptors: 1024,
    });
    let settings = PLATFORM_SETTINGS
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
    platform_descriptors: usize,
) -> String {
    let known: Vec<String> = endpoints
        .iter()
        .enumerate()
        .map(|(n, s)| endpoint_entry(n, s.address, "SERVING"))
        .collect();
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{}","counter":"{}","seed":"0123456789abcdef",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{platform_descriptors}}},
        "known":{{"rev":41,"all":true,"targets":[{}]}},"settings":{PLATFORM_SETTINGS}}}"#,
        discovery.address,
        counter.address,
        known.join(",")
    )
}

/// A valid operator's file.
pub(crate) fn operator_file(text: &str) -> OperatorFile {
    OperatorFile::parse("roseyard.kdl", text).unwrap()
}

/// Parses a configuration as the program does at a reload.
pub(crate) fn parse_config(text: &str) -> Result<Config, ProgramError> {
    let parsed = Config::parse(text.into(), |_| None);
    parsed.map_err(|error| {
        let path = "config.json".into();
        ConfigurationError::Invalid { path, error }.into()
    })
}

/// Parses an operator's file as the program does at a reload.
pub(crate) fn parse_operator_file(text: &str) -> Result<OperatorFile, ProgramError> {
    let parsed = OperatorFile::parse("roseyard.kdl", text);
    parsed.map_err(|errors| OperatorFileError::Invalid(errors).into())
}
