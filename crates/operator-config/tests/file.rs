//! The operator's file: what is read, what is named as wrong, and where.

use roseyard_admission::{DescriptorUse, Rate};
use roseyard_operator_config::log::{Bounded, LogFormat};
use roseyard_operator_config::{File, MachineLimits};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tracing_subscriber::fmt::MakeWriter;

const MACHINE: MachineLimits = MachineLimits {
    sockets: 1024,
    allowed: 20_000,
};

#[test]
fn every_kind_of_setting_is_read_and_explained_with_its_source() {
    let text = "// Gemeinde-Zählung: ein Kommentar mit Umlauten\n\
        descriptors {\n  total 512\n  links least=40 most=200\n}\n\
        admission {\n  places 300; reserve 0.1\n  by-address #true\n  per-client 12\n  rate-client 2.5 burst=10\n\
        prefixes v4=16\n  listed \"10.0.0.0/8\" \"::1\"\n  silent \"1s 500ms\"\n}\n\
        standing { file \"/var/lib/roseyard/standing\"; every \"5s\" }\nlog { format \"json\" }\n";
    let file = File::parse("roseyard.kdl", text).unwrap();
    let held = file.effective(&MACHINE).unwrap();
    assert_eq!(
        (held.sockets, held.policy.capacity, held.policy.reserve),
        (512, 300, 30)
    );
    assert_eq!(
        (
            held.share(DescriptorUse::Upstream).guaranteed,
            held.share(DescriptorUse::Upstream).max
        ),
        (40, 200)
    );
    assert_eq!(
        held.policy.client_connect_rate,
        Some(Rate {
            per_second: 2.5,
            burst: 10.0
        })
    );
    let lengths = held.policy.prefix_lengths;
    assert_eq!((lengths.ipv4_network, lengths.ipv6_network), (16, 48));
    assert_eq!(
        (
            held.policy.allowlist.len(),
            held.policy.idle_timeout_without_request
        ),
        (2, Duration::from_millis(1500))
    );
    assert!(held.log_json && held.standing.every == Duration::from_secs(5));
    let rows = file.explain(&MACHINE).unwrap();
    let row = |name: &str| rows.iter().find(|r| r.name == name).unwrap();
    assert_eq!(
        (
            row("admission.reserve").value.as_str(),
            row("admission.reserve").source.as_str()
        ),
        ("30", "roseyard.kdl:7")
    );
    assert_eq!(row("admission.idle").source, "default");
    assert_eq!(row("admission.once-room").source, "follows from others");
    let none = File::none().explain(&MACHINE).unwrap();
    assert!(none.iter().all(|r| r.source == "default") && none.len() == rows.len());
}

