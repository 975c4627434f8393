//! A scenario: a fleet, usual clients, and what happens to its processes and the paths between
//! them, by time or by what a member logs. Written in KDL, played on real daemons, judged by what
//! clients and form servers saw.

use crate::judge::{judge, Answer, Verdict, What};
use crate::net::Rules;
use crate::rig::{Rig, Spec};
use crate::site;
use kdl::{KdlDocument, KdlNode};
use rustix::process::Signal;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// When something is done.
#[derive(Clone, Debug, PartialEq)]
pub enum When {
    /// So long after the start.
    At(Duration),
    /// Once this member has logged a line that holds this, counted from the step before.
    Logged(usize, String),
}

/// What is done.
#[derive(Clone, Debug, PartialEq)]
pub enum Deed {
    /// SIGKILL.
    Kill(usize),
    /// Started anew, with nothing in memory.
    Start(usize),
    /// SIGSTOP.
    Stop(usize),
    /// SIGCONT.
    Wake(usize),
    /// SIGTERM, and the end awaited.
    Term(usize),
    /// SIGHUP.
    Hup(usize),
    /// Nothing passes between these and the others.
    Split(Vec<usize>),
    /// Rules for these directions; no direction: for all.
    Net(Option<(usize, usize)>, Rules),
}

/// One step.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When.
    pub when: When,
    /// What, in this order.
    pub deeds: Vec<Deed>,
}

/// A scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Daemons, 1 to 12.
    pub members: usize,
    /// Form servers.
    pub servers: usize,
    /// For faults and clients.
    pub seed: u64,
    /// The beat of membership.
    pub period: Duration,
    /// Requests a second of the clients, over all daemons.
    pub rate: f64,
    /// Share of them that must not run twice.
    pub once: f64,
    /// How long it lasts.
    pub lasts: Duration,
    /// What is done, in this order.
    pub steps: Vec<Step>,
}

fn wrong(text: &str, node: &KdlNode, what: impl std::fmt::Display) -> String {
    let at = node.span().offset();
    let before = &text[..at.min(text.len())];
    let line = before.matches('\n').count() + 1;
    format!("line {line}: '{}': {what}", node.name().value())
}

impl Scenario {
    /// Reads a scenario; an error names the line and what is allowed there.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let document = KdlDocument::parse_v2(text).map_err(|e| format!("no KDL: {e}"))?;
        let mut scenario = Scenario {
            members: 3,
            servers: 3,
            seed: 1,
            period: Duration::from_millis(250),
            rate: 40.0,
            once: 0.3,
            lasts: Duration::from_secs(20),
            steps: Vec::new(),
        };
        for node in document.nodes() {
            match node.name().value() {
                "members" => scenario.members = whole(text, node, 1, 12)? as usize,
                "servers" => scenario.servers = whole(text, node, 1, 64)? as usize,
                "seed" => scenario.seed = whole(text, node, 0, i64::MAX as u64)?,
                "period" => scenario.period = time(text, node, first(node), 50, 60_000)?,
                "lasts" => scenario.lasts = time(text, node, first(node), 100, 3_600_000)?,
                "rate" => scenario.rate = share(text, node, first(node), 0.0, 2000.0)?,
                "once" => scenario.once = share(text, node, first(node), 0.0, 1.0)?,
                "at" => {
                    let at = time(text, node, first(node), 0, 3_600_000)?;
                    let deeds = deeds(text, node, scenario.members)?;
                    scenario.steps.push(Step {
                        when: When::At(at),
                        deeds,
                    });
                }
                "when" => {
                    let n = member(text, node, first(node), scenario.members)?;
                    let line = node.get("logs").and_then(|v| v.as_string());
                    let line = line
                        .ok_or_else(|| wrong(text, node, "logs= is missing, a part of a line"))?;
                    let deeds = deeds(text, node, scenario.members)?;
                    scenario.steps.push(Step {
                        when: When::Logged(n, line.to_owned()),
                        deeds,
                    });
                }
                _ => {
                    let known =
                        "there are members, servers, seed, period, lasts, rate, once, at, when";
                    return Err(wrong(text, node, known));
                }
            }
        }
        Ok(scenario)
    }
}

fn first(node: &KdlNode) -> Option<&kdl::KdlValue> {
    node.entries()
        .iter()
        .find(|e| e.name().is_none())
        .map(|e| e.value())
}

fn whole(text: &str, node: &KdlNode, least: u64, most: u64) -> Result<u64, String> {
    let found = first(node)
        .and_then(|v| v.as_integer())
        .and_then(|n| u64::try_from(n).ok());
    let allowed = || {
        wrong(
            text,
            node,
            format!("takes a whole number from {least} to {most}"),
        )
    };
    found
        .filter(|n| (least..=most).contains(n))
        .ok_or_else(allowed)
}

