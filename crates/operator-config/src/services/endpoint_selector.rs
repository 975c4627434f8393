//! Endpoint selectors: a network, an address or a uid.

use super::limits::is_name;
use ipnet::IpNet;
use roseyard_request_engine::{EndpointSelector, MAX_NAME_BYTES};
use std::net::{IpAddr, SocketAddr};

/// Why a text selects no endpoints.
pub(super) enum SelectorError {
    /// It is neither a network nor an address nor a uid.
    Malformed,
    /// It is an address with a port.
    HasPort(IpAddr),
    /// It is a network with bits set beyond its prefix.
    HostBits(IpNet),
    /// It is an IPv4 network in its IPv4-mapped IPv6 form.
    MappedNetwork,
}

impl SelectorError {
    /// What is allowed in its place.
    pub(super) fn allowed(&self) -> String {
        match self {
            SelectorError::Malformed => {
                format!("networks, addresses, or uids of 1 to {MAX_NAME_BYTES} bytes without '/' or spaces")
            }
            SelectorError::HasPort(address) => {
                format!("addresses without a port; did you mean '{address}'?")
            }
            SelectorError::HostBits(network) => {
                format!("networks without bits beyond their prefix; did you mean '{network}'?")
            }
            SelectorError::MappedNetwork => "IPv4 networks such as \"10.1.0.0/16\"".into(),
        }
    }
}

/// Parses a network, an address or a uid.
pub(super) fn parse_selector(text: &str) -> Result<EndpointSelector, SelectorError> {
    if let Ok(address) = text.parse::<IpAddr>() {
        return Ok(EndpointSelector::network(IpNet::from(
            address.to_canonical(),
        )));
    }
    if let Ok(network) = text.parse::<IpNet>() {
        if network.trunc() != network {
            return Err(SelectorError::HostBits(network.trunc()));
        }
        if network.addr().to_canonical() != network.addr() {
            return Err(SelectorError::MappedNetwork);
        }
        return Ok(EndpointSelector::network(network));
    }
    if let Ok(address) = text.parse::<SocketAddr>() {
        return Err(SelectorError::HasPort(address.ip()));
    }
    let is_uid = is_name(text) && !text.contains(|c: char| c == '/' || c.is_whitespace());
    if is_uid {
        Ok(EndpointSelector::uid(text))
    } else {
        Err(SelectorError::Malformed)
    }
}
