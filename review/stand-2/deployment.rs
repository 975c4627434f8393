//! One ingress, started with the `run` of the deploy file in a folder of its own that holds the operator's file.

use crate::platform::{self, Target};
use crate::record::Record;
use crate::servers;
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::symlink;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub struct Deployment {
    child: Child,
    /// Where clients connect.
    pub address: SocketAddr,
    /// The folder that the ingress was started in: it holds `deploy/roseyard.kdl`.
    pub folder: PathBuf,
    record: Record,
    /// The most memory that the ingress has held, in KiB.
    pub peak_kib: Arc<AtomicU64>,
    /// Whether the platform has killed the ingress for its memory.
    pub killed_for_memory: Arc<AtomicBool>,
}

/// What a case chooses of its deployment.
pub struct Choice {
    /// The operator's file at the start.
    pub operator_file: String,
    pub target_ms: u32,
    pub deadline_ms: u32,
    /// The platform kills the ingress above this, if it is set.
    pub memory_mb: u64,
    pub enforces_memory: bool,
}

fn repository() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let found = program
        .ancestors()
        .find(|folder| folder.join("deploy/balancer.toml").is_file());
    found
        .map(Path::to_owned)
        .ok_or_else(|| io::Error::other("no deploy/balancer.toml above this program"))
}

/// Returns the command `run` of the deploy file.
fn run_command(repository: &Path) -> io::Result<String> {
    let text = fs::read_to_string(repository.join("deploy/balancer.toml"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|line| line.rsplit_once('"'));
    command
        .map(|(command, _)| command.to_owned())
        .ok_or_else(|| io::Error::other("no 'run' in the deploy file"))
}

impl Deployment {
    /// Starts four form servers, discovery, the counter and one ingress, and waits for its `PONG`.
    pub fn start(choice: &Choice, record: &Record) -> io::Result<Deployment> {
        let work = Duration::from_millis(20);
        let start = |number| servers::start(format!("server {number}"), work, record.clone());
        let endpoints = (0..4).map(start).collect::<io::Result<Vec<_>>>()?;
        Deployment::start_with(&endpoints, choice, record)
    }

    /// The same with these form servers, two in each pod.
    pub fn start_with(
        endpoints: &[SocketAddr],
        choice: &Choice,
        record: &Record,
    ) -> io::Result<Deployment> {
        let target = |(number, endpoint): (usize, &SocketAddr)| Target {
            uid: format!("s-{number:08x}"),
            endpoint: *endpoint,
            pod_group: number as u32 / 2,
        };
        let targets: Vec<Target> = endpoints.iter().enumerate().map(target).collect();
        let list = platform::list(&targets);
        let discovery = platform::start_discovery(list.clone(), record.clone())?;
        let counter = platform::start_counter()?;
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;

        let repository = repository()?;
        let temporary = std::env::var("CASE_TMP").map_err(io::Error::other)?;
        let folder = PathBuf::from(temporary);
        fs::create_dir_all(folder.join("deploy"))?;
        symlink(repository.join("target"), folder.join("target"))?;
        fs::write(folder.join("deploy/roseyard.kdl"), &choice.operator_file)?;
        let configuration = folder.join("config.json");
        let settings = platform::settings(choice.target_ms, choice.deadline_ms);
        let memory_mb = choice.memory_mb;
        fs::write(
            &configuration,
            format!(
                r#"{{"name":"n0","listen":"{address}","discovery":"{discovery}","counter":"{counter}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":1024}},"known":{list},"settings":{settings}}}"#
            ),
        )?;
        let mut child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_command(&repository)?)
            .current_dir(&folder)
            .env("LB_CONFIG", &configuration)
            .env_remove("LB_NAME")
            .env_remove("LB_LISTEN")
            .env_remove("LB_DISCOVERY")
            .env_remove("ROSEYARD_SETTINGS")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        fs::write(folder.join("pids"), format!("{}\n", child.id()))?;
        if let Some(log) = child.stderr.take() {
            let record = record.clone();
            thread::spawn(move || {
                let mut log = BufReader::new(log);
                let mut line = Vec::new();
                while log
                    .read_until(b'\n', &mut line)
                    .is_ok_and(|length| length > 0)
                {
                    let text = String::from_utf8_lossy(&line);
                    let text: String = text.trim_end().chars().take(300).collect();
                    record.line(&format!("log: {text}"));
                    line.clear();
                }
            });
        }
        let deployment = Deployment {
            child,
            address,
            folder,
            record: record.clone(),
            peak_kib: Arc::default(),
            killed_for_memory: Arc::default(),
        };
        deployment.watch_memory(choice);
        deployment.wait_until_ready()?;
        Ok(deployment)
    }

    /// Watches the memory of the ingress as the platform does: above the limit it is killed.
    fn watch_memory(&self, choice: &Choice) {
        let pid = self.child.id();
        let limit_kib = choice.memory_mb * 1024;
        let enforces = choice.enforces_memory;
        let (peak, killed) = (
            Arc::clone(&self.peak_kib),
            Arc::clone(&self.killed_for_memory),
        );
        let record = self.record.clone();
        thread::spawn(move || loop {
            let Ok(status) = fs::read_to_string(format!("/proc/{pid}/status")) else {
                return;
            };
            let field = |name: &str| {
                let line = status.lines().find_map(|line| line.strip_prefix(name));
                line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok())
            };
            let Some(resident) = field("VmRSS:") else {
                return;
            };
            peak.fetch_max(resident, Ordering::SeqCst);
            if enforces && resident > limit_kib {
                record.say(&format!("platform: the ingress holds {resident} KiB, over its limit of {limit_kib}: killed"));
                killed.store(true, Ordering::SeqCst);
                send_signal(pid, "KILL");
                return;
            }
            thread::sleep(Duration::from_millis(5));
        });
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let since = Instant::now();
        while since.elapsed() < Duration::from_secs(30) {
            if self.ping().is_ok_and(|is_ready| is_ready) {
                self.record.line("platform: the ingress is ready");
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::other("the ingress was not ready within 30 s"))
    }

    fn ping(&self) -> io::Result<bool> {
        let mut stream = TcpStream::connect(self.address)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"*1\r\n$4\r\nPING\r\n")?;
        let mut answer = [0; 7];
        stream.read_exact(&mut answer)?;
        Ok(&answer == b"+PONG\r\n")
    }

    /// Replaces the operator's file as a whole, as its pages ask.
    pub fn replace_operator_file(&self, text: &str) -> io::Result<()> {
        let file = self.folder.join("deploy/roseyard.kdl");
        let new = self.folder.join("deploy/roseyard.kdl.new");
        fs::write(&new, text)?;
        fs::rename(&new, &file)?;
        let length = text.len();
        self.record.line(&format!(
            "operator: deploy/roseyard.kdl replaced, {length} bytes"
        ));
        Ok(())
    }

    /// Sends SIGHUP to the ingress.
    pub fn hang_up(&self) {
        self.record.line("platform: SIGHUP");
        send_signal(self.child.id(), "HUP");
    }

    /// Returns how the ingress ended, or `None` while it runs.
    pub fn ended(&mut self) -> io::Result<Option<String>> {
        Ok(self.child.try_wait()?.map(|status| status.to_string()))
    }
}

fn send_signal(pid: u32, signal: &str) {
    let _ = Command::new("/bin/sh")
        .arg("-c")
        .arg(format!("kill -{signal} {pid}"))
        .status();
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        // Its number may belong to another process from now on, so the script must not end it.
        let _ = fs::remove_file(self.folder.join("pids"));
    }
}
