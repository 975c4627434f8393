//! A daemon of a fleet, across restarts of its process.

use super::daemon_log::{DaemonLog, MAX_WAIT};
use crate::daemon::spawn_process;
use rustix::process::{kill_process, Pid, Signal};
use std::io::{self, BufRead};
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::sync::Arc;

/// A daemon of a fleet. Its process, if one is running, is killed on drop.
pub struct Member {
    /// The log of all its processes.
    pub log: Arc<DaemonLog>,
    /// The address for clients of its latest process; `None` before the first one listens.
    pub client_address: Option<SocketAddr>,
    /// The address for membership datagrams, which all its processes share; `None` before the first
    /// one listens.
    pub membership_address: Option<SocketAddr>,
    /// The name of the member: `n` and its number.
    pub name: String,
    process: Option<Child>,
}

impl Member {
    pub(super) fn new(number: usize) -> Member {
        Member {
            log: Arc::default(),
            client_address: None,
            membership_address: None,
            name: format!("n{number}"),
            process: None,
        }
    }

    /// Starts a process and reads its addresses from the log. Returns the index of the first log
    /// line of this process.
    pub(super) fn start(
        &mut self,
        program: &Path,
        operator_file: &Path,
        configuration: &Path,
    ) -> io::Result<usize> {
        let first_line = self.log.line_count();
        let (child, lines) = spawn_process(program, Some(operator_file), configuration)?;
        self.process = Some(child);
        let log = Arc::clone(&self.log);
        std::thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                log.push(line);
            }
        });
        let listening = format!("info: listening name={} address=", self.name);
        let line = self.log.wait_for_line(first_line, &listening, MAX_WAIT)?;
        self.client_address = Some(address_after(&line, &listening)?);
        let line = self
            .log
            .wait_for_line(first_line, "membership listening ", MAX_WAIT)?;
        self.membership_address = Some(address_after(&line, " address=")?);
        Ok(first_line)
    }

    pub(super) fn signal(&self, signal: Signal) -> io::Result<()> {
        let process = self
            .process
            .as_ref()
            .ok_or_else(|| io::Error::other(format!("{} is not running", self.name)))?;
        Ok(kill_process(Pid::from_child(process), signal)?)
    }

    pub(super) fn has_exited(&mut self) -> io::Result<bool> {
        match &mut self.process {
            Some(process) => Ok(process.try_wait()?.is_some()),
            None => Ok(true),
        }
    }

    pub(super) fn reap(&mut self) -> io::Result<()> {
        if let Some(mut process) = self.process.take() {
            process.wait()?;
        }
        Ok(())
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// Parses the address that follows `text` in a log line.
fn address_after(line: &str, text: &str) -> io::Result<SocketAddr> {
    let after = line
        .split_once(text)
        .map(|(_, after)| after)
        .unwrap_or_default();
    let address = after.split([',', ' ']).next().unwrap_or_default();
    address
        .parse()
        .map_err(|error| io::Error::other(format!("address in '{line}': {error}")))
}
