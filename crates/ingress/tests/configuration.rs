//! The platform's configuration file: its fields, the variables that override them, and errors.

use roseyard_ingress::program::config::Config;

/// Returns a configuration file with this seed and this listening address.
fn config_text(seed: &str, listen: &str) -> Vec<u8> {
    let settings = include_str!("settings.json");
    format!(
            r#"{{"name":"n3","listen":"{listen}","discovery":"127.0.0.1:8500","seed":"{seed}","peers":[],
            "limits":{{"cores":1.0,"memory_mb":128,"sockets":512}},"counter":"127.0.0.1:6400",
            "known":{{"rev":41,"targets":[]}},"settings":{settings}}}"#
        )
        .into_bytes()
}

#[test]
fn a_configuration_is_read_and_the_environment_overrides_it() {
    let config =
        Config::parse(config_text("8c1f30d27a5be964", "127.0.0.1:6379"), |_| None).unwrap();
    assert_eq!(
        (config.name.as_str(), config.seed),
        ("n3", 0x8c1f_30d2_7a5b_e964)
    );
    assert_eq!((config.limits.memory_mb, config.limits.sockets), (128, 512));
    assert!(
        config.initial_endpoints.is_full,
        "the initial endpoint list is a full one"
    );
    assert_eq!(config.settings.plan_names(), ["seedling"]);
    let env = |name: &str| (name == "LB_LISTEN").then(|| "127.0.0.2:1".to_owned());
    let config = Config::parse(config_text("1", "127.0.0.1:6379"), env).unwrap();
    assert_eq!(config.listen.to_string(), "127.0.0.2:1");
}

#[test]
fn an_error_names_the_invalid_field() {
    let error = |text| Config::parse(text, |_| None).err().unwrap().to_string();
    assert!(error(config_text("xyz", "127.0.0.1:1")).contains("seed"));
    assert!(error(config_text("1", "localhost")).contains("listen: 'localhost'"));
    assert!(error(b"{}".to_vec()).contains("name"));
}
