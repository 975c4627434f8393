//! The program as a process of its own.

use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

/// The running program; killed when it is dropped.
pub(crate) struct IngressProcess {
    pub child: Child,
    pub log: BufReader<std::process::ChildStderr>,
    pub address: SocketAddr,
    pub config: std::path::PathBuf,
}

impl IngressProcess {
    pub(crate) fn start(name: &str, text: &str) -> IngressProcess {
        let mut command = Command::new(env!("CARGO_BIN_EXE_roseyard-ingress"));
        command.env_remove("LB_DISCOVERY");
        IngressProcess::start_command(name, text, command)
    }

    pub(crate) fn start_command(name: &str, text: &str, command: Command) -> IngressProcess {
        IngressProcess::start_after_reading_log(name, text, command, |_| ())
    }

    /// Runs `first` on the log before the listening line is awaited.
    pub(crate) fn start_after_reading_log(
        name: &str,
        text: &str,
        mut command: Command,
        first: impl FnOnce(&mut BufReader<std::process::ChildStderr>),
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
        first(&mut log);
        let line = next_line_containing(&mut log, "info: listening name=");
        let address = line.rsplit('=').next().unwrap().trim().parse().unwrap();
        IngressProcess {
            child,
            log,
            address,
            config,
        }
    }

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

/// The next line of the log with this text.
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

/// Replies with this text to each message that ends with these bytes, on a thread for each
/// connection.
pub(crate) fn serve_fixed_reply(
    listener: TcpListener,
    ends_with: &'static [u8],
    text: &'static str,
) {
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            std::thread::spawn(move || {
                let (mut seen, mut buf) = (Vec::new(), [0; 4096]);
                while let Ok(n @ 1..) = stream.read(&mut buf) {
                    seen.extend_from_slice(&buf[..n]);
                    if seen.ends_with(ends_with) {
                        seen.clear();
                        if stream.write_all(text.as_bytes()).is_err() {
                            return;
                        }
                    }
                }
            });
        }
    });
}
