//! The cases. Each returns whether the rule held.

use crate::clients::{self, Answer, Habits, Outcome};
use crate::deployment::{Choice, Deployment};
use crate::record::Record;
use crate::stalls::{self, Arrival, Fleet};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What the rule allows beyond a request's time: half a second, and the 50 ms by which each limit grows on sockets.
const ANSWER_SLACK: Duration = Duration::from_millis(550);

/// The operator's file that the deployment starts with: the repository's own settings of admission and the log.
const OPERATOR_FILE: &str = "admission {\n    by-address #false\n    once-room 0.3\n    silent-room 0.5\n    reserve 0.125\n    silent \"2200ms\"\n    once \"2200ms\"\n    idle \"6s\"\n}\nlog {\n    lines 50\n    format \"text\"\n}\n";

pub fn run(case: &str, folder: &Path, has_trouble: bool) -> io::Result<bool> {
    let record = Record::create(folder)?;
    record.say(&format!("case {case}, trouble {has_trouble}"));
    match case {
        "reload-wrong" => reload(&record, has_trouble, Reload::WRONG),
        "reload-large" => reload(&record, has_trouble, Reload::LARGE),
        "reload-memory" => reload(&record, has_trouble, Reload::MEMORY),
        "leave" => standstill(&record, has_trouble, Patience::Leave),
        "copies" => standstill(&record, has_trouble, Patience::Stay),
        "reload-nested" => reload(&record, has_trouble, Reload::NESTED),
        _ => Err(io::Error::other("no such case")),
    }
}

/// A case in which the operator's file is replaced and SIGHUP sent, under a light load.
struct Reload {
    /// The new file; with `TROUBLE=0` it is `quiet_file` instead.
    new_file: fn() -> String,
    quiet_file: fn() -> String,
    target_ms: u32,
    deadline_ms: u32,
    wait_ms: u64,
    enforces_memory: bool,
}

impl Reload {
    /// A file whose first line, `services {`, and last line are missing: every route stands outside its section.
    const WRONG: Reload = Reload {
        new_file: || planned_services(3_200, 17, 11_000),
        quiet_file: || planned_services(1, 2, 3),
        target_ms: 1000,
        deadline_ms: 4000,
        wait_ms: 2000,
        enforces_memory: false,
    };
    /// A correct file with as many routes as the page allows.
    const LARGE: Reload = Reload {
        new_file: || services(1, 65_536),
        quiet_file: || services(1, 50),
        target_ms: 400,
        deadline_ms: 960,
        wait_ms: 480,
        enforces_memory: false,
    };
    /// A correct file within the page's bounds on services, routes and bytes.
    const MEMORY: Reload = Reload {
        new_file: || services(30_000, 40_000),
        quiet_file: || services(20, 50),
        target_ms: 1000,
        deadline_ms: 4000,
        wait_ms: 4000,
        enforces_memory: true,
    };
    /// A file in which the lines of services lack their closing braces.
    const NESTED: Reload = Reload {
        new_file: || services_without_braces(8_000),
        quiet_file: || services_without_braces(3),
        target_ms: 1000,
        deadline_ms: 4000,
        wait_ms: 2000,
        enforces_memory: false,
    };
}

/// The services of the planned fleet, a uid for each server, without the line `services {` and its closing brace.
fn planned_services(services: usize, servers: usize, routes: usize) -> String {
    let mut text = String::from(OPERATOR_FILE);
    text.push_str("route-field \"route\"\ndefault \"forms\"\nservice \"forms\"\n");
    for number in 0..services {
        let uids: Vec<String> = (0..servers)
            .map(|server| format!("\"x-{:08x}\"", number * servers + server))
            .collect();
        let uids = uids.join(" ");
        text.push_str(&format!(
            "service \"svc-{number:04}\" {{ servers {uids} }}\n"
        ));
    }
    for number in 0..routes {
        let service = number % services;
        text.push_str(&format!(
            "route \"eu/orders-{number:05}\" service=\"svc-{service:04}\"\n"
        ));
    }
    text
}

