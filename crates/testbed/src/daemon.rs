//! The real daemon as a process of its own, and what it costs.

use crate::site::{configuration, Around};
use rustix::process::{kill_process, Pid, Signal};
use std::fs;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::time::{Duration, Instant};

/// The daemon's program: the one given, or the one beside this program. An error names what was
/// looked for.
pub fn beside(given: Option<&Path>) -> io::Result<PathBuf> {
    let found = match given {
        Some(path) => path.to_owned(),
        None => std::env::current_exe()?.with_file_name("roseyard-ingress"),
    };
    if found.is_file() {
        return Ok(found);
    }
    let what = format!(
        "no daemon at {}: build it with 'cargo build', or name it with --daemon",
        found.display()
    );
    Err(io::Error::new(io::ErrorKind::NotFound, what))
}

/// Starts the program by this configuration and operator's file; what it logs can be read.
pub(crate) fn spawn(
    program: &Path,
    settings: Option<&Path>,
    config: &Path,
) -> io::Result<(Child, BufReader<ChildStderr>)> {
    let mut command = Command::new(program);
    if let Some(file) = settings {
        command.arg("run").arg("--settings").arg(file);
    }
    for name in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY"] {
        command.env_remove(name);
    }
    let mut child = command
        .env("LB_CONFIG", config)
        .stderr(Stdio::piped())
        .spawn()?;
    let log = BufReader::new(child.stderr.take().ok_or(io::ErrorKind::BrokenPipe)?);
    Ok((child, log))
}

/// A running daemon; ended with this value.
pub struct Daemon {
    child: Child,
    /// Where clients connect.
    pub address: SocketAddr,
    /// When its process was started.
    pub(crate) started: Instant,
    _folder: tempfile::TempDir,
}

/// How a daemon is started.
#[derive(Clone, Debug)]
pub struct Start {
    /// The program.
    pub program: PathBuf,
    /// The operator's file, for a program that takes one.
    pub settings: Option<PathBuf>,
    /// Descriptors that its configuration gives it.
    pub sockets: usize,
}

/// Reads on up to the line that holds this text.
fn wait_for(log: &mut impl BufRead, text: &str) -> io::Result<String> {
    let mut line = String::new();
    while !line.contains(text) {
        line.clear();
        if log.read_line(&mut line)? == 0 {
            return Err(io::Error::other(format!(
                "the daemon ended before it logged '{text}'"
            )));
        }
    }
    Ok(line)
}

impl Daemon {
    /// Starts it among its stand-ins and waits until it is ready. Its log goes on to standard
    /// error.
    pub fn start(start: &Start, around: &Around) -> io::Result<Daemon> {
        let configuration = configuration(around, start.sockets).to_string();
        let settings = start.settings.as_deref();
        let (daemon, mut log) = Daemon::launch(&start.program, settings, &configuration)?;
        wait_for(&mut log, "info: ready")?;
        std::thread::spawn(move || io::copy(&mut log, &mut io::stderr()));
        Ok(daemon)
    }

    /// Starts it by this configuration and waits until it listens. What it logs from then on has to
    /// be read.
    pub(crate) fn launch(
        program: &Path,
        settings: Option<&Path>,
        configuration: &str,
    ) -> io::Result<(Daemon, BufReader<ChildStderr>)> {
        let folder = tempfile::tempdir()?;
        let config = folder.path().join("config.json");
        fs::write(&config, configuration)?;
        let started = Instant::now();
        let (child, mut log) = spawn(program, settings, &config)?;
        let unknown = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut daemon = Daemon {
            child,
            address: unknown,
            started,
            _folder: folder,
        };
        let line = wait_for(&mut log, "info: listening name=")?;
        let address = line
            .split_once(" address=")
            .and_then(|(_, at)| at.trim().parse().ok());
        daemon.address =
            address.ok_or_else(|| io::Error::other("the daemon did not say where it listens"))?;
        Ok((daemon, log))
    }

    /// Sends it a signal.
    pub(crate) fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }

    /// CPU time that its threads have used, by the scheduler's account in nanoseconds.
    pub(crate) fn scheduled(&self) -> io::Result<Duration> {
        let mut nanos = 0;
        for task in fs::read_dir(self.file("task"))? {
            let account = fs::read_to_string(task?.path().join("schedstat"))?;
            let first = account
                .split_whitespace()
                .next()
                .and_then(|n| n.parse::<u64>().ok());
            nanos += first.ok_or_else(|| io::Error::other("no figures in schedstat"))?;
        }
        Ok(Duration::from_nanos(nanos))
    }

    /// CPU time that it has used.
    pub fn cpu(&self) -> io::Result<Duration> {
        let stat = fs::read_to_string(self.file("stat"))?;
        // The name in brackets may hold blanks; user and system time are the 12th and 13th field
        // after it.
        let fields: Vec<u64> = stat
            .rsplit(") ")
            .next()
            .unwrap_or("")
            .split(' ')
            .skip(11)
            .take(2)
            .filter_map(|f| f.parse().ok())
            .collect();
        let ticks = rustix::param::clock_ticks_per_second();
        Ok(Duration::from_secs_f64(
            fields.iter().sum::<u64>() as f64 / ticks as f64,
        ))
    }

    /// Its resident memory in KiB.
    pub fn rss_kib(&self) -> io::Result<u64> {
        self.memory("VmRSS:")
    }

    /// The most that its resident memory has been, in KiB.
    pub fn peak_kib(&self) -> io::Result<u64> {
        self.memory("VmHWM:")
    }

    fn memory(&self, name: &str) -> io::Result<u64> {
        let status = fs::read_to_string(self.file("status"))?;
        let line = status
            .lines()
            .find_map(|l| l.strip_prefix(name))
            .unwrap_or("");
        Ok(line.trim().trim_end_matches(" kB").parse().unwrap_or(0))
    }

    fn file(&self, name: &str) -> PathBuf {
        Path::new("/proc")
            .join(self.child.id().to_string())
            .join(name)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.signal(Signal::TERM);
        let _ = self.child.wait();
    }
}