#[test]
fn what_is_wrong_is_named_with_its_place_and_what_is_allowed_and_all_at_once() {
    let lines = |text: &str| File::parse("f", text).unwrap_err().lines();
    for (text, said) in [
        ("admision { places 3 }", "f:1:1: there is no section 'admision'; did you mean 'admission'?"),
        (
            "zzz { }",
            "f:1:1: there is no section 'zzz'; there are descriptors, admission, standing, membership, log, services",
        ),
        ("admission { plcaes 3 }", "f:1:13: 'admission' has no setting 'plcaes'; did you mean 'places'?"),
        ("admission", "f:1:1: 'admission' holds nothing; write 'admission { … }' or leave it out"),
        ("admission 4 { places 3 }", "f:1:11: 'admission' holds settings in braces, not values"),
        (
            "admission { places 0 }",
            "f:1:20: 0 is not allowed here; 'places' takes a whole number from 1 to 1048576",
        ),
        (
            "admission { places 2.5 }",
            "f:1:20: 2.5 is not allowed here; 'places' takes a whole number from 1 to 1048576",
        ),
        ("admission { reserve 1.5 }", "f:1:21: 1.5 is not allowed here; 'reserve' takes a share from 0 to 1"),
        (
            "admission { places 1 2 }",
            "f:1:13: 'places' has 2 values; 'places' takes a whole number from 1 to 1048576",
        ),
        ("admission { places 1; places 2 }", "f:1:23: 'places' is set twice, first on line 1"),
        ("admission { places 1 { a 2 } }", "'places' holds values, not settings"),
        ("admission { places 1 most=2 }", "f:1:22: 'places' takes no 'most='"),
        (
            "admission { silent \"fast\" }",
            "f:1:20: \"fast\" is not allowed here; 'silent' takes a time from \"50ms\" to \"1h\"",
        ),
        ("admission { silent 5 }", "f:1:20: 5 is not allowed here; 'silent' takes a time"),
        (
            "admission { listed \"10.0.0.0/99\" }",
            "\"10.0.0.0/99\" is not allowed here; 'listed' takes addresses or ranges",
        ),
        (
            "admission { prefixes v4=64; by-address #true }",
            "f:1:22: 64 is not allowed here; 'prefixes' takes v4= from 8 to 32",
        ),
        ("admission { by-address true }", "f:1:24"),
        ("descriptors { links least=9 most=3 }", "least=9 is above most=3"),
        ("log { format \"xml\" }", "f:1:14: \"xml\" is not allowed here; 'format' takes text or json"),
        (
            "admission { per-client 4 }",
            "f:1:13: 'per-client' has no effect without 'by-address'; set 'by-address' too",
        ),
        ("admission { per-client 4; by-address #false }", "has no effect without 'by-address'"),
        ("standing { every \"5s\" }", "'every' has no effect without 'file'"),
        ("admission { places", "f:1:"),
    ] {
        let told = lines(text);
        assert!(told[0].contains(said), "{text}: {told:?}");
    }
    let many = File::parse(
        "f",
        "// ü\nadmission { plcaes 3; reserve 2 }\nlgo { }\nlog { lines 0 }",
    )
    .unwrap_err();
    let places: Vec<_> = many.iter().map(|m| m.place()).collect();
    assert_eq!(places, [(2, 13), (2, 31), (3, 1), (4, 13)]);
    assert!(
        many.report().contains("plcaes 3") && many.report().contains("did you mean"),
        "{}",
        many.report()
    );
}

#[test]
fn minima_that_do_not_fit_the_machine_are_told() {
    let file = File::parse(
        "f",
        "descriptors { clients least=900 most=900; links least=400 }",
    )
    .unwrap();
    let wrong = file.effective(&MACHINE).unwrap_err().to_string();
    assert!(
        wrong.contains("descriptors are guaranteed, and there are 1024"),
        "{wrong}"
    );
    let small = file
        .effective(&MachineLimits {
            sockets: 4096,
            ..MACHINE
        })
        .unwrap();
    assert_eq!(small.policy.capacity, 900);
    let low = File::none()
        .effective(&MachineLimits {
            sockets: 1024,
            allowed: 64,
        })
        .unwrap();
    assert_eq!(low.sockets, 64, "never more than the system allows");
}

#[derive(Clone, Default)]
struct Sink(Arc<Mutex<Vec<u8>>>);

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn log_lines_beyond_the_bound_are_counted_and_told_with_the_next_second() {
    let sink = Sink::default();
    let out = sink.clone();
    let second = Arc::new(AtomicU64::new(7));
    let clock = Arc::clone(&second);
    let bounded = Bounded::new(
        move || out.clone(),
        LogFormat::Text,
        3,
        move || clock.load(Ordering::SeqCst),
    );
    for n in 0..10 {
        writeln!(bounded.make_writer(), "{n}").unwrap();
    }
    second.store(8, Ordering::SeqCst);
    writeln!(bounded.make_writer(), "next").unwrap();
    let text = String::from_utf8(sink.0.lock().unwrap().clone()).unwrap();
    assert_eq!(
        text,
        "0\n1\n2\nroseyard: warn: log: 7 lines dropped\nnext\n"
    );
}
