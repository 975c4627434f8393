//! Configurations of an ingress whose peers are fakes on loopback, and the limits that result.

use super::messages::endpoint_entry;
use super::peer::Peer;
use roseyard_ingress::limits::Limits;
use roseyard_ingress::program::config::{Config, ConfigurationError};
use roseyard_ingress::program::ProgramError;
use roseyard_ingress::protocol::ProtocolLimits;
use roseyard_operator_config::{MachineLimits, OperatorFile, OperatorFileError, OperatorSettings};
use roseyard_platform_config::PlatformSettings;
use std::net::SocketAddr;

/// The platform's settings (JSON) that the tests start from.
pub(crate) const PLATFORM_SETTINGS: &str = include_str!("../settings.json");

/// Returns the parser limits of the only ingress of a tier, with 192 MB of memory.
pub(crate) fn protocol_limits() -> ProtocolLimits {
    tier_limits(1, 2000).protocol
}

/// Returns the limits of an ingress in a tier of `ingresses`, where requests to a draining endpoint
/// may take up to `drain_grace_ms`.
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

/// Returns the platform's configuration (JSON) of an ingress with these peers. Its endpoint list of
/// revision 41 holds all of `endpoints` as serving.
pub(crate) fn config(
    counter: &Peer,
    discovery: &Peer,
    endpoints: &[Peer],
    platform_descriptors: usize,
) -> String {
    let known: Vec<String> = endpoints
        .iter()
        .enumerate()
        .map(|(n, endpoint)| endpoint_entry(n, endpoint.address, "SERVING"))
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

/// Parses an operator's file that has to be valid.
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
