//! One daemon among its stand-ins, and what it is measured by: readiness, memory and processor
//! time.

use super::platform::Platform;
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

/// A daemon that is not ready by then never will be.
const READY_MOST: Duration = Duration::from_secs(120);
/// Between two `PING`s.
const PING_EVERY: Duration = Duration::from_millis(2);

/// A running daemon, its operator's file, and the lines that it logs.
pub(super) struct MeasuredDaemon {
    /// The daemon.
    pub daemon: Daemon,
    /// From its start until `PING` was answered.
    pub ready_after: Duration,
    folder: tempfile::TempDir,
    log: Receiver<String>,
}

impl MeasuredDaemon {
    /// Starts the program with the list of servers in its configuration, and waits until it answers
    /// `PING`.
    pub(super) fn start(
        program: &Path,
        topology: &ServiceTopology,
        platform: &Platform,
        settings: &Value,
    ) -> io::Result<MeasuredDaemon> {
        let folder = tempfile::tempdir()?;
        let operator_file = folder.path().join("roseyard.kdl");
        fs::write(&operator_file, topology.operator_file())?;
        let known = topology.list(platform.port);
        let configuration = topology.configuration(
            platform.counter_address,
            platform.discovery_address,
            &known,
            settings,
        );
        let (daemon, log) = Daemon::launch(program, Some(&operator_file), &configuration)?;
        let log = read_on(log);
        wait_for_pong(&daemon)?;
        let ready_after = daemon.started_at.elapsed();
        Ok(MeasuredDaemon {
            daemon,
            ready_after,
            folder,
            log,
        })
    }

    /// Writes another operator's file and has it read; waits until the daemon has logged what came
    /// of it.
    pub(super) fn reload(&self, operator_file: &str) -> io::Result<String> {
        fs::write(self.folder.path().join("roseyard.kdl"), operator_file)?;
        while self.log.try_recv().is_ok() {}
        self.daemon.signal(Signal::HUP)?;
        loop {
            let line = self
                .log
                .recv_timeout(READY_MOST)
                .map_err(io::Error::other)?;
            if line.contains("configuration re") {
                return Ok(line);
            }
        }
    }

    /// Share of a core that the daemon uses over so long.
    pub(super) fn busy(&self, length: Duration) -> io::Result<f64> {
        let (began, before) = (Instant::now(), self.daemon.scheduled_time()?);
        std::thread::sleep(length);
        let used = self.daemon.scheduled_time()?.saturating_sub(before);
        Ok(used.as_secs_f64() / began.elapsed().as_secs_f64())
    }
}

/// Reads a daemon's log to its end, so that it never waits for its reader.
fn read_on(log: BufReader<ChildStderr>) -> Receiver<String> {
    let (lines, receiver) = mpsc::channel();
    // Nobody may listen any more: the log is read on all the same.
    std::thread::spawn(move || {
        log.lines()
            .map_while(Result::ok)
            .for_each(|line| drop(lines.send(line)))
    });
    receiver
}

fn wait_for_pong(daemon: &Daemon) -> io::Result<()> {
    let mut stream = TcpStream::connect(daemon.address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(READY_MOST))?;
    let mut answers = BufReader::new(stream.try_clone()?);
    let mut answer = String::new();
    while daemon.started_at.elapsed() < READY_MOST {
        stream.write_all(b"*1\r\n$4\r\nPING\r\n")?;
        answer.clear();
        answers.read_line(&mut answer)?;
        if answer.starts_with("+PONG") {
            return Ok(());
        }
        std::thread::sleep(PING_EVERY);
    }
    Err(io::Error::other(format!(
        "not ready after {READY_MOST:?}: PING was answered {answer:?}"
    )))
}