fn share(
    text: &str,
    node: &KdlNode,
    value: Option<&kdl::KdlValue>,
    least: f64,
    most: f64,
) -> Result<f64, String> {
    let found = value.and_then(|v| v.as_float().or(v.as_integer().map(|n| n as f64)));
    let allowed = || wrong(text, node, format!("takes a number from {least} to {most}"));
    found
        .filter(|n| (least..=most).contains(n))
        .ok_or_else(allowed)
}

fn time(
    text: &str,
    node: &KdlNode,
    value: Option<&kdl::KdlValue>,
    least: u64,
    most: u64,
) -> Result<Duration, String> {
    let found = value
        .and_then(|v| v.as_string())
        .and_then(|t| humantime::parse_duration(t).ok());
    let bounds = Duration::from_millis(least)..=Duration::from_millis(most);
    let allowed = || {
        wrong(
            text,
            node,
            format!("takes a time from \"{least}ms\" to \"{most}ms\""),
        )
    };
    found.filter(|t| bounds.contains(t)).ok_or_else(allowed)
}

fn member(
    text: &str,
    node: &KdlNode,
    value: Option<&kdl::KdlValue>,
    members: usize,
) -> Result<usize, String> {
    let found = value
        .and_then(|v| v.as_integer())
        .and_then(|n| usize::try_from(n).ok());
    let allowed = || {
        wrong(
            text,
            node,
            format!("takes a member from 0 to {}", members - 1),
        )
    };
    found.filter(|n| *n < members).ok_or_else(allowed)
}

fn deeds(text: &str, step: &KdlNode, members: usize) -> Result<Vec<Deed>, String> {
    let children = step
        .children()
        .ok_or_else(|| wrong(text, step, "holds nothing in braces"))?;
    let mut deeds = Vec::new();
    for node in children.nodes() {
        let plain = || {
            node.entries()
                .iter()
                .filter(|e| e.name().is_none())
                .map(|e| Some(e.value()))
        };
        let all = plain()
            .map(|v| member(text, node, v, members))
            .collect::<Result<Vec<_>, _>>()?;
        let each = |deed: fn(usize) -> Deed| all.iter().map(|n| deed(*n)).collect::<Vec<_>>();
        deeds.extend(match node.name().value() {
            "kill" => each(Deed::Kill),
            "start" => each(Deed::Start),
            "stop" => each(Deed::Stop),
            "wake" => each(Deed::Wake),
            "term" => each(Deed::Term),
            "hup" => each(Deed::Hup),
            "split" => vec![Deed::Split(all)],
            "heal" => vec![Deed::Net(None, Rules::default())],
            "net" => vec![net(text, node, members)?],
            _ => {
                let known = "there are kill, start, stop, wake, term, hup, split, heal, net";
                return Err(wrong(text, node, known));
            }
        });
    }
    Ok(deeds)
}

fn net(text: &str, node: &KdlNode, members: usize) -> Result<Deed, String> {
    let way = match (node.get("from"), node.get("to")) {
        (None, None) => None,
        (from, to) => Some((
            member(text, node, from, members)?,
            member(text, node, to, members)?,
        )),
    };
    let part = |name: &str| {
        node.get(name)
            .map_or(Ok(0.0), |v| share(text, node, Some(v), 0.0, 1.0))
    };
    let delay = |name: &str| {
        node.get(name)
            .map_or(Ok(Duration::ZERO), |v| time(text, node, Some(v), 0, 60_000))
    };
    let rules = Rules {
        cut: node.get("cut").and_then(|v| v.as_bool()).unwrap_or(false),
        loss: part("loss")?,
        twice: part("twice")?,
        garble: part("garble")?,
        delay: (delay("least")?, delay("most")?),
    };
    if rules.delay.0 > rules.delay.1 {
        return Err(wrong(text, node, "least= is above most="));
    }
    Ok(Deed::Net(way, rules))
}

/// What a play has shown.
#[derive(Clone, Debug)]
pub struct Played {
    /// What was done, by the scenario's own words: the same for each play of it.
    pub trace: Vec<String>,
    /// When each step was done, since the start.
    pub at: Vec<Duration>,
    /// What the rules say.
    pub verdict: Verdict,
    /// How the members that ran at the end saw the others: by whom, of whom, how.
    pub standings: Vec<(String, String, String)>,
}

/// Where the clients find the daemons that run, and which were killed or stopped when.
#[derive(Default)]
struct Doors {
    open: Vec<Option<SocketAddr>>,
    /// Counts what was done to each process: a request across it may go without an answer.
    disturbed: Vec<u64>,
}

