//! Configuration, start, signals, log and the loop.

pub mod config;
pub mod log;

use crate::clock::Clock;
use crate::limits::Limits;
use crate::routing::front::Names;
use crate::routing::{Answer, Core, Front, Io, Party, Start};
use crate::transport::{listen, Deadlines, Key, Poller, Ready};
use config::Config;
use log::Log;
use std::io::Read;
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// The program's state between two rounds.
struct Program {
    io: Io,
    clock: Clock,
    core: Core,
    front: Front,
    signals: UnixStream,
    /// When the next step of the drain is due, once SIGTERM has come; when the last one is.
    drain: Option<Duration>,
    last: Option<Duration>,
    ready_due: Option<Duration>,
    /// Room for a round's news, kept from round to round.
    ready: Vec<Ready>,
    answers: Vec<((Key, u64), Answer)>,
}

/// Runs an ingress until SIGTERM or SIGINT has been served.
pub fn run() -> Result<(), String> {
    let clock = Clock::start();
    let config = Config::read()?;
    let mut program = Program::start(config, clock)?;
    while program.round()? {}
    let now = program.clock.now();
    program.io.log.info(now, format_args!("stopped: {} requests open", program.core.open_requests()));
    Ok(())
}

impl Program {
    fn start(config: Config, clock: Clock) -> Result<Program, String> {
        let options = &config.settings;
        let limits = Limits::new(config.limits.sockets, config.limits.memory_mb, options);
        let poller = Poller::new(limits.batch).map_err(|e| format!("epoll: {e}"))?;
        let log = Log::new(limits.log_lines);
        let mut io = Io { poller, deadlines: Deadlines::default(), now: clock.now(), log, limits };
        let listener = listen(&config.listen, limits.backlog)
            .map_err(|e| format!("listen on {}: {e}", config.listen))?;
        let (signals, sender) = UnixStream::pair().map_err(|e| format!("signals: {e}"))?;
        signals.set_nonblocking(true).map_err(|e| format!("signals: {e}"))?;
        for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
            let sender = sender.try_clone().map_err(|e| format!("signals: {e}"))?;
            signal_hook::low_level::pipe::register(signal, sender).map_err(|e| format!("signals: {e}"))?;
        }
        io.poller.add_level(&signals, Party::Signal.token()).map_err(|e| format!("signals: {e}"))?;
        let owned = |names: Vec<&str>| names.into_iter().map(str::to_owned).collect();
        let names = Names { classes: owned(options.class_names()), plans: owned(options.plan_names()) };
        let front = Front::new(listener, names, &io).map_err(|e| format!("listen: {e}"))?;
        let start = Start {
            settings: options.settings()?,
            seed: config.seed,
            zones: options.zone_names().to_vec(),
            clock,
            discovery: config.discovery,
            counter: config.counter,
        };
        io.log.info(io.now, format_args!("{}: listening on {}", config.name, config.listen));
        let core = Core::new(start, &config.known, &mut io).map_err(|e| format!("settings: {e}"))?;
        let mut ready_due = None;
        let at = io.now + io.limits.ready;
        io.deadlines.set(&mut ready_due, Some(at), Party::Ready);
        Ok(Program {
            io,
            clock,
            core,
            front,
            signals,
            drain: None,
            last: None,
            ready_due,
            ready: Vec::new(),
            answers: Vec::new(),
        })
    }

    /// Waits, takes in what came, tells the module, writes what is to go out. False once all is done.
    fn round(&mut self) -> Result<bool, String> {
        let mut ready = std::mem::take(&mut self.ready);
        let mut answers = std::mem::take(&mut self.answers);
        let timeout = self.io.deadlines.next().map(|at| at.saturating_sub(self.clock.now()));
        self.io.poller.wait(timeout, &mut ready).map_err(|e| format!("epoll: {e}"))?;
        self.io.now = self.clock.now();
        for event in ready.drain(..) {
            self.on_ready(event);
        }
        // Answers that have come are taken in before the time-outs that they beat.
        while let Some(party) = self.io.deadlines.pop(self.io.now) {
            self.on_due(party);
        }
        if !self.front.ready && (self.core.told() || self.ready_due.is_none()) {
            self.front.ready = true;
            self.io.log.info(self.io.now, format_args!("ready"));
        }
        loop {
            self.core.run(&mut self.io);
            self.core.take_answers(&mut answers);
            for (owner, answer) in answers.drain(..) {
                self.front.answer(owner, answer);
            }
            self.front.flush(&mut self.core, &mut self.io);
            if !self.core.has_news() {
                break;
            }
        }
        (self.ready, self.answers) = (ready, answers);
        let drained = self.last.is_some_and(|at| self.io.now >= at);
        let closing = self.last.is_some() && self.drain.is_none();
        Ok(!(drained || closing && self.front.is_empty() && self.core.open_requests() == 0))
    }

    fn on_ready(&mut self, event: Ready) {
        let (core, io) = (&mut self.core, &mut self.io);
        match Party::of_token(event.token) {
            Party::Client(key) => self.front.on_client(key, event, core, io),
            Party::Link(key) => core.on_link(key, event, io),
            Party::Counter(n) => core.on_counter(n, event, io),
            Party::Watch => core.on_watch(event, io),
            Party::Listener => self.front.accept(core, io),
            _ => self.on_signal(),
        }
    }

    fn on_due(&mut self, party: Party) {
        let (core, io) = (&mut self.core, &mut self.io);
        match party {
            Party::Module => core.on_timer(),
            Party::Client(key) => self.front.on_client_due(key, core, io),
            Party::Link(key) => core.on_link_due(key, io),
            Party::Counter(n) => core.on_counter_due(n, io),
            Party::Watch => core.on_watch_due(io),
            Party::Listener => self.front.on_listener_due(core, io),
            Party::Ready => self.ready_due = None,
            Party::Drain => {
                self.drain = None;
                self.front.drain(core, io);
                io.log.info(
                    io.now,
                    format_args!("draining: no longer accepting, {} clients", self.front.len()),
                );
                io.deadlines.set(&mut self.drain, None, Party::Drain);
                if let Some(at) = self.last {
                    // Wakes the loop for the last time at the latest.
                    io.deadlines.set(&mut self.ready_due, Some(at), Party::Ready);
                }
            }
            Party::Signal => {}
        }
    }

    fn on_signal(&mut self) {
        let mut bytes = [0; 16];
        while matches!(self.signals.read(&mut bytes), Ok(n) if n > 0) {}
        if self.last.is_none() {
            let io = &mut self.io;
            io.log.info(io.now, format_args!("draining: {} requests open", self.core.open_requests()));
            self.last = Some(io.now + io.limits.drain);
            io.deadlines.set(&mut self.drain, Some(io.now + io.limits.drain_accept), Party::Drain);
        }
    }
}
