//! The platform's configuration file, whose path is in `LB_CONFIG`.

use crate::protocol::list::EndpointListMessage;
use roseyard_platform_config::{PlatformConfigError, PlatformSettings};
use serde::Deserialize;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Names of the environment variables. `LB_CONFIG` is required, the others override the file.
const FILE_VARIABLE: &str = "LB_CONFIG";
const NAME_VARIABLE: &str = "LB_NAME";
const LISTEN_VARIABLE: &str = "LB_LISTEN";
const DISCOVERY_VARIABLE: &str = "LB_DISCOVERY";

/// Error in reading the configuration file.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationError {
    /// The environment does not name a file.
    #[error("LB_CONFIG is not set, expected the path of the configuration file")]
    NoFile,
    /// The file cannot be read.
    #[error("{}: {error}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error that the system returned.
        error: io::Error,
    },
    /// The file's content is invalid.
    #[error("{}: {error}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The error in the content.
        error: InvalidConfiguration,
    },
}

/// Error in the content of a configuration file, or in a variable that overrides it.
#[derive(Debug, thiserror::Error)]
pub enum InvalidConfiguration {
    /// The text is not JSON, or a field is missing or has the wrong type. The message names the
    /// field.
    #[error(transparent)]
    Json(#[from] PlatformConfigError),
    /// A field, or the variable that overrides it, is not an address.
    #[error("{field}: '{text}' is not an address, expected IP:PORT")]
    Address {
        /// The name of the field.
        field: &'static str,
        /// The invalid value.
        text: String,
    },
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("seed: '{0}' is not a hexadecimal number of up to 16 digits")]
    Seed(String),
}

/// The file's fields, as the platform writes them.
#[derive(Deserialize)]
struct RawConfig {
    name: String,
    listen: String,
    discovery: String,
    seed: String,
    #[serde(default)]
    limits: ResourceLimits,
    #[serde(default)]
    counter: Option<String>,
    known: EndpointListMessage,
    settings: PlatformSettings,
}

/// Resources that the platform provides to one ingress.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct ResourceLimits {
    /// Memory limit in MB, above which the process is killed; 192 by default.
    pub memory_mb: usize,
    /// Maximum number of open descriptors; 1024 by default.
    pub sockets: usize,
}

impl Default for ResourceLimits {
    fn default() -> Self {
        ResourceLimits {
            memory_mb: 192,
            sockets: 1024,
        }
    }
}

/// A valid configuration.
pub struct Config {
    /// Name of this ingress.
    pub name: String,
    /// Address on which the ingress listens for clients.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address of the counter; `None` if the platform has no counter.
    pub counter: Option<SocketAddr>,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Resources that the process may use.
    pub limits: ResourceLimits,
    /// The last endpoint list that the platform knows for this ingress; always a full list.
    pub initial_endpoints: EndpointListMessage,
    /// The platform's settings.
    pub settings: PlatformSettings,
}

impl Config {
    /// Reads the file. `LB_NAME`, `LB_LISTEN` and `LB_DISCOVERY` override its fields.
    pub fn read() -> Result<Config, ConfigurationError> {
        Config::read_with(|name| std::env::var(name).ok())
    }

    /// Reads the file again for a reload. `LB_DISCOVERY` does not override the file here, because
    /// its value dates from the start of the process. The caller ignores the name and listen
    /// address.
    pub fn reread() -> Result<Config, ConfigurationError> {
        Config::read_with(|name| {
            std::env::var(name)
                .ok()
                .filter(|_| name != DISCOVERY_VARIABLE)
        })
    }

    fn read_with(variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigurationError> {
        let path = std::env::var(FILE_VARIABLE).map_err(|_| ConfigurationError::NoFile)?;
        let path = PathBuf::from(path);
        let text = match std::fs::read(&path) {
            Ok(text) => text,
            Err(error) => return Err(ConfigurationError::Unreadable { path, error }),
        };
        Config::parse(text, variable).map_err(|error| ConfigurationError::Invalid { path, error })
    }

    /// Decodes a configuration. Environment variables for which `variable` returns a value override
    /// its fields.
    pub fn parse(
        mut text: Vec<u8>,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, InvalidConfiguration> {
        let raw: RawConfig = roseyard_platform_config::decode(&mut text)?;
        let mut initial_endpoints = raw.known;
        initial_endpoints.is_full = true;
        let listen = variable(LISTEN_VARIABLE).unwrap_or(raw.listen);
        let discovery = variable(DISCOVERY_VARIABLE).unwrap_or(raw.discovery);
        Ok(Config {
            name: variable(NAME_VARIABLE).unwrap_or(raw.name),
            listen: address("listen", listen)?,
            discovery: address("discovery", discovery)?,
            counter: raw
                .counter
                .map(|text| address("counter", text))
                .transpose()?,
            seed: seed(raw.seed)?,
            limits: raw.limits,
            initial_endpoints,
            settings: raw.settings,
        })
    }
}

fn address(field: &'static str, text: String) -> Result<SocketAddr, InvalidConfiguration> {
    text.parse()
        .map_err(|_| InvalidConfiguration::Address { field, text })
}

fn seed(text: String) -> Result<u64, InvalidConfiguration> {
    u64::from_str_radix(&text, 16).map_err(|_| InvalidConfiguration::Seed(text))
}