fn services(services: usize, routes: usize) -> String {
    let mut text = String::from(OPERATOR_FILE);
    text.push_str(
        "services {\nroute-field \"route\"\nmost 65536\ndefault \"forms\"\nservice \"forms\"\n",
    );
    for number in 1..services {
        text.push_str(&format!(
            "service \"svc-{number:05}\" {{ servers \"x-{number:05}\" }}\n"
        ));
    }
    for number in 0..routes {
        let service = match services {
            1 => "forms".to_owned(),
            _ => format!("svc-{:05}", number % (services - 1) + 1),
        };
        text.push_str(&format!(
            "route \"eu/orders-{number:05}\" service=\"{service}\"\n"
        ));
    }
    text.push_str("}\n");
    text
}

fn services_without_braces(services: usize) -> String {
    let mut text = String::from(OPERATOR_FILE);
    text.push_str("services {\nmost 65536\ndefault \"forms\"\nservice \"forms\"\n");
    for number in 0..services {
        text.push_str(&format!(
            "service \"svc-{number:05}\" {{ servers \"x-{number:05}\"\n"
        ));
    }
    text.push_str("}\n");
    text
}

fn reload(record: &Record, has_trouble: bool, case: Reload) -> io::Result<bool> {
    let choice = Choice {
        operator_file: OPERATOR_FILE.to_owned(),
        target_ms: case.target_ms,
        deadline_ms: case.deadline_ms,
        memory_mb: 192,
        enforces_memory: case.enforces_memory,
    };
    let mut deployment = Deployment::start(&choice, record)?;
    let habits = Habits {
        clients: 8,
        until: record.now() + Duration::from_secs(14),
        wait_ms: case.wait_ms,
        pause: Duration::from_millis(60),
        patience: Duration::from_secs(40),
    };
    let clients = clients::start(deployment.address, habits, record);
    thread::sleep(Duration::from_secs(4));
    let new_file = if has_trouble {
        case.new_file
    } else {
        case.quiet_file
    };
    deployment.replace_operator_file(&new_file())?;
    deployment.hang_up();
    let outcomes: Vec<Outcome> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap_or_default())
        .collect();
    let peak = deployment.peak_kib.load(Ordering::SeqCst);
    record.say(&format!("the most memory seen: {peak} KiB"));
    let mut holds = true;
    if let Some(status) = deployment.ended()? {
        record.say(&format!("BROKEN: the ingress has ended: {status}"));
        holds = false;
    }
    Ok(check_answers(&outcomes, record) && holds)
}

/// Every request gets its answer within its time and the slack, and a value is its own.
fn check_answers(outcomes: &[Outcome], record: &Record) -> bool {
    let mut broken = 0;
    for outcome in outcomes {
        let took = outcome.answered_at.map(|at| at - outcome.sent_at);
        let late = took.is_none_or(|took| took > outcome.wait + ANSWER_SLACK);
        let lost = matches!(
            outcome.answer,
            Answer::Ended | Answer::None | Answer::Foreign(_)
        );
        if late || lost {
            broken += 1;
            let text = format!(
                "BROKEN: {} sent at {:.3} s, d={} ms: {:?} after {:?}",
                outcome.id,
                outcome.sent_at.as_secs_f64(),
                outcome.wait.as_millis(),
                outcome.answer,
                took
            );
            if broken <= 3 {
                record.say(&text);
            } else {
                record.line(&text);
            }
        }
    }
    let count = |wanted: &Answer| outcomes.iter().filter(|o| o.answer == *wanted).count();
    record.say(&format!(
        "{} requests: {} served, {} refused, {broken} lost",
        outcomes.len(),
        count(&Answer::Served),
        count(&Answer::Refused)
    ));
    broken == 0 && !outcomes.is_empty()
}

