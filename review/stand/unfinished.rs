//! Case 'unfinished': many clients stop in the middle of a request and stay. Other clients send one
//! request at a time and wait for long answers.

use crate::platform::{answer, encode, request, Deployment, Record, Size, Work};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const SECONDS: f64 = 16.0;
/// Clients that send one request at a time.
const CLIENTS: u64 = 20;
/// Clients that stop in the middle of a request, and how many bytes of it each of them sends.
const BAD_CLIENTS: usize = 400;
const BAD_BYTES: usize = 64_000;
/// When the bad clients come.
const BURSTS: [f64; 3] = [2.0, 6.0, 10.0];
const CROSSING: f64 = 0.1;

pub fn run(with_trouble: bool, record: &Record) -> Vec<String> {
    let size = Size {
        servers: 12,
        ingresses: 2,
        memory_mb: 192,
        form_load_effect: "read_like",
        window_ms: 8000,
    };
    let work = Work {
        time: Duration::from_millis(150),
        value_bytes: 64 << 10,
    };
    let deployment = Deployment::start(&size, work, record);
    let address = deployment.ingresses[0].address;
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, is_over) = (record.clone(), Arc::clone(&is_over));
            thread::spawn(move || client(number, address, &is_over, &record))
        })
        .collect();
    let start = Instant::now();
    for burst in BURSTS.into_iter().filter(|_| with_trouble) {
        thread::sleep(Duration::from_secs_f64(burst).saturating_sub(start.elapsed()));
        bad_clients(address, record);
    }
    thread::sleep(Duration::from_secs_f64(SECONDS).saturating_sub(start.elapsed()));
    record.add(format!(
        "memory of n0 at its peak: {}",
        peak(deployment.ingresses[0].pid())
    ));
    is_over.store(true, Ordering::SeqCst);
    let lost = clients
        .into_iter()
        .flat_map(|client| client.join().expect("a client"))
        .collect();
    deployment.end(record);
    lost
}

fn peak(pid: u32) -> String {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmHWM"));
    line.unwrap_or("unknown")
        .split_whitespace()
        .collect::<Vec<_>>()
        .join(" ")
}

/// Sends one request at a time, each for a form of 64 KiB. Returns those that were lost.
fn client(number: u64, address: SocketAddr, is_over: &AtomicBool, record: &Record) -> Vec<String> {
    let mut lost = Vec::new();
    let mut count = 0;
    while !is_over.load(Ordering::SeqCst) {
        let mut stream = TcpStream::connect(address).expect("the ingress accepts connections");
        stream.set_nodelay(true).expect("no delay");
        let mut input = Vec::new();
        let mut buffer = vec![0; 1 << 17];
        'connection: while !is_over.load(Ordering::SeqCst) {
            count += 1;
            let id = ((number + 1) << 32) + count;
            let request = request(id, "form-load", "read_like", 100 * number + count % 100);
            let sent_at = record.now();
            record.add(format!("client {number}: {id:016x} sent"));
            if stream.write_all(&request.bytes).is_err() {
                record.add(format!("client {number}: {id:016x} crossed the end"));
                break;
            }
            loop {
                if let Some((answer, length)) = answer(&input) {
                    input.drain(..length);
                    record.add(format!(
                        "client {number}: {id:016x} answered: {}",
                        answer.show()
                    ));
                    break;
                }
                match stream.read(&mut buffer) {
                    Ok(n) if n > 0 => input.extend_from_slice(&buffer[..n]),
                    other => {
                        let waited = record.now() - sent_at;
                        record.add(format!("client {number}: {id:016x}: connection ended by the ingress: {other:?}"));
                        if waited > CROSSING {
                            lost.push(format!(
                                "{id:016x} was sent {:.0} ms before the ingress ended its connection, and got no answer",
                                waited * 1000.0
                            ));
                        }
                        break 'connection;
                    }
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
    lost
}

/// Opens connections that ask for `PING` twice, send the beginning of a request and stay until the
/// ingress ends them.
fn bad_clients(address: SocketAddr, record: &Record) {
    let fields = b"c=submit,t=neighbor,d=4000,k=00000000000000aa,units=1,spread=2,first=0";
    let words: [&[u8]; 5] = [
        b"API.WRITE",
        b"0000000000bad000",
        b"00000000000bad00",
        fields,
        &[b'x'; 64 << 10],
    ];
    let beginning = encode(&words)[..BAD_BYTES].to_vec();
    let ping = encode(&[b"PING"]);
    let mut streams = Vec::new();
    for _ in 0..BAD_CLIENTS {
        let Ok(mut stream) = TcpStream::connect(address) else {
            continue;
        };
        let _ = stream.write_all(&ping);
        let _ = stream.read(&mut [0; 64]);
        let _ = stream.write_all(&ping);
        let _ = stream.read(&mut [0; 64]);
        streams.push(stream);
    }
    for stream in &mut streams {
        let _ = stream.write_all(&beginning);
    }
    record.add(format!(
        "{} clients have sent the beginning of a request and stay",
        streams.len()
    ));
    let record = record.clone();
    thread::spawn(move || {
        for stream in &mut streams {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
            while matches!(stream.read(&mut [0; 4096]), Ok(1..)) {}
        }
        record.add("these clients have been answered or closed");
    });
}
