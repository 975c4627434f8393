//! Configuration, start, signals, log and the loop.

pub mod cli;
pub mod config;
mod files;
mod standing;
pub mod status;

use crate::clock::Clock;
use crate::limits::Limits;
use crate::routing::membership::MembershipDriver;
use crate::routing::{
    CommandResponse, Driver, EventSource, Frontend, Io, RequestSchema, ShutdownLimits, Start,
};
use crate::transport::{allowed, listen, spare, Deadlines, Poller, Ready};
use cli::Run;
use config::Config;
use roseyard_admission::DescriptorBudget;
use roseyard_operator_config::{File, MachineLimits, OperatorSettings};
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use standing::Keeper;
use std::io::Read;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The signals that the program answers to, from its first moment on: what comes before the loop
/// waits in the pipe. Guards against a SIGHUP that finds no handler, which would end the process.
pub struct Signals {
    pipe: UnixStream,
    reload: Arc<AtomicBool>,
    leave: Arc<AtomicBool>,
}

impl Signals {
    /// From now on SIGHUP, SIGTERM and SIGINT are taken note of.
    pub fn watch() -> std::io::Result<Signals> {
        use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
        let (pipe, sender) = UnixStream::pair()?;
        pipe.set_nonblocking(true)?;
        let (reload, leave) = (Arc::default(), Arc::default());
        for (signal, flag) in [(SIGHUP, &reload), (SIGTERM, &leave), (SIGINT, &leave)] {
            // The flag is up before the pipe tells.
            signal_hook::flag::register(signal, Arc::clone(flag))?;
            signal_hook::low_level::pipe::register(signal, sender.try_clone()?)?;
        }
        Ok(Signals {
            pipe,
            reload,
            leave,
        })
    }
}

/// An ingress between two rounds.
pub struct Program {
    io: Io,
    core: Driver,
    front: Frontend,
    signals: Option<Signals>,
    phase: Phase,
    limits: ShutdownLimits,
    /// When `PING` is answered at the latest, and when the drain's next step is due.
    ready_due: Option<Duration>,
    drain_due: Option<Duration>,
    /// The machine as it was at the start.
    machine: MachineLimits,
    keeper: Keeper,
    standing_due: Option<Duration>,
    /// The other ingresses, and who writes down what is known of them, where the operator wants
    /// that.
    members: Option<MembershipDriver>,
    status: Option<status::Keeper>,
    status_due: Option<Duration>,
    /// How the program was started; its file is read again on SIGHUP.
    run: Option<Run>,
    /// Connections wait at the listener.
    accept_pending: bool,
    /// Room for a round's news, kept from round to round.
    ready: Vec<Ready>,
    answers: Vec<CommandResponse>,
}

/// How far the end of the process has come.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Serving,
    /// SIGTERM has come; connections are still accepted.
    Leaving,
    /// Nothing new is accepted; what is held is finished.
    Draining,
    /// Everything has been answered; answers go out.
    Stopping,
    /// The time is over.
    Over,
}

/// Runs an ingress until SIGTERM or SIGINT has been served.
pub fn run(run: &Run) -> Result<(), String> {
    let signals = Signals::watch().map_err(|e| format!("signals: {e}"))?;
    let clock = Clock::start();
    let config = Config::read()?;
    let file = run.file()?;
    let machine = machine(&config);
    run.start_log(&file.effective(&machine).map_err(|e| e.to_string())?);
    let mut program = Program::start(&config, &file, clock)?;
    program.heed(signals, run.clone())?;
    loop {
        let wait = program.next_due().map(|at| at.saturating_sub(clock.now()));
        if !program.round(wait, || clock.now())? {
            let left = program.core.open_requests();
            program.end();
            tracing::info!(
                event = "shutdown.completed",
                open_requests = left,
                "shutdown completed"
            );
            return Ok(());
        }
    }
}

/// Listens there. Guards against a start that fails because the process before it has not let go of
/// the address yet.
fn take_address(at: &SocketAddr, limits: &Limits) -> Result<OwnedFd, String> {
    let since = Instant::now();
    let mut told = false;
    loop {
        match listen(at, limits.frontend.listen_backlog) {
            Err(Errno::ADDRINUSE) if since.elapsed() < limits.event_loop.address_timeout => {
                if !std::mem::replace(&mut told, true) {
                    tracing::warn!(event = "listen.address_in_use", address = %at, "address in use, retrying");
                }
                std::thread::sleep(limits.event_loop.address_retry_interval);
            }
            done => return done.map_err(|e| format!("listen on {at}: {e}")),
        }
    }
}

