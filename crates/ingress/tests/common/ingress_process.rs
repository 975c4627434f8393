//! The ingress as a process of its own.

use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

/// A running ingress, which is killed when this value is dropped.
pub(crate) struct IngressProcess {
    pub child: Child,
    /// The log, after the line that was read last.
    pub log: BufReader<std::process::ChildStderr>,
    /// The address that clients connect to.
    pub address: SocketAddr,
    /// The path of the configuration file, which is removed with the process.
    pub config: std::path::PathBuf,
}

impl IngressProcess {
    /// Starts the ingress with this configuration, and waits until it listens. The name
    /// distinguishes the configuration files of the tests in one file.
    pub(crate) fn start(name: &str, text: &str) -> IngressProcess {
        let mut command = Command::new(env!("CARGO_BIN_EXE_roseyard-ingress"));
        command.env_remove("LB_DISCOVERY");
        IngressProcess::start_command(name, text, command)
    }

    /// Starts the ingress by a command that the test has prepared, and waits until it listens.
    pub(crate) fn start_command(name: &str, text: &str, command: Command) -> IngressProcess {
        IngressProcess::start_after_reading_log(name, text, command, |_| ())
    }

    /// Starts the ingress and passes its log to `read_log` before waiting until it listens.
    pub(crate) fn start_after_reading_log(
        name: &str,
        text: &str,
        mut command: Command,
        read_log: impl FnOnce(&mut BufReader<std::process::ChildStderr>),
    ) -> IngressProcess {
        let config =
            std::env::temp_dir().join(format!("roseyard-{}-{name}.json", std::process::id()));
        std::fs::write(&config, text).unwrap();
        let mut child = command
            .env("LB_CONFIG", &config)
            .env_remove("LB_NAME")
            .env_remove("LB_LISTEN")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        read_log(&mut log);
        let line = next_line_containing(&mut log, "info: listening name=");
        let address = line.rsplit('=').next().unwrap().trim().parse().unwrap();
        IngressProcess {
            child,
            log,
            address,
            config,
        }
    }

    /// Connects a client, whose reads time out after 20 s.
    pub(crate) fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        stream
    }

    pub(crate) fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Sends SIGTERM and waits until the process has ended.
    pub(crate) fn terminate(&mut self) -> ExitStatus {
        self.signal(Signal::TERM);
        self.child.wait().unwrap()
    }
}

impl Drop for IngressProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// Reads the log up to the next line that contains this text, and returns the line.
pub(crate) fn next_line_containing(log: &mut impl BufRead, text: &str) -> String {
    loop {
        let mut line = String::new();
        assert!(
            log.read_line(&mut line).unwrap() > 0,
            "the log ended before '{text}'"
        );
        if line.contains(text) {
            return line;
        }
    }
}

/// Accepts connections on a thread, and replies on each with `reply` whenever the received bytes
/// end with `request_end`.
pub(crate) fn serve_fixed_reply(
    listener: TcpListener,
    request_end: &'static [u8],
    reply: &'static str,
) {
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            std::thread::spawn(move || {
                let (mut received, mut buf) = (Vec::new(), [0; 4096]);
                while let Ok(n @ 1..) = stream.read(&mut buf) {
                    received.extend_from_slice(&buf[..n]);
                    if received.ends_with(request_end) {
                        received.clear();
                        if stream.write_all(reply.as_bytes()).is_err() {
                            return;
                        }
                    }
                }
            });
        }
    });
}
