//! Errors that prevent the ingress from starting or running.

use rustix::io::Errno;
use std::io;
use std::net::SocketAddr;

/// Error that prevents the ingress from starting, running or reloading. The text is shown to the
/// operator unchanged.
#[derive(Debug, thiserror::Error)]
pub enum ProgramError {
    /// The signal handlers could not be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The signals could not be registered with the poller.
    #[error("cannot register signals with epoll: {0}")]
    SignalRegistration(#[source] Errno),
    /// The poller could not be created, or waiting for events failed.
    #[error("epoll failed: {0}")]
    Poller(#[source] Errno),
    /// The descriptors guaranteed to all uses exceed the total number.
    #[error("descriptors: {0}")]
    Descriptors(#[source] roseyard_admission::InsufficientDescriptors),
    /// Listening on the configured address failed.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The address from the configuration.
        address: SocketAddr,
        /// The error that the system returned.
        error: Errno,
    },
    /// The listener could not be registered with the poller.
    #[error("cannot register the listener with epoll: {0}")]
    ListenerRegistration(#[source] Errno),
    /// The platform's settings are incomplete or out of range.
    #[error("platform settings: {0}")]
    Settings(#[source] roseyard_decision::SettingsError),
    /// The platform's configuration cannot be read or is invalid.
    #[error(transparent)]
    Configuration(#[from] super::config::ConfigurationError),
    /// The operator's file cannot be read, or has errors.
    #[error(transparent)]
    OperatorFile(#[from] roseyard_operator_config::OperatorFileError),
    /// The operator's settings do not fit this machine.
    #[error(transparent)]
    OperatorSettings(roseyard_operator_config::ConfigErrors),
    /// The platform's settings contain a value that is not supported.
    #[error(transparent)]
    PlatformSettings(#[from] roseyard_platform_config::PlatformConfigError),
    /// The membership's socket or keys could not be set up.
    #[error(transparent)]
    Membership(#[from] crate::routing::membership::MembershipError),
}
