//! The list of servers as discovery and the configuration word it.

pub use roseyard_engine::{List, Target};

/// Decodes one line of a watch, in place.
pub fn decode(line: &mut [u8]) -> Result<List, String> {
    roseyard_settings::decode(line)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const GOOD: &str = r#"{"uid":"s-1","endpoint":"127.0.0.1:1","az":"a","pod_group":1,"state":"SERVING","capacity_hint":1.0,"boot_ms":0}"#;

    fn line(entry: &str) -> List {
        let text = format!(r#"{{"rev":43,"all":false,"new":[1],"targets":[{GOOD},{entry},{GOOD}]}}"#);
        decode(&mut text.into_bytes()).unwrap()
    }

    #[test]
    fn an_entry_with_an_odd_field_leaves_the_others_and_word_of_a_drain() {
        for odd in
            ["null", "3", r#"{"uid":5}"#, r#"{"uid":"s","endpoint":"x","state":"SERVING","boot_ms":"y"}"#]
        {
            let list = line(odd);
            assert_eq!((list.targets.len(), list.unreadable), (2, 1), "{odd}");
        }
        let list = line(r#"{"uid":"s-2","state":"DRAINING","capacity_hint":"big","pod_group":-1}"#);
        assert_eq!((list.targets.len(), list.unreadable), (3, 0));
        assert_eq!((list.targets[1].uid.as_str(), list.targets[1].state.as_str()), ("s-2", "DRAINING"));
    }

    proptest! {
        #[test]
        fn any_value_in_any_field_of_an_entry_loses_no_other_entry(
            field in 0usize..7,
            value in prop_oneof![
                Just("null".to_owned()), Just("[]".to_owned()), Just("{}".to_owned()), Just("true".to_owned()),
                any::<i64>().prop_map(|n| n.to_string()), (-1e300..1e300).prop_map(|x: f64| format!("{x:e}")),
                "[a-zA-Z0-9:. -]{0,12}".prop_map(|s| format!("{s:?}")),
            ],
        ) {
            let name = ["uid", "endpoint", "az", "pod_group", "state", "capacity_hint", "boot_ms"][field];
            let mut entry: Vec<String> = GOOD.trim_matches(['{', '}']).split(',').map(str::to_owned).collect();
            let at = entry.iter().position(|e| e.starts_with(&format!("\"{name}\""))).unwrap();
            entry[at] = format!("\"{name}\":{value}");
            let list = line(&format!("{{{}}}", entry.join(",")));
            prop_assert_eq!(list.targets.len() + list.unreadable, 3);
            prop_assert!(list.targets.len() >= 2);
        }
    }
}
