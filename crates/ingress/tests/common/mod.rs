//! The one helper of the socket tests: an ingress in this process under a clock that the test
//! moves, and the parties around it, each a listener on loopback whose every byte the test decides.
#![allow(dead_code)]

pub(crate) mod running;

use roseyard_ingress::clock::Clock;
use roseyard_ingress::limits::Limits;
use roseyard_ingress::program::{config::Config, Program};
use roseyard_ingress::protocol::{resp, ProtocolLimits};
use roseyard_operator_config::{File, MachineLimits, OperatorSettings};
use roseyard_platform_config::PlatformSettings;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Real time after which an awaited event is taken as never coming.
const PATIENCE: Duration = Duration::from_secs(20);

pub(crate) const SETTINGS: &str = include_str!("../settings.json");

/// The parsers' limits in an ingress of the usual size.
pub(crate) fn limits() -> ProtocolLimits {
    limits_of(1, 2000).protocol
}

/// The limits in a tier of so many ingresses, with so many milliseconds of grace for requests to
/// endpoints that drain.
pub(crate) fn limits_of(ingresses: u32, drain_grace_ms: u32) -> Limits {
    let operator = OperatorSettings::new(&MachineLimits {
        sockets: 1024,
        allowed: 1024,
    });
    let settings = SETTINGS
        .replace("\"Balancers\":1,", &format!("\"Balancers\":{ingresses},"))
        .replace(
            "\"StopSendingWithinMs\":2000.0",
            &format!("\"StopSendingWithinMs\":{drain_grace_ms}.0"),
        );
    let settings = PlatformSettings::parse(settings.as_bytes()).unwrap();
    Limits::new(&operator, 192, &settings)
}

/// One end of a connection that never blocks.
pub(crate) struct End {
    stream: TcpStream,
    pub input: Vec<u8>,
    pub open: bool,
    /// It ended by a reset.
    pub broken: bool,
    /// For a test's own use: it has carried a request.
    pub used: bool,
}

impl End {
    pub(crate) fn new(stream: TcpStream) -> End {
        stream.set_nonblocking(true).unwrap();
        stream.set_nodelay(true).unwrap();
        End {
            stream,
            input: Vec::new(),
            open: true,
            broken: false,
            used: false,
        }
    }

    pub(crate) fn connect(to: SocketAddr) -> End {
        End::new(TcpStream::connect(to).unwrap())
    }

    /// One that comes from this address of loopback.
    pub(crate) fn from(address: [u8; 4], to: SocketAddr) -> End {
        use rustix::net::{bind, connect, socket, AddressFamily, SocketType};
        let fd = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        bind(&fd, &SocketAddr::from((address, 0))).unwrap();
        connect(&fd, &to).unwrap();
        End::new(TcpStream::from(fd))
    }

    /// One that takes in little at a time: of a long answer only a part can be written until it
    /// reads on.
    pub(crate) fn narrow(to: SocketAddr) -> End {
        let socket = narrow();
        socket.connect(&to.into()).unwrap();
        End::new(TcpStream::from(socket))
    }

    /// Takes in what has come.
    pub(crate) fn read(&mut self) {
        let mut buf = [0; 4096];
        while self.open {
            match self.stream.read(&mut buf) {
                Ok(0) => self.open = false,
                Ok(n) => self.input.extend_from_slice(&buf[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => (self.open, self.broken) = (false, true),
            }
        }
    }

    /// Sends what loopback takes whole.
    pub(crate) fn send(&mut self, bytes: impl AsRef<[u8]>) {
        assert!(self.try_send(bytes), "loopback took only a part");
    }

    /// How many bytes wait to be read, up to some.
    pub(crate) fn peeks(&self) -> usize {
        self.stream.peek(&mut [0; 64]).unwrap_or(0)
    }

    /// Takes in so many bytes, or as many as have come.
    pub(crate) fn read_some(&mut self, most: usize) -> usize {
        let mut buf = vec![0; most];
        let n = self.stream.read(&mut buf).unwrap_or(0);
        self.input.extend_from_slice(&buf[..n]);
        n
    }

    /// Sends what loopback takes; how much it was.
    pub(crate) fn send_some(&mut self, bytes: &[u8]) -> usize {
        self.stream.write(bytes).unwrap_or(0)
    }

    /// False once the other side takes in no more.
    pub(crate) fn try_send(&mut self, bytes: impl AsRef<[u8]>) -> bool {
        match self.stream.write_all(bytes.as_ref()) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => false,
            // Written to one that is gone: the test looks at what came of it elsewhere.
            Ok(()) | Err(_) => true,
        }
    }

    /// Ends the sending alone.
    pub(crate) fn end_sending(&mut self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }

    /// Breaks the connection off with a reset.
    pub(crate) fn reset(&mut self) {
        rustix::net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).unwrap();
        let gone = TcpListener::bind("127.0.0.1:0").unwrap();
        // What stands in for it is never used: dropping the socket is what sends the reset.
        let other = TcpStream::connect(gone.local_addr().unwrap()).unwrap();
        drop(std::mem::replace(&mut self.stream, other));
        self.open = false;
    }