/// Plays a scenario on real daemons of this program; `tell` hears of each step.
pub fn play(
    scenario: &Scenario,
    program: PathBuf,
    mut tell: impl FnMut(&str),
) -> io::Result<Played> {
    let spec = Spec {
        servers: scenario.servers,
        period: scenario.period,
        ..Spec::new(program, scenario.members, scenario.seed)
    };
    let mut rig = Rig::start(spec)?;
    let all: Vec<usize> = (0..scenario.members).collect();
    rig.agree(&all, crate::rig::PATIENCE)?;
    let doors = Arc::new(Mutex::new(Doors {
        open: rig.members.iter().map(|m| m.clients).collect(),
        disturbed: vec![0; scenario.members],
    }));
    let (over, ids) = (AtomicBool::new(false), AtomicU64::new(1));
    let ledger = rig.ledger();
    let begin = Instant::now();
    let (mut trace, mut at) = (Vec::new(), Vec::new());
    let done: io::Result<()> = std::thread::scope(|scope| {
        // Open loop: each client thread has its own beat, so that one that waits does not slow the
        // others.
        let clients = (scenario.rate / 5.0).ceil().max(1.0) as usize;
        for c in 0..clients {
            let (doors, ledger, over, ids) = (&doors, ledger.clone(), &over, &ids);
            let beat = Duration::from_secs_f64(clients as f64 / scenario.rate.max(0.001));
            let (members, once, silent) = (scenario.members, scenario.once, scenario.rate <= 0.0);
            scope.spawn(move || {
                let mut next = Instant::now() + beat.mul_f64(c as f64 / clients as f64);
                while !over.load(Ordering::Relaxed) && !silent {
                    std::thread::sleep(
                        next.saturating_duration_since(Instant::now())
                            .min(Duration::from_millis(50)),
                    );
                    if Instant::now() < next {
                        continue;
                    }
                    next += beat;
                    let id = ids.fetch_add(1, Ordering::Relaxed);
                    ask(
                        doors,
                        &ledger,
                        id,
                        id as usize % members,
                        (id * 37 % 100) as f64 >= once * 100.0,
                    );
                }
            });
        }
        let played = steps(
            scenario, &mut rig, &doors, begin, &mut trace, &mut at, &mut tell,
        );
        over.store(true, Ordering::Relaxed);
        played
    });
    done?;
    let verdict = judge(&ledger.events());
    let mut standings = Vec::new();
    for n in 0..scenario.members {
        let Ok(status) = rig.status(n) else { continue };
        for member in status["members"].as_array().into_iter().flatten() {
            let word = |key: &str| member[key].as_str().unwrap_or_default().to_owned();
            standings.push((rig.members[n].name.clone(), word("name"), word("standing")));
        }
    }
    Ok(Played {
        trace,
        at,
        verdict,
        standings,
    })
}

fn steps(
    scenario: &Scenario,
    rig: &mut Rig,
    doors: &Mutex<Doors>,
    begin: Instant,
    trace: &mut Vec<String>,
    at: &mut Vec<Duration>,
    tell: &mut impl FnMut(&str),
) -> io::Result<()> {
    let mut marks: Vec<usize> = rig.members.iter().map(|m| m.log.mark()).collect();
    for step in &scenario.steps {
        match &step.when {
            When::At(time) => std::thread::sleep(time.saturating_sub(begin.elapsed())),
            When::Logged(n, line) => {
                let left = scenario.lasts.saturating_sub(begin.elapsed());
                rig.members[*n].log.wait(marks[*n], line, left)?;
            }
        }
        marks = rig.members.iter().map(|m| m.log.mark()).collect();
        for deed in &step.deeds {
            trace.push(format!("{:?}: {deed:?}", step.when));
            at.push(begin.elapsed());
            tell(&format!(
                "{:7.3} s  {deed:?}",
                begin.elapsed().as_secs_f64()
            ));
            do_it(deed, rig, doors)?;
        }
    }
    std::thread::sleep(scenario.lasts.saturating_sub(begin.elapsed()));
    Ok(())
}

fn do_it(deed: &Deed, rig: &mut Rig, doors: &Mutex<Doors>) -> io::Result<()> {
    let set = |n: usize, open: Option<SocketAddr>| {
        let mut doors = doors.lock().unwrap_or_else(PoisonError::into_inner);
        doors.open[n] = open;
        doors.disturbed[n] += 1;
    };
    match deed {
        Deed::Kill(n) => {
            set(*n, None);
            rig.kill(*n)
        }
        Deed::Start(n) => {
            rig.spawn(*n)?;
            set(*n, rig.members[*n].clients);
            Ok(())
        }
        Deed::Stop(n) => {
            set(*n, None);
            rig.signal(*n, Signal::STOP)
        }
        Deed::Wake(n) => {
            rig.signal(*n, Signal::CONT)?;
            set(*n, rig.members[*n].clients);
            Ok(())
        }
        Deed::Term(n) => {
            // What it has taken is owed an answer: nobody is excused.
            doors.lock().unwrap_or_else(PoisonError::into_inner).open[*n] = None;
            rig.signal(*n, Signal::TERM)?;
            rig.reap(*n)
        }
        Deed::Hup(n) => rig.signal(*n, Signal::HUP),
        Deed::Split(these) => {
            let those: Vec<usize> = (0..rig.members.len())
                .filter(|n| !these.contains(n))
                .collect();
            rig.net.split(these, &those);
            Ok(())
        }
        Deed::Net(Some(way), rules) => {
            rig.net.set(*way, *rules);
            Ok(())
        }
        Deed::Net(None, rules) => {
            rig.net.set_all(*rules);
            Ok(())
        }
    }
}

