//! Fakes of form servers, counter and discovery, each on its own port. They are written from the
//! platform's protocol description, not from the code of the ingress.

use crate::checker::{History, Observation};
use crate::platform_settings;
use axum::body::{Body, Bytes};
use axum::extract::{Path, Query, State};
use axum::routing::{get, post};
use axum::serve::ListenerExt;
use axum::Router;
use bytes::BytesMut;
use redis_protocol::resp2::decode::decode_bytes_mut;
use redis_protocol::resp2::types::{BytesFrame, Resp2Frame};
use serde::Deserialize;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The time between two empty lines of a discovery watch.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// The maximum time to live of a counter total.
const MAX_TIME_TO_LIVE_MS: f64 = 60_000.0;

/// Which requests take form servers longer than usual, and how long they take.
#[derive(Clone, Copy, Debug)]
pub struct SlowRequests {
    /// Requests whose id is a multiple of this number are slow.
    pub one_in: u64,
    /// The time that a form server takes for a slow request.
    pub service_time: Duration,
}

/// The time that form servers take for a request.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTime {
    /// The time for all requests that are not slow.
    pub usual: Duration,
    /// The slow requests. If it is set, form servers also detect the end of a connection during any
    /// request; if it is `None`, they detect it only between requests.
    pub slow: Option<SlowRequests>,
}

impl From<Duration> for ServiceTime {
    fn from(usual: Duration) -> ServiceTime {
        ServiceTime { usual, slow: None }
    }
}

impl ServiceTime {
    /// Returns the time for the request with this id.
    fn of(&self, id: u64) -> Duration {
        match self.slow {
            Some(slow) if id.is_multiple_of(slow.one_in) => slow.service_time,
            _ => self.usual,
        }
    }
}

/// Fakes of the platform services that an ingress uses.
pub struct FakePlatform {
    /// The addresses of the form servers.
    pub servers: Vec<SocketAddr>,
    /// The address of the counter.
    pub counter: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The history in which form servers record their observations. Clients may record theirs in it
    /// too.
    pub history: History,
}

impl FakePlatform {
    /// Starts `servers` form servers that take `service_time` for each request, a counter and
    /// discovery. They run until the runtime is shut down.
    pub async fn start(
        servers: usize,
        service_time: impl Into<ServiceTime>,
    ) -> io::Result<FakePlatform> {
        let service_time = service_time.into();
        let mut addresses = Vec::new();
        let history = History::default();
        for server in 0..servers {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addresses.push(listener.local_addr()?);
            tokio::spawn(form_server(listener, service_time, server, history.clone()));
        }
        let counter = serve(counter()).await?;
        let list = platform_settings::endpoint_list(&addresses).to_string();
        let discovery = serve(discovery(list)).await?;
        Ok(FakePlatform {
            servers: addresses,
            counter,
            discovery,
            history,
        })
    }

    /// Returns the configuration of an ingress that uses these fakes, with this descriptor limit.
    #[must_use]
    pub fn ingress_configuration(&self, descriptors: usize) -> Value {
        json!({
            "name": "lab", "listen": "127.0.0.1:0", "discovery": self.discovery.to_string(),
            "counter": self.counter.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": descriptors},
            "known": platform_settings::endpoint_list(&self.servers),
            "settings": platform_settings::settings()
        })
    }
}

async fn serve(app: Router) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        axum::serve(
            listener.tap_io(|stream| {
                let _ = stream.set_nodelay(true);
            }),
            app,
        )
        .await
    });
    Ok(address)
}

async fn form_server(
    listener: TcpListener,
    service_time: ServiceTime,
    server: usize,
    history: History,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let history = history.clone();
        tokio::spawn(serve_form_connection(
            stream,
            service_time,
            server,
            history,
            false,
        ));
    }
}

