//! What can keep the program from starting, running or answering a command.

use rustix::io::Errno;
use std::io;
use std::net::SocketAddr;

/// An ingress that could not be started or kept running. Its text goes to the operator as it is.
#[derive(Debug, thiserror::Error)]
pub enum ProgramError {
    /// The signal handlers could not be installed.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The signals could not be registered with the poller.
    #[error("signals: {0}")]
    SignalRegistration(#[source] Errno),
    /// The poller could not be made, or waiting on it failed.
    #[error("epoll: {0}")]
    Poller(#[source] Errno),
    /// The guaranteed descriptors of all uses are more than there are.
    #[error("descriptors: {0}")]
    Descriptors(#[source] roseyard_admission::InsufficientDescriptors),
    /// The address could not be listened on.
    #[error("listen on {address}: {error}")]
    Listen {
        /// The address of the configuration.
        address: SocketAddr,
        /// The system's answer.
        error: Errno,
    },
    /// The listener could not be registered with the poller.
    #[error("listen: {0}")]
    ListenerRegistration(#[source] Errno),
    /// The platform's settings cannot be served.
    #[error("settings: {0}")]
    Settings(#[source] roseyard_decision::SettingsError),
    /// The platform's configuration could not be read.
    #[error(transparent)]
    Configuration(#[from] super::config::ConfigurationError),
    /// The operator's file cannot be read, or has errors.
    #[error(transparent)]
    OperatorFile(#[from] roseyard_operator_config::OperatorFileError),
    /// The operator's settings do not fit this machine.
    #[error(transparent)]
    OperatorSettings(roseyard_operator_config::ConfigErrors),
    /// The platform's settings hold a value that is not known.
    #[error(transparent)]
    PlatformSettings(#[from] roseyard_platform_config::PlatformConfigError),
    /// The membership's socket or keys could not be set up.
    #[error(transparent)]
    Membership(#[from] crate::routing::membership::MembershipError),
}
