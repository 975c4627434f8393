//! The module stays short enough to port by hand.

#[test]
fn the_policy_module_stays_within_its_lines_and_columns() {
    let text = concat!(
        include_str!("../src/service.rs"),
        include_str!("../src/choice.rs"),
        include_str!("../src/quota.rs"),
        include_str!("../src/aperture.rs")
    );
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 1010, "{lines} non-blank lines");
    let longest = text.lines().map(|l| l.chars().count()).max().unwrap();
    assert!(longest <= 110, "{longest} columns");
}
