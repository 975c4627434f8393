//! The history of what clients and form servers observe.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// What was observed of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A client sent it.
    RequestSent {
        /// May it be executed more than once?
        idempotent: bool,
    },
    /// The client received a response.
    ResponseReceived(ResponseKind),
    /// The client's connection ended, or its time was over, without a response.
    NoResponse {
        /// The ingress was killed or stopped meanwhile, so that no response was possible.
        excused_by_fault: bool,
    },
    /// Its connection was closed without a response, and the client sends it once more on another.
    RequestResent,
    /// An attempt arrived completely at this form server.
    AttemptStarted(usize),
    /// This form server responded to it.
    AttemptFinished(usize),
    /// The attempt's connection ended before this form server responded.
    AttemptAbandoned(usize),
}

/// A response by its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// Its own value.
    Served,
    /// Another value.
    WrongValue,
    /// Rejected: it was never executed.
    Rejected,
    /// Failed: whether it was executed is unknown.
    Failed,
}

/// One entry of a [`History`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Time since the history began.
    pub at: Duration,
    /// The request.
    pub id: u64,
    /// What was observed.
    pub observation: Observation,
}

/// All that clients and form servers observed, in the order of recording. Clones share one history.
#[derive(Clone, Debug)]
pub struct History {
    began_at: Instant,
    events: Arc<Mutex<Vec<Event>>>,
}

impl Default for History {
    fn default() -> Self {
        History {
            began_at: Instant::now(),
            events: Arc::default(),
        }
    }
}

impl History {
    /// Records an observation of a request.
    pub fn record(&self, id: u64, observation: Observation) {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        // Read under the lock, so that times are in the order of the events.
        let at = self.began_at.elapsed();
        events.push(Event {
            at,
            id,
            observation,
        });
    }

    /// All events so far.
    #[must_use]
    pub fn events(&self) -> Vec<Event> {
        self.events
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