/// What the rule allows between a client's close and the start of an attempt: 0.1 s, and 50 ms on sockets.
const LEAVE_SLACK: Duration = Duration::from_millis(150);
const ROUNDS: u64 = 8;
/// The time between two rounds, in which all form servers work.
const BETWEEN_ROUNDS: Duration = Duration::from_millis(2500);
const STANDSTILL: Duration = Duration::from_millis(490);

/// What the clients of long requests do.
#[derive(Clone, Copy, PartialEq)]
enum Patience {
    /// They close after 50 ms.
    Leave,
    /// They wait for their answers.
    Stay,
}

/// Clients send a long request each while one of four form servers stands still.
fn standstill(record: &Record, has_trouble: bool, patience: Patience) -> io::Result<bool> {
    let fleet = Fleet {
        arrivals: Arc::new(Mutex::new(Vec::new())),
        record: record.clone(),
        work: Duration::from_millis(80),
        long_work: Duration::from_millis(300),
    };
    let servers = (0..4)
        .map(|number| stalls::start(number, &fleet))
        .collect::<io::Result<Vec<_>>>()?;
    let addresses: Vec<SocketAddr> = servers.iter().map(|server| server.address).collect();
    let choice = Choice {
        operator_file: OPERATOR_FILE.to_owned(),
        target_ms: 1000,
        deadline_ms: 4000,
        memory_mb: 192,
        enforces_memory: false,
    };
    let mut deployment = Deployment::start_with(&addresses, &choice, record)?;
    // Ordinary traffic, so that the ingress knows its form servers.
    let rounds_time = (BETWEEN_ROUNDS + STANDSTILL) * (ROUNDS as u32 + 1);
    let habits = Habits {
        clients: 6,
        until: record.now() + rounds_time,
        wait_ms: 3000,
        pause: Duration::from_millis(20),
        patience: Duration::from_secs(2),
    };
    let clients = clients::start(deployment.address, habits, record);
    let mut long = Vec::new();
    for round in 0..ROUNDS {
        thread::sleep(BETWEEN_ROUNDS);
        let number = round as usize % servers.len();
        if has_trouble {
            record.line(&format!("server {number}: stands still"));
            servers[number].stands_still.store(true, Ordering::SeqCst);
        }
        let since = record.now();
        thread::sleep(Duration::from_millis(5));
        let sent = send_long(round, deployment.address, record)?;
        if patience == Patience::Leave {
            thread::sleep(Duration::from_millis(50));
            long.extend(leave(sent, record)?);
            thread::sleep((since + STANDSTILL).saturating_sub(record.now()));
        } else {
            thread::sleep((since + STANDSTILL).saturating_sub(record.now()));
            record.line(&format!("server {number}: goes on"));
            servers[number].stands_still.store(false, Ordering::SeqCst);
            long.extend(stay(sent, record));
        }
        servers[number].stands_still.store(false, Ordering::SeqCst);
        record.line("all form servers go on");
    }
    let outcomes: Vec<Outcome> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap_or_default())
        .collect();
    record.say(&format!("{} short requests", outcomes.len()));
    if let Some(status) = deployment.ended()? {
        record.say(&format!("BROKEN: the ingress has ended: {status}"));
        return Ok(false);
    }
    let arrivals = fleet.arrivals.lock().map(|found| found.clone());
    let arrivals: Vec<Arrival> = arrivals.unwrap_or_default();
    Ok(match patience {
        Patience::Leave => check_left(&long, &arrivals, record),
        Patience::Stay => check_copies(&long, &arrivals, record),
    })
}