    /// Ends the connection.
    pub(crate) fn hang_up(&mut self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
        self.open = false;
    }

    /// Takes the next whole command, if one has come.
    pub(crate) fn command(&mut self) -> Option<Vec<String>> {
        let (words, used) =
            resp::command(&self.input, &limits()).expect("a well-formed command")?;
        let words = words
            .get()
            .iter()
            .map(|w| String::from_utf8_lossy(w).into_owned())
            .collect();
        self.input.drain(..used);
        Some(words)
    }

    pub(crate) fn text(&self) -> &str {
        std::str::from_utf8(&self.input).unwrap()
    }
}

/// A socket that takes in some 35 KB at most before it is read: small segments keep the sender's
/// buffer small too.
fn narrow() -> socket2::Socket {
    use socket2::{Domain, Socket, Type};
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_tcp_mss(536).unwrap();
    socket.set_recv_buffer_size(1024).unwrap();
    socket
}

/// A party that listens.
pub(crate) struct Party {
    listener: Option<TcpListener>,
    waiting: Vec<roseyard_ingress::transport::Stream>,
    pub address: SocketAddr,
    pub ends: Vec<End>,
}

impl Party {
    pub(crate) fn new() -> Party {
        Party::of(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    fn of(listener: TcpListener) -> Party {
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        Party {
            address,
            listener: Some(listener),
            waiting: Vec::new(),
            ends: Vec::new(),
        }
    }

    /// One that takes in little at a time: of a long command only a part can be written until it
    /// reads on.
    pub(crate) fn narrow() -> Party {
        let socket = narrow();
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        socket.listen(16).unwrap();
        Party::of(TcpListener::from(socket))
    }

    /// The listener's queue is full: connections stay in the making until `empty`.
    pub(crate) fn fill_up(&mut self) {
        rustix::net::listen(self.listener.as_ref().unwrap(), 0).unwrap();
        self.waiting = (0..2)
            .map(|_| roseyard_ingress::transport::connect(&self.address, 64).unwrap())
            .collect();
    }

    /// From now on all that waits is accepted.
    pub(crate) fn empty(&mut self) {
        self.waiting.clear();
    }

    /// The listener, for a thread that serves it.
    pub(crate) fn blocking(&self) -> TcpListener {
        let listener = self.listener.as_ref().unwrap().try_clone().unwrap();
        listener.set_nonblocking(false).unwrap();
        listener
    }

    fn accepting(&self) -> Option<&TcpListener> {
        self.listener.as_ref().filter(|_| self.waiting.is_empty())
    }

    /// Accepts what waits and reads everything.
    pub(crate) fn read(&mut self) {
        self.accept();
        self.ends.iter_mut().for_each(End::read);
    }

    /// Accepts what waits.
    pub(crate) fn accept(&mut self) {
        while let Some((stream, _)) = self.accepting().and_then(|l| l.accept().ok()) {
            self.ends.push(End::new(stream));
        }
    }

    /// The process is gone: connections are reset and refused.
    pub(crate) fn die(&mut self) {
        self.listener = None;
        self.ends.clear();
    }

    /// It listens again where it did.
    pub(crate) fn revive(&mut self) {
        self.listener = Party::of(TcpListener::bind(self.address).unwrap()).listener;
    }

    /// The next whole command on any connection, with the connection's number.
    pub(crate) fn command(&mut self) -> Option<(usize, Vec<String>)> {
        self.ends
            .iter_mut()
            .enumerate()
            .find_map(|(n, end)| Some((n, end.command()?)))
    }
}

/// What the counter does with calls.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Counting {
    Answers,
    TurnsAway,
    Silent,
}

/// The counter: answers calls in order with true totals.
pub(crate) struct Counter {
    pub party: Party,
    pub counting: Counting,
    pub totals: BTreeMap<String, f64>,
    pub calls: Vec<String>,
}

impl Counter {
    pub(crate) fn new() -> Counter {
        let (party, counting) = (Party::new(), Counting::Answers);
        Counter {
            party,
            counting,
            totals: BTreeMap::new(),
            calls: Vec::new(),
        }
    }