fn machine(config: &Config) -> MachineLimits {
    MachineLimits {
        sockets: config.limits.sockets,
        allowed: allowed(),
    }
}

impl Program {
    /// Listens, and opens the watch on discovery.
    pub fn start(config: &Config, file: &File, clock: Clock) -> Result<Program, String> {
        let machine = machine(config);
        let operator = file.effective(&machine).map_err(|e| e.to_string())?;
        let options = &config.settings;
        let limits = Limits::new(&operator, config.limits.memory_mb, options);
        let poller = Poller::new(limits.event_loop.max_events_per_wait)
            .map_err(|e| format!("epoll: {e}"))?;
        let budget = DescriptorBudget::new(operator.sockets, operator.shares)
            .map_err(|e| format!("descriptors: {e}"))?;
        let mut io = Io {
            poller,
            deadlines: Deadlines::default(),
            now: clock.now(),
            budget,
            spare: spare(),
        };
        let listener = take_address(&config.listen, &limits)?;
        let settings = options.settings()?;
        let services = file.services();
        let terms = RequestSchema::new(
            options,
            &settings,
            limits.frontend.max_units,
            services.route_field(),
        );
        let OperatorSettings {
            policy,
            standing,
            membership,
            ..
        } = operator;
        // What others choose must not collide in tables: mixed so that the module's numbers tell
        // nothing of it.
        let secret = config.seed.rotate_left(23) ^ 0x61c8_8646_80b5_83eb;
        let mut front = Frontend::new(listener, terms, policy, secret, limits.frontend, &mut io)
            .map_err(|e| format!("listen: {e}"))?;
        let keeper = Keeper::start(standing, front.admission_mut(), io.now);
        let start = Start {
            settings,
            seed: config.seed,
            zones: options.zone_names().to_vec(),
            directory: services.directory().clone(),
            clock,
            discovery: config.discovery,
            counter: config.counter,
            limits: limits.driver,
        };
        if let Some(at) = front.address() {
            let name = &config.name;
            tracing::info!(event = "listening", name, address = %at, "listening");
        }
        let core =
            Driver::new(start, &config.known, &mut io).map_err(|e| format!("settings: {e}"))?;
        let mut ready_due = None;
        let at = io.now + limits.event_loop.ready_timeout;
        io.deadlines
            .set(&mut ready_due, Some(at), EventSource::Ready);
        let mut standing_due = None;
        keeper.arm(&mut standing_due, &mut io);
        let members = MembershipDriver::start(
            &membership,
            &config.name,
            files::unix_ms(),
            config.seed ^ 0x5eed,
            &mut io,
        )
        .map_err(|e| e.to_string())?;
        let status = membership
            .status
            .as_deref()
            .filter(|_| members.is_some())
            .map(status::Keeper::new);
        let mut status_due = None;
        if status.is_some() {
            io.deadlines
                .set(&mut status_due, Some(io.now), EventSource::Status);
        }
        Ok(Program {
            members,
            status,
            status_due,
            machine,
            keeper,
            standing_due,
            run: None,
            accept_pending: false,
            io,
            core,
            front,
            signals: None,
            phase: Phase::Serving,
            limits: limits.shutdown,
            ready_due,
            drain_due: None,
            ready: Vec::new(),
            answers: Vec::new(),
        })
    }

    /// From now on SIGHUP rereads the configuration and the operator's file, and SIGTERM and SIGINT
    /// begin the drain.
    pub fn heed(&mut self, signals: Signals, run: Run) -> Result<(), String> {
        self.run = Some(run);
        let token = EventSource::Signal.token();
        self.io
            .poller
            .add_level(&signals.pipe, token)
            .map_err(|e| format!("signals: {e}"))?;
        self.signals = Some(signals);
        Ok(())
    }

    /// Configuration and operator's file were read again: discovery and counter move to their
    /// addresses at once, admission, services and routes go by the file, all else stays as it was
    /// started. If either cannot be read or does not fit, neither changes anything.
    pub fn reload(&mut self, read: Result<(Config, File), String>) {
        let fits = |(config, file): (Config, File)| {
            let operator = file.effective(&self.machine).map_err(|e| e.to_string())?;
            Ok::<_, String>((config, operator, file))
        };
        let io = &mut self.io;
        match read.and_then(fits) {
            Ok((config, operator, file)) => {
                // The shares fit: they were held against the total just now.
                if let Err(e) = io.budget.set(operator.sockets, operator.shares) {
                    tracing::warn!(event = "reload.descriptors", error = %e, "descriptor limits not reloaded");
                }
                self.front.set_policy(operator.policy, io);
                self.keeper.set(operator.standing);
                self.keeper.arm(&mut self.standing_due, io);
                if let Some(members) = &mut self.members {
                    members.reload(&operator.membership);
                }
                self.front.set_route_field(file.services().route_field());
                self.core.set_directory(file.services().directory());
                let counter = config
                    .counter
                    .map_or_else(|| "none".to_owned(), |c| c.to_string());
                let discovery = config.discovery;
                tracing::info!(
                    event = "reload.completed", %discovery, counter,
                    "configuration reloaded"
                );
                self.core.migrate_to(discovery, config.counter, io);
            }
            Err(wrong) => {
                tracing::warn!(
                    event = "reload.rejected",
                    error = wrong,
                    "configuration rejected, previous one stays in force"
                );
            }
        }
    }