/// No attempt begins later than the slack after its client's close.
fn check_left(closes: &[(String, Duration)], arrivals: &[Arrival], record: &Record) -> bool {
    let mut broken = 0;
    for (id, closed_at) in closes {
        for arrival in arrivals.iter().filter(|arrival| arrival.id == *id) {
            let after = arrival.at.saturating_sub(*closed_at);
            if after > LEAVE_SLACK && arrival.came_late {
                broken += 1;
                record.say(&format!(
                    "BROKEN: server {}: an attempt of {id} begins {} ms after its client closed",
                    arrival.server,
                    after.as_millis()
                ));
            }
        }
    }
    record.say(&format!(
        "{} clients left, {broken} attempts begun too late",
        closes.len()
    ));
    broken == 0 && !closes.is_empty()
}

/// No attempt comes whole while an earlier one of the same request is out on an open connection.
fn check_copies(sent: &[(String, Duration)], arrivals: &[Arrival], record: &Record) -> bool {
    let mut broken = 0;
    for (number, arrival) in arrivals.iter().enumerate() {
        let earlier = arrivals[..number]
            .iter()
            .filter(|other| other.id == arrival.id);
        let out = earlier.filter(|other| {
            arrival.came_late
                && other.at < arrival.at
                && other
                    .over_at
                    .is_none_or(|over| over > arrival.at + COPY_SLACK)
        });
        for other in out {
            broken += 1;
            record.say(&format!(
                "BROKEN: {}: server {} gets it at {:.3} s, while server {} has it since {:.3} s and until {:.3} s",
                arrival.id,
                arrival.server,
                arrival.at.as_secs_f64(),
                other.server,
                other.at.as_secs_f64(),
                other.over_at.map_or(f64::NAN, |over| over.as_secs_f64()),
            ));
        }
    }
    record.say(&format!(
        "{} long requests, {broken} second copies",
        sent.len()
    ));
    broken == 0 && !sent.is_empty()
}

/// The time by which each limit grows on sockets.
const COPY_SLACK: Duration = Duration::from_millis(50);

type Sent = Vec<(String, TcpStream)>;

/// Twenty clients send a request of 64 KiB each.
fn send_long(round: u64, address: SocketAddr, record: &Record) -> io::Result<Sent> {
    let mut sent = Vec::new();
    let body = "b".repeat(64 << 10);
    for number in 0..20_u64 {
        let id = format!("{:016x}", 0xfeed_0000_0000 + round * 64 + number);
        let fields = format!("c=submit,t=neighbor,d=3000,k={id},units=1,spread=1,first=0");
        let customer = format!("{:016x}", 100 + number);
        let mut command = "*5\r\n".to_owned();
        for word in ["API.WRITE", &customer, &id, &fields, &body] {
            command.push_str(&format!("${}\r\n{word}\r\n", word.len()));
        }
        let mut stream = TcpStream::connect(address)?;
        stream.write_all(command.as_bytes())?;
        record.line(&format!("client: sends {id}, {} bytes", command.len()));
        sent.push((id, stream));
    }
    Ok(sent)
}

/// The clients close. Returns the ids of requests without an answer, with the times of the closes.
fn leave(sent: Sent, record: &Record) -> io::Result<Vec<(String, Duration)>> {
    let mut closes = Vec::new();
    for (id, stream) in sent {
        let mut early = [0; 64];
        stream.set_nonblocking(true)?;
        let answered = (&stream).read(&mut early).is_ok_and(|count| count > 0);
        drop(stream);
        record.line(&format!("client: closes {id}, answered before: {answered}"));
        if !answered {
            closes.push((id, record.now()));
        }
    }
    Ok(closes)
}

/// The clients read their answers.
fn stay(sent: Sent, record: &Record) -> Vec<(String, Duration)> {
    let mut answered = Vec::new();
    for (id, stream) in sent {
        let mut answer = [0; 256];
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        let count = (&stream).read(&mut answer).unwrap_or(0);
        let text = String::from_utf8_lossy(&answer[..count])
            .escape_debug()
            .to_string();
        record.line(&format!("client: {id} gets {text}"));
        answered.push((id, record.now()));
    }
    answered
}
