//! Configuration, start, signals, log and the loop.

pub mod config;
pub mod log;

use crate::clock::Clock;
use crate::limits::Limits;
use crate::routing::front::Terms;
use crate::routing::{Answer, Core, Front, Io, Party, Start};
use crate::transport::{listen, Deadlines, Key, Poller, Ready};
use config::Config;
use log::Log;
use std::io::Read;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// The signals that the program answers to, from its first moment on: what comes before the loop waits in the
/// pipe. Guards against a SIGHUP that finds no handler, which would end the process.
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
        Ok(Signals { pipe, reload, leave })
    }
}

/// An ingress between two rounds.
pub struct Program {
    io: Io,
    core: Core,
    front: Front,
    signals: Option<Signals>,
    phase: Phase,
    /// When `PING` is answered at the latest, and when the drain's next step is due.
    ready_due: Option<Duration>,
    drain_due: Option<Duration>,
    /// Room for a round's news, kept from round to round.
    ready: Vec<Ready>,
    answers: Vec<((Key, u64), Answer)>,
}

/// How far the end of the process has come.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Serving,
    /// SIGTERM has come; connections are still accepted.
    Leaving,
    /// Nothing new is accepted; what is held is finished.
    Draining,
    /// The time is over.
    Over,
}

/// Runs an ingress until SIGTERM or SIGINT has been served.
pub fn run() -> Result<(), String> {
    let signals = Signals::watch().map_err(|e| format!("signals: {e}"))?;
    let clock = Clock::start();
    let config = Config::read()?;
    let mut program = Program::start(&config, clock)?;
    program.heed(signals)?;
    loop {
        let wait = program.next_due().map(|at| at.saturating_sub(clock.now()));
        if !program.round(wait, || clock.now())? {
            let left = program.core.open_requests();
            program.io.log.info(clock.now(), format_args!("stopped, {left} requests open"));
            return Ok(());
        }
    }
}

impl Program {
    /// Listens, and opens the watch on discovery.
    pub fn start(config: &Config, clock: Clock) -> Result<Program, String> {
        let options = &config.settings;
        let limits = Limits::new(config.limits.sockets, config.limits.memory_mb, options);
        let poller = Poller::new(limits.batch).map_err(|e| format!("epoll: {e}"))?;
        let log = Log::new(limits.log_lines);
        let mut io = Io { poller, deadlines: Deadlines::default(), now: clock.now(), log, limits };
        let listener = listen(&config.listen, limits.backlog)
            .map_err(|e| format!("listen on {}: {e}", config.listen))?;
        let settings = options.settings()?;
        let terms = Terms::new(options, &settings, &limits);
        let front = Front::new(listener, terms, &io).map_err(|e| format!("listen: {e}"))?;
        let start = Start {
            settings,
            seed: config.seed,
            zones: options.zone_names().to_vec(),
            clock,
            discovery: config.discovery,
            counter: config.counter,
        };
        if let Some(at) = front.address() {
            io.log.info(io.now, format_args!("{}: listening on {at}", config.name));
        }
        let core = Core::new(start, &config.known, &mut io).map_err(|e| format!("settings: {e}"))?;
        let mut ready_due = None;
        let at = io.now + io.limits.ready;
        io.deadlines.set(&mut ready_due, Some(at), Party::Ready);
        Ok(Program {
            io,
            core,
            front,
            signals: None,
            phase: Phase::Serving,
            ready_due,
            drain_due: None,
            ready: Vec::new(),
            answers: Vec::new(),
        })
    }

    /// From now on SIGHUP rereads the configuration, and SIGTERM and SIGINT begin the drain.
    pub fn heed(&mut self, signals: Signals) -> Result<(), String> {
        let token = Party::Signal.token();
        self.io.poller.add_level(&signals.pipe, token).map_err(|e| format!("signals: {e}"))?;
        self.signals = Some(signals);
        Ok(())
    }

    /// The configuration was read again: discovery and counter move to its addresses at once, all else stays
    /// as it was started. One that cannot be read changes nothing.
    pub fn reload(&mut self, read: Result<Config, String>) {
        let io = &mut self.io;
        match read {
            Ok(config) => {
                let counter = config.counter.map_or_else(|| "none".to_owned(), |c| c.to_string());
                let discovery = config.discovery;
                io.log.info(io.now, format_args!("reload: discovery at {discovery}, counter at {counter}"));
                self.core.move_to(discovery, config.counter, io);
            }
            Err(wrong) => {
                io.log.warn(io.now, format_args!("reload: {wrong}; the settings held stay in force"));
            }
        }
    }

    /// Where clients connect.
    pub fn address(&self) -> Option<SocketAddr> {
        self.front.address()
    }

    /// Version of the list of servers held.
    pub fn list_version(&self) -> u64 {
        self.core.list_version()
    }

