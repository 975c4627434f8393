//! Case 'pieces': a client writes its requests in pieces that each hold the end of one request and
//! the beginning of the next.

use crate::platform::{answer, request, Deployment, Record, Request, Size, Work, WAIT_MS};
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const REQUESTS: u64 = 160;
const INTERVAL: Duration = Duration::from_millis(50);
/// A request that was written whole this long before the end of its connection came to the client
/// does not cross that end.
const CROSSING: f64 = 0.1;

/// A request on a connection that has no answer yet.
struct Sent {
    id: u64,
    /// When its last byte was written; `None` until then.
    whole_at: Option<f64>,
}

/// A connection as the client sees it.
struct Connection {
    stream: TcpStream,
    waiting: Arc<Mutex<VecDeque<Sent>>>,
    ended: Arc<Mutex<Option<f64>>>,
}

fn connect(address: SocketAddr, name: &str, record: &Record) -> Connection {
    let stream = TcpStream::connect(address).expect("the ingress accepts connections");
    stream.set_nodelay(true).expect("no delay");
    let waiting: Arc<Mutex<VecDeque<Sent>>> = Arc::default();
    let ended: Arc<Mutex<Option<f64>>> = Arc::default();
    let mut reader = stream.try_clone().expect("a second handle");
    let (name, record) = (name.to_owned(), record.clone());
    let (shared, end) = (Arc::clone(&waiting), Arc::clone(&ended));
    thread::spawn(move || {
        let mut input = Vec::new();
        let mut buffer = vec![0; 65536];
        loop {
            match reader.read(&mut buffer) {
                Ok(n) if n > 0 => input.extend_from_slice(&buffer[..n]),
                other => {
                    record.add(format!(
                        "{name}: connection ended by the ingress: {other:?}"
                    ));
                    *end.lock().unwrap() = Some(record.now());
                    return;
                }
            }
            while let Some((answer, length)) = answer(&input) {
                input.drain(..length);
                let sent = shared.lock().unwrap().pop_front();
                let id = sent.map_or("no request".to_owned(), |sent| format!("{:016x}", sent.id));
                record.add(format!("{name}: {id} answered: {}", answer.show()));
            }
        }
    });
    Connection {
        stream,
        waiting,
        ended,
    }
}

/// Sends the requests on one connection, and goes on with a new one when it ends. Returns the
/// requests that were lost.
fn client(
    name: &str,
    address: SocketAddr,
    first: u64,
    with_trouble: bool,
    record: &Record,
) -> Vec<String> {
    let mut lost = Vec::new();
    let mut queue: VecDeque<Request> = (0..REQUESTS)
        .map(|n| request(first + n, "form-load", "read_like", first + n % 40))
        .collect();
    let mut next = Instant::now();
    while !queue.is_empty() {
        let mut connection = connect(address, name, record);
        record.add(format!("{name}: new connection"));
        // The rest of a request whose beginning has been written.
        let mut rest: Option<(u64, Vec<u8>)> = None;
        while connection.ended.lock().unwrap().is_none() && (rest.is_some() || !queue.is_empty()) {
            let mut piece = Vec::new();
            let mut whole = Vec::new();
            if let Some((id, bytes)) = rest.take() {
                piece.extend_from_slice(&bytes);
                whole.push(id);
            }
            if let Some(request) = queue.pop_front() {
                let cut = if with_trouble {
                    request.bytes.len() / 2
                } else {
                    request.bytes.len()
                };
                connection.waiting.lock().unwrap().push_back(Sent {
                    id: request.id,
                    whole_at: None,
                });
                piece.extend_from_slice(&request.bytes[..cut]);
                if with_trouble {
                    rest = Some((request.id, request.bytes[cut..].to_vec()));
                } else {
                    whole.push(request.id);
                }
            }
            if connection.stream.write_all(&piece).is_err() {
                break;
            }
            let now = record.now();
            for id in whole {
                record.add(format!("{name}: {id:016x} written whole"));
                let mut waiting = connection.waiting.lock().unwrap();
                if let Some(sent) = waiting.iter_mut().find(|sent| sent.id == id) {
                    sent.whole_at = Some(now);
                }
            }
            next += INTERVAL;
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        // All answers are due within the client's time and half a second.
        let until = Instant::now() + Duration::from_millis(WAIT_MS + 600);
        while Instant::now() < until
            && connection.ended.lock().unwrap().is_none()
            && !connection.waiting.lock().unwrap().is_empty()
        {
            thread::sleep(Duration::from_millis(10));
        }
        let ended = *connection.ended.lock().unwrap();
        for sent in connection.waiting.lock().unwrap().drain(..) {
            let id = sent.id;
            match (sent.whole_at, ended) {
                (Some(whole), Some(end)) if end - whole > CROSSING => lost.push(format!(
                    "{name}: {id:016x} was written whole {:.0} ms before the ingress ended its connection, and got no answer",
                    (end - whole) * 1000.0
                )),
                (Some(_), None) => lost.push(format!("{name}: {id:016x} got no answer in its time")),
                // It crossed the end of the connection, or was not written whole: sent once more.
                _ => {
                    record.add(format!("{name}: {id:016x} crossed the end, sent once more"));
                    queue.push_back(request(id, "form-load", "read_like", first + id % 40));
                }
            }
        }
    }
    lost
}

pub fn run(with_trouble: bool, record: &Record) -> Vec<String> {
    let size = Size {
        servers: 12,
        ingresses: 2,
        memory_mb: 192,
        form_load_effect: "read_like",
        window_ms: 8000,
    };
    let work = Work {
        time: Duration::from_millis(300),
        value_bytes: 0,
    };
    let deployment = Deployment::start(&size, work, record);
    let clients: Vec<_> = deployment
        .ingresses
        .iter()
        .enumerate()
        .map(|(n, ingress)| {
            let (address, record) = (ingress.address, record.clone());
            let first = (n as u64 + 1) * 0x10_0000;
            thread::spawn(move || {
                client(
                    &format!("client of n{n}"),
                    address,
                    first,
                    with_trouble,
                    &record,
                )
            })
        })
        .collect();
    let lost: Vec<String> = clients
        .into_iter()
        .flat_map(|client| client.join().expect("a client"))
        .collect();
    deployment.end(record);
    lost
}
