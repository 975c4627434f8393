//! Discovery: a complete endpoint list and the changes since.

use axum::body::{Body, Bytes};
use axum::extract::{Query, State};
use axum::routing::get;
use axum::Router;
use serde::Deserialize;
use serde_json::{json, Value};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::broadcast;

/// Longest time without a line of a watch.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Lines that a watch may be behind before it is ended.
const WATCH_BACKLOG: usize = 65_536;

/// The lines sent so far.
struct PublishedLines {
    /// The complete list, of revision 1.
    complete: Bytes,
    /// The changes since, of the revisions after it.
    changes: Vec<Bytes>,
}

pub(super) struct FakeDiscovery {
    published: Mutex<PublishedLines>,
    new_lines: broadcast::Sender<Bytes>,
}

/// The lines that a watch gets at once, and those that follow.
struct Watch {
    first: Vec<Bytes>,
    new_lines: broadcast::Receiver<Bytes>,
}

impl FakeDiscovery {
    pub(super) fn new(list: &Value) -> FakeDiscovery {
        let published = PublishedLines {
            complete: Bytes::from(format!("{list}\n")),
            changes: Vec::new(),
        };
        FakeDiscovery {
            published: Mutex::new(published),
            new_lines: broadcast::channel(WATCH_BACKLOG).0,
        }
    }

    fn published(&self) -> MutexGuard<'_, PublishedLines> {
        self.published
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a change of these servers to all watches.
    pub(super) fn send_change(&self, targets: &[Value]) {
        let mut published = self.published();
        let revision = published.changes.len() + 2;
        let line = Bytes::from(format!(
            "{}\n",
            json!({"rev": revision, "all": false, "targets": targets})
        ));
        published.changes.push(line.clone());
        // Without a watch the line is not lost: a later watch gets it.
        let _ = self.new_lines.send(line);
    }

    /// A watch of the changes after this revision; 0 for the complete list too.
    fn watch(&self, after: usize) -> Watch {
        let published = self.published();
        let mut first = Vec::new();
        if after == 0 {
            first.push(published.complete.clone());
        }
        let changes = published.changes.iter();
        first.extend(changes.skip(after.saturating_sub(1)).cloned());
        if first.is_empty() {
            first.push(Bytes::from_static(b"\n"));
        }
        Watch {
            first,
            new_lines: self.new_lines.subscribe(),
        }
    }

    /// Its HTTP interface.
    pub(super) fn router(self: &Arc<Self>) -> Router {
        Router::new()
            .route("/discovery/hosts", get(serve_watch))
            .with_state(Arc::clone(self))
    }
}

/// The query of a watch, by the platform's name.
#[derive(Deserialize)]
struct WatchQuery {
    #[serde(default)]
    after: usize,
}

async fn serve_watch(
    State(discovery): State<Arc<FakeDiscovery>>,
    Query(query): Query<WatchQuery>,
) -> Body {
    let watch = discovery.watch(query.after);
    let state = (watch.first.into_iter(), watch.new_lines);
    let lines = futures_util::stream::unfold(state, |(mut first, mut new_lines)| async move {
        let line = match first.next() {
            Some(line) => line,
            None => match tokio::time::timeout(HEARTBEAT_INTERVAL, new_lines.recv()).await {
                Ok(Ok(line)) => line,
                Ok(Err(_)) => return None,
                Err(_) => Bytes::from_static(b"\n"),
            },
        };
        Some((Ok::<_, io::Error>(line), (first, new_lines)))
    });
    Body::from_stream(lines)
}