    pub(crate) fn serve(&mut self) {
        self.party.read();
        for end in self
            .party
            .ends
            .iter_mut()
            .filter(|_| self.counting != Counting::Silent)
        {
            while let Some(at) = end.input.windows(4).position(|w| w == b"\r\n\r\n") {
                let head: Vec<u8> = end.input.drain(..at + 4).collect();
                let head = String::from_utf8(head).unwrap();
                let call = head
                    .strip_prefix("POST /tally/")
                    .expect("a call")
                    .split(' ')
                    .next()
                    .unwrap();
                let (name, rest) = call.split_once("?n=").unwrap();
                let add: f64 = rest.split('&').next().unwrap().parse().unwrap();
                self.calls.push(name.to_owned());
                if self.counting == Counting::TurnsAway {
                    end.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                let total = self.totals.entry(name.to_owned()).or_default();
                *total += add;
                let body = total.to_string();
                end.send(format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                ));
            }
        }
    }
}

/// An ingress and what is around it.
pub(crate) struct Site {
    pub program: Program,
    pub now: Duration,
    pub counter: Counter,
    pub discovery: Party,
    pub endpoints: Vec<Party>,
    /// Calls that discovery has had.
    pub watches: Vec<String>,
    pub talks: bool,
}

/// A server's line in a list.
pub(crate) fn target(n: usize, at: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"uid":"s-{n}","endpoint":"{at}","az":"dc","model":"m","pod_group":{n},"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

/// A configuration in which all parties are on loopback.
pub(crate) fn config(
    counter: &Party,
    discovery: &Party,
    endpoints: &[Party],
    sockets: usize,
) -> String {
    let known: Vec<String> = endpoints
        .iter()
        .enumerate()
        .map(|(n, s)| target(n, s.address, "SERVING"))
        .collect();
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{}","counter":"{}","seed":"0123456789abcdef",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},
        "known":{{"rev":41,"all":true,"targets":[{}]}},"settings":{SETTINGS}}}"#,
        discovery.address,
        counter.address,
        known.join(",")
    )
}

/// An operator's file that is in order.
pub(crate) fn operator(text: &str) -> File {
    File::parse("roseyard.kdl", text).unwrap()
}

/// The customer whose requests these are, where none is named.
const CUSTOMER: u64 = 0xb4d6_5521;

/// A request as clients word it.
pub(crate) fn request(name: &str, id: u64, list: &str) -> Vec<u8> {
    request_of(CUSTOMER, name, id, list)
}

/// One of this customer.
pub(crate) fn request_of(customer: u64, name: &str, id: u64, list: &str) -> Vec<u8> {
    command(&[
        name,
        &format!("{customer:016x}"),
        &format!("{id:016x}"),
        list,
    ])
}

/// A submit with a body of this size.
pub(crate) fn long_submit(id: u64, body: usize) -> Vec<u8> {
    let (customer, id) = (format!("{CUSTOMER:016x}"), format!("{id:016x}"));
    command(&["API.WRITE", &customer, &id, SUBMIT, &"x".repeat(body)])
}

fn command(words: &[&str]) -> Vec<u8> {
    let mut out = Vec::new();
    resp::put_array(&mut out, words.len());
    words
        .iter()
        .for_each(|word| resp::put_bulk(&mut out, word.as_bytes()));
    out
}

pub(crate) const LOAD: &str = "c=form-load,t=seedling,d=3000,units=1,spread=1,first=0";
pub(crate) const SUBMIT: &str =
    "c=submit,t=seedling,d=3000,k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0";

pub(crate) fn load(id: u64) -> Vec<u8> {
    request("API.READ", id, LOAD)
}

