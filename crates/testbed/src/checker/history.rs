//! The history of a run: the events that clients and form servers observe.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// An observation of a request by a client or a form server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A client sent the request.
    RequestSent {
        /// Whether the request may be executed more than once.
        idempotent: bool,
    },
    /// The client received a response.
    ResponseReceived(ResponseKind),
    /// The client's connection ended, or the client timed out, without a response.
    NoResponse {
        /// Whether the ingress was killed or stopped during the request, so that it could not
        /// respond.
        excused_by_fault: bool,
    },
    /// The connection was closed without a response, and the client resends the request on another
    /// connection.
    RequestResent,
    /// The form server with this index received all bytes of an attempt.
    AttemptStarted(usize),
    /// The form server with this index executed the attempt and responds to it.
    AttemptFinished(usize),
    /// The connection of the attempt ended before the form server with this index responded.
    AttemptAbandoned(usize),
}

/// The kind of a response that a client received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The value that belongs to the request.
    Served,
    /// A value that does not belong to the request.
    WrongValue,
    /// A `-BUSY` error. The request was not executed, unless it is idempotent.
    Rejected,
    /// Any other error; the request may have been executed.
    Failed,
}

/// One entry of a [`History`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// The time since the history was created.
    pub at: Duration,
    /// The id of the request.
    pub id: u64,
    /// The observation.
    pub observation: Observation,
}

/// The observations of clients and form servers, in the order in which they were recorded. Clones
/// share the same events.
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
    /// Appends an observation of the request with this id, at the current time.
    pub fn record(&self, id: u64, observation: Observation) {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        // The clock is read under the lock so that events are sorted by time.
        let at = self.began_at.elapsed();
        events.push(Event {
            at,
            id,
            observation,
        });
    }

    /// Returns a copy of all events recorded so far.
    #[must_use]
    pub fn events(&self) -> Vec<Event> {
        self.events
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
