//! Parses a scenario from KDL.

use super::model::{FaultAction, Scenario, Step, Trigger};
use crate::faulty_network::Rules;
use kdl::{KdlDocument, KdlEntry, KdlNode, KdlValue};
use std::ops::RangeInclusive;
use std::time::Duration;

const ALLOWED_MEMBERS: RangeInclusive<u64> = 1..=12;
const ALLOWED_SERVERS: RangeInclusive<u64> = 1..=64;
const ALLOWED_REQUESTS_PER_SECOND: RangeInclusive<f64> = 0.0..=2000.0;
const ALLOWED_RATIOS: RangeInclusive<f64> = 0.0..=1.0;
const ALLOWED_PERIODS_MS: RangeInclusive<u64> = 50..=60_000;
const ALLOWED_DURATIONS_MS: RangeInclusive<u64> = 100..=3_600_000;
const ALLOWED_STEP_TIMES_MS: RangeInclusive<u64> = 0..=3_600_000;
const ALLOWED_DELAYS_MS: RangeInclusive<u64> = 0..=60_000;

/// Why a text is not a valid scenario.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScenarioError {
    /// The text is not valid KDL.
    #[error("invalid KDL: {0}")]
    NotKdl(String),
    /// A node is unknown, or one of its values is missing or not allowed.
    #[error("line {line}: '{node}': {expected}")]
    Node {
        /// The line number, from 1.
        line: usize,
        /// The name of the node.
        node: String,
        /// What is allowed.
        expected: Expected,
    },
}

/// What a scenario allows in place of an invalid node or value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Expected {
    /// A node of a scenario.
    #[error(
        "unknown node; expected members, servers, seed, period, lasts, rate, once, at or when"
    )]
    ScenarioNode,
    /// An action of a step.
    #[error("unknown action; expected kill, start, stop, wake, term, hup, split, heal or net")]
    Action,
    /// A block of actions in braces.
    #[error("missing a block of actions in braces")]
    Actions,
    /// The property `logs`, which is the text of the log line to wait for.
    #[error("missing logs=, which takes a part of a log line")]
    LoggedText,
    /// An integer in a range.
    #[error("takes a whole number from {min} to {max}")]
    Integer {
        /// The minimum, inclusive.
        min: u64,
        /// The maximum, inclusive.
        max: u64,
    },
    /// A number in a range, whose bounds are formatted as text.
    #[error("takes a number from {min} to {max}")]
    Number {
        /// The minimum, inclusive.
        min: String,
        /// The maximum, inclusive.
        max: String,
    },
    /// A duration in a range.
    #[error("takes a duration from \"{min_ms}ms\" to \"{max_ms}ms\"")]
    Time {
        /// The minimum in milliseconds, inclusive.
        min_ms: u64,
        /// The maximum in milliseconds, inclusive.
        max_ms: u64,
    },
    /// The number of a member.
    #[error("takes a member number from 0 to {last}")]
    Member {
        /// The number of the last member.
        last: usize,
    },
    /// A minimum delay that does not exceed the maximum delay.
    #[error("least= exceeds most=")]
    OrderedDelays,
}

impl Scenario {
    /// Parses a scenario. Nodes that are missing keep the values of [`Scenario::default`]. An error
    /// names the line and what is allowed there.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let document = KdlDocument::parse_v2(text)
            .map_err(|error| ScenarioError::NotKdl(error.to_string()))?;
        let mut scenario = Scenario::default();
        for node in document.nodes() {
            scenario.apply_node(&Node { text, node })?;
        }
        Ok(scenario)
    }

    fn apply_node(&mut self, node: &Node) -> Result<(), ScenarioError> {
        match node.name() {
            "members" => self.members = node.integer(&ALLOWED_MEMBERS)? as usize,
            "servers" => self.servers = node.integer(&ALLOWED_SERVERS)? as usize,
            "seed" => self.seed = node.integer(&(0..=i64::MAX as u64))?,
            "period" => self.period = node.time(node.argument(), &ALLOWED_PERIODS_MS)?,
            "lasts" => self.duration = node.time(node.argument(), &ALLOWED_DURATIONS_MS)?,
            "rate" => self.rate = node.number(node.argument(), &ALLOWED_REQUESTS_PER_SECOND)?,
            "once" => self.non_idempotent_ratio = node.number(node.argument(), &ALLOWED_RATIOS)?,
            "at" => {
                let trigger = Trigger::At(node.time(node.argument(), &ALLOWED_STEP_TIMES_MS)?);
                self.add_step(trigger, node)?;
            }
            "when" => {
                let member = node.member(node.argument(), self.members)?;
                let text = node.property("logs").and_then(KdlValue::as_string);
                let text = text.ok_or_else(|| node.error(Expected::LoggedText))?;
                self.add_step(Trigger::Logged(member, text.to_owned()), node)?;
            }
            _ => return Err(node.error(Expected::ScenarioNode)),
        }
        Ok(())
    }

    fn add_step(&mut self, trigger: Trigger, node: &Node) -> Result<(), ScenarioError> {
        let actions = node.actions(self.members)?;
        self.steps.push(Step { trigger, actions });
        Ok(())
    }
}

/// A node, with the text of the whole scenario, from which its line number is computed.
struct Node<'a> {
    text: &'a str,
    node: &'a KdlNode,
}

