//! The operator's file: the effective settings, and the errors with their positions.

use roseyard_admission::{DescriptorUse, Rate};
use roseyard_operator_config::log::LogFormat;
use roseyard_operator_config::{MachineLimits, OperatorFile, OperatorFileError, Position};
use std::time::Duration;

const MACHINE: MachineLimits = MachineLimits {
    platform_descriptors: 1024,
    system_descriptors: 20_000,
};

#[test]
fn each_kind_of_setting_is_read_and_has_a_row_with_its_source() {
    let text = "// Gemeinde-Zählung: ein Kommentar mit Umlauten\n\
        descriptors {\n  total 512\n  links least=40 most=200\n}\n\
        admission {\n  places 300; reserve 0.1\n  by-address #true\n  per-client 12\n  rate-client 2.5 burst=10\n\
        prefixes v4=16\n  listed \"10.0.0.0/8\" \"::1\"\n  silent \"1s 500ms\"\n}\n\
        standing { file \"/var/lib/roseyard/standing\"; every \"5s\" }\nlog { format \"json\" }\n";
    let file = OperatorFile::parse("roseyard.kdl", text).unwrap();
    let effective = file.resolve(&MACHINE).unwrap();
    assert_eq!(
        (
            effective.descriptors,
            effective.policy.capacity,
            effective.policy.reserve
        ),
        (512, 300, 30)
    );
    assert_eq!(
        (
            effective
                .descriptor_limits_of(DescriptorUse::Upstream)
                .guaranteed,
            effective.descriptor_limits_of(DescriptorUse::Upstream).max
        ),
        (40, 200)
    );
    assert_eq!(
        effective.policy.client_connect_rate,
        Some(Rate {
            per_second: 2.5,
            burst: 10.0
        })
    );
    let lengths = effective.policy.prefix_lengths;
    assert_eq!((lengths.ipv4_network, lengths.ipv6_network), (16, 48));
    assert_eq!(
        (
            effective.policy.allowlist.len(),
            effective.policy.idle_timeout_without_command
        ),
        (2, Duration::from_millis(1500))
    );
    assert!(
        effective.log_format == LogFormat::Json
            && effective.reputation_snapshot.interval == Duration::from_secs(5)
    );
    let rows = file.setting_rows(&MACHINE).unwrap();
    let row = |name: &str| rows.iter().find(|r| r.name == name).unwrap();
    assert_eq!(
        (
            row("admission.reserve").value.as_str(),
            row("admission.reserve").source.as_str()
        ),
        ("30", "roseyard.kdl:7")
    );
    assert_eq!(row("admission.idle").source, "default");
    assert_eq!(
        row("admission.once-room").source,
        "derived from other settings"
    );
    let defaults = OperatorFile::empty().setting_rows(&MACHINE).unwrap();
    assert!(defaults.iter().all(|r| r.source == "default") && defaults.len() == rows.len());
}

/// Texts of files, and a part of the first error of each.
const ERRORS: &[(&str, &str)] = &[
    ("admision { places 3 }", "f:1:1: there is no section 'admision'; did you mean 'admission'?"),
    (
        "zzz { }",
        "f:1:1: there is no section 'zzz'; expected one of: descriptors, admission, standing, membership, log, services",
    ),
    ("admission { plcaes 3 }", "f:1:13: 'admission' has no setting 'plcaes'; did you mean 'places'?"),
    ("admission", "f:1:1: section 'admission' has no settings in braces; write 'admission { … }' or remove the section"),
    ("admission 4 { places 3 }", "f:1:11: 'admission' takes settings in braces, not values"),
    (
        "admission { places 0 }",
        "f:1:20: invalid value 0; 'places' takes a whole number from 1 to 1048576",
    ),
    (
        "admission { places 2.5 }",
        "f:1:20: invalid value 2.5; 'places' takes a whole number from 1 to 1048576",
    ),
    ("admission { reserve 1.5 }", "f:1:21: invalid value 1.5; 'reserve' takes a ratio from 0 to 1"),
    (
        "admission { places 1 2 }",
        "f:1:13: wrong number of values for 'places': found 2; 'places' takes a whole number from 1 to 1048576",
    ),
    ("admission { places 1; places 2 }", "f:1:23: 'places' is set twice, first on line 1"),
    ("admission { places 1 { a 2 } }", "'places' takes values, not settings in braces"),
    ("admission { places 1 most=2 }", "f:1:22: 'places' has no property 'most='"),
    (
        "admission { silent \"fast\" }",
        "f:1:20: invalid value \"fast\"; 'silent' takes a duration from \"50ms\" to \"1h\"",
    ),
    ("admission { silent 5 }", "f:1:20: invalid value 5; 'silent' takes a duration"),
    (
        "admission { listed \"10.0.0.0/99\" }",
        "invalid value \"10.0.0.0/99\"; 'listed' takes addresses or networks",
    ),
    (
        "admission { prefixes v4=64; by-address #true }",
        "f:1:22: invalid value 64; 'prefixes' takes v4= from 8 to 32",
    ),
    ("admission { by-address true }", "f:1:24"),
    ("descriptors { links least=9 most=3 }", "least=9 is greater than most=3"),
    ("log { format \"xml\" }", "f:1:14: invalid value \"xml\"; 'format' takes text or json"),
    (
        "admission { per-client 4 }",
        "f:1:13: 'per-client' has no effect without 'by-address'; set 'by-address' too",
    ),
    ("admission { per-client 4; by-address #false }", "has no effect without 'by-address'"),
    ("standing { every \"5s\" }", "'every' has no effect without 'file'"),
    ("admission { places", "f:1:"),
];

