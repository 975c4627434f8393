//! A daemon that runs against a loopback platform, with measurements of its startup and CPU time.

use super::platform::LoopbackPlatform;
use crate::daemon::Daemon;
use crate::scale::topology::ServiceTopology;
use rustix::process::Signal;
use serde_json::Value;
use std::fs;
use std::io::{self, BufRead, BufReader, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process::ChildStderr;
use std::sync::mpsc::{self, Receiver};
use std::time::{Duration, Instant};

/// Time limit for a daemon to become ready or to reload its operator's file.
const READY_TIMEOUT: Duration = Duration::from_secs(120);
/// Pause between a reply to `PING` and the next `PING` of the readiness check.
const PING_INTERVAL: Duration = Duration::from_millis(2);

/// A running daemon with its operator's file and its log.
pub(super) struct MeasuredDaemon {
    /// The process.
    pub daemon: Daemon,
    /// Time from the start of the process until the first `PONG`.
    pub ready_after: Duration,
    /// Holds the operator's file.
    directory: tempfile::TempDir,
    /// The lines that the daemon logs.
    log: Receiver<String>,
}

impl MeasuredDaemon {
    /// Starts the program with the complete endpoint list in its configuration, and waits until it
    /// responds to `PING` with `PONG`.
    pub(super) fn start(
        program: &Path,
        topology: &ServiceTopology,
        platform: &LoopbackPlatform,
        settings: &Value,
    ) -> io::Result<MeasuredDaemon> {
        let directory = tempfile::tempdir()?;
        let operator_file = directory.path().join("roseyard.kdl");
        fs::write(&operator_file, topology.operator_file())?;
        let known = topology.list(platform.port);
        let configuration = topology.configuration(
            platform.counter_address(),
            platform.discovery_address(),
            &known,
            settings,
        );
        let (daemon, log) = Daemon::launch(program, Some(&operator_file), &configuration)?;
        let log = read_to_end(log);
        wait_for_pong(&daemon)?;
        let ready_after = daemon.started_at.elapsed();
        Ok(MeasuredDaemon {
            daemon,
            ready_after,
            directory,
            log,
        })
    }

    /// Replaces the operator's file and sends SIGHUP; returns the line in which the daemon logs
    /// that it reloaded or rejected the configuration.
    pub(super) fn reload(&self, operator_file: &str) -> io::Result<String> {
        fs::write(self.directory.path().join("roseyard.kdl"), operator_file)?;
        while self.log.try_recv().is_ok() {}
        self.daemon.send_signal(Signal::HUP)?;
        loop {
            let line = self
                .log
                .recv_timeout(READY_TIMEOUT)
                .map_err(io::Error::other)?;
            if line.contains("configuration re") {
                return Ok(line);
            }
        }
    }

    /// Waits for `length`, and returns the share of a core that the daemon used in that time.
    pub(super) fn core_share(&self, length: Duration) -> io::Result<f64> {
        let began_at = Instant::now();
        let before = self.daemon.scheduler_cpu_time()?;
        std::thread::sleep(length);
        let used = self.daemon.scheduler_cpu_time()?.saturating_sub(before);
        Ok(used.as_secs_f64() / began_at.elapsed().as_secs_f64())
    }
}

/// Reads a daemon's log in a thread until it ends, so that the daemon never blocks on a full pipe.
fn read_to_end(log: BufReader<ChildStderr>) -> Receiver<String> {
    let (lines, receiver) = mpsc::channel();
    // Sending fails once the receiver is dropped; the log is read to its end all the same.
    std::thread::spawn(move || {
        for line in log.lines().map_while(Result::ok) {
            let _ = lines.send(line);
        }
    });
    receiver
}

/// Sends `PING` until the daemon responds with `PONG`; fails after [`READY_TIMEOUT`].
fn wait_for_pong(daemon: &Daemon) -> io::Result<()> {
    let mut stream = TcpStream::connect(daemon.address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(READY_TIMEOUT))?;
    let mut responses = BufReader::new(stream.try_clone()?);
    let mut response = String::new();
    while daemon.started_at.elapsed() < READY_TIMEOUT {
        stream.write_all(b"*1\r\n$4\r\nPING\r\n")?;
        response.clear();
        responses.read_line(&mut response)?;
        if response.starts_with("+PONG") {
            return Ok(());
        }
        std::thread::sleep(PING_INTERVAL);
    }
    Err(io::Error::other(format!(
        "daemon not ready within {READY_TIMEOUT:?}: last reply to PING was {response:?}"
    )))
}
