//! A fake discovery service that publishes a complete endpoint list and changes to it.

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

/// Time without a change after which an empty line is sent on a watch.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// The maximum number of unread lines of a watch; a watch that lags further behind is closed.
const MAX_WATCH_BACKLOG_LINES: usize = 65_536;

/// The lines published so far.
struct PublishedLines {
    /// The complete list, which has revision 1.
    complete: Bytes,
    /// The changes to the list, with revisions from 2 on.
    changes: Vec<Bytes>,
}

/// A fake discovery service.
pub(super) struct FakeDiscovery {
    published: Mutex<PublishedLines>,
    new_lines: broadcast::Sender<Bytes>,
}

/// A client's watch of the endpoint list.
struct Watch {
    /// The lines to send immediately.
    initial_lines: Vec<Bytes>,
    /// The lines to send as they are published.
    new_lines: broadcast::Receiver<Bytes>,
}

impl FakeDiscovery {
    /// Returns a service that publishes `list` as revision 1.
    pub(super) fn new(list: &Value) -> FakeDiscovery {
        let published = PublishedLines {
            complete: Bytes::from(format!("{list}\n")),
            changes: Vec::new(),
        };
        FakeDiscovery {
            published: Mutex::new(published),
            new_lines: broadcast::channel(MAX_WATCH_BACKLOG_LINES).0,
        }
    }

    fn published(&self) -> MutexGuard<'_, PublishedLines> {
        self.published
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes a change of these servers as the next revision, and sends it to all watches.
    pub(super) fn send_change(&self, targets: &[Value]) {
        let mut published = self.published();
        let revision = published.changes.len() + 2;
        let line = Bytes::from(format!(
            "{}\n",
            json!({"rev": revision, "all": false, "targets": targets})
        ));
        published.changes.push(line.clone());
        // Sending fails if there is no watch; later watches get the line from `changes`.
        let _ = self.new_lines.send(line);
    }

    /// Returns a watch of the changes after the given revision; revision 0 includes the complete
    /// list.
    fn watch(&self, after: usize) -> Watch {
        let published = self.published();
        let mut initial_lines = Vec::new();
        if after == 0 {
            initial_lines.push(published.complete.clone());
        }
        let changes = published.changes.iter();
        initial_lines.extend(changes.skip(after.saturating_sub(1)).cloned());
        if initial_lines.is_empty() {
            initial_lines.push(Bytes::from_static(b"\n"));
        }
        Watch {
            initial_lines,
            new_lines: self.new_lines.subscribe(),
        }
    }

    /// Returns the HTTP interface.
    pub(super) fn router(self: &Arc<Self>) -> Router {
        Router::new()
            .route("/discovery/hosts", get(serve_watch))
            .with_state(Arc::clone(self))
    }
}

/// The query parameters of a watch, named as on the platform.
#[derive(Deserialize)]
struct WatchQuery {
    /// The last revision that the client has.
    #[serde(default)]
    after: usize,
}

async fn serve_watch(
    State(discovery): State<Arc<FakeDiscovery>>,
    Query(query): Query<WatchQuery>,
) -> Body {
    let watch = discovery.watch(query.after);
    let state = (watch.initial_lines.into_iter(), watch.new_lines);
    let lines =
        futures_util::stream::unfold(state, |(mut initial_lines, mut new_lines)| async move {
            let line = match initial_lines.next() {
                Some(line) => line,
                None => match tokio::time::timeout(HEARTBEAT_INTERVAL, new_lines.recv()).await {
                    Ok(Ok(line)) => line,
                    Ok(Err(_)) => return None,
                    Err(_) => Bytes::from_static(b"\n"),
                },
            };
            Some((Ok::<_, io::Error>(line), (initial_lines, new_lines)))
        });
    Body::from_stream(lines)
}
