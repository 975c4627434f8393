//! Clients: each sends one request after the other on a connection of its own, and notes what comes back and when.

use crate::record::Record;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served,
    Refused,
    Failed(String),
    /// A value that no form server made for this request.
    Foreign(String),
    /// Its connection ended without an answer.
    Ended,
    /// Nothing came until long after its time.
    None,
}

/// A request that was sent.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub sent_at: Duration,
    /// How long its client waits for it.
    pub wait: Duration,
    pub answered_at: Option<Duration>,
    pub answer: Answer,
}

/// How a crowd of clients behaves.
#[derive(Clone, Copy)]
pub struct Habits {
    pub clients: u64,
    /// Requests are sent until this time of the run.
    pub until: Duration,
    /// How long a client waits for its answer, in milliseconds (`d`).
    pub wait_ms: u64,
    /// The pause after an answer.
    pub pause: Duration,
    /// How long a client reads on after its time, to tell a late answer from none.
    pub patience: Duration,
}

/// Starts the clients. Their requests are returned when the threads are joined.
pub fn start(
    address: SocketAddr,
    habits: Habits,
    record: &Record,
) -> Vec<JoinHandle<Vec<Outcome>>> {
    let outcomes = (0..habits.clients).map(|number| {
        let record = record.clone();
        thread::spawn(move || {
            let outcomes = Arc::new(Mutex::new(Vec::new()));
            client(number, address, habits, &record, &outcomes);
            let outcomes = outcomes.lock().map(|found| found.clone());
            outcomes.unwrap_or_default()
        })
    });
    outcomes.collect()
}

fn client(
    number: u64,
    address: SocketAddr,
    habits: Habits,
    record: &Record,
    outcomes: &Mutex<Vec<Outcome>>,
) {
    let mut connection = None;
    let mut serial = 0;
    while record.now() < habits.until {
        if connection.is_none() {
            connection = TcpStream::connect(address).ok();
        }
        let Some(stream) = &mut connection else {
            // Refused: nothing was taken, so nothing is recorded but the try.
            record.line(&format!("client {number}: cannot connect"));
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        serial += 1;
        let id = format!("{:016x}", number << 32 | serial);
        let outcome = ask(stream, number, &id, serial, habits, record);
        let keeps = matches!(
            outcome.answer,
            Answer::Served | Answer::Refused | Answer::Failed(_)
        );
        if let Ok(mut outcomes) = outcomes.lock() {
            outcomes.push(outcome);
        }
        if !keeps {
            connection = None;
        }
        thread::sleep(habits.pause);
    }
}

fn ask(
    stream: &mut TcpStream,
    number: u64,
    id: &str,
    serial: u64,
    habits: Habits,
    record: &Record,
) -> Outcome {
    let wait_ms = habits.wait_ms;
    let customer = format!("{number:016x}");
    let words = if serial % 3 == 0 {
        let fields = format!("c=submit,t=neighbor,d={wait_ms},k={id},units=1,spread=1,first=0");
        vec![
            "API.WRITE".to_owned(),
            customer,
            id.to_owned(),
            fields,
            "BODY".to_owned(),
        ]
    } else {
        let fields = format!("c=form-load,t=neighbor,d={wait_ms},units=1,spread=1,first=0");
        vec!["API.READ".to_owned(), customer, id.to_owned(), fields]
    };
    let mut command = format!("*{}\r\n", words.len());
    for word in &words {
        command.push_str(&format!("${}\r\n{word}\r\n", word.len()));
    }
    record.line(&format!("client {number}: sends {id} {}", words[3]));
    let written = stream.write_all(command.as_bytes());
    let sent_at = record.now();
    let wait = Duration::from_millis(wait_ms);
    let answer = match written.and_then(|()| read_answer(stream, id, wait + habits.patience)) {
        Ok(answer) => answer,
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Answer::None,
        Err(error) if error.kind() == io::ErrorKind::TimedOut => Answer::None,
        Err(_) => Answer::Ended,
    };
    let answered_at = (answer != Answer::None).then(|| record.now());
    record.line(&format!("client {number}: {id} {answer:?}"));
    Outcome {
        id: id.to_owned(),
        sent_at,
        wait,
        answered_at,
        answer,
    }
}

fn read_answer(stream: &mut TcpStream, id: &str, limit: Duration) -> io::Result<Answer> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(Answer::Ended);
    }
    let line = line.trim_end();
    if line.starts_with("-BUSY") {
        return Ok(Answer::Refused);
    }
    let length = line.strip_prefix('$').and_then(|n| n.parse::<usize>().ok());
    let Some(length) = length else {
        return Ok(Answer::Failed(line.to_owned()));
    };
    let mut value = vec![0; length + 2];
    reader.read_exact(&mut value)?;
    value.truncate(length);
    let value = String::from_utf8_lossy(&value).into_owned();
    if value == format!("value of {id}") {
        Ok(Answer::Served)
    } else {
        Ok(Answer::Foreign(value))
    }
}