/// Serves a connection to a form server: responds to each request with its id as the value, and to
/// health checks with a load report. With `close_after_response` it closes the connection after the
/// first request.
pub(crate) async fn serve_form_connection(
    mut stream: TcpStream,
    service_time: ServiceTime,
    server: usize,
    history: History,
    close_after_response: bool,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut input = BytesMut::with_capacity(4096);
    loop {
        while let Ok(Some((BytesFrame::Array(parts), _, _))) = decode_bytes_mut(&mut input) {
            let part = |index: usize| {
                parts
                    .get(index)
                    .and_then(BytesFrame::as_bytes)
                    .unwrap_or_default()
            };
            let is_request = matches!(part(0), b"API.READ" | b"API.WRITE");
            let response = match part(0) {
                b"API.READ" | b"API.WRITE" => {
                    match execute(part(2), service_time, server, &history, &stream).await {
                        Some(response) => response,
                        None => return Ok(()),
                    }
                }
                b"INFO" => "$9\r\nutil=0.30\r\n".to_owned(),
                b"PING" => "+PONG\r\n".to_owned(),
                _ => "-ERR unknown command\r\n".to_owned(),
            };
            stream.write_all(response.as_bytes()).await?;
            if close_after_response && is_request {
                return Ok(());
            }
        }
        if stream.read_buf(&mut input).await? == 0 {
            return Ok(());
        }
    }
}

/// Executes a request, whose id is 16 hexadecimal digits, and returns the response. Returns `None`
/// if the connection ends during the execution, which is only detected if [`ServiceTime::slow`] is
/// set.
async fn execute(
    id: &[u8],
    service_time: ServiceTime,
    server: usize,
    history: &History,
    stream: &TcpStream,
) -> Option<String> {
    let id = String::from_utf8_lossy(id).into_owned();
    let number = u64::from_str_radix(&id, 16).unwrap_or(u64::MAX);
    history.record(number, Observation::AttemptStarted(server));
    let time = service_time.of(number);
    if service_time.slow.is_some() {
        tokio::select! {
            () = tokio::time::sleep(time) => {}
            () = wait_for_disconnect(stream) => {
                history.record(number, Observation::AttemptAbandoned(server));
                return None;
            }
        }
    } else if !time.is_zero() {
        // A sleep of zero length would still last up to one tick of the timer.
        tokio::time::sleep(time).await;
    }
    history.record(number, Observation::AttemptFinished(server));
    Some(format!("*3\r\n${}\r\n{id}\r\n$-1\r\n$-1\r\n", id.len()))
}

/// Waits until the peer closes its side of the connection. Never returns if the peer sends data
/// first.
async fn wait_for_disconnect(stream: &TcpStream) {
    if let Ok(1..) = stream.peek(&mut [0; 1]).await {
        std::future::pending::<()>().await;
    }
}

/// The total of a counter key.
struct Total {
    value: f64,
    expires_at: Instant,
}

type Totals = Arc<Mutex<HashMap<String, Total>>>;

/// The query parameters of a counter call.
#[derive(Deserialize)]
struct CounterQuery {
    n: f64,
    keep_ms: f64,
}

/// Handles a counter call: adds `n` to the total of a key and responds with the new total. A total
/// expires after the time to live that its first call requested.
async fn increment(
    State(totals): State<Totals>,
    Path(key): Path<String>,
    Query(call): Query<CounterQuery>,
) -> String {
    let now = Instant::now();
    let mut totals = totals.lock().unwrap_or_else(PoisonError::into_inner);
    let time_to_live = Duration::from_millis(call.keep_ms.clamp(1.0, MAX_TIME_TO_LIVE_MS) as u64);
    let empty = || Total {
        value: 0.0,
        expires_at: now + time_to_live,
    };
    let total = totals.entry(key).or_insert_with(empty);
    if total.expires_at <= now {
        *total = empty();
    }
    total.value += call.n;
    total.value.to_string()
}

/// Returns the HTTP interface of a counter without totals.
pub(crate) fn counter() -> Router {
    Router::new()
        .route("/tally/{name}", post(increment))
        .with_state(Totals::default())
}

/// Handles a discovery watch: sends the complete endpoint list, then an empty line at each
/// heartbeat.
async fn watch(State(list): State<Arc<String>>) -> Body {
    let lines = futures_util::stream::unfold(true, move |first| {
        let list = Arc::clone(&list);
        async move {
            let line = if first {
                Bytes::from(format!("{list}\n"))
            } else {
                tokio::time::sleep(HEARTBEAT_INTERVAL).await;
                Bytes::from_static(b"\n")
            };
            Some((Ok::<_, io::Error>(line), false))
        }
    });
    Body::from_stream(lines)
}

fn discovery(list: String) -> Router {
    Router::new()
        .route("/discovery/hosts", get(watch))
        .with_state(Arc::new(list))
}
