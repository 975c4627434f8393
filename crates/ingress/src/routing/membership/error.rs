//! Errors of starting the membership protocol.

use super::keys::KeyFileError;
use std::net::SocketAddr;
use thiserror::Error;

/// An error that prevents the start of the membership protocol.
#[derive(Debug, Error)]
pub enum MembershipError {
    /// The name of this ingress is empty or too long for the protocol's messages.
    #[error("membership: invalid name '{name}': expected 1 to 16 bytes")]
    InvalidName {
        /// The name in the configuration.
        name: String,
    },
    /// A key file cannot be read or holds no valid key.
    #[error(transparent)]
    KeyFile(#[from] KeyFileError),
    /// The socket cannot be bound to the address.
    #[error("membership: cannot listen on {address}: {source}")]
    Listen {
        /// The address in the operator's file.
        address: SocketAddr,
        /// The error of the system call.
        source: std::io::Error,
    },
    /// The socket's address cannot be read, or it cannot be registered with the poller.
    #[error("membership: {0}")]
    Socket(#[from] std::io::Error),
}
