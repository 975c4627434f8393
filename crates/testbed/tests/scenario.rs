//! Parsing of scenarios from KDL.

use roseyard_testbed::faulty_network::Rules;
use roseyard_testbed::scenario::{FaultAction, Scenario, Trigger};
use std::time::Duration;

#[test]
fn a_scenario_with_steps_is_parsed() {
    let text = "members 5; seed 9; lasts \"30s\"\nat \"2s\" { kill 3 4; net from=0 to=1 loss=0.2 most=\"60ms\" }\nwhen 0 logs=\"n3 gone\" { split 0 1; heal; start 3 }\n";
    let scenario = Scenario::parse(text).unwrap();
    assert_eq!(
        (scenario.members, scenario.seed, scenario.steps.len()),
        (5, 9, 2)
    );
    let rules = Rules {
        loss: 0.2,
        delay: (Duration::ZERO, Duration::from_millis(60)),
        ..Rules::default()
    };
    assert_eq!(
        scenario.steps[0].actions,
        [
            FaultAction::Kill(3),
            FaultAction::Kill(4),
            FaultAction::Net(Some((0, 1)), rules)
        ]
    );
    assert_eq!(
        scenario.steps[1].trigger,
        Trigger::Logged(0, "n3 gone".into())
    );
    assert_eq!(scenario.steps[1].actions[0], FaultAction::Split(vec![0, 1]));
}

#[test]
fn errors_name_the_line_and_what_is_allowed() {
    for (text, expected) in [
        (
            "members 40",
            "line 1: 'members': takes a whole number from 1 to 12",
        ),
        (
            "members 3\nat \"2s\" { kill 3 }",
            "line 2: 'kill': takes a member number from 0 to 2",
        ),
        ("at \"soon\" { heal }", "'at': takes a duration"),
        ("at \"1s\" { explode 1 }", "expected kill, start, stop"),
        ("at \"1s\"", "missing a block of actions in braces"),
        ("when 0 { heal }", "missing logs="),
        ("at \"1s\" { net loss=2 }", "takes a number from 0 to 1"),
        (
            "at \"1s\" { net least=\"9ms\" most=\"1ms\" }",
            "least= exceeds most=",
        ),
        ("mebers 3", "expected members, servers"),
        ("members {", "invalid KDL"),
    ] {
        let error = Scenario::parse(text).unwrap_err().to_string();
        assert!(error.contains(expected), "{text}: {error}");
    }
}
