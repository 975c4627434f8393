//! Model checking: three real state machines, every order of the records that they exchange, which
//! may be lost, duplicated, late and out of order, with false suspicions, a crash with a restart,
//! and a leave. Every reachable state is checked.

use roseyard_membership::*;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

const MEMBERS: usize = 3;
const NOW: Duration = Duration::ZERO;

fn name(n: usize) -> Name {
    Name::from(["a", "b", "c"][n]).unwrap()
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + n as u16))
}

/// A state machine. Two are equal if their records are; times and random choices are left out.
#[derive(Clone, Debug)]
struct Node(Swim);

impl Node {
    fn start(n: usize, generation: u64) -> Node {
        let mut swim = Swim::new(
            Settings::new(MEMBERS),
            name(n),
            address(n),
            generation,
            Metadata::default(),
            1,
        );
        swim.handle(NOW, Event::Timeout, &mut Vec::new());
        Node(swim)
    }

    /// Its record of a member, itself included, without the suspecter.
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
        (0..MEMBERS).map(|n| self.record_of(n)).collect()
    }

    /// Receives a record in a datagram of this member.
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
    /// None: it has crashed or left.
    nodes: Vec<Option<Node>>,
    /// Every record that was ever sent: each may be received at any time, any number of times, or
    /// never.
    sent: BTreeSet<SentRecord>,
    /// False suspicions, and crashes and leaves of the third member, that may still happen.
    remaining: Limits,
    /// Has the third member left?
    has_left: bool,
    /// Has a member seen the third as left, and the same generation later otherwise?
    has_returned: bool,
}

/// A record, ordered by all that can differ.
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
    /// One member suspects another.
    Suspect(usize, usize),
    /// Its suspicion times out.
    DeclareDead(usize, usize),
    /// A member receives a record.
    Receive(usize, SentRecord),
    Crash,
    Restart,
    Leave,
}

/// How often things happen at most.
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
    /// Every running member sends all of its records.
    fn send_all(state: &mut State) {
        let nodes = state.nodes.iter().flatten();
        let records = nodes.flat_map(Node::records).flatten();
        let sent: Vec<SentRecord> = records.map(SentRecord).collect();
        state.sent.extend(sent);
    }

    /// The state after all running members have exchanged all of their records, repeatedly.
    fn settled(state: &State) -> State {
        let mut state = state.clone();
        for _ in 0..8 {
            for from in 0..MEMBERS {
                let Some(generation) = state.nodes[from].as_ref().map(|n| n.0.local().generation)
                else {
                    continue;
                };
                let sender = state.nodes[from].as_ref().unwrap();
                let records: Vec<Record> = sender.records().into_iter().flatten().collect();
                for to in (0..MEMBERS).filter(|to| *to != from) {
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
        let nodes: Vec<Option<Node>> = (0..MEMBERS).map(|n| Some(Node::start(n, 1))).collect();
        let start = State {
            nodes,
            sent: BTreeSet::new(),
            remaining: self.limits,
            has_left: false,
            has_returned: false,
        };
        let mut state = Fleet::settled(&start);
        Fleet::send_all(&mut state);
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        for (n, node) in state.nodes.iter().enumerate() {
            let Some(node) = node else { continue };
            for subject in (0..MEMBERS).filter(|subject| *subject != n) {
                match node.record_of(subject).map(|record| record.status) {
                    Some(Status::Alive) if state.remaining.suspicions > 0 => {
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
            if state.remaining.crashes > 0 {
                actions.push(Step::Crash);
            }
            if state.remaining.leaves > 0 {
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
                state.remaining.suspicions -= 1;
                report(&mut state, n, subject, Status::Suspect(n as u32 + 1))?;
            }
            Step::DeclareDead(n, subject) => report(&mut state, n, subject, Status::Dead)?,
            Step::Receive(n, sent) => {
                let from = (n + 1) % MEMBERS;
                state.nodes[n].as_mut()?.receive(from, 0, &sent.0);
            }
            Step::Crash => {
                state.remaining.crashes -= 1;
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
                state.remaining.leaves -= 1;
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
            let has_returned = record_of_third(&state, n).is_some_and(|after| {
                after.generation == before.generation && after.status != Status::Left
            });
            state.has_returned |= before.status == Status::Left && has_returned;
        }
        (state != *last).then_some(state)
    }

    fn within_boundary(&self, state: &State) -> bool {
        // There are no more incarnations than suspicions.
        let mut records = state.sent.iter().map(|sent| &sent.0);
        records.all(|record| record.incarnation <= 2 && record.generation <= 3)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "once all records are exchanged, all running members see one another alive",
                |_, state: &State| see_one_another_alive(&Fleet::settled(state)),
            ),
            Property::always(
                "old records do not bring back a member that left",
                |_, state: &State| !state.has_returned,
            ),
            Property::always(
                "no record has a generation or incarnation that its member has not had",
                |_, state: &State| has_no_invented_incarnation(state),
            ),
            Property::sometimes("a running member is seen dead", |_, state: &State| {
                is_running_member_seen_dead(state)
            }),
        ]
    }
}

/// A member reports another as suspect or dead; it merges its own report as any other record.
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

/// The record that a member has of the third.
fn record_of_third(state: &State, n: usize) -> Option<Record> {
    state.nodes[n].as_ref()?.record_of(2)
}

fn see_one_another_alive(state: &State) -> bool {
    let running: Vec<usize> = (0..MEMBERS).filter(|n| state.nodes[*n].is_some()).collect();
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

fn has_no_invented_incarnation(state: &State) -> bool {
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
    (0..MEMBERS).any(|n| {
        (0..MEMBERS).any(|subject| {
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
    assert!(checker.is_done(), "not all states were checked");
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
