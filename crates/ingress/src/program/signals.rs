//! Signal handling: SIGHUP requests a reload, SIGTERM and SIGINT request a shutdown.

use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Signal handlers and the pipe that wakes the event loop.
///
/// The handlers are installed first at startup, because a SIGHUP without a handler would terminate
/// the process. A signal that arrives during startup is handled once the event loop runs.
pub struct Signals {
    pipe: UnixStream,
    reload: Arc<AtomicBool>,
    shut_down: Arc<AtomicBool>,
}

/// Actions requested by signals since the last call of [`Signals::take`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PendingSignals {
    /// Whether SIGHUP was received.
    pub(super) reload: bool,
    /// Whether SIGTERM or SIGINT was received.
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
            // Handlers run in the order of registration, so the flag is set before the pipe wakes
            // the event loop.
            signal_hook::flag::register(signal, Arc::clone(flag))?;
            signal_hook::low_level::pipe::register(signal, sender.try_clone()?)?;
        }
        Ok(Signals {
            pipe,
            reload,
            shut_down,
        })
    }

    /// Returns the pipe that becomes readable when a signal is received.
    pub(super) fn pipe(&self) -> &UnixStream {
        &self.pipe
    }

    /// Empties the pipe, and returns and clears the pending actions.
    pub(super) fn take(&mut self) -> PendingSignals {
        let mut bytes = [0; 16];
        while matches!(self.pipe.read(&mut bytes), Ok(count) if count > 0) {}
        PendingSignals {
            reload: self.reload.swap(false, Ordering::SeqCst),
            shut_down: self.shut_down.swap(false, Ordering::SeqCst),
        }
    }
}
