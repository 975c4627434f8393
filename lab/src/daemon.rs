//! The real daemon as a process of its own, and what it costs.

use crate::site::{configuration, Around};
use std::fs;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::time::Duration;

/// The daemon's program: the one given, or the one beside this program. An error names what was looked for.
pub fn beside(given: Option<&Path>) -> io::Result<PathBuf> {
    let found = match given {
        Some(path) => path.to_owned(),
        None => std::env::current_exe()?.with_file_name("roseyard"),
    };
    if found.is_file() {
        return Ok(found);
    }
    let what =
        format!("no daemon at {}: build it with 'cargo build', or name it with --daemon", found.display());
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
    let mut child = command.env("LB_CONFIG", config).stderr(Stdio::piped()).spawn()?;
    let log = BufReader::new(child.stderr.take().ok_or(io::ErrorKind::BrokenPipe)?);
    Ok((child, log))
}

/// A running daemon; ended with this value.
pub struct Daemon {
    child: Child,
    /// Where clients connect.
    pub address: SocketAddr,
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

impl Daemon {
    /// Starts it among its stand-ins and waits until it is ready. Its log goes on to standard error.
    pub fn start(start: &Start, around: &Around) -> io::Result<Daemon> {
        let folder = tempfile::tempdir()?;
        let config = folder.path().join("config.json");
        fs::write(&config, configuration(around, start.sockets).to_string())?;
        let (child, mut log) = spawn(&start.program, start.settings.as_deref(), &config)?;
        let (mut address, mut line) = (None, String::new());
        while !line.contains("info: ready") {
            line.clear();
            if log.read_line(&mut line)? == 0 {
                return Err(io::Error::other("the daemon ended before it was ready"));
            }
            if let Some((_, at)) = line.split_once("listening on ") {
                address = at.trim().parse().ok();
            }
        }
        std::thread::spawn(move || io::copy(&mut log, &mut io::stderr()));
        let address = address.ok_or_else(|| io::Error::other("the daemon did not say where it listens"))?;
        Ok(Daemon { child, address, _folder: folder })
    }

    /// CPU time that it has used.
    pub fn cpu(&self) -> io::Result<Duration> {
        let stat = fs::read_to_string(self.file("stat"))?;
        // The name in brackets may hold blanks; user and system time are the 12th and 13th field after it.
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
        Ok(Duration::from_secs_f64(fields.iter().sum::<u64>() as f64 / ticks as f64))
    }

    /// Its resident memory in KiB.
    pub fn rss_kib(&self) -> io::Result<u64> {
        let status = fs::read_to_string(self.file("status"))?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or("");
        Ok(line.trim().trim_end_matches(" kB").parse().unwrap_or(0))
    }

    fn file(&self, name: &str) -> PathBuf {
        Path::new("/proc").join(self.child.id().to_string()).join(name)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let pid = rustix::process::Pid::from_child(&self.child);
        let _ = rustix::process::kill_process(pid, rustix::process::Signal::TERM);
        let _ = self.child.wait();
    }
}
