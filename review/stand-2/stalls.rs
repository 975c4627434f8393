//! Form servers that stand still now and then: their process neither reads nor answers, their machine goes on.

use crate::record::Record;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, RawFd};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The receive buffer of a form server's connections, in bytes: a long request does not fit in at once.
const RECEIVE_BUFFER: i32 = 32 << 10;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Sets the size of a socket's receive buffer. The accepted connections of a listener inherit it.
fn set_receive_buffer(fd: RawFd) {
    // SAFETY: the value outlives the call and has the length given.
    unsafe { setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &RECEIVE_BUFFER, 4) };
}

/// A request that has come whole.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub server: usize,
    pub id: String,
    /// When its last byte was read.
    pub at: Duration,
    /// Whether its last byte was still outside this machine's receive buffer when the server last read.
    pub came_late: bool,
    /// When its answer was written or its connection ended; `None` while it is out.
    pub over_at: Option<Duration>,
}

/// What all form servers share.
#[derive(Clone)]
pub struct Fleet {
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub record: Record,
    /// The time that a request takes, and that a long one takes.
    pub work: Duration,
    pub long_work: Duration,
}

impl Fleet {
    fn arrived(&self, arrival: Arrival) -> usize {
        let mut arrivals = self.arrivals.lock().unwrap_or_else(|e| e.into_inner());
        arrivals.push(arrival);
        arrivals.len() - 1
    }

    fn over(&self, index: usize) {
        let now = self.record.now();
        let mut arrivals = self.arrivals.lock().unwrap_or_else(|e| e.into_inner());
        arrivals[index].over_at.get_or_insert(now);
    }
}

/// A request above this many bytes is a long one.
const LONG_BYTES: usize = 16 << 10;

/// One form server.
pub struct Server {
    pub address: SocketAddr,
    /// Whether its process stands still.
    pub stands_still: Arc<AtomicBool>,
}

pub fn start(number: usize, fleet: &Fleet) -> io::Result<Server> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    set_receive_buffer(listener.as_raw_fd());
    let address = listener.local_addr()?;
    let stands_still = Arc::new(AtomicBool::new(false));
    let (gate, fleet) = (Arc::clone(&stands_still), fleet.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (gate, fleet) = (Arc::clone(&gate), fleet.clone());
            thread::spawn(move || serve(stream, number, &gate, &fleet));
        }
    });
    Ok(Server {
        address,
        stands_still,
    })
}

fn wait_while_still(gate: &AtomicBool) -> bool {
    let was_still = gate.load(Ordering::SeqCst);
    while gate.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(1));
    }
    was_still
}

/// The bytes that the server has read and not used yet.
struct Input {
    stream: TcpStream,
    bytes: Vec<u8>,
    /// How often the server has read.
    reads: u64,
    /// Whether the last read was the first one after the server stood still.
    is_first_after_still: bool,
}

impl Input {
    /// Works for this long; false if the connection ends meanwhile, which calls the request off.
    fn work(&mut self, time: Duration, gate: &AtomicBool) -> bool {
        let end = Instant::now() + time;
        loop {
            wait_while_still(gate);
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return true;
            }
            let mut byte = [0; 1];
            match self.stream.peek(&mut byte) {
                Ok(0) => return false,
                Ok(_) => thread::sleep(left.min(Duration::from_millis(2))),
                Err(error)
                    if matches!(
                        error.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => return false,
            }
        }
    }

    /// Reads what is there, but not while the process stands still. False at the end.
    fn fill(&mut self, gate: &AtomicBool) -> io::Result<bool> {
        let mut was_still = false;
        let mut buffer = [0; 1 << 17];
        loop {
            was_still |= wait_while_still(gate);
            match self.stream.peek(&mut buffer[..1]) {
                Err(error)
                    if matches!(
                        error.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) =>
                {
                    continue
                }
                Err(error) => return Err(error),
                Ok(0) => return Ok(false),
                Ok(_) => {}
            }
            if gate.load(Ordering::SeqCst) {
                continue;
            }
            let count = self.stream.read(&mut buffer)?;
            self.bytes.extend_from_slice(&buffer[..count]);
            self.reads += 1;
            self.is_first_after_still = was_still;
            return Ok(count > 0);
        }
    }
}

fn serve(stream: TcpStream, number: usize, gate: &AtomicBool, fleet: &Fleet) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(2)))?;
    let mut input = Input {
        stream,
        bytes: Vec::new(),
        reads: 0,
        is_first_after_still: false,
    };
    loop {
        let Some((words, length)) = parse(&input.bytes) else {
            if !input.fill(gate)? {
                return Ok(());
            }
            continue;
        };
        input.bytes.drain(..length);
        match words[0].as_slice() {
            b"API.READ" | b"API.WRITE" if words.len() >= 4 => {
                let id = String::from_utf8_lossy(&words[2]).into_owned();
                let fields = String::from_utf8_lossy(&words[3]).into_owned();
                let at = fleet.record.now();
                // What a single read after the standstill brings had come before it ended.
                let came_late = !input.is_first_after_still;
                fleet.record.line(&format!(
                    "server {number}: {id} has come whole, {length} bytes: {fields}"
                ));
                let index = fleet.arrived(Arrival {
                    server: number,
                    id: id.clone(),
                    at,
                    came_late,
                    over_at: None,
                });
                let work = if length > LONG_BYTES {
                    fleet.long_work
                } else {
                    fleet.work
                };
                if !input.work(work, gate) {
                    fleet.over(index);
                    fleet
                        .record
                        .line(&format!("server {number}: {id} called off"));
                    return Ok(());
                }
                let value = format!("value of {id}");
                let answer = format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len());
                let written = input.stream.write_all(answer.as_bytes());
                fleet.over(index);
                written?;
                fleet
                    .record
                    .line(&format!("server {number}: answered {id}"));
            }
            b"PING" => input.stream.write_all(b"+PONG\r\n")?,
            b"INFO" => input.stream.write_all(b"$9\r\nutil=0.30\r\n")?,
            b"CLIENT" | b"SELECT" => input.stream.write_all(b"+OK\r\n")?,
            _ => input.stream.write_all(b"-ERR unknown command\r\n")?,
        }
    }
}

/// Parses a whole command: its words and its length in bytes.
fn parse(bytes: &[u8]) -> Option<(Vec<Vec<u8>>, usize)> {
    let (count, mut at) = number(bytes, 0)?;
    let mut words = Vec::new();
    for _ in 0..count {
        let (length, next) = number(bytes, at)?;
        words.push(bytes.get(next..next + length)?.to_vec());
        at = next + length + 2;
        if at > bytes.len() {
            return None;
        }
    }
    (!words.is_empty()).then_some((words, at))
}

/// Parses the number of a line `*N` or `$N`, and returns where the next line begins.
fn number(bytes: &[u8], at: usize) -> Option<(usize, usize)> {
    let rest = bytes.get(at..)?;
    let end = rest.iter().position(|byte| *byte == b'\n')?;
    let digits = std::str::from_utf8(rest.get(1..end - 1)?).ok()?;
    Some((digits.parse().ok()?, at + end + 1))
}