#[test]
fn each_error_has_its_position_and_the_allowed_values() {
    for (text, expected) in ERRORS {
        let found = OperatorFile::parse("f", text).unwrap_err().lines();
        assert!(found[0].contains(expected), "{text}: {found:?}");
    }
}

#[test]
fn all_errors_are_reported_together_with_their_lines() {
    let errors = OperatorFile::parse(
        "f",
        "// ü\nadmission { plcaes 3; reserve 2 }\nlgo { }\nlog { lines 0 }",
    )
    .unwrap_err();
    let places: Vec<_> = errors
        .iter()
        .map(|error| {
            let Position { line, column } = error.position();
            (line, column)
        })
        .collect();
    assert_eq!(places, [(2, 13), (2, 31), (3, 1), (4, 13)]);
    assert!(
        errors.report().contains("plcaes 3") && errors.report().contains("did you mean"),
        "{}",
        errors.report()
    );
}

#[test]
fn guaranteeing_more_descriptors_than_the_process_has_is_an_error() {
    let file = OperatorFile::parse(
        "f",
        "descriptors { clients least=900 most=900; links least=400 }",
    )
    .unwrap();
    let error = file.resolve(&MACHINE).unwrap_err().to_string();
    assert!(
        error.contains("descriptors, but the total is 1024"),
        "{error}"
    );
    let small = file
        .resolve(&MachineLimits {
            platform_descriptors: 4096,
            ..MACHINE
        })
        .unwrap();
    assert_eq!(small.policy.capacity, 900);
    let limited_by_system = OperatorFile::empty()
        .resolve(&MachineLimits {
            platform_descriptors: 1024,
            system_descriptors: 64,
        })
        .unwrap();
    assert_eq!(
        limited_by_system.descriptors, 64,
        "the system limit caps the number of descriptors"
    );
}

#[test]
fn a_file_that_cannot_be_loaded_has_an_error_that_names_it() {
    let directory = std::env::temp_dir().join(format!("roseyard-file-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let path = directory.join("roseyard.kdl");
    let shown = path.display().to_string();

    let missing = OperatorFile::load(&path).unwrap_err();
    assert!(
        matches!(missing, OperatorFileError::Io { .. }),
        "{missing:?}"
    );
    assert!(missing.to_string().starts_with(&format!("{shown}: ")));

    std::fs::write(&path, "admission { places 0 }\nlog { lines 0 }").unwrap();
    let invalid = OperatorFile::load(&path).unwrap_err();
    assert!(
        matches!(invalid, OperatorFileError::Invalid(_)),
        "{invalid:?}"
    );
    assert_eq!(
        invalid.to_string(),
        format!(
            "{shown}:1:20: invalid value 0; 'places' takes a whole number from 1 to 1048576 \
            | {shown}:2:13: invalid value 0; 'lines' takes a whole number from 1 to 100000"
        )
    );

    std::fs::write(&path, vec![b'\n'; (4 << 20) + 1]).unwrap();
    let too_large = OperatorFile::load(&path).unwrap_err();
    assert!(
        matches!(too_large, OperatorFileError::TooLarge { .. }),
        "{too_large:?}"
    );
    assert_eq!(
        too_large.to_string(),
        format!("{shown}: file is larger than 4 MiB")
    );

    std::fs::write(&path, "admission { places 7 }").unwrap();
    let loaded = OperatorFile::load(&path)
        .unwrap()
        .resolve(&MACHINE)
        .unwrap();
    assert_eq!(loaded.policy.capacity, 7);
    std::fs::remove_dir_all(&directory).unwrap();
}