    /// Where clients connect.
    pub fn address(&self) -> Option<SocketAddr> {
        self.front.address()
    }

    /// Version of the list of servers held.
    pub fn list_version(&self) -> u64 {
        self.core.list_revision()
    }

    /// The earliest deadline.
    pub fn next_due(&self) -> Option<Duration> {
        self.io.deadlines.next()
    }

    /// Requests held, connections to servers, and clients.
    pub fn open(&self) -> (usize, usize, usize) {
        (
            self.core.open_requests(),
            self.core.upstream_connections(),
            self.front.len(),
        )
    }

    /// Requests open by their clients' numbers, and bytes held for clients' connections.
    pub fn clients_hold(&self) -> (usize, usize) {
        let usage = self.front.usage();
        (usage.open_requests, usage.buffered_bytes)
    }

    /// Waits, takes in what came, tells the module, writes what is to go out; `now` is read after
    /// the wait. False once all is done.
    pub fn round(
        &mut self,
        wait: Option<Duration>,
        now: impl FnOnce() -> Duration,
    ) -> Result<bool, String> {
        let wait = if self.front.has_scheduled_reads() {
            Some(Duration::ZERO)
        } else {
            wait
        };
        let mut ready = std::mem::take(&mut self.ready);
        let mut answers = std::mem::take(&mut self.answers);
        self.io
            .poller
            .wait(wait, &mut ready)
            .map_err(|e| format!("epoll: {e}"))?;
        self.io.now = now();
        // Guards against requests that are decided by a list when word of a later one is there:
        // discovery first.
        let watched = |event: &Ready| {
            matches!(
                EventSource::of_token(event.token),
                EventSource::Discovery(_)
            )
        };
        ready
            .iter()
            .filter(|e| watched(e))
            .for_each(|e| self.on_ready(*e));
        self.serve_once_told();
        self.front.read_scheduled(&mut self.core, &mut self.io);
        for event in ready.drain(..).filter(|e| !watched(e)) {
            self.on_ready(event);
        }
        // Answers that have come are taken in before the time-outs that they beat.
        while let Some(source) = self.io.deadlines.pop(self.io.now) {
            self.on_due(source);
        }
        self.serve_once_told();
        loop {
            self.core.run(&mut self.io);
            self.core.take_responses(&mut answers);
            for response in answers.drain(..) {
                self.front.respond(response, &mut self.core, &mut self.io);
            }
            self.front.flush(&mut self.core, &mut self.io);
            if !self.core.has_pending() {
                break;
            }
        }
        self.front.restore_spare(&mut self.io);
        // After what is held has gone on. Guards against newcomers that take the descriptors which
        // this round's ended attempts gave back, and leave the further attempts of requests that
        // are held with none.
        if std::mem::take(&mut self.accept_pending) {
            self.front.accept(&mut self.core, &mut self.io);
        }
        (self.ready, self.answers) = (ready, answers);
        let over = match self.phase {
            Phase::Serving | Phase::Leaving => false,
            Phase::Draining => self.front.is_empty() && self.core.open_requests() == 0,
            Phase::Stopping => self.front.is_empty(),
            Phase::Over => true,
        };
        Ok(!over)
    }

    /// `PING` is answered, and requests are served, once discovery has spoken or has had its time.
    fn serve_once_told(&mut self) {
        if !self.front.is_ready() && (self.core.is_synced() || self.ready_due.is_none()) {
            self.front.set_ready();
            self.io
                .deadlines
                .set(&mut self.ready_due, None, EventSource::Ready);
            tracing::info!(event = "ready", "ready");
            if let Some(members) = &mut self.members {
                members.on_serving(&mut self.io);
            }
        }
    }

