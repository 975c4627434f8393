//! How long a process takes to be ready after a restart under load, or with a large endpoint list.

mod common;

use common::ingress_process::{next_line_containing, serve_fixed_reply, IngressProcess};
use common::*;
use rustix::process::Signal;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const PING: &str = "*1\r\n$4\r\nPING\r\n";

/// The time within which a restarted process must be ready.
const READY_WITHIN: Duration = Duration::from_secs(10);

/// Replies to each call to discovery with this text after a delay.
fn serve_discovery(listener: TcpListener, delay: Duration, text: String) {
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, text) = (stream.unwrap(), text.clone());
            std::thread::spawn(move || {
                let mut head = [0; 4096];
                if matches!(stream.read(&mut head), Ok(n) if n > 0) {
                    std::thread::sleep(delay);
                    let _ = stream.write_all(text.as_bytes());
                    // The watch stays open until the other side closes it.
                    let _ = stream.read(&mut head);
                }
            });
        }
    });
}

/// Sends requests to this address until `ended` is set, and connects again after each restart.
/// Counts the requests that were served.
fn send_requests(
    address: SocketAddr,
    first_id: u64,
    ended: Arc<AtomicBool>,
    served: Arc<AtomicU64>,
) {
    let mut id = first_id;
    while !ended.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(address) else {
            std::thread::yield_now();
            continue;
        };
        stream
            .set_read_timeout(Some(Duration::from_secs(5)))
            .unwrap();
        let mut reply = [0; 512];
        while !ended.load(Ordering::Relaxed) {
            id += 1;
            if stream
                .write_all(&read_request_of_customer(id % 1000, id))
                .is_err()
            {
                break;
            }
            match stream.read(&mut reply) {
                Ok(n @ 1..) => {
                    served.fetch_add(u64::from(reply[..n].starts_with(b"$")), Ordering::Relaxed)
                }
                _ => break,
            };
        }
    }
}

/// Waits until `PING` is answered.
fn wait_until_ready(ingress: &IngressProcess) {
    let mut stream = ingress.connect();
    // Far beyond `READY_WITHIN`, so that a failing test reports how long a start took.
    stream
        .set_read_timeout(Some(Duration::from_secs(300)))
        .unwrap();
    loop {
        stream.write_all(PING.as_bytes()).unwrap();
        let mut reply = [0; 256];
        let n = stream.read(&mut reply).unwrap();
        if reply[..n].starts_with(b"+PONG") {
            return;
        }
    }
}

/// Restarts an ingress repeatedly at the same address while clients send requests. Returns how long
/// each restart took until the new process was ready.
fn restarts_under_load(name: &str, discovery: &Peer, restarts: usize) -> Vec<Duration> {
    const CLIENTS: u64 = 3;
    let (endpoint, counter) = (Peer::new(), Peer::new());
    serve_fixed_reply(
        endpoint.blocking_listener(),
        b"first=0\r\n",
        "*3\r\n$2\r\nhi\r\n$-1\r\n$-1\r\n",
    );
    serve_fixed_reply(
        counter.blocking_listener(),
        b"\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1",
    );
    let text = config(&counter, discovery, std::slice::from_ref(&endpoint), 1024);
    let mut ingress = IngressProcess::start(name, &text);
    let address = ingress.address;
    let text = text.replace(
        "\"listen\":\"127.0.0.1:0\"",
        &format!("\"listen\":\"{address}\""),
    );
    wait_until_ready(&ingress);
    let (ended, served) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(0)),
    );
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (ended, served) = (ended.clone(), served.clone());
            std::thread::spawn(move || send_requests(address, n << 32, ended, served))
        })
        .collect();
    let mut restart_times = Vec::new();
    for n in 0..restarts {
        let before = served.load(Ordering::Relaxed);
        ingress.signal(Signal::TERM);
        let started_at = Instant::now();
        // The new process waits for the address while the previous one still listens there.
        let next = IngressProcess::start(&format!("{name}-{n}"), &text);
        wait_until_ready(&next);
        restart_times.push(started_at.elapsed());
        let mut old = std::mem::replace(&mut ingress, next);
        assert!(
            old.child.wait().unwrap().success(),
            "the previous process exits with success"
        );
        assert!(
            served.load(Ordering::Relaxed) > before,
            "clients are served during the restart"
        );
    }
    ended.store(true, Ordering::Relaxed);
    clients
        .into_iter()
        .for_each(|client| client.join().unwrap());
    restart_times
}

