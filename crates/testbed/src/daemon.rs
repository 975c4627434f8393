//! Runs the real daemon as a child process: starts it, sends it signals, and reads its CPU time and
//! memory from `/proc`.

use crate::fakes::FakePlatform;
use rustix::process::{kill_process, Pid, Signal};
use std::fs;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::time::{Duration, Instant};

/// Returns the path of the daemon's executable: `given`, or by default `roseyard-ingress` in the
/// directory of the current executable. Fails if there is no such file.
pub fn daemon_program(given: Option<&Path>) -> io::Result<PathBuf> {
    let found = match given {
        Some(path) => path.to_owned(),
        None => std::env::current_exe()?.with_file_name("roseyard-ingress"),
    };
    if found.is_file() {
        return Ok(found);
    }
    let message = format!(
        "no daemon executable at {}: build it with 'cargo build', or give its path with --daemon",
        found.display()
    );
    Err(io::Error::new(io::ErrorKind::NotFound, message))
}

/// Starts the program with a configuration file and, if given, an operator's file. The caller has
/// to read its log, as the process blocks once the pipe is full.
pub(crate) fn spawn_process(
    program: &Path,
    operator_file: Option<&Path>,
    configuration: &Path,
) -> io::Result<(Child, BufReader<ChildStderr>)> {
    let mut command = Command::new(program);
    if let Some(file) = operator_file {
        command.arg("run").arg("--settings").arg(file);
    }
    for name in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY"] {
        command.env_remove(name);
    }
    let mut child = command
        .env("LB_CONFIG", configuration)
        .stderr(Stdio::piped())
        .spawn()?;
    let log = BufReader::new(child.stderr.take().ok_or(io::ErrorKind::BrokenPipe)?);
    Ok((child, log))
}

/// A running daemon. Dropping it sends SIGTERM and waits until the process has exited.
pub struct Daemon {
    child: Child,
    /// The address that clients connect to.
    pub address: SocketAddr,
    /// When the process was started.
    pub(crate) started_at: Instant,
    /// Holds the configuration file while the daemon runs.
    _directory: tempfile::TempDir,
}

/// The options for starting a daemon.
#[derive(Clone, Debug)]
pub struct LaunchOptions {
    /// Path of the daemon's executable.
    pub program: PathBuf,
    /// The operator's file; `None` for a program that does not support one.
    pub operator_file: Option<PathBuf>,
    /// The number of file descriptors that the daemon's configuration allows.
    pub max_descriptors: usize,
}

/// Reads the log up to the first line that contains `text`, and returns this line.
fn wait_for(log: &mut impl BufRead, text: &str) -> io::Result<String> {
    let mut line = String::new();
    while !line.contains(text) {
        line.clear();
        if log.read_line(&mut line)? == 0 {
            return Err(io::Error::other(format!(
                "the daemon's log ended without a line containing '{text}'"
            )));
        }
    }
    Ok(line)
}

impl Daemon {
    /// Starts a daemon on a fake platform and waits until it is ready. The rest of its log is
    /// copied to standard error.
    pub fn start(options: &LaunchOptions, platform: &FakePlatform) -> io::Result<Daemon> {
        let configuration = platform
            .ingress_configuration(options.max_descriptors)
            .to_string();
        let operator_file = options.operator_file.as_deref();
        let (daemon, mut log) = Daemon::launch(&options.program, operator_file, &configuration)?;
        wait_for(&mut log, "info: ready")?;
        std::thread::spawn(move || io::copy(&mut log, &mut io::stderr()));
        Ok(daemon)
    }

    /// Starts a daemon with this configuration (JSON) and waits until it listens. The caller has to
    /// read the returned rest of its log.
    pub(crate) fn launch(
        program: &Path,
        operator_file: Option<&Path>,
        configuration: &str,
    ) -> io::Result<(Daemon, BufReader<ChildStderr>)> {
        let directory = tempfile::tempdir()?;
        let configuration_file = directory.path().join("config.json");
        fs::write(&configuration_file, configuration)?;
        let started_at = Instant::now();
        let (child, mut log) = spawn_process(program, operator_file, &configuration_file)?;
        let placeholder_address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut daemon = Daemon {
            child,
            address: placeholder_address,
            started_at,
            _directory: directory,
        };
        let line = wait_for(&mut log, "info: listening name=")?;
        let address = line
            .split_once(" address=")
            .and_then(|(_, address)| address.trim().parse().ok());
        daemon.address =
            address.ok_or_else(|| io::Error::other(format!("no address in '{}'", line.trim())))?;
        Ok((daemon, log))
    }

    /// Sends a signal to the process.
    pub(crate) fn send_signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }

    /// Returns the CPU time that the daemon's threads have used, with the nanosecond resolution of
    /// the scheduler's statistics.
    pub(crate) fn scheduler_cpu_time(&self) -> io::Result<Duration> {
        let mut nanos = 0;
        for task in fs::read_dir(self.proc_file("task"))? {
            let schedstat = fs::read_to_string(task?.path().join("schedstat"))?;
            let first = schedstat
                .split_whitespace()
                .next()
                .and_then(|field| field.parse::<u64>().ok());
            nanos += first.ok_or_else(|| io::Error::other("no CPU time in schedstat"))?;
        }
        Ok(Duration::from_nanos(nanos))
    }

    /// Returns the CPU time that the process has used, with the resolution of the kernel's clock
    /// ticks.
    pub fn cpu_time(&self) -> io::Result<Duration> {
        let stat = fs::read_to_string(self.proc_file("stat"))?;
        // The process name in parentheses may contain spaces; user and system time are the 12th and
        // 13th fields after it.
        let fields: Vec<u64> = stat
            .rsplit(") ")
            .next()
            .unwrap_or("")
            .split(' ')
            .skip(11)
            .take(2)
            .filter_map(|field| field.parse().ok())
            .collect();
        let ticks = rustix::param::clock_ticks_per_second();
        Ok(Duration::from_secs_f64(
            fields.iter().sum::<u64>() as f64 / ticks as f64,
        ))
    }

    /// Returns the resident memory in KiB.
    pub fn rss_kib(&self) -> io::Result<u64> {
        self.memory_status_kib("VmRSS:")
    }

    /// Returns the peak resident memory in KiB.
    pub fn peak_rss_kib(&self) -> io::Result<u64> {
        self.memory_status_kib("VmHWM:")
    }

    /// Returns the value of a line of `/proc/PID/status` in KiB, or 0 if there is no such line.
    fn memory_status_kib(&self, name: &str) -> io::Result<u64> {
        let status = fs::read_to_string(self.proc_file("status"))?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix(name))
            .unwrap_or("");
        Ok(line.trim().trim_end_matches(" kB").parse().unwrap_or(0))
    }

    /// Returns the path of a file of the process in `/proc`.
    fn proc_file(&self, name: &str) -> PathBuf {
        Path::new("/proc")
            .join(self.child.id().to_string())
            .join(name)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.send_signal(Signal::TERM);
        let _ = self.child.wait();
    }
}