/// A server's answer with this value.
pub(crate) fn served(value: &str) -> String {
    format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len())
}

impl Site {
    pub(crate) fn new(endpoints: usize) -> Site {
        Site::with(endpoints, 1024)
    }

    pub(crate) fn with(endpoints: usize, sockets: usize) -> Site {
        Site::of(endpoints, sockets, 192)
    }

    pub(crate) fn of(endpoints: usize, sockets: usize, memory_mb: usize) -> Site {
        Site::under(endpoints, sockets, memory_mb, "")
    }

    /// One under an operator's file.
    pub(crate) fn under(endpoints: usize, sockets: usize, memory_mb: usize, file: &str) -> Site {
        let endpoints: Vec<Party> = (0..endpoints).map(|_| Party::new()).collect();
        let (counter, discovery) = (Counter::new(), Party::new());
        let text = config(&counter.party, &discovery, &endpoints, sockets);
        let text = text.replace("\"memory_mb\":192", &format!("\"memory_mb\":{memory_mb}"));
        let clock = Clock::start();
        let program = Program::start(
            &Config::parse(text.into(), |_| None).unwrap(),
            &operator(file),
            clock,
        )
        .unwrap();
        let (now, watches) = (clock.now(), Vec::new());
        let mut site = Site {
            program,
            now,
            counter,
            discovery,
            endpoints,
            watches,
            talks: true,
        };
        site.until("the watch", |s| !s.watches.is_empty());
        site
    }

    /// The ingress is started anew among the same parties, by this configuration.
    pub(crate) fn start_by(&mut self, text: String) {
        let clock = Clock::start();
        let config = Config::parse(text.into(), |_| None).unwrap();
        self.program = Program::start(&config, &operator(""), clock).unwrap();
        self.now = clock.now();
        let watches = self.watches.len();
        self.until("the watch", |s| s.watches.len() > watches);
    }

    /// The same, with these words of the configuration, each of which it has, replaced by those
    /// behind them.
    pub(crate) fn start_under(&mut self, words: &[(&str, &str)]) {
        let mut text = config(&self.counter.party, &self.discovery, &self.endpoints, 1024);
        for (was, is) in words {
            assert!(text.contains(was), "the configuration has no {was}");
            text = text.replace(was, is);
        }
        self.start_by(text);
    }

    /// The same, with so many milliseconds of grace for sends to what drains.
    pub(crate) fn start_with_grace(&mut self, ms: u64, words: &[(&str, &str)]) {
        let grace = format!("\"StopSendingWithinMs\":{ms}.0");
        self.start_under(&[&[("\"StopSendingWithinMs\":2000.0", grace.as_str())], words].concat());
    }

    pub(crate) fn client(&self) -> End {
        End::connect(self.program.address().unwrap())
    }

    /// One round of the ingress at the test's time, one of the parties. False once the ingress has
    /// ended.
    pub(crate) fn round(&mut self) -> bool {
        let now = self.now;
        let goes_on = self
            .program
            .round(Some(Duration::from_millis(1)), || now)
            .unwrap();
        self.counter.serve();
        self.endpoints.iter_mut().for_each(Party::read);
        self.discovery.read();
        for end in &mut self.discovery.ends {
            if let Some(at) = end.input.windows(4).position(|w| w == b"\r\n\r\n") {
                let head: Vec<u8> = end.input.drain(..at + 4).collect();
                self.watches.push(
                    String::from_utf8(head)
                        .unwrap()
                        .lines()
                        .next()
                        .unwrap()
                        .to_owned(),
                );
                if self.talks {
                    end.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
                }
            }
        }
        goes_on
    }

    /// Goes on until a server that reads nothing has been begun to be spoken to, as `begun` tells;
    /// which one it is.
    pub(crate) fn unread(&mut self, begun: impl Fn(&Party) -> bool) -> usize {
        let start = Instant::now();
        loop {
            let now = self.now;
            self.program
                .round(Some(Duration::from_millis(1)), || now)
                .unwrap();
            self.counter.serve();
            self.endpoints.iter_mut().for_each(Party::accept);
            if let Some(s) = self.endpoints.iter().position(&begun) {
                return s;
            }
            assert!(start.elapsed() < PATIENCE, "no server was spoken to");
        }
    }

