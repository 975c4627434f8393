//! Tests that a field of the settings which is absent, unknown or of the wrong type causes either a
//! start-up error that names the field or a safe default, and never a panic.

use roseyard_platform_config::PlatformSettings;
use serde_json::{json, Value};

/// Returns settings with all fields that a platform may provide.
fn complete_settings() -> Value {
    json!({
        "Az": 0, "Balancers": 3, "Me": 1, "GranularityMs": 4.0, "Discovery": "automatic",
        "FailureDomains": ["hall-a", "hall-b"], "Weights": "rough", "ClientHabits": {"MarksRetry": true},
        "Ceilings": {"Cancel": true, "ConnIdleMs": 15000.0, "ConnectTimeoutMs": 250.0, "MaxAttempts": 3, "MaxOpen": 20000,
            "MaxRetryAfterMs": 500.0, "MayDuplicate": true, "Probes": true, "RetryAfter": true},
        "Classes": [{"DeadlineMs": 1500.0, "Effect": "read_like", "Group": "all", "LateWorth": 0.0, "Name": "read",
            "Stream": false, "TargetMs": 400.0, "WindowMs": 0.0, "Worth": 1.0}],
        "Domain": {"CounterTimeoutMs": 80.0, "MeteringMs": 500.0, "MostUnits": 8, "PostPaid": true, "SharedCounter": true},
        "Guarantees": {"StartCapacity": 0.24, "StopSendingWithinMs": 1000.0, "TipAfterMs": 3000.0, "TipMultiple": 3.0,
            "WarmWithinMs": 15000.0},
        "Report": {"Fields": [], "Via": "off"},
        "TiersOfService": [{"BeyondCosts": 1.2, "CapDepth": 40.0, "CapSlack": 8.0, "ExcessWorth": 0.0, "MaxOut": 0,
            "MostAtOnce": 20.0, "Name": "practice", "NeverOverRate": 12.0, "Rate": 6.0, "ValueFactor": 1.2}],
    })
}

/// Appends the JSON pointers of all values in `at` to `into`.
fn paths(at: &Value, path: String, into: &mut Vec<String>) {
    let inner: Vec<(String, &Value)> = match at {
        Value::Object(fields) => fields.iter().map(|(name, v)| (name.clone(), v)).collect(),
        Value::Array(items) => items
            .iter()
            .enumerate()
            .map(|(n, v)| (n.to_string(), v))
            .collect(),
        _ => Vec::new(),
    };
    for (name, value) in inner {
        let path = format!("{path}/{name}");
        into.push(path.clone());
        paths(value, path, into);
    }
}

/// Decodes, converts and validates the settings in the same way as an ingress does at start-up.
fn start(settings: &Value) -> Result<roseyard_decision::Settings, String> {
    let platform_settings = PlatformSettings::parse(settings.to_string().as_bytes())
        .map_err(|error| error.to_string())?;
    let settings = platform_settings
        .decision_settings()
        .map_err(|error| error.to_string())?;
    settings.check().map_err(|error| error.to_string())?;
    roseyard_decision::Dispatcher::new(settings.clone(), 1).map_err(|error| error.to_string())?;
    Ok(settings)
}

#[test]
fn a_field_of_another_type_or_range_is_rejected_by_name_or_has_a_safe_default() {
    assert!(start(&complete_settings()).is_ok());
    let mut all = Vec::new();
    paths(&complete_settings(), String::new(), &mut all);
    assert!(all.len() > 50, "{} fields", all.len());
    let malformed = [
        json!(null),
        json!("odd"),
        json!(-1),
        json!(-1e308),
        json!([]),
        json!({}),
        json!([{}]),
        json!(true),
    ];
    let mut rejected = 0;
    for path in &all {
        let name = path
            .rsplit('/')
            .find(|part| part.parse::<usize>().is_err())
            .unwrap();
        for value in &malformed {
            let mut settings = complete_settings();
            *settings.pointer_mut(path).unwrap() = value.clone();
            let Err(error) = start(&settings) else {
                continue;
            };
            rejected += 1;
            let without_field_name = [
                "a plan's rates",
                "a class's weights",
                "an endpoint limit",
                "number of ingresses",
                "is given",
            ];
            let is_named =
                error.contains(name) || without_field_name.iter().any(|part| error.contains(part));
            assert!(
                is_named,
                "{path} = {value}: '{error}' does not name the field"
            );
        }
    }
    assert!(rejected > 100, "{rejected} rejected");
}

#[test]
fn an_absent_field_is_named_or_has_a_default_and_unknown_fields_are_ignored() {
    let mut all = Vec::new();
    paths(&complete_settings(), String::new(), &mut all);
    for path in all
        .iter()
        .filter(|path| path.rsplit('/').next().unwrap().parse::<usize>().is_err())
    {
        let (parent, name) = path.rsplit_once('/').unwrap();
        let mut settings = complete_settings();
        let object = settings
            .pointer_mut(parent)
            .unwrap()
            .as_object_mut()
            .unwrap();
        object.remove(name);
        object.insert("Unknown".into(), json!({"Of": [1, "x", null]}));
        if let Err(error) = start(&settings) {
            assert!(error.contains(name), "{path} absent: '{error}'");
        }
    }
}

#[test]
fn group_and_window_may_be_absent_null_or_empty_unless_the_class_has_an_idempotency_key() {
    for effect in ["read_like", "non_idempotent", "idempotency_key"] {
        for (group, window) in [
            (json!("all"), json!(null)),
            (json!(null), json!(0)),
            (json!(""), json!(500.0)),
        ] {
            let mut settings = complete_settings();
            let class = settings
                .pointer_mut("/Classes/0")
                .unwrap()
                .as_object_mut()
                .unwrap();
            class.insert("Effect".into(), json!(effect));
            class.insert("Group".into(), group);
            class.insert("WindowMs".into(), window);
            match start(&settings) {
                Ok(_) => assert_ne!(effect, "idempotency_key"),
                Err(error) => {
                    assert_eq!(effect, "idempotency_key", "{error}");
                    assert!(
                        error.contains("Classes[].Group") || error.contains("Classes[].WindowMs"),
                        "{error}"
                    );
                }
            }
        }
    }
}