    /// The earliest deadline.
    pub fn next_due(&self) -> Option<Duration> {
        self.io.deadlines.next()
    }

    /// Requests held, connections to servers, and clients.
    pub fn open(&self) -> (usize, usize, usize) {
        (self.core.open_requests(), self.core.open_links(), self.front.len())
    }

    /// Requests open by their clients' numbers, and bytes held for clients' connections.
    pub fn clients_hold(&self) -> (usize, usize) {
        self.front.held()
    }

    /// Waits, takes in what came, tells the module, writes what is to go out; `now` is read after the wait.
    /// False once all is done.
    pub fn round(&mut self, wait: Option<Duration>, now: impl FnOnce() -> Duration) -> Result<bool, String> {
        let wait = if self.front.has_more() { Some(Duration::ZERO) } else { wait };
        let mut ready = std::mem::take(&mut self.ready);
        let mut answers = std::mem::take(&mut self.answers);
        self.io.poller.wait(wait, &mut ready).map_err(|e| format!("epoll: {e}"))?;
        self.io.now = now();
        self.front.resume(&mut self.core, &mut self.io);
        for event in ready.drain(..) {
            self.on_ready(event);
        }
        // Answers that have come are taken in before the time-outs that they beat.
        while let Some(party) = self.io.deadlines.pop(self.io.now) {
            self.on_due(party);
        }
        if !self.front.ready && (self.core.told() || self.ready_due.is_none()) {
            self.front.ready = true;
            self.io.deadlines.set(&mut self.ready_due, None, Party::Ready);
            self.io.log.info(self.io.now, format_args!("ready"));
        }
        loop {
            self.core.run(&mut self.io);
            self.core.take_answers(&mut answers);
            for (owner, answer) in answers.drain(..) {
                self.front.answer(owner, answer, &mut self.core, &mut self.io);
            }
            self.front.flush(&mut self.core, &mut self.io);
            if !self.core.has_news() {
                break;
            }
        }
        (self.ready, self.answers) = (ready, answers);
        let idle = self.front.is_empty() && self.core.open_requests() == 0;
        Ok(!(self.phase == Phase::Over || self.phase == Phase::Draining && idle))
    }

    /// Begins the end: accepts for a while, then finishes what is held.
    pub fn leave(&mut self) {
        if self.phase == Phase::Serving {
            self.phase = Phase::Leaving;
            let io = &mut self.io;
            io.log.info(io.now, format_args!("leaving: {} requests open", self.core.open_requests()));
            io.deadlines.set(&mut self.drain_due, Some(io.now + io.limits.drain_accept), Party::Drain);
        }
    }

    fn on_drain_due(&mut self) {
        self.drain_due = None;
        let (core, io) = (&mut self.core, &mut self.io);
        if self.phase == Phase::Leaving {
            self.phase = Phase::Draining;
            self.front.drain(core, io);
            io.log.info(io.now, format_args!("draining: no longer accepting, {} clients", self.front.len()));
            io.deadlines.set(&mut self.drain_due, Some(io.now + io.limits.drain), Party::Drain);
        } else {
            self.phase = Phase::Over;
        }
    }

    fn on_ready(&mut self, event: Ready) {
        let (core, io) = (&mut self.core, &mut self.io);
        match Party::of_token(event.token) {
            Party::Client(key) => self.front.on_client(key, event, core, io),
            Party::Link(key) => core.on_link(key, event, io),
            Party::Counter(n, serial) => core.on_counter((n, serial), event, io),
            Party::Watch(serial) => core.on_watch(serial, event, io),
            Party::Listener => self.front.accept(io.limits.round_accepts, core, io),
            _ => self.on_signal(),
        }
    }

    fn on_due(&mut self, party: Party) {
        let (core, io) = (&mut self.core, &mut self.io);
        match party {
            Party::Module => core.on_timer(),
            Party::Client(key) => self.front.on_client_due(key, core, io),
            Party::Link(key) => core.on_link_due(key, io),
            Party::Counter(n, _) => core.on_counter_due(n, io),
            Party::Watch(_) => core.on_watch_due(io),
            Party::Listener => self.front.on_listener_due(core, io),
            Party::Ready => self.ready_due = None,
            Party::Drain => self.on_drain_due(),
            Party::Signal => {}
        }
    }

    fn on_signal(&mut self) {
        let mut bytes = [0; 16];
        let Some(signals) = &mut self.signals else { return };
        while matches!(signals.pipe.read(&mut bytes), Ok(n) if n > 0) {}
        let reload = signals.reload.swap(false, Ordering::SeqCst);
        let leave = signals.leave.swap(false, Ordering::SeqCst);
        // Also while it leaves: what it still holds is counted and sent on by the new addresses.
        if reload {
            self.reload(Config::reread());
        }
        if leave {
            self.leave();
        }
    }
}
