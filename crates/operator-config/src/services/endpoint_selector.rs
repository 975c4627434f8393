//! Parses endpoint selectors: networks, addresses and uids.

use super::limits::is_name;
use ipnet::IpNet;
use roseyard_request_engine::{EndpointSelector, MAX_NAME_BYTES};
use std::net::{IpAddr, SocketAddr};

/// The reason why a text is not an endpoint selector.
pub(super) enum SelectorError {
    /// It is neither a network nor an address nor a valid uid.
    Malformed,
    /// It is an address with a port; contains the address.
    HasPort(IpAddr),
    /// It is a network with host bits set; contains the network without them.
    HostBits(IpNet),
    /// It is an IPv4 network in IPv4-mapped IPv6 form.
    MappedNetwork,
}

impl SelectorError {
    /// Returns a description of what is allowed instead.
    pub(super) fn allowed(&self) -> String {
        match self {
            SelectorError::Malformed => {
                format!("networks, addresses, or uids of 1 to {MAX_NAME_BYTES} bytes without '/' or spaces")
            }
            SelectorError::HasPort(address) => {
                format!("addresses without a port; did you mean '{address}'?")
            }
            SelectorError::HostBits(network) => {
                format!("networks without host bits set; did you mean '{network}'?")
            }
            SelectorError::MappedNetwork => "IPv4 networks such as \"10.1.0.0/16\"".into(),
        }
    }
}

/// Parses a network, an address or a uid. An IPv4-mapped address is converted to IPv4.
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
