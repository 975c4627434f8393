//! What is around the daemon, in one process: servers at addresses of their own behind one
//! listener, a counter and discovery, each with what went over its connections.

use super::metered_listener::{MeteredListener, Totals, Traffic};
use crate::checker::History;
use crate::fakes;
use crate::scale::topology::ServiceTopology;
use axum::body::{Body, Bytes};
use axum::extract::{Query, State};
use axum::routing::get;
use axum::Router;
use serde::Deserialize;
use serde_json::{json, Value};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{broadcast, watch};

/// A watch on discovery brings a line at least this often.
const WATCH_LINE: Duration = Duration::from_secs(2);
/// Lines that a watch may be behind before it is ended.
const WATCH_BACKLOG: usize = 65_536;

/// How a server behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServerState {
    /// It answers.
    Serving,
    /// It has died: its connections are reset, and new ones too.
    Dead,
}

/// What all servers do alike.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServerOptions {
    /// Time that a server takes for a request.
    pub work: Duration,
    /// Servers close a connection once they have answered a request on it.
    pub once: bool,
}

/// All servers, by the number of their address.
pub(super) struct Servers {
    dead: Vec<AtomicU8>,
    traffic: Traffic,
    changed: watch::Sender<()>,
    server_options: ServerOptions,
    /// What came to them.
    pub history: History,
}

impl Servers {
    fn new(slots: usize, server_options: ServerOptions) -> Servers {
        Servers {
            dead: (0..slots).map(|_| AtomicU8::new(0)).collect(),
            traffic: Traffic::default(),
            changed: watch::channel(()).0,
            server_options,
            history: History::default(),
        }
    }

    /// These servers behave so from now on.
    pub(super) fn set(&self, servers: impl Iterator<Item = Ipv4Addr>, server_state: ServerState) {
        for slot in servers.filter_map(ServiceTopology::slot) {
            self.dead[slot].store(
                u8::from(server_state == ServerState::Dead),
                Ordering::Relaxed,
            );
        }
        self.changed.send_replace(());
    }

    /// Connections accepted so far.
    pub(super) fn connections(&self) -> u64 {
        self.traffic.totals().connections
    }

    fn is_dead(&self, slot: usize) -> bool {
        self.dead
            .get(slot)
            .is_none_or(|dead| dead.load(Ordering::Relaxed) != 0)
    }
}

/// Accepts for all servers.
async fn accept(listener: TcpListener, servers: Arc<Servers>) {
    loop {
        // An error is that of one connection, which was gone before it was accepted.
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        servers.traffic.connected();
        tokio::spawn(serve_connection(stream, Arc::clone(&servers)));
    }
}

/// Serves one connection until it ends or its server dies.
async fn serve_connection(stream: TcpStream, servers: Arc<Servers>) {
    let Ok(SocketAddr::V4(at)) = stream.local_addr() else {
        return;
    };
    let Some(slot) = ServiceTopology::slot(*at.ip()) else {
        return;
    };
    // A connection that is dropped before its end is reset, as those of a machine that has died.
    // Those that close after an answer end in order.
    let ServerOptions { work, once } = servers.server_options;
    if !once && stream.set_zero_linger().is_err() {
        return;
    }
    let mut changed = servers.changed.subscribe();
    let serving = fakes::serve_form_connection(stream, work, slot, servers.history.clone(), once);
    tokio::pin!(serving);
    while !servers.is_dead(slot) {
        tokio::select! {
            _ = &mut serving => return,
            _ = changed.changed() => {}
        }
    }
}

/// What discovery has told so far.
struct PublishedLists {
    /// The whole list, of version 1.
    whole: Bytes,
    /// The changes since, of the versions after it.
    changes: Vec<Bytes>,
}

/// Discovery: a whole list and the changes since.
pub(super) struct Discovery {
    told: Mutex<PublishedLists>,
    news: broadcast::Sender<Bytes>,
}

impl Discovery {
    fn new(list: &Value) -> Discovery {
        let told = PublishedLists {
            whole: Bytes::from(format!("{list}\n")),
            changes: Vec::new(),
        };
        Discovery {
            told: Mutex::new(told),
            news: broadcast::channel(WATCH_BACKLOG).0,
        }
    }

