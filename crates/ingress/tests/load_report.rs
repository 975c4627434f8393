//! Parsing of load reports and usage figures: what is read and what is ignored.

use proptest::prelude::*;
use roseyard_ingress::protocol::report::{parse_load_report, parse_true_units};

#[test]
fn true_units_are_read_only_if_a_request_may_have_that_many() {
    assert_eq!(parse_true_units(b"used=37,cost=4", 8.0), Some(4.0));
    assert_eq!(parse_true_units(b"cost=0.5", 8.0), Some(0.5));
    for invalid in [
        "used=37",
        "",
        "cost=",
        "cost=-1",
        "cost=0",
        "cost=9",
        "cost=nan",
        "cost=inf",
        "cost=1,cost=2",
        "xcost=3",
    ] {
        assert_eq!(parse_true_units(invalid.as_bytes(), 8.0), None, "{invalid}");
    }
    assert_eq!(parse_true_units(b"cost=1\xff", 8.0), None);
}

proptest! {
    #[test]
    fn any_figures_give_either_no_units_or_as_many_as_a_request_may_have(
        noise in proptest::collection::vec(any::<u8>(), 0..24), cost in any::<f64>(), at in 0usize..24,
    ) {
        let mut text = noise;
        let at = at.min(text.len());
        text.splice(at..at, format!(",cost={cost},").bytes());
        prop_assert!(parse_true_units(&text, 8.0).is_none_or(|u| u > 0.0 && u <= 8.0));
    }
}

#[test]
fn known_fields_are_read_and_the_others_are_ignored() {
    let load = parse_load_report(b"inflight=7,queue=2,util=0.61,eps=3,odd").unwrap();
    assert_eq!(
        (load.in_flight, load.queued, load.utilisation),
        (Some(7.0), Some(2.0), Some(0.61))
    );
    assert_eq!(
        parse_load_report(b"cpu_share=0.5").unwrap().utilisation,
        Some(0.5)
    );
    assert_eq!(parse_load_report(b"util=nan,queue=-1"), None);
    assert_eq!(parse_load_report(b"failed"), None);
    assert_eq!(parse_load_report(b"\xff"), None);
}
