//! The signals that the program answers: SIGHUP reloads, SIGTERM and SIGINT shut down.

use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Signal handlers and the pipe that wakes the event loop.
///
/// Handlers are in place from the first moment on, so that a signal that comes during the start
/// waits in the pipe. A SIGHUP without a handler would end the process.
pub struct Signals {
    pipe: UnixStream,
    reload: Arc<AtomicBool>,
    shut_down: Arc<AtomicBool>,
}

/// What signals have asked for since the last call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PendingSignals {
    /// SIGHUP has come.
    pub(super) reload: bool,
    /// SIGTERM or SIGINT has come.
    pub(super) shut_down: bool,
}

impl Signals {
    /// Installs the handlers.
    pub fn watch() -> io::Result<Signals> {
        use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
        let (pipe, sender) = UnixStream::pair()?;
        pipe.set_nonblocking(true)?;
        let reload = Arc::default();
        let shut_down = Arc::default();
        for (signal, flag) in [
            (SIGHUP, &reload),
            (SIGTERM, &shut_down),
            (SIGINT, &shut_down),
        ] {
            // Handlers run in the order of registration: the flag is up before the pipe wakes.
            signal_hook::flag::register(signal, Arc::clone(flag))?;
            signal_hook::low_level::pipe::register(signal, sender.try_clone()?)?;
        }
        Ok(Signals {
            pipe,
            reload,
            shut_down,
        })
    }

    /// The pipe that becomes readable with each signal.
    pub(super) fn pipe(&self) -> &UnixStream {
        &self.pipe
    }

    /// Empties the pipe and takes what has come.
    pub(super) fn take(&mut self) -> PendingSignals {
        let mut bytes = [0; 16];
        while matches!(self.pipe.read(&mut bytes), Ok(count) if count > 0) {}
        PendingSignals {
            reload: self.reload.swap(false, Ordering::SeqCst),
            shut_down: self.shut_down.swap(false, Ordering::SeqCst),
        }
    }
}
