//! One daemon of a fleet.

use super::daemon_log::{DaemonLog, MAX_WAIT};
use crate::daemon::spawn_process;
use rustix::process::{kill_process, Pid, Signal};
use std::io::{self, BufRead};
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::sync::Arc;

/// One daemon, which may run or not. Its process is killed on drop.
pub struct Member {
    /// What it has logged, over all of its processes.
    pub log: Arc<DaemonLog>,
    /// Where clients connect; that of its last process.
    pub client_address: Option<SocketAddr>,
    /// Where it receives membership datagrams; the same for each of its processes.
    pub membership_address: Option<SocketAddr>,
    /// Its name.
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

    /// Starts its process and reads the addresses from its log; returns the log's number from which
    /// on the process logs.
    pub(super) fn start(
        &mut self,
        program: &Path,
        operator_file: &Path,
        configuration: &Path,
    ) -> io::Result<usize> {
        let mark = self.log.line_count();
        let (child, lines) = spawn_process(program, Some(operator_file), configuration)?;
        self.process = Some(child);
        let log = Arc::clone(&self.log);
        std::thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                log.push(line);
            }
        });
        let clients = format!("info: listening name={} address=", self.name);
        let line = self.log.wait_for_line(mark, &clients, MAX_WAIT)?;
        self.client_address = Some(address_after(&line, &clients)?);
        let line = self
            .log
            .wait_for_line(mark, "membership listening ", MAX_WAIT)?;
        self.membership_address = Some(address_after(&line, " address=")?);
        Ok(mark)
    }

    pub(super) fn signal(&self, signal: Signal) -> io::Result<()> {
        let process = self
            .process
            .as_ref()
            .ok_or_else(|| io::Error::other(format!("{} does not run", self.name)))?;
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

/// The address in a log line after this text.
fn address_after(line: &str, text: &str) -> io::Result<SocketAddr> {
    let after = line
        .split_once(text)
        .map(|(_, after)| after)
        .unwrap_or_default();
    let address = after.split([',', ' ']).next().unwrap_or_default();
    address
        .parse()
        .map_err(|error| io::Error::other(format!("{line}: {error}")))
}
