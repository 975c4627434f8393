//! Case 'shutdown': a quarter of the form servers hang through the whole of a planned restart, and a
//! client that sends many commands at once uses its connection within the time that it may.

use crate::platform::{answer, request, signal, Deployment, Record, Size, Work};
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const COMMANDS: u64 = 1200;
const CUSTOMERS: u64 = 300;
/// When the client sends, counted from SIGTERM; new connections come for up to 0.4 s.
const SENDS_AFTER: Duration = Duration::from_millis(100);
/// SIGKILL comes no sooner than the longest deadline, taken as 3 s, and 0.7 s more after SIGTERM.
const KILLS_AFTER: Duration = Duration::from_millis(4700);
const CROSSING: f64 = 0.1;

pub fn run(with_trouble: bool, record: &Record) -> Vec<String> {
    let size = Size {
        servers: 12,
        ingresses: 2,
        memory_mb: 192,
        form_load_effect: "non_idempotent",
        window_ms: 500,
    };
    let work = Work {
        time: Duration::from_millis(100),
        value_bytes: 0,
    };
    let deployment = Deployment::start(&size, work, record);
    let ingress = &deployment.ingresses[0];
    let mut stream = TcpStream::connect(ingress.address).expect("the ingress accepts connections");
    stream.set_nodelay(true).expect("no delay");
    let waiting: Arc<Mutex<VecDeque<u64>>> = Arc::default();
    let ended: Arc<Mutex<Option<f64>>> = Arc::default();
    read_answers(&stream, &waiting, &ended, record);
    // The connection has served a request before.
    send(&mut stream, &waiting, 1..2, record);
    thread::sleep(Duration::from_secs(1));
    if with_trouble {
        for server in deployment.servers.iter().step_by(4) {
            record.add(format!("{} hangs from now on", server.name));
            server.hangs.store(true, Ordering::SeqCst);
        }
        record.add("SIGTERM to n0");
        signal(ingress.pid(), "TERM");
    }
    let term = Instant::now();
    thread::sleep(SENDS_AFTER);
    let sent_at = send(&mut stream, &waiting, 2..COMMANDS + 2, record);
    while term.elapsed() < KILLS_AFTER
        && ended.lock().unwrap().is_none()
        && !waiting.lock().unwrap().is_empty()
    {
        thread::sleep(Duration::from_millis(5));
    }
    // Answers that have come in the meantime are taken in.
    thread::sleep(Duration::from_millis(50));
    let ended = *ended.lock().unwrap();
    let unanswered = waiting.lock().unwrap().clone();
    let lost = unanswered.iter().filter_map(|id| match ended {
        Some(end) if end - sent_at <= CROSSING => None,
        Some(end) => Some(format!(
            "{id:016x} was sent {:.0} ms before the ingress ended its connection, and got no answer",
            (end - sent_at) * 1000.0
        )),
        None => Some(format!("{id:016x} got no answer in its time")),
    });
    let lost = lost.collect();
    deployment.end(record);
    lost
}

/// Sends these requests at once. Returns when the last byte was written.
fn send(
    stream: &mut TcpStream,
    waiting: &Mutex<VecDeque<u64>>,
    ids: std::ops::Range<u64>,
    record: &Record,
) -> f64 {
    let mut bytes = Vec::new();
    for id in ids.clone() {
        let (class, effect) = match id * 17 % 25 {
            0..17 => ("form-load", "non_idempotent"),
            _ => ("submit", "idempotency_key"),
        };
        bytes.extend(request(id, class, effect, id % CUSTOMERS).bytes);
        waiting.lock().unwrap().push_back(id);
    }
    stream.write_all(&bytes).expect("the requests are written");
    record.add(format!(
        "requests {:016x} to {:016x} written whole, {} bytes",
        ids.start,
        ids.end - 1,
        bytes.len()
    ));
    record.now()
}

fn read_answers(
    stream: &TcpStream,
    waiting: &Arc<Mutex<VecDeque<u64>>>,
    ended: &Arc<Mutex<Option<f64>>>,
    record: &Record,
) {
    let mut reader = stream.try_clone().expect("a second handle");
    let (waiting, ended, record) = (Arc::clone(waiting), Arc::clone(ended), record.clone());
    thread::spawn(move || {
        let mut input = Vec::new();
        let mut buffer = vec![0; 65536];
        loop {
            match reader.read(&mut buffer) {
                Ok(n) if n > 0 => input.extend_from_slice(&buffer[..n]),
                other => {
                    record.add(format!("connection ended by the ingress: {other:?}"));
                    *ended.lock().unwrap() = Some(record.now());
                    return;
                }
            }
            while let Some((answer, length)) = answer(&input) {
                input.drain(..length);
                let id = waiting.lock().unwrap().pop_front().unwrap_or_default();
                record.add(format!("{id:016x} answered: {}", answer.show()));
            }
        }
    });
}
