//! A fleet of real daemons on loopback, with stand-ins around them, faults between them, and
//! signals.

use crate::daemon::spawn;
use crate::net::Net;
use crate::site::{configuration, request, Around};
use crate::standins;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::fs;
use std::io::{self, BufRead, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Child;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, Runtime};

/// How a fleet is set up.
#[derive(Clone, Debug)]
pub struct Spec {
    /// The daemon's program.
    pub program: PathBuf,
    /// Daemons.
    pub members: usize,
    /// Form servers.
    pub servers: usize,
    /// Time that a form server takes for a request.
    pub work: Duration,
    /// For the faults between them.
    pub seed: u64,
    /// The beat of membership; the other times follow from it.
    pub period: Duration,
    /// Members that each is told there should be.
    pub expected: usize,
}

impl Spec {
    /// So many daemons of this program, with a quick beat.
    pub fn new(program: impl Into<PathBuf>, members: usize, seed: u64) -> Spec {
        let (work, period) = (Duration::from_millis(5), Duration::from_millis(250));
        Spec {
            program: program.into(),
            members,
            servers: 3,
            work,
            seed,
            period,
            expected: members,
        }
    }
}

/// The lines that a daemon has logged, over all of its lives.
#[derive(Default)]
pub struct Log {
    lines: Mutex<Vec<String>>,
    come: Condvar,
}

impl Log {
    fn push(&self, line: String) {
        self.lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(line);
        self.come.notify_all();
    }

    /// How many lines there are: what comes after this moment has this number or a higher one.
    pub fn mark(&self) -> usize {
        self.lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .len()
    }

