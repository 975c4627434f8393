//! Fleets of real daemons on loopback, with fakes of the platform and a faulty network between the
//! daemons. Tests send signals to the daemons and restart them.

mod daemon_log;
mod member;
mod wait;

pub use daemon_log::{DaemonLog, MAX_WAIT};
pub use member::Member;
pub use wait::membership_state;

use crate::checker::History;
use crate::fakes::{FakePlatform, ServiceTime, SlowRequests};
use crate::faulty_network::FaultyNetwork;
use crate::request::request;
use rustix::process::Signal;
use serde_json::Value;
use std::fs;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::runtime::{Builder, Runtime};

/// How long [`Fleet::request`] waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// The descriptor limit of each daemon.
const DESCRIPTOR_LIMIT: usize = 256;
/// The number of zones, among which the members are spread round-robin.
const ZONE_COUNT: usize = 3;

/// The configuration of a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// The path of the daemon's program.
    pub program: PathBuf,
    /// The number of daemons.
    pub members: usize,
    /// The number of form servers.
    pub servers: usize,
    /// The time that a form server takes for a request.
    pub service_time: Duration,
    /// Requests that take longer; `None` if all take `service_time`.
    pub slow_requests: Option<SlowRequests>,
    /// The seed of the network faults.
    pub seed: u64,
    /// The protocol period of membership, from which the other membership intervals are derived.
    pub period: Duration,
    /// The value of `expected` in the operator's file of each member.
    pub expected_members: usize,
}

impl FleetOptions {
    /// Returns options for this number of daemons, with 3 form servers, a service time of 5 ms and
    /// a protocol period of 250 ms.
    #[must_use]
    pub fn new(program: impl Into<PathBuf>, members: usize, seed: u64) -> FleetOptions {
        FleetOptions {
            program: program.into(),
            members,
            servers: 3,
            service_time: Duration::from_millis(5),
            slow_requests: None,
            seed,
            period: Duration::from_millis(250),
            expected_members: members,
        }
    }
}

/// A running fleet. Its processes are killed on drop.
pub struct Fleet {
    options: FleetOptions,
    platform: FakePlatform,
    /// The network between the daemons.
    pub network: FaultyNetwork,
    /// The daemons, indexed by their number.
    pub members: Vec<Member>,
    directory: tempfile::TempDir,
    _runtime: Runtime,
}

