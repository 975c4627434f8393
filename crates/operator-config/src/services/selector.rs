//! What names servers: a network, an address or a uid.

use super::is_name;
use ipnet::IpNet;
use roseyard_request_engine::{EndpointSelector, MAX_NAME_BYTES};
use std::net::{IpAddr, SocketAddr};

/// Why a word names no servers.
pub(super) enum BadEndpoints {
    /// It is neither a network nor an address nor a uid.
    Malformed,
    /// An address with a port.
    Port(IpAddr),
    /// A network with bits beyond its prefix.
    HostBits(IpNet),
    /// An IPv4 network as IPv6 words it.
    Mapped,
}

impl BadEndpoints {
    /// What is allowed in its place.
    pub(super) fn allowed(&self) -> String {
        match self {
            BadEndpoints::Malformed => {
                format!("networks, addresses, or uids of 1 to {MAX_NAME_BYTES} bytes without '/' or spaces")
            }
            BadEndpoints::Port(address) => {
                format!("addresses without a port; did you mean '{address}'?")
            }
            BadEndpoints::HostBits(network) => {
                format!("networks without bits beyond their prefix; did you mean '{network}'?")
            }
            BadEndpoints::Mapped => "IPv4 networks such as \"10.1.0.0/16\"".into(),
        }
    }
}

/// A network, an address or a uid.
pub(super) fn selector(text: &str) -> Result<EndpointSelector, BadEndpoints> {
    if let Ok(address) = text.parse::<IpAddr>() {
        return Ok(EndpointSelector::network(IpNet::from(
            address.to_canonical(),
        )));
    }
    if let Ok(network) = text.parse::<IpNet>() {
        if network.trunc() != network {
            return Err(BadEndpoints::HostBits(network.trunc()));
        }
        if network.addr().to_canonical() != network.addr() {
            return Err(BadEndpoints::Mapped);
        }
        return Ok(EndpointSelector::network(network));
    }
    if let Ok(address) = text.parse::<SocketAddr>() {
        return Err(BadEndpoints::Port(address.ip()));
    }
    let is_uid = is_name(text) && !text.contains(|c: char| c == '/' || c.is_whitespace());
    if is_uid {
        Ok(EndpointSelector::uid(text))
    } else {
        Err(BadEndpoints::Malformed)
    }
}