/// One request on a connection of its own, at the daemon whose turn it is or the next that runs.
fn ask(
    doors: &Mutex<Doors>,
    ledger: &crate::judge::Ledger,
    id: u64,
    turn: usize,
    repeatable: bool,
) {
    let (member, at, before) = {
        let doors = doors.lock().unwrap_or_else(PoisonError::into_inner);
        let members = doors.open.len();
        let Some(n) = (0..members)
            .map(|d| (turn + d) % members)
            .find(|n| doors.open[*n].is_some())
        else {
            return;
        };
        (n, doors.open[n], doors.disturbed[n])
    };
    let Some(at) = at else { return };
    let customer = 1 + id % 200;
    let text = if repeatable {
        site::request(customer, id)
    } else {
        site::sign(customer, id)
    };
    // What no ingress took was never asked.
    let Ok(mut stream) = TcpStream::connect(at) else {
        return;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
    ledger.note(id, What::Asked { repeatable });
    let sent = stream.write_all(&text).is_ok();
    let mut answer = Vec::new();
    let mut space = [0; 512];
    while sent && !whole_answer(&answer) {
        match stream.read(&mut space) {
            Ok(n @ 1..) => answer.extend_from_slice(&space[..n]),
            _ => break,
        }
    }
    let disturbed = || {
        let doors = doors.lock().unwrap_or_else(PoisonError::into_inner);
        doors.disturbed[member] != before
    };
    // Beyond the first answer nothing may come on this connection.
    let _ = stream.set_read_timeout(Some(Duration::from_millis(1)));
    let more = whole_answer(&answer) && matches!(stream.read(&mut space), Ok(1..));
    ledger.note(
        id,
        match answer.first() {
            Some(b'$') if whole_answer(&answer) => What::Answered(Answer::Served),
            Some(b'-') if answer.starts_with(b"-BUSY") => What::Answered(Answer::Refused),
            Some(b'-') => What::Answered(Answer::Failed),
            _ => What::Unanswered {
                excused: disturbed(),
            },
        },
    );
    if more {
        ledger.note(id, What::Answered(Answer::Failed));
    }
}

/// Is this an error line or a bulk string to its end?
fn whole_answer(answer: &[u8]) -> bool {
    let Some(line) = answer.windows(2).position(|w| w == b"\r\n") else {
        return false;
    };
    match answer[0] {
        b'$' => {
            let length = std::str::from_utf8(&answer[1..line])
                .ok()
                .and_then(|t| t.parse::<usize>().ok());
            length.is_some_and(|n| answer.len() >= line + 2 + n + 2)
        }
        _ => true,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_scenario_is_read_whole() {
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
            scenario.steps[0].deeds,
            [Deed::Kill(3), Deed::Kill(4), Deed::Net(Some((0, 1)), rules)]
        );
        assert_eq!(scenario.steps[1].when, When::Logged(0, "n3 gone".into()));
        assert_eq!(scenario.steps[1].deeds[0], Deed::Split(vec![0, 1]));
    }

    #[test]
    fn mistakes_name_the_line_and_what_is_allowed() {
        for (text, said) in [
            (
                "members 40",
                "line 1: 'members': takes a whole number from 1 to 12",
            ),
            (
                "members 3\nat \"2s\" { kill 3 }",
                "line 2: 'kill': takes a member from 0 to 2",
            ),
            ("at \"soon\" { heal }", "'at': takes a time"),
            ("at \"1s\" { explode 1 }", "there are kill, start, stop"),
            ("at \"1s\"", "holds nothing in braces"),
            ("when 0 { heal }", "logs= is missing"),
            ("at \"1s\" { net loss=2 }", "takes a number from 0 to 1"),
            (
                "at \"1s\" { net least=\"9ms\" most=\"1ms\" }",
                "least= is above most=",
            ),
            ("mebers 3", "there are members, servers"),
            ("members {", "no KDL"),
        ] {
            let told = Scenario::parse(text).unwrap_err();
            assert!(told.contains(said), "{text}: {told}");
        }
    }
}
