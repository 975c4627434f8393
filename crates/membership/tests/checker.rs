//! Model checking of three production state machines. Every reachable state is checked, for every
//! order in which the members receive each other's records. Records can be lost, duplicated,
//! delayed and reordered, and members are falsely suspected, crash and restart, or leave.

use roseyard_membership::*;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

const MEMBER_COUNT: usize = 3;
const NOW: Duration = Duration::ZERO;

fn name(n: usize) -> Name {
    Name::from(["a", "b", "c"][n]).unwrap()
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + n as u16))
}

/// A member's state machine. Two nodes are equal if their records are equal: times and the state of
/// the random number generator are ignored.
#[derive(Clone, Debug)]
struct Node(Swim);

impl Node {
    fn start(n: usize, generation: u64) -> Node {
        let mut swim = Swim::new(
            Settings::new(MEMBER_COUNT),
            name(n),
            address(n),
            generation,
            Metadata::default(),
            1,
        );
        swim.handle(NOW, Event::Timeout, &mut Vec::new());
        Node(swim)
    }

    /// Returns the node's record of a member, which can be the node itself. The suspecter is
    /// masked.
    fn record_of(&self, subject: usize) -> Option<Record> {
        let local = self.0.local();
        let record = if local.name == name(subject) {
            Some(local.clone())
        } else {
            self.0.view(&name(subject), NOW).record
        };
        record.map(|record| match record.status {
            Status::Suspect(_) => Record {
                status: Status::Suspect(0),
                ..record
            },
            _ => record,
        })
    }

    fn records(&self) -> Vec<Option<Record>> {
        (0..MEMBER_COUNT).map(|n| self.record_of(n)).collect()
    }

    /// Handles a gossip datagram from member `from` with this record.
    fn receive(&mut self, from: usize, generation: u64, record: &Record) {
        let message = wire::Message::Gossip;
        let updates = vec![record.clone()];
        let received = Received {
            source: address(from),
            sender: name(from),
            generation,
            message,
            updates,
        };
        self.0
            .handle(NOW, Event::Received(received), &mut Vec::new());
    }
}

impl PartialEq for Node {
    fn eq(&self, other: &Node) -> bool {
        self.records() == other.records()
    }
}

impl Eq for Node {}

impl Hash for Node {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.records().hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// The members; `None` for one that has crashed or left.
    nodes: Vec<Option<Node>>,
    /// All records that were ever sent. Each can be received at any time, any number of times, or
    /// never.
    sent: BTreeSet<SentRecord>,
    /// The false suspicions, and the crashes and leaves of the third member, that can still occur.
    remaining_limits: Limits,
    /// Whether the third member has left.
    has_left: bool,
    /// Whether a member that saw the third one as left saw the same generation in another state
    /// afterwards.
    has_left_member_returned: bool,
}

/// A record with an order over all fields that differ between the records of one model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SentRecord(Record);

impl PartialOrd for SentRecord {
    fn partial_cmp(&self, other: &SentRecord) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for SentRecord {
    fn cmp(&self, other: &SentRecord) -> std::cmp::Ordering {
        let key = |sent: &SentRecord| {
            let record = &sent.0;
            (
                record.name,
                record.generation,
                record.incarnation,
                record.status,
                record.metadata_version,
            )
        };
        key(self).cmp(&key(other))
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// The first member suspects the second one.
    Suspect(usize, usize),
    /// The first member's suspicion of the second one times out.
    DeclareDead(usize, usize),
    /// The member receives a record.
    Receive(usize, SentRecord),
    Crash,
    Restart,
    Leave,
}

/// The maximum numbers of false suspicions, crashes and leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Limits {
    suspicions: u8,
    crashes: u8,
    leaves: u8,
}

struct Fleet {
    limits: Limits,
}

impl Fleet {
    /// Adds all records of every running member to the sent records.
    fn send_all(state: &mut State) {
        let nodes = state.nodes.iter().flatten();
        let records = nodes.flat_map(Node::records).flatten();
        let sent: Vec<SentRecord> = records.map(SentRecord).collect();
        state.sent.extend(sent);
    }

