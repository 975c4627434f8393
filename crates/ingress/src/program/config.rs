//! The platform's configuration file, which `LB_CONFIG` names.

use crate::protocol::list::EndpointListMessage;
use roseyard_platform_config::{PlatformConfigError, PlatformSettings};
use serde::Deserialize;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Variables of the environment that are read.
const FILE_VARIABLE: &str = "LB_CONFIG";
const NAME_VARIABLE: &str = "LB_NAME";
const LISTEN_VARIABLE: &str = "LB_LISTEN";
const DISCOVERY_VARIABLE: &str = "LB_DISCOVERY";

/// A configuration that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationError {
    /// No file is named.
    #[error("LB_CONFIG is not set")]
    NoFile,
    /// The file cannot be read.
    #[error("{}: {error}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The system's answer.
        error: io::Error,
    },
    /// The file's content is wrong.
    #[error("{}: {error}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        error: InvalidConfiguration,
    },
}

/// What is wrong with the text of a configuration.
#[derive(Debug, thiserror::Error)]
pub enum InvalidConfiguration {
    /// It is no JSON of the expected form; the text names the field.
    #[error(transparent)]
    Json(#[from] PlatformConfigError),
    /// A field or variable holds no address.
    #[error("{field}: '{text}' is not an address")]
    Address {
        /// The field.
        field: &'static str,
        /// Its value.
        text: String,
    },
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("seed: '{0}' is not hex")]
    Seed(String),
}

/// The file as the platform writes it.
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

/// What the platform gives one ingress.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct ResourceLimits {
    /// Memory in MB over which the process is killed; 192 by default.
    pub memory_mb: usize,
    /// Descriptors that the process may hold; 1024 by default.
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

/// The configuration, checked.
pub struct Config {
    /// This ingress's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// The counter's address; none where the platform has no counter.
    pub counter: Option<SocketAddr>,
    /// Seed of all random numbers.
    pub seed: u64,
    /// What the process may use.
    pub limits: ResourceLimits,
    /// The endpoint list that this ingress held last; always a full one.
    pub initial_endpoints: EndpointListMessage,
    /// The platform's settings.
    pub settings: PlatformSettings,
}

impl Config {
    /// Reads the file. `LB_NAME`, `LB_LISTEN` and `LB_DISCOVERY` override it.
    pub fn read() -> Result<Config, ConfigurationError> {
        Config::read_with(|name| std::env::var(name).ok())
    }

    /// Reads the file again after a reload. `LB_DISCOVERY` dates from the start and no longer
    /// overrides the file; the caller ignores name and listener.
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

    /// Decodes a configuration; values that `variable` returns override it.
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