impl Fleet {
    /// Starts the fakes and the daemons, and waits until each daemon is ready.
    pub fn start(options: FleetOptions) -> io::Result<Fleet> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        let service_time = ServiceTime {
            usual: options.service_time,
            slow: options.slow_requests,
        };
        let platform = runtime.block_on(FakePlatform::start(options.servers, service_time))?;
        let network = FaultyNetwork::start(options.members, options.seed, runtime.handle())?;
        let members = (0..options.members).map(Member::new).collect();
        let mut fleet = Fleet {
            options,
            platform,
            network,
            members,
            directory: tempfile::tempdir()?,
            _runtime: runtime,
        };
        fleet.write_key_file("key", 7)?;
        for number in 0..fleet.members.len() {
            fleet.spawn(number)?;
        }
        Ok(fleet)
    }

    /// Returns the history in which form servers record their observations. Clients may record
    /// theirs in it too.
    #[must_use]
    pub fn history(&self) -> History {
        self.platform.history.clone()
    }

    /// Returns the directory of the daemons' files.
    #[must_use]
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }

    /// Writes a key file with this name, whose key consists of 32 times this byte.
    pub fn write_key_file(&self, name: &str, byte: u8) -> io::Result<()> {
        let path = self.directory.path().join(name);
        fs::write(&path, format!("{byte:02x}").repeat(32))?;
        fs::set_permissions(&path, fs::Permissions::from_mode(0o600))
    }

    /// Writes the operator's file of a member with this key file and with `extra_lines` in its
    /// `membership` section. Returns the path of the file.
    pub fn write_operator_file(
        &self,
        number: usize,
        key: &str,
        extra_lines: &str,
    ) -> io::Result<PathBuf> {
        let directory = self.directory.path();
        let member = &self.members[number];
        let listen = member
            .membership_address
            .map_or_else(|| "127.0.0.1:0".into(), |address| address.to_string());
        let peers = self.peer_lines(number);
        let expected = self.options.expected_members;
        let period = self.options.period.as_millis() as u64;
        let timeout = period * 3 / 10;
        let gossip = period / 5;
        let sync = period * 2;
        let text = format!(
            "membership {{\n  listen \"{listen}\"; cluster \"lab\"; key-file \"{}\"\n  {peers}\n  expected {expected}\n  \
             zone \"z{}\"; period \"{period}ms\"; timeout \"{timeout}ms\"; gossip \"{gossip}ms\"; sync \"{sync}ms\"\n  \
             status \"{}\"\n  {extra_lines}\n}}\n",
            directory.join(key).display(),
            number % ZONE_COUNT,
            self.status_file(number).display(),
        );
        let path = directory.join(format!("{}.kdl", member.name));
        fs::write(&path, text)?;
        Ok(path)
    }

    /// Returns the `seeds` and `paths` settings of a member, which list all other members at their
    /// relay addresses in the faulty network.
    fn peer_lines(&self, number: usize) -> String {
        let others: Vec<usize> = (0..self.members.len())
            .filter(|other| *other != number)
            .collect();
        if others.is_empty() {
            return String::new();
        }
        let list = |item: &dyn Fn(usize) -> String| {
            let items: Vec<String> = others.iter().map(|other| item(*other)).collect();
            items.join(" ")
        };
        let relay_to = |other: usize| self.network.relay_address(number, other);
        let seeds = list(&|other| format!("\"{}\"", relay_to(other)));
        let paths = list(&|other| format!("\"{}={}\"", self.members[other].name, relay_to(other)));
        format!("seeds {seeds}; paths {paths}")
    }

    /// Returns the path of the status file of a member.
    #[must_use]
    pub fn status_file(&self, number: usize) -> PathBuf {
        self.directory
            .path()
            .join(format!("{}.status", self.members[number].name))
    }

    /// Reads the status file of a member.
    pub fn status(&self, number: usize) -> io::Result<Value> {
        Ok(serde_json::from_str(&fs::read_to_string(
            self.status_file(number),
        )?)?)
    }

    /// Starts a new process for a member that is not running, and waits until it is ready.
    pub fn spawn(&mut self, number: usize) -> io::Result<()> {
        let operator_file = self.write_operator_file(number, "key", "")?;
        self.spawn_with_operator_file(number, &operator_file)
    }

    /// Like [`Fleet::spawn`], but with this operator's file.
    pub fn spawn_with_operator_file(
        &mut self,
        number: usize,
        operator_file: &Path,
    ) -> io::Result<()> {
        let member = &mut self.members[number];
        let mut configuration = self.platform.ingress_configuration(DESCRIPTOR_LIMIT);
        configuration["name"] = Value::from(member.name.clone());
        let path = self.directory.path().join(format!("config-{number}.json"));
        fs::write(&path, configuration.to_string())?;
        let first_line = member.start(&self.options.program, operator_file, &path)?;
        if let Some(address) = member.membership_address {
            self.network.set_listener(number, address);
        }
        member
            .log
            .wait_for_line(first_line, "info: ready", MAX_WAIT)?;
        Ok(())
    }

    /// Sends a signal to the process of a running member.
    pub fn signal(&self, number: usize, signal: Signal) -> io::Result<()> {
        self.members[number].signal(signal)
    }

    /// Kills the process of a member with SIGKILL and waits until it has exited.
    pub fn kill(&mut self, number: usize) -> io::Result<()> {
        self.signal(number, Signal::KILL)?;
        self.reap(number)
    }

    /// Whether the process of a member has exited.
    pub fn has_exited(&mut self, number: usize) -> io::Result<bool> {
        self.members[number].has_exited()
    }

    /// Waits until a member that was sent a terminating signal has exited.
    pub fn reap(&mut self, number: usize) -> io::Result<()> {
        self.members[number].reap()
    }

    /// Sends a request to a member as a client does. Returns the first line of the response without
    /// its line end.
    pub fn request(&self, number: usize, customer: u64, id: u64) -> io::Result<String> {
        let address = self.members[number]
            .client_address
            .ok_or_else(|| io::Error::other(format!("n{number} was never started")))?;
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
        stream.write_all(&request(customer, id))?;
        let mut line = Vec::new();
        let mut byte = [0; 1];
        while !line.ends_with(b"\r\n") && stream.read(&mut byte)? == 1 {
            line.push(byte[0]);
        }
        Ok(String::from_utf8_lossy(&line).trim_end().to_owned())
    }
}
