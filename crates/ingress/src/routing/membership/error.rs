//! Why the membership cannot be started.

use super::keys::KeyFileError;
use std::net::SocketAddr;
use thiserror::Error;

/// Why the membership cannot be started.
#[derive(Debug, Error)]
pub enum MembershipError {
    /// The ingress has a name that the protocol cannot carry.
    #[error("membership: the name '{name}' is not of 1 to 16 bytes")]
    InvalidName {
        /// The name.
        name: String,
    },
    /// A key file cannot be used.
    #[error(transparent)]
    KeyFile(#[from] KeyFileError),
    /// The socket cannot be bound.
    #[error("membership: listen on {address}: {source}")]
    Listen {
        /// The address of the operator's file.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The socket cannot be used.
    #[error("membership: {0}")]
    Socket(#[from] std::io::Error),
}
