//! What names servers: a network, an address or a uid.

use super::is_name;
use ipnet::IpNet;
use roseyard_request_engine::{ServerSelector, MOST_NAME_BYTES};
use std::net::{IpAddr, SocketAddr};

/// Why a word names no servers.
pub(super) enum BadServers {
    /// It is neither a network nor an address nor a uid.
    Malformed,
    /// An address with a port.
    Port(IpAddr),
    /// A network with bits beyond its prefix.
    HostBits(IpNet),
    /// An IPv4 network as IPv6 words it.
    Mapped,
}

impl BadServers {
    /// What is allowed in its place.
    pub(super) fn allowed(&self) -> String {
        match self {
            BadServers::Malformed => {
                format!("networks, addresses, or uids of 1 to {MOST_NAME_BYTES} bytes without '/' or spaces")
            }
            BadServers::Port(address) => {
                format!("addresses without a port; did you mean '{address}'?")
            }
            BadServers::HostBits(network) => {
                format!("networks without bits beyond their prefix; did you mean '{network}'?")
            }
            BadServers::Mapped => "IPv4 networks such as \"10.1.0.0/16\"".into(),
        }
    }
}

/// A network, an address or a uid.
pub(super) fn selector(text: &str) -> Result<ServerSelector, BadServers> {
    if let Ok(address) = text.parse::<IpAddr>() {
        return Ok(ServerSelector::network(IpNet::from(address.to_canonical())));
    }
    if let Ok(network) = text.parse::<IpNet>() {
        if network.trunc() != network {
            return Err(BadServers::HostBits(network.trunc()));
        }
        if network.addr().to_canonical() != network.addr() {
            return Err(BadServers::Mapped);
        }
        return Ok(ServerSelector::network(network));
    }
    if let Ok(address) = text.parse::<SocketAddr>() {
        return Err(BadServers::Port(address.ip()));
    }
    let is_uid = is_name(text) && !text.contains(|c: char| c == '/' || c.is_whitespace());
    if is_uid {
        Ok(ServerSelector::uid(text))
    } else {
        Err(BadServers::Malformed)
    }
}
