//! Parsing of the endpoint lists of a watch, which may arrive split at any byte and with any value
//! in any field.

use proptest::prelude::*;
use roseyard_ingress::protocol::list::{decode, EndpointListMessage, ListSplitter};
use roseyard_request_engine::EndpointRecordState;

const VALID_ENTRY: &str = r#"{"uid":"s-1","endpoint":"127.0.0.1:1","az":"a","pod_group":1,"state":"SERVING","capacity_hint":1.0,"boot_ms":0}"#;

/// Decodes a list in which `entry` stands between two valid entries.
fn decode_with_entry(entry: &str) -> EndpointListMessage {
    let text = format!(
        r#"{{"rev":43,"all":false,"new":[1],"targets":[{VALID_ENTRY},{entry},{VALID_ENTRY}]}}"#
    );
    decode(&mut text.into_bytes()).unwrap()
}

#[test]
fn an_entry_with_an_invalid_field_affects_neither_the_other_entries_nor_a_drain() {
    for invalid in [
        "null",
        "3",
        r#"{"uid":5}"#,
        r#"{"uid":"s","endpoint":"x","state":"SERVING","boot_ms":"y"}"#,
    ] {
        let list = decode_with_entry(invalid);
        assert_eq!(
            (list.endpoints.len(), list.unreadable_count),
            (2, 1),
            "{invalid}"
        );
    }
    let list = decode_with_entry(
        r#"{"uid":"s-2","state":"DRAINING","capacity_hint":"big","pod_group":-1}"#,
    );
    assert_eq!((list.endpoints.len(), list.unreadable_count), (3, 0));
    assert_eq!(
        (list.endpoints[1].uid.as_str(), list.endpoints[1].state),
        ("s-2", EndpointRecordState::Draining)
    );
}

/// Feeds the parts of a text to the splitter one by one and returns the lists that it finds.
fn split_lists(parts: &[&str]) -> Vec<String> {
    let (mut splitter, mut found) = (ListSplitter::default(), Vec::new());
    parts
        .iter()
        .for_each(|part| splitter.feed(part.as_bytes(), &mut found));
    found
        .into_iter()
        .map(|f| String::from_utf8(f).unwrap())
        .collect()
}

#[test]
fn a_truncated_list_is_returned_unchanged_and_the_next_list_is_not_lost() {
    for truncated in [
        "{\"rev\":4,\"all\"\n\n",
        "{\"rev\":4,\n  \"all\"\n  \n",
        "{\"a\":\"x\n",
        "no list\n",
        "}\n",
        "]]\n",
    ] {
        let all = split_lists(&[truncated, "{\"rev\":1}\n", "\n"]);
        assert_eq!(all.len(), 3, "{truncated:?}: {all:?}");
        assert_eq!(all[1..], ["{\"rev\":1}", ""], "{truncated:?}");
    }
}

proptest! {
    #[test]
    fn lists_are_found_regardless_of_indentation_and_of_how_the_bytes_are_split(
        names in proptest::collection::vec("[a-z{}\\[\\]\\\\\"\n ]{0,6}", 0..6),
        indented in proptest::collection::vec(any::<bool>(), 6),
        cuts in proptest::collection::vec(1usize..9, 1..60),
    ) {
        let mut text = String::new();
        for (name, indented) in names.iter().zip(indented) {
            let value = serde_json::json!({"rev": 3, "targets": [{"uid": name}, {}, []]});
            let line = if indented { format!("{value:#}") } else { value.to_string() };
            text += &format!("{line}\n\n");
        }
        let (mut rest, mut parts, mut cuts) = (&text[..], Vec::new(), cuts.iter().cycle());
        while !rest.is_empty() {
            let (part, remainder) = rest.split_at(rest.len().min(*cuts.next().unwrap()));
            parts.push(part);
            rest = remainder;
        }
        let all = split_lists(&parts);
        prop_assert_eq!(all.len(), 2 * names.len());
        for (pair, name) in all.chunks(2).zip(&names) {
            let value: serde_json::Value = serde_json::from_str(&pair[0]).unwrap();
            prop_assert_eq!(value["targets"][0]["uid"].as_str(), Some(name.as_str()));
            prop_assert_eq!(&pair[1], "");
        }
    }

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
        let mut entry: Vec<String> = VALID_ENTRY.trim_matches(['{', '}']).split(',').map(str::to_owned).collect();
        let index = entry.iter().position(|e| e.starts_with(&format!("\"{name}\""))).unwrap();
        entry[index] = format!("\"{name}\":{value}");
        let list = decode_with_entry(&format!("{{{}}}", entry.join(",")));
        prop_assert_eq!(list.endpoints.len() + list.unreadable_count, 3);
        prop_assert!(list.endpoints.len() >= 2);
    }
}