    /// Begins the end: accepts for a while, then finishes what is held.
    pub fn leave(&mut self) {
        if self.phase == Phase::Serving {
            self.phase = Phase::Leaving;
            let io = &mut self.io;
            let open = self.core.open_requests();
            tracing::info!(
                event = "shutdown.started",
                open_requests = open,
                "shutdown started"
            );
            io.deadlines.set(
                &mut self.drain_due,
                Some(io.now + self.limits.accept_period),
                EventSource::Shutdown,
            );
            if let Some(members) = &mut self.members {
                members.leave(io);
            }
        }
    }

    fn on_drain_due(&mut self) {
        self.drain_due = None;
        let (core, io) = (&mut self.core, &mut self.io);
        if self.phase == Phase::Leaving {
            self.phase = Phase::Draining;
            self.front.drain(core, io);
            let clients = self.front.len();
            tracing::info!(
                event = "shutdown.draining",
                clients,
                "draining, listener closed"
            );
            io.deadlines.set(
                &mut self.drain_due,
                Some(io.now + self.limits.drain_timeout),
                EventSource::Shutdown,
            );
        } else if self.phase == Phase::Draining {
            // Guards against requests that a server which hangs leaves without an answer.
            self.phase = Phase::Stopping;
            let open = core.open_requests();
            tracing::info!(
                event = "shutdown.deadline_exceeded",
                open_requests = open,
                "drain deadline exceeded, open requests answered"
            );
            core.stop();
            self.front.stop();
            io.deadlines.set(
                &mut self.drain_due,
                Some(io.now + self.limits.linger_timeout),
                EventSource::Shutdown,
            );
        } else {
            self.phase = Phase::Over;
        }
    }

    fn on_ready(&mut self, event: Ready) {
        let (core, io) = (&mut self.core, &mut self.io);
        match EventSource::of_token(event.token) {
            EventSource::Client(key) => self.front.on_client_ready(key, event, core, io),
            EventSource::Upstream(key) => core.on_upstream_ready(key, event, io),
            EventSource::Counter(n, serial) => core.on_counter_ready(n, serial, event, io),
            EventSource::Discovery(serial) => core.on_discovery_ready(serial, event, io),
            EventSource::Listener => self.accept_pending = true,
            EventSource::Membership => self.members.iter_mut().for_each(|m| m.on_ready(io)),
            _ => self.on_signal(),
        }
    }

    fn on_due(&mut self, source: EventSource) {
        let (core, io) = (&mut self.core, &mut self.io);
        match source {
            EventSource::Engine => core.on_engine_due(),
            EventSource::Client(key) => self.front.on_client_due(key, core, io),
            EventSource::Upstream(key) => core.on_upstream_due(key, io),
            EventSource::Counter(n, _) => core.on_counter_due(n, io),
            EventSource::Discovery(_) => core.on_discovery_due(io),
            EventSource::Listener => {
                self.front.on_listener_due(io);
                self.accept_pending = true;
            }
            EventSource::AdmissionSummary => self.front.on_summary_due(),
            EventSource::Snapshot => self.on_standing_due(),
            EventSource::Membership => self.members.iter_mut().for_each(|m| m.on_due(io)),
            EventSource::Status => self.on_status_due(),
            EventSource::Ready => self.ready_due = None,
            EventSource::Shutdown => self.on_drain_due(),
            EventSource::Signal => {}
        }
    }

    fn on_standing_due(&mut self) {
        self.standing_due = None;
        self.keeper.write(self.front.admission(), self.io.now);
        self.keeper.arm(&mut self.standing_due, &mut self.io);
    }

    /// What is known of the others is written each second.
    fn on_status_due(&mut self) {
        self.status_due = None;
        if let (Some(status), Some(members)) = (&mut self.status, &self.members) {
            status.write(members, self.io.now);
            let at = self.io.now + Duration::from_secs(1);
            self.io
                .deadlines
                .set(&mut self.status_due, Some(at), EventSource::Status);
        }
    }

    /// All is done: what is known of clients is kept for the next start.
    pub fn end(&mut self) {
        self.keeper.finish(self.front.admission(), self.io.now);
    }

    fn on_signal(&mut self) {
        let mut bytes = [0; 16];
        let Some(signals) = &mut self.signals else {
            return;
        };
        while matches!(signals.pipe.read(&mut bytes), Ok(n) if n > 0) {}
        let reload = signals.reload.swap(false, Ordering::SeqCst);
        let leave = signals.leave.swap(false, Ordering::SeqCst);
        // Also while it leaves: what it still holds is counted and sent on by the new addresses.
        if reload {
            let file = self
                .run
                .as_ref()
                .map_or_else(|| Ok(File::none()), Run::file);
            self.reload(Config::reread().and_then(|config| Ok((config, file?))));
        }
        if leave {
            self.leave();
        }
    }
}