impl<'a> Node<'a> {
    fn name(&self) -> &'a str {
        self.node.name().value()
    }

    fn error(&self, expected: Expected) -> ScenarioError {
        let offset = self.node.span().offset().min(self.text.len());
        ScenarioError::Node {
            line: self.text[..offset].matches('\n').count() + 1,
            node: self.name().to_owned(),
            expected,
        }
    }

    fn property(&self, name: &str) -> Option<&'a KdlValue> {
        self.node.get(name)
    }

    /// The values without a property name.
    fn arguments(&self) -> impl Iterator<Item = &'a KdlValue> {
        let entries = self.node.entries().iter();
        entries
            .filter(|entry| entry.name().is_none())
            .map(KdlEntry::value)
    }

    fn argument(&self) -> Option<&'a KdlValue> {
        self.arguments().next()
    }

    fn integer(&self, range: &RangeInclusive<u64>) -> Result<u64, ScenarioError> {
        let expected = Expected::Integer {
            min: *range.start(),
            max: *range.end(),
        };
        self.argument()
            .and_then(KdlValue::as_integer)
            .and_then(|value| u64::try_from(value).ok())
            .filter(|value| range.contains(value))
            .ok_or_else(|| self.error(expected))
    }

    fn number(
        &self,
        value: Option<&KdlValue>,
        range: &RangeInclusive<f64>,
    ) -> Result<f64, ScenarioError> {
        let as_number = |value: &KdlValue| {
            let integer = value.as_integer().map(|value| value as f64);
            value.as_float().or(integer)
        };
        let expected = Expected::Number {
            min: range.start().to_string(),
            max: range.end().to_string(),
        };
        value
            .and_then(as_number)
            .filter(|value| range.contains(value))
            .ok_or_else(|| self.error(expected))
    }

    fn time(
        &self,
        value: Option<&KdlValue>,
        range_ms: &RangeInclusive<u64>,
    ) -> Result<Duration, ScenarioError> {
        let min_ms = *range_ms.start();
        let max_ms = *range_ms.end();
        let range = Duration::from_millis(min_ms)..=Duration::from_millis(max_ms);
        value
            .and_then(KdlValue::as_string)
            .and_then(|text| humantime::parse_duration(text).ok())
            .filter(|time| range.contains(time))
            .ok_or_else(|| self.error(Expected::Time { min_ms, max_ms }))
    }

    fn member(&self, value: Option<&KdlValue>, members: usize) -> Result<usize, ScenarioError> {
        value
            .and_then(KdlValue::as_integer)
            .and_then(|value| usize::try_from(value).ok())
            .filter(|member| *member < members)
            .ok_or_else(|| self.error(Expected::Member { last: members - 1 }))
    }

    /// Parses the actions in the braces of a step.
    fn actions(&self, members: usize) -> Result<Vec<FaultAction>, ScenarioError> {
        let children = self
            .node
            .children()
            .ok_or_else(|| self.error(Expected::Actions))?;
        let mut actions = Vec::new();
        for node in children.nodes() {
            let node = Node {
                text: self.text,
                node,
            };
            actions.extend(node.action(members)?);
        }
        Ok(actions)
    }

    /// Parses one action node. `kill`, `start`, `stop`, `wake`, `term` and `hup` give one action
    /// for each member that the node lists.
    fn action(&self, members: usize) -> Result<Vec<FaultAction>, ScenarioError> {
        let listed_members = self
            .arguments()
            .map(|value| self.member(Some(value), members))
            .collect::<Result<Vec<_>, _>>()?;
        let action_per_member =
            |action: fn(usize) -> FaultAction| listed_members.iter().copied().map(action).collect();
        Ok(match self.name() {
            "kill" => action_per_member(FaultAction::Kill),
            "start" => action_per_member(FaultAction::Start),
            "stop" => action_per_member(FaultAction::Stop),
            "wake" => action_per_member(FaultAction::Wake),
            "term" => action_per_member(FaultAction::Term),
            "hup" => action_per_member(FaultAction::Hup),
            "split" => vec![FaultAction::Split(listed_members)],
            "heal" => vec![FaultAction::Net(None, Rules::default())],
            "net" => vec![self.network_rules(members)?],
            _ => return Err(self.error(Expected::Action)),
        })
    }

    fn network_rules(&self, members: usize) -> Result<FaultAction, ScenarioError> {
        let direction = match (self.property("from"), self.property("to")) {
            (None, None) => None,
            (from, to) => Some((self.member(from, members)?, self.member(to, members)?)),
        };
        let ratio = |name: &str| match self.property(name) {
            Some(value) => self.number(Some(value), &ALLOWED_RATIOS),
            None => Ok(0.0),
        };
        let delay = |name: &str| match self.property(name) {
            Some(value) => self.time(Some(value), &ALLOWED_DELAYS_MS),
            None => Ok(Duration::ZERO),
        };
        let cut = self.property("cut").and_then(KdlValue::as_bool);
        let rules = Rules {
            cut: cut.unwrap_or(false),
            loss: ratio("loss")?,
            twice: ratio("twice")?,
            garble: ratio("garble")?,
            delay: (delay("least")?, delay("most")?),
        };
        if rules.delay.0 > rules.delay.1 {
            return Err(self.error(Expected::OrderedDelays));
        }
        Ok(FaultAction::Net(direction, rules))
    }
}