#[test]
fn nine_in_ten_of_twenty_restarts_under_load_are_ready_within_10_s() {
    let empty_line = format!("{WATCH_HEAD}{}", chunk("\n"));
    let discoveries = [
        ("quick", Some(0)),
        ("late", Some(300)),
        ("slow", Some(1500)),
        ("silent", None),
    ]
    .map(|(name, delay)| {
        let discovery = Peer::new();
        if let Some(delay) = delay {
            serve_discovery(
                discovery.blocking_listener(),
                Duration::from_millis(delay),
                empty_line.clone(),
            );
        }
        (name, discovery)
    });
    let mut restart_times: Vec<Duration> = std::thread::scope(|scope| {
        let chains = discoveries.each_ref().map(|(name, discovery)| {
            scope.spawn(move || restarts_under_load(&format!("ready-{name}"), discovery, 5))
        });
        chains
            .into_iter()
            .flat_map(|chain| chain.join().unwrap())
            .collect()
    });
    restart_times.sort();
    println!("ready after: {restart_times:?}");
    assert!(
        restart_times[17] <= READY_WITHIN,
        "nine in ten of 20 restarts took up to {:?}: {restart_times:?}",
        restart_times[17]
    );
}

/// Returns the peak resident memory of a process in MB.
fn peak_memory_mb(process: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|l| l.starts_with("VmHWM:")).unwrap();
    line.split_whitespace()
        .nth(1)
        .unwrap()
        .parse::<usize>()
        .unwrap()
        >> 10
}

#[test]
fn a_process_with_54000_endpoints_is_ready_within_10_s_and_applies_the_complete_list() {
    const ENDPOINTS: usize = 54_000;
    const MEMORY_MB: usize = 192;
    let (counter, discovery) = (Peer::new(), Peer::new());
    let complete_list = endpoint_list(42, true, &many_endpoint_entries(ENDPOINTS));
    serve_discovery(
        discovery.blocking_listener(),
        Duration::ZERO,
        format!("{WATCH_HEAD}{}", chunk(&complete_list)),
    );
    let text = config(&counter, &discovery, &[], 1024);
    let known = format!(
        "\"targets\":[{}]",
        many_endpoint_entries(ENDPOINTS).join(",")
    );
    let text = text.replace("\"targets\":[]", &known);
    let started_at = Instant::now();
    let mut ingress = IngressProcess::start_command(
        "54000",
        &text,
        Command::new(env!("CARGO_BIN_EXE_roseyard-ingress")),
    );
    wait_until_ready(&ingress);
    let ready_after = started_at.elapsed();
    loop {
        let line = next_line_containing(&mut ingress.log, "");
        assert!(
            !line.contains("invalid chunk size"),
            "the list is rejected: {line}"
        );
        if line.contains("endpoint list applied revision=42 ready=54000") {
            break;
        }
    }
    let (applied_after, peak_mb) = (started_at.elapsed(), peak_memory_mb(ingress.child.id()));
    println!(
        "{ENDPOINTS} endpoints: ready after {ready_after:?}, list applied after {applied_after:?}, peak {peak_mb} MB"
    );
    assert!(ready_after <= READY_WITHIN, "ready after {ready_after:?}");
    assert!(peak_mb < MEMORY_MB, "{peak_mb} MB of {MEMORY_MB}");
}
