//! Case 'values': one of twenty form servers hangs. A client that sends many commands on its
//! connection waits for the first answer, and the long answers behind it fill the ingress.

use crate::platform::{answer, request, Deployment, Record, Size, Work, WAIT_MS};
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SECONDS: f64 = 18.0;
/// Which form server hangs, from when and until when. Only one hangs at a time.
const HANGS: [(usize, f64, f64); 2] = [(7, 1.5, 8.0), (12, 10.0, 16.5)];
const REQUESTS_PER_SECOND: f64 = 195.0;
const CUSTOMERS: u64 = 120;
const CROSSING: f64 = 0.1;

/// Requests without an answer, with the time of their last byte, in the order of the connection.
type Waiting = Arc<Mutex<VecDeque<(u64, f64)>>>;

pub fn run(with_trouble: bool, record: &Record) -> Vec<String> {
    let size = Size {
        servers: 20,
        ingresses: 2,
        memory_mb: 192,
        form_load_effect: "non_idempotent",
        window_ms: 500,
    };
    let work = Work {
        time: Duration::from_millis(100),
        value_bytes: 64 << 10,
        second_after: None,
    };
    let deployment = Deployment::start(&size, work, record);
    for (index, from, until) in HANGS.into_iter().filter(|_| with_trouble) {
        let (hangs, record) = (Arc::clone(&deployment.servers[index].hangs), record.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_secs_f64(from));
            record.add(format!("form server {index} hangs from now on"));
            hangs.store(true, Ordering::SeqCst);
            thread::sleep(Duration::from_secs_f64(until - from));
            record.add(format!("form server {index} no longer hangs"));
            hangs.store(false, Ordering::SeqCst);
        });
    }
    let lost = client(
        deployment.ingresses[0].address,
        deployment.ingresses[0].pid(),
        record,
    );
    deployment.end(record);
    lost
}

fn client(address: SocketAddr, pid: u32, record: &Record) -> Vec<String> {
    let start = Instant::now();
    let mut number = 0;
    let mut lost = Vec::new();
    while start.elapsed().as_secs_f64() < SECONDS {
        let mut stream = TcpStream::connect(address).expect("the ingress accepts connections");
        stream.set_nodelay(true).expect("no delay");
        record.add("new connection");
        let waiting: Waiting = Arc::default();
        let ended: Arc<Mutex<Option<f64>>> = Arc::default();
        read_answers(&stream, &waiting, &ended, record);
        while ended.lock().unwrap().is_none() && start.elapsed().as_secs_f64() < SECONDS {
            // 68 of 100 requests load a form, the others submit one.
            let (class, effect) = match number * 17 % 25 {
                0..17 => ("form-load", "non_idempotent"),
                _ => ("submit", "idempotency_key"),
            };
            let request = request(number + 1, class, effect, number % CUSTOMERS);
            waiting
                .lock()
                .unwrap()
                .push_back((request.id, record.now()));
            record.add(format!("{:016x} sent, {class}", request.id));
            if stream.write_all(&request.bytes).is_err() {
                break;
            }
            if number % 100 == 0 {
                record.add(format!("resident memory of n0: {}", resident(pid)));
            }
            number += 1;
            let next = start + Duration::from_secs_f64(number as f64 / REQUESTS_PER_SECOND);
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        // All answers are due within the client's time and half a second, counted from when the
        // answers before them have come.
        let mut quiet_until = Instant::now() + Duration::from_millis(WAIT_MS + 600);
        let mut before = usize::MAX;
        while Instant::now() < quiet_until && ended.lock().unwrap().is_none() {
            let count = waiting.lock().unwrap().len();
            if count == 0 {
                break;
            }
            if count < before {
                before = count;
                quiet_until = Instant::now() + Duration::from_millis(WAIT_MS + 600);
            }
            thread::sleep(Duration::from_millis(10));
        }
        let ended = *ended.lock().unwrap();
        for (id, at) in waiting.lock().unwrap().drain(..) {
            match ended {
                Some(end) if end - at <= CROSSING => record.add(format!("{id:016x} may have crossed the end")),
                Some(end) => lost.push(format!(
                    "{id:016x} was sent {:.0} ms before the ingress ended its connection, and got no answer",
                    (end - at) * 1000.0
                )),
                None => lost.push(format!("{id:016x} got no answer in its time")),
            }
        }
    }
    lost
}

fn read_answers(
    stream: &TcpStream,
    waiting: &Waiting,
    ended: &Arc<Mutex<Option<f64>>>,
    record: &Record,
) {
    let mut reader = stream.try_clone().expect("a second handle");
    let (waiting, ended, record) = (Arc::clone(waiting), Arc::clone(ended), record.clone());
    thread::spawn(move || {
        let mut input = Vec::new();
        let mut buffer = vec![0; 1 << 20];
        loop {
            match reader.read(&mut buffer) {
                Ok(n) if n > 0 => input.extend_from_slice(&buffer[..n]),
                other => {
                    record.add(format!("connection ended by the ingress: {other:?}"));
                    *ended.lock().unwrap() = Some(record.now());
                    return;
                }
            }
            let mut used = 0;
            while let Some((answer, length)) = answer_at(&input, used) {
                used += length;
                let sent = waiting.lock().unwrap().pop_front();
                let id = sent.map_or("no request".to_owned(), |(id, _)| format!("{id:016x}"));
                record.add(format!("{id} answered: {}", answer.show()));
            }
            input.drain(..used);
        }
    });
}

fn answer_at(input: &[u8], at: usize) -> Option<(crate::platform::Answer, usize)> {
    if at < input.len() {
        answer(&input[at..])
    } else {
        None
    }
}

fn resident(pid: u32) -> String {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    line.unwrap_or("unknown")
        .split_whitespace()
        .collect::<Vec<_>>()
        .join(" ")
}
