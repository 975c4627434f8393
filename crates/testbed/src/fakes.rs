//! Fakes of form servers, counter and discovery, each on a port of its own, written from the
//! platform's protocol page.

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

/// Time between two empty lines of a discovery watch.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Longest time to live of a counter's total.
const MAX_TIME_TO_LIVE_MS: f64 = 60_000.0;

/// Requests that form servers take longer for.
#[derive(Clone, Copy, Debug)]
pub struct SlowRequests {
    /// One in so many, by their ids.
    pub one_in: u64,
    /// Time that a form server takes for such a request.
    pub service_time: Duration,
}

/// Time that form servers take for a request.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTime {
    /// For most.
    pub usual: Duration,
    /// For some; the ends of connections are then seen during all requests.
    pub slow: Option<SlowRequests>,
}

impl From<Duration> for ServiceTime {
    fn from(usual: Duration) -> ServiceTime {
        ServiceTime { usual, slow: None }
    }
}

impl ServiceTime {
    /// For the request with this id.
    fn of(&self, id: u64) -> Duration {
        match self.slow {
            Some(slow) if id.is_multiple_of(slow.one_in) => slow.service_time,
            _ => self.usual,
        }
    }
}

/// The fakes around an ingress: where each listens, and what form servers observed.
pub struct FakePlatform {
    /// Form servers.
    pub servers: Vec<SocketAddr>,
    /// The counter.
    pub counter: SocketAddr,
    /// Discovery.
    pub discovery: SocketAddr,
    /// What form servers observed; clients may record theirs here too.
    pub history: History,
}

impl FakePlatform {
    /// Starts `servers` form servers that take `service_time` for each request, a counter and
    /// discovery. They run until the runtime ends.
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

    /// The configuration of an ingress with this many descriptors.
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

/// Responds to each request with its id as the value, and to health checks with a load report. With
/// `close_after_response` it returns after the first request.
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

/// Executes one request, whose id is 16 hexadecimal digits, and returns the response; none if the
/// connection ends before, which is looked at where some requests are slow.
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
            () = ended(stream) => {
                history.record(number, Observation::AttemptAbandoned(server));
                return None;
            }
        }
    } else if !time.is_zero() {
        // Even an empty sleep lasts up to a tick of the timer.
        tokio::time::sleep(time).await;
    }
    history.record(number, Observation::AttemptFinished(server));
    Some(format!("*3\r\n${}\r\n{id}\r\n$-1\r\n$-1\r\n", id.len()))
}

/// Waits until the other side has ended its sending. Never returns if it sends more before.
async fn ended(stream: &TcpStream) {
    if let Ok(1..) = stream.peek(&mut [0; 1]).await {
        std::future::pending::<()>().await;
    }
}

struct Total {
    value: f64,
    expires_at: Instant,
}

type Totals = Arc<Mutex<HashMap<String, Total>>>;

/// The query of a counter call, by the platform's names.
#[derive(Deserialize)]
struct Increment {
    n: f64,
    keep_ms: f64,
}

/// Adds to a key's total, which expires after the time to live of its first call.
async fn increment(
    State(totals): State<Totals>,
    Path(key): Path<String>,
    Query(call): Query<Increment>,
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

/// The counter's HTTP interface, with no totals yet.
pub(crate) fn counter() -> Router {
    Router::new()
        .route("/tally/{name}", post(increment))
        .with_state(Totals::default())
}

/// A watch: the complete list, then an empty line at each heartbeat.
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