    /// Goes on until the event has come.
    pub(crate) fn until(&mut self, what: &str, mut come: impl FnMut(&mut Site) -> bool) {
        let start = Instant::now();
        loop {
            self.round();
            if come(self) {
                return;
            }
            assert!(start.elapsed() < PATIENCE, "never came: {what}");
        }
    }

    /// Discovery and counter move to new addresses, and the ingress rereads its configuration. The
    /// counter that it had is handed back, not served any more.
    pub(crate) fn reload(&mut self) -> Counter {
        let old = std::mem::replace(&mut self.counter, Counter::new());
        self.discovery = Party::new();
        let text = config(&self.counter.party, &self.discovery, &self.endpoints, 1024);
        self.program
            .reload(Config::parse(text.into(), |_| None).map(|config| (config, File::none())));
        old
    }

    /// Moves the clock.
    pub(crate) fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        self.round();
    }

    /// Discovery tells these states of servers.
    pub(crate) fn tell(&mut self, rev: u64, states: &[(usize, &str)]) {
        let targets: Vec<String> = states
            .iter()
            .map(|(n, state)| target(*n, self.endpoints[*n].address, state))
            .collect();
        let line = format!(
            "{{\"rev\":{rev},\"all\":false,\"targets\":[{}]}}\n",
            targets.join(",")
        );
        let end = self.discovery.ends.last_mut().unwrap();
        end.send(format!("{:x}\r\n{line}\r\n", line.len()));
    }

    /// Waits for the next command at any server: server, connection, words.
    pub(crate) fn arrival(&mut self) -> (usize, usize, Vec<String>) {
        let mut found = None;
        self.until("a command at a server", |s| {
            found = s
                .endpoints
                .iter_mut()
                .enumerate()
                .find_map(|(n, p)| p.command().map(|(c, w)| (n, c, w)));
            found.is_some()
        });
        found.unwrap()
    }

    /// Waits until a client has been sent exactly this.
    pub(crate) fn expect(&mut self, client: &mut End, text: &str) {
        self.until(text, |_| {
            client.read();
            client.input.len() >= text.len()
        });
        assert_eq!(client.text(), text);
        client.input.clear();
    }

    /// Waits for a client's next line.
    pub(crate) fn line(&mut self, client: &mut End) -> String {
        self.until("a line", |_| {
            client.read();
            client.input.contains(&b'\n')
        });
        let end = client.input.iter().position(|b| *b == b'\n').unwrap() + 1;
        String::from_utf8(client.input.drain(..end).collect()).unwrap()
    }

    /// Waits until a client's connection has ended.
    pub(crate) fn ended(&mut self, client: &mut End) {
        self.until("the connection's end", |_| {
            client.read();
            !client.open
        });
    }
}

/// The head of a watch.
pub(crate) const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A chunk of a watch.
pub(crate) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A list as discovery words it, with these entries.
pub(crate) fn list(rev: u64, all: bool, targets: &[String]) -> String {
    format!(
        "{{\"rev\":{rev},\"all\":{all},\"targets\":[{}]}}\n",
        targets.join(",")
    )
}

/// Reads of this customer.
pub(crate) fn load_of(customer: u64, id: u64) -> Vec<u8> {
    request_of(customer, "API.READ", id, LOAD)
}

/// Serves one request of this client to the end.
pub(crate) fn serve(site: &mut Site, client: &mut End, command: Vec<u8>) {
    client.send(command);
    let (s, c, _) = site.arrival();
    site.endpoints[s].ends[c].send(served("v"));
    site.expect(client, "$1\r\nv\r\n");
}

/// The only client leaves, and the ingress has seen it.
pub(crate) fn leaves(site: &mut Site, client: End) {
    drop(client);
    site.until("the client has gone", |s| s.program.open().2 == 0);
}

/// Has the counter calls that it has not answered?
pub(crate) fn counter_waits(site: &Site) -> bool {
    site.counter.party.ends.iter().any(|e| !e.input.is_empty())
}

/// No server is sent anything for the next half second.
pub(crate) fn nothing_is_sent_on(site: &mut Site, what: &str) {
    for _ in 0..10 {
        site.advance(50);
        for _ in 0..3 {
            site.round();
        }
        let sent = site.endpoints.iter_mut().find_map(Party::command);
        assert_eq!(sent, None, "{what}: sent on for a client that has left");
    }
}