    /// The lines from this number on.
    pub fn since(&self, mark: usize) -> Vec<String> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)[mark..].to_vec()
    }

    /// Waits for a line from this number on that holds the text.
    pub fn wait(&self, mark: usize, text: &str, most: Duration) -> io::Result<String> {
        let end = Instant::now() + most;
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            if let Some(line) = lines[mark..].iter().find(|l| l.contains(text)) {
                return Ok(line.clone());
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                let held = lines[mark..].join("\n");
                return Err(io::Error::other(format!(
                    "never logged: '{text}'; what was:\n{held}"
                )));
            }
            lines = self
                .come
                .wait_timeout(lines, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}

/// One daemon, which may run or not.
pub struct Member {
    /// What it has logged.
    pub log: Arc<Log>,
    child: Option<Child>,
    /// Where clients connect, in the life that runs.
    pub clients: Option<SocketAddr>,
    /// Where it listens for the others; the same in each life.
    pub listens: Option<SocketAddr>,
    /// Its name.
    pub name: String,
}

/// The fleet; all that it started is ended with it.
pub struct Rig {
    spec: Spec,
    around: Around,
    /// The paths between the daemons.
    pub net: Net,
    /// The daemons, by number.
    pub members: Vec<Member>,
    folder: tempfile::TempDir,
    _runtime: Runtime,
}

/// Longest wait for what has to come.
pub const PATIENCE: Duration = Duration::from_secs(30);

impl Rig {
    /// Starts stand-ins and daemons, and waits until each is ready.
    pub fn start(spec: Spec) -> io::Result<Rig> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        let around = runtime.block_on(standins::start(spec.servers, spec.work))?;
        let net = Net::start(spec.members, spec.seed, runtime.handle())?;
        let folder = tempfile::tempdir()?;
        let member = |n| Member {
            log: Arc::default(),
            child: None,
            clients: None,
            listens: None,
            name: format!("n{n}"),
        };
        let members = (0..spec.members).map(member).collect();
        let mut rig = Rig {
            spec,
            around,
            net,
            members,
            folder,
            _runtime: runtime,
        };
        rig.write_key("key", 7)?;
        for n in 0..rig.members.len() {
            rig.spawn(n)?;
        }
        Ok(rig)
    }

    /// What came to the form servers; clients note theirs here too.
    pub fn ledger(&self) -> crate::judge::Ledger {
        self.around.ledger.clone()
    }

    /// The folder of the daemons' files.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Writes a key file of this name: 32 times this byte.
    pub fn write_key(&self, name: &str, byte: u8) -> io::Result<()> {
        let path = self.folder.path().join(name);
        fs::write(&path, format!("{byte:02x}").repeat(32))?;
        fs::set_permissions(&path, fs::Permissions::from_mode(0o600))
    }

    /// A member's operator's file, with these lines more in its section on membership.
    pub fn write_settings(&self, n: usize, key: &str, more: &str) -> io::Result<PathBuf> {
        let folder = self.folder.path();
        let others: Vec<usize> = (0..self.members.len()).filter(|o| *o != n).collect();
        let list = |of: &dyn Fn(usize) -> String| {
            others.iter().map(|o| of(*o)).collect::<Vec<_>>().join(" ")
        };
        let seeds = list(&|o| format!("\"{}\"", self.net.door(n, o)));
        let paths = list(&|o| format!("\"{}={}\"", self.members[o].name, self.net.door(n, o)));
        let around = if others.is_empty() {
            String::new()
        } else {
            format!("seeds {seeds}; paths {paths}")
        };
        let listen = self.members[n]
            .listens
            .map_or_else(|| "127.0.0.1:0".into(), |at| at.to_string());
        let (period, expected) = (self.spec.period.as_millis() as u64, self.spec.expected);
        let (timeout, gossip, sync) = (period * 3 / 10, period / 5, period * 2);
        let text = format!(
            "membership {{\n  listen \"{listen}\"; cluster \"lab\"; key-file \"{}\"\n  {around}\n  expected {expected}\n  \
             zone \"z{}\"; period \"{period}ms\"; timeout \"{timeout}ms\"; gossip \"{gossip}ms\"; sync \"{sync}ms\"\n  \
             status \"{}\"\n  {more}\n}}\n",
            folder.join(key).display(),
            n % 3,
            self.status_file(n).display(),
        );
        let path = folder.join(format!("{}.kdl", self.members[n].name));
        fs::write(&path, text)?;
        Ok(path)
    }

    /// Where a member writes what it knows of the others.
    pub fn status_file(&self, n: usize) -> PathBuf {
        self.folder
            .path()
            .join(format!("{}.status", self.members[n].name))
    }

    /// What a member knows of the others, as it wrote it last.
    pub fn status(&self, n: usize) -> io::Result<Value> {
        Ok(serde_json::from_str(&fs::read_to_string(
            self.status_file(n),
        )?)?)
    }

    /// Starts a member that does not run, with nothing in memory.
    pub fn spawn(&mut self, n: usize) -> io::Result<()> {
        let settings = self.write_settings(n, "key", "")?;
        self.spawn_with(n, &settings)
    }

    /// The same by this operator's file.
    pub fn spawn_with(&mut self, n: usize, settings: &Path) -> io::Result<()> {
        let member = &mut self.members[n];
        let mut text = configuration(&self.around, 256);
        text["name"] = Value::from(member.name.clone());
        let config = self.folder.path().join(format!("config-{n}.json"));
        fs::write(&config, text.to_string())?;
        let mark = member.log.mark();
        let (child, lines) = spawn(&self.spec.program, Some(settings), &config)?;
        member.child = Some(child);
        let log = Arc::clone(&member.log);
        std::thread::spawn(move || {
            lines
                .lines()
                .map_while(Result::ok)
                .for_each(|line| log.push(line))
        });
        let at = |line: String, before: &str| {
            let rest = line
                .split_once(before)
                .map(|(_, rest)| rest.to_owned())
                .unwrap_or_default();
            let word = rest.split([',', ' ']).next().unwrap_or_default().to_owned();
            word.parse::<SocketAddr>()
                .map_err(|e| io::Error::other(format!("{line}: {e}")))
        };
        let ours = format!("info: listening name={} address=", member.name);
        member.clients = Some(at(member.log.wait(mark, &ours, PATIENCE)?, &ours)?);
        let listens = at(
            member.log.wait(mark, "membership listening ", PATIENCE)?,
            " address=",
        )?;
        member.listens = Some(listens);
        self.net.listens(n, listens);
        member.log.wait(mark, "info: ready", PATIENCE)?;
        Ok(())
    }

    /// Sends a signal to a member that runs.
    pub fn signal(&self, n: usize, signal: Signal) -> io::Result<()> {
        let child = self.members[n]
            .child
            .as_ref()
            .ok_or_else(|| io::Error::other(format!("n{n} does not run")))?;
        Ok(kill_process(Pid::from_child(child), signal)?)
    }

    /// Kills a member: nothing of its memory is left.
    pub fn kill(&mut self, n: usize) -> io::Result<()> {
        self.signal(n, Signal::KILL)?;
        self.reap(n)
    }

    /// Waits until a member that was told to end has done so.
    pub fn reap(&mut self, n: usize) -> io::Result<()> {
        if let Some(mut child) = self.members[n].child.take() {
            child.wait()?;
        }
        Ok(())
    }

    /// Asks a member for something as a client would; its answer's first line.
    pub fn ask(&self, n: usize, customer: u64, id: u64) -> io::Result<String> {
        let at = self.members[n]
            .clients
            .ok_or_else(|| io::Error::other(format!("n{n} never ran")))?;
        let mut stream = TcpStream::connect(at)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        stream.write_all(&request(customer, id))?;
        let (mut line, mut byte) = (Vec::new(), [0; 1]);
        while !line.ends_with(b"\r\n") && stream.read(&mut byte)? == 1 {
            line.push(byte[0]);
        }
        Ok(String::from_utf8_lossy(&line).trim_end().to_owned())
    }

    /// Waits until each of these holds all the others of them alive.
    pub fn agree(&self, running: &[usize], most: Duration) -> io::Result<Duration> {
        self.until(
            most,
            &format!("{running:?} hold one another alive"),
            |rig| {
                running.iter().all(|n| {
                    let Ok(status) = rig.status(*n) else {
                        return false;
                    };
                    running
                        .iter()
                        .filter(|o| *o != n)
                        .all(|o| standing(&status, &rig.members[*o].name) == Some("alive"))
                })
            },
        )
    }

    /// Waits until a member's status file says this of another.
    pub fn sees(
        &self,
        n: usize,
        other: usize,
        as_what: &str,
        most: Duration,
    ) -> io::Result<Duration> {
        self.until(most, &format!("n{n} holds n{other} {as_what}"), |rig| {
            rig.status(n)
                .is_ok_and(|s| standing(&s, &rig.members[other].name) == Some(as_what))
        })
    }

    /// Waits until this holds; status files are written each second.
    pub fn until(
        &self,
        most: Duration,
        what: &str,
        holds: impl Fn(&Rig) -> bool,
    ) -> io::Result<Duration> {
        let begin = Instant::now();
        while begin.elapsed() < most {
            if holds(self) {
                return Ok(begin.elapsed());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        let held: Vec<String> = (0..self.members.len())
            .map(|n| {
                fs::read_to_string(self.status_file(n)).unwrap_or_else(|e| format!("n{n}: {e}"))
            })
            .collect();
        Err(io::Error::other(format!(
            "never came: {what}; what was:\n{}",
            held.join("\n")
        )))
    }
}

/// How a status tells that a member is seen.
pub fn standing<'a>(status: &'a Value, name: &str) -> Option<&'a str> {
    status["members"]
        .as_array()?
        .iter()
        .find(|m| m["name"] == name)?["standing"]
        .as_str()
}

impl Drop for Rig {
    fn drop(&mut self) {
        for member in &mut self.members {
            if let Some(mut child) = member.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}