    /// Returns the state after all running members have repeatedly exchanged all of their records.
    fn after_full_exchange(state: &State) -> State {
        let mut state = state.clone();
        for _ in 0..8 {
            for from in 0..MEMBER_COUNT {
                let Some(generation) = state.nodes[from].as_ref().map(|n| n.0.local().generation)
                else {
                    continue;
                };
                let sender = state.nodes[from].as_ref().unwrap();
                let records: Vec<Record> = sender.records().into_iter().flatten().collect();
                for to in (0..MEMBER_COUNT).filter(|to| *to != from) {
                    let Some(node) = &mut state.nodes[to] else {
                        continue;
                    };
                    for record in &records {
                        node.receive(from, generation, record);
                    }
                }
            }
        }
        state
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let nodes: Vec<Option<Node>> = (0..MEMBER_COUNT).map(|n| Some(Node::start(n, 1))).collect();
        let start = State {
            nodes,
            sent: BTreeSet::new(),
            remaining_limits: self.limits,
            has_left: false,
            has_left_member_returned: false,
        };
        let mut state = Fleet::after_full_exchange(&start);
        Fleet::send_all(&mut state);
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        for (n, node) in state.nodes.iter().enumerate() {
            let Some(node) = node else { continue };
            for subject in (0..MEMBER_COUNT).filter(|subject| *subject != n) {
                match node.record_of(subject).map(|record| record.status) {
                    Some(Status::Alive) if state.remaining_limits.suspicions > 0 => {
                        actions.push(Step::Suspect(n, subject));
                    }
                    Some(Status::Suspect(_)) => actions.push(Step::DeclareDead(n, subject)),
                    _ => {}
                }
            }
            let received = state.sent.iter();
            actions.extend(received.map(|sent| Step::Receive(n, sent.clone())));
        }
        if state.nodes[2].is_some() {
            if state.remaining_limits.crashes > 0 {
                actions.push(Step::Crash);
            }
            if state.remaining_limits.leaves > 0 {
                actions.push(Step::Leave);
            }
        } else if !state.has_left {
            actions.push(Step::Restart);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Suspect(n, subject) => {
                state.remaining_limits.suspicions -= 1;
                report(&mut state, n, subject, Status::Suspect(n as u32 + 1))?;
            }
            Step::DeclareDead(n, subject) => report(&mut state, n, subject, Status::Dead)?,
            Step::Receive(n, sent) => {
                let from = (n + 1) % MEMBER_COUNT;
                state.nodes[n].as_mut()?.receive(from, 0, &sent.0);
            }
            Step::Crash => {
                state.remaining_limits.crashes -= 1;
                state.nodes[2] = None;
            }
            Step::Restart => {
                let sent = state.sent.iter().map(|sent| &sent.0);
                let generations = sent
                    .filter(|record| record.name == name(2))
                    .map(|record| record.generation);
                state.nodes[2] = Some(Node::start(2, generations.max().unwrap_or(0) + 1));
            }
            Step::Leave => {
                state.remaining_limits.leaves -= 1;
                state.has_left = true;
                let mut node = state.nodes[2].take()?;
                node.0.handle(NOW, Event::Leave, &mut Vec::new());
                state.sent.insert(SentRecord(node.record_of(2)?));
            }
        }
        Fleet::send_all(&mut state);
        for n in 0..2 {
            let Some(before) = record_of_third(last, n) else {
                continue;
            };
            let has_left_member_returned = record_of_third(&state, n).is_some_and(|after| {
                after.generation == before.generation && after.status != Status::Left
            });
            state.has_left_member_returned |=
                before.status == Status::Left && has_left_member_returned;
        }
        (state != *last).then_some(state)
    }

    fn within_boundary(&self, state: &State) -> bool {
        // Each suspicion causes at most one further incarnation, and there are at most two
        // suspicions.
        let mut records = state.sent.iter().map(|sent| &sent.0);
        records.all(|record| record.incarnation <= 2 && record.generation <= 3)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "once all records are exchanged, all running members see one another alive",
                |_, state: &State| see_one_another_alive(&Fleet::after_full_exchange(state)),
            ),
            Property::always(
                "old records do not bring back a member that left",
                |_, state: &State| !state.has_left_member_returned,
            ),
            Property::always(
                "no record has a generation or incarnation that its member has not had",
                |_, state: &State| is_no_record_ahead_of_its_member(state),
            ),
            Property::sometimes("a running member is seen dead", |_, state: &State| {
                is_running_member_seen_dead(state)
            }),
        ]
    }
}

/// Member `n` sees another one as suspect or dead, and merges that record like any other.
fn report(state: &mut State, n: usize, subject: usize, status: Status) -> Option<()> {
    let node = state.nodes[n].as_mut()?;
    let record = Record {
        status,
        ..node.record_of(subject)?
    };
    let third = 3 - n - subject;
    node.receive(third, 0, &record);
    Some(())
}

/// Returns a member's record of the third one.
fn record_of_third(state: &State, n: usize) -> Option<Record> {
    state.nodes[n].as_ref()?.record_of(2)
}

fn see_one_another_alive(state: &State) -> bool {
    let running: Vec<usize> = (0..MEMBER_COUNT)
        .filter(|n| state.nodes[*n].is_some())
        .collect();
    running.iter().all(|n| {
        let node = state.nodes[*n].as_ref().unwrap();
        let mut others = running.iter().filter(|other| *other != n);
        others.all(|other| {
            let own = state.nodes[*other].as_ref().unwrap().record_of(*other);
            node.record_of(*other) == own
                && own.is_some_and(|record| record.status == Status::Alive)
        })
    })
}

fn is_no_record_ahead_of_its_member(state: &State) -> bool {
    state.nodes.iter().enumerate().all(|(n, node)| {
        let Some(own) = node.as_ref().and_then(|node| node.record_of(n)) else {
            return true;
        };
        let nodes = state.nodes.iter().flatten();
        let mut records = nodes.filter_map(|other| other.record_of(n));
        records.all(|record| {
            (record.generation, record.incarnation) <= (own.generation, own.incarnation)
        })
    })
}

fn is_running_member_seen_dead(state: &State) -> bool {
    let is_seen_dead = |n: usize, subject: usize| {
        let node = state.nodes[n].as_ref();
        let record = node.and_then(|node| node.record_of(subject));
        record.is_some_and(|record| record.status == Status::Dead)
    };
    (0..MEMBER_COUNT).any(|n| {
        (0..MEMBER_COUNT).any(|subject| {
            n != subject && state.nodes[subject].is_some() && is_seen_dead(n, subject)
        })
    })
}

fn check(suspicions: u8, crashes: u8, leaves: u8) {
    let limits = Limits {
        suspicions,
        crashes,
        leaves,
    };
    let checker = Fleet { limits }.checker().threads(4).spawn_bfs().join();
    println!(
        "{limits:?}: {} states, depth {}",
        checker.unique_state_count(),
        checker.max_depth()
    );
    assert!(
        checker.is_done(),
        "the checker did not visit all reachable states"
    );
    checker.assert_properties();
}

#[test]
fn false_suspicions_and_a_crash_with_a_restart() {
    check(1, 1, 0);
    check(2, 1, 0);
}

#[test]
fn false_suspicions_alone() {
    check(2, 0, 0);
}

#[test]
fn false_suspicions_and_a_leave() {
    check(1, 0, 1);
    check(2, 0, 1);
}