    /// Tells a change of these servers.
    pub(super) fn change(&self, targets: &[Value]) {
        let mut told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        let version = told.changes.len() + 2;
        let line = Bytes::from(format!(
            "{}\n",
            json!({"rev": version, "all": false, "targets": targets})
        ));
        told.changes.push(line.clone());
        // Nobody may watch just now: a later watch brings it.
        let _ = self.news.send(line);
    }

    /// What a watch after this version has to be told at once, and what follows.
    fn watch(&self, after: usize) -> (Vec<Bytes>, broadcast::Receiver<Bytes>) {
        let told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        let mut lines = Vec::new();
        if after == 0 {
            lines.push(told.whole.clone());
        }
        lines.extend(told.changes.iter().skip(after.saturating_sub(1)).cloned());
        if lines.is_empty() {
            lines.push(Bytes::from_static(b"\n"));
        }
        (lines, self.news.subscribe())
    }
}

#[derive(Deserialize)]
struct After {
    #[serde(default)]
    after: usize,
}

async fn watch_list(State(discovery): State<Arc<Discovery>>, Query(call): Query<After>) -> Body {
    let (first, news) = discovery.watch(call.after);
    let lines = futures_util::stream::unfold(
        (first.into_iter(), news),
        |(mut first, mut news)| async move {
            let line = match first.next() {
                Some(line) => line,
                None => match tokio::time::timeout(WATCH_LINE, news.recv()).await {
                    Ok(Ok(line)) => line,
                    Ok(Err(_)) => return None,
                    Err(_) => Bytes::from_static(b"\n"),
                },
            };
            Some((Ok::<_, io::Error>(line), (first, news)))
        },
    );
    Body::from_stream(lines)
}

/// Everything around the daemon.
pub(super) struct Platform {
    /// The port that all servers listen on.
    pub port: u16,
    /// The servers.
    pub servers: Arc<Servers>,
    /// Discovery, to be told changes.
    pub discovery: Arc<Discovery>,
    /// Where discovery listens.
    pub discovery_address: SocketAddr,
    discovery_traffic: Arc<Traffic>,
    /// Where the counter listens, if the daemon is to have one.
    pub counter_address: Option<SocketAddr>,
    counter_traffic: Arc<Traffic>,
}

impl Platform {
    /// Starts it for these servers; without a counter the daemon is told of none.
    pub(super) async fn start(
        topology: &ServiceTopology,
        server_options: ServerOptions,
        counter: bool,
    ) -> io::Result<Platform> {
        let listener = TcpListener::bind((IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0)).await?;
        let port = listener.local_addr()?.port();
        let servers = Arc::new(Servers::new(topology.slots(), server_options));
        tokio::spawn(accept(listener, Arc::clone(&servers)));
        let discovery = Arc::new(Discovery::new(&topology.list(port)));
        let watches = Router::new()
            .route("/discovery/hosts", get(watch_list))
            .with_state(Arc::clone(&discovery));
        let (discovery_address, discovery_traffic) = serve(watches).await?;
        let (counter_address, counter_traffic) = serve(fakes::counter()).await?;
        Ok(Platform {
            port,
            servers,
            discovery,
            discovery_address,
            discovery_traffic,
            counter_address: Some(counter_address).filter(|_| counter),
            counter_traffic,
        })
    }

    /// What went to and from the counter.
    pub(super) fn counter_totals(&self) -> Totals {
        self.counter_traffic.totals()
    }

    /// What went to and from discovery.
    pub(super) fn discovery_totals(&self) -> Totals {
        self.discovery_traffic.totals()
    }
}

async fn serve(app: Router) -> io::Result<(SocketAddr, Arc<Traffic>)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let at = listener.local_addr()?;
    let traffic = Arc::<Traffic>::default();
    let metered = MeteredListener {
        listener,
        traffic: Arc::clone(&traffic),
    };
    tokio::spawn(async move { axum::serve(metered, app).await });
    Ok((at, traffic))
}
