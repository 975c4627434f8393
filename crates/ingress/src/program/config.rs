//! What the platform tells an ingress at its start.

use crate::protocol::list::EndpointListMessage;
use roseyard_platform_config::PlatformSettings;
use serde::Deserialize;
use std::net::SocketAddr;

#[derive(Deserialize)]
struct Raw {
    name: String,
    listen: String,
    discovery: String,
    seed: String,
    #[serde(default)]
    limits: MachineLimits,
    #[serde(default)]
    counter: Option<String>,
    known: EndpointListMessage,
    settings: PlatformSettings,
}

/// The machine's limits.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct MachineLimits {
    /// Memory over which the ingress is killed, in MB.
    #[serde(default = "memory")]
    pub memory_mb: usize,
    /// Descriptors that a process may hold.
    #[serde(default = "sockets")]
    pub sockets: usize,
}

fn memory() -> usize {
    192
}

fn sockets() -> usize {
    1024
}

impl Default for MachineLimits {
    fn default() -> Self {
        MachineLimits {
            memory_mb: memory(),
            sockets: sockets(),
        }
    }
}

/// The configuration, checked.
pub struct Config {
    /// This ingress's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Discovery.
    pub discovery: SocketAddr,
    /// The counter.
    pub counter: Option<SocketAddr>,
    /// Seed for random numbers.
    pub seed: u64,
    /// The machine's limits.
    pub limits: MachineLimits,
    /// The list of servers as this ingress last held it.
    pub known: EndpointListMessage,
    /// The platform's settings.
    pub settings: PlatformSettings,
}

impl Config {
    /// Reads the file that `LB_CONFIG` names; `LB_NAME`, `LB_LISTEN` and `LB_DISCOVERY` go before
    /// it.
    pub fn read() -> Result<Config, String> {
        let path = std::env::var("LB_CONFIG").map_err(|_| "LB_CONFIG is not set".to_owned())?;
        let text = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
        Config::parse(text, |name| std::env::var(name).ok()).map_err(|e| format!("{path}: {e}"))
    }

    /// Reads the file again. What it says of discovery holds over `LB_DISCOVERY`, which tells of
    /// the start and is old by now; name and listener stay as they were started.
    pub fn reread() -> Result<Config, String> {
        let path = std::env::var("LB_CONFIG").map_err(|_| "LB_CONFIG is not set".to_owned())?;
        let text = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
        Config::parse(text, |name| {
            std::env::var(name).ok().filter(|_| name != "LB_DISCOVERY")
        })
        .map_err(|e| format!("{path}: {e}"))
    }

    /// Decodes a configuration; `env` gives what goes before it.
    pub fn parse(
        mut text: Vec<u8>,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, String> {
        let raw: Raw =
            roseyard_platform_config::decode(&mut text).map_err(|error| error.to_string())?;
        let address = |name: &str, text: String| -> Result<SocketAddr, String> {
            text.parse()
                .map_err(|_| format!("{name}: '{text}' is not an address"))
        };
        let mut known = raw.known;
        known.is_full = true;
        Ok(Config {
            name: env("LB_NAME").unwrap_or(raw.name),
            listen: address("listen", env("LB_LISTEN").unwrap_or(raw.listen))?,
            discovery: address("discovery", env("LB_DISCOVERY").unwrap_or(raw.discovery))?,
            counter: raw.counter.map(|c| address("counter", c)).transpose()?,
            seed: u64::from_str_radix(&raw.seed, 16)
                .map_err(|_| format!("seed: '{}' is not hex", raw.seed))?,
            limits: raw.limits,
            known,
            settings: raw.settings,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn text(seed: &str, listen: &str) -> Vec<u8> {
        let settings = include_str!("../../tests/settings.json");
        format!(
            r#"{{"name":"n3","listen":"{listen}","discovery":"127.0.0.1:8500","seed":"{seed}","peers":[],
            "limits":{{"cores":1.0,"memory_mb":128,"sockets":512}},"counter":"127.0.0.1:6400",
            "known":{{"rev":41,"targets":[]}},"settings":{settings}}}"#
        )
        .into_bytes()
    }

    #[test]
    fn a_configuration_is_read_and_the_environment_goes_before_it() {
        let config = Config::parse(text("8c1f30d27a5be964", "127.0.0.1:6379"), |_| None).unwrap();
        assert_eq!(
            (config.name.as_str(), config.seed),
            ("n3", 0x8c1f_30d2_7a5b_e964)
        );
        assert_eq!((config.limits.memory_mb, config.limits.sockets), (128, 512));
        assert!(config.known.is_full, "the list last held is a whole one");
        assert_eq!(config.settings.plan_names(), ["seedling"]);
        let env = |name: &str| (name == "LB_LISTEN").then(|| "127.0.0.2:1".to_owned());
        let config = Config::parse(text("1", "127.0.0.1:6379"), env).unwrap();
        assert_eq!(config.listen.to_string(), "127.0.0.2:1");
    }

    #[test]
    fn what_is_wrong_is_named() {
        let wrong = |text| Config::parse(text, |_| None).err().unwrap();
        assert!(wrong(text("xyz", "127.0.0.1:1")).contains("seed"));
        assert!(wrong(text("1", "localhost")).contains("listen: 'localhost'"));
        assert!(wrong(b"{}".to_vec()).contains("name"));
    }
}
