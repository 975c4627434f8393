//! Stand-ins of form servers, counter and discovery, each on a port of its own, written from the
//! platform's protocol page.

use crate::judge::{Ledger, What};
use crate::site::{self, Around};
use axum::body::{Body, Bytes};
use axum::extract::{Path, Query, State};
use axum::routing::{get, post};
use axum::serve::ListenerExt;
use axum::Router;
use bytes::BytesMut;
use redis_protocol::resp2::decode::decode_bytes_mut;
use redis_protocol::resp2::types::{BytesFrame, Resp2Frame};
use serde::Deserialize;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Starts `servers` form servers that take `work` for each request, a counter and discovery.
pub async fn start(servers: usize, work: Duration) -> io::Result<Around> {
    let (mut addresses, ledger) = (Vec::new(), Ledger::default());
    for server in 0..servers {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        addresses.push(listener.local_addr()?);
        tokio::spawn(form_server(listener, work, server, ledger.clone()));
    }
    let counter = serve(counter()).await?;
    let discovery = serve(discovery(site::list(&addresses).to_string())).await?;
    Ok(Around {
        servers: addresses,
        counter,
        discovery,
        ledger,
    })
}

async fn serve(app: Router) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let at = listener.local_addr()?;
    tokio::spawn(async move {
        axum::serve(
            listener.tap_io(|stream| {
                let _ = stream.set_nodelay(true);
            }),
            app,
        )
        .await
    });
    Ok(at)
}

async fn form_server(listener: TcpListener, work: Duration, server: usize, ledger: Ledger) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(form_connection(stream, work, server, ledger.clone(), false));
    }
}

/// Answers each request with its id as the value, and probes with a load report. If `once`, it
/// closes after a request's answer.
pub(crate) async fn form_connection(
    mut stream: TcpStream,
    work: Duration,
    server: usize,
    ledger: Ledger,
    once: bool,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut input = BytesMut::with_capacity(4096);
    loop {
        while let Ok(Some((BytesFrame::Array(words), _, _))) = decode_bytes_mut(&mut input) {
            let word = |n: usize| {
                words
                    .get(n)
                    .and_then(BytesFrame::as_bytes)
                    .unwrap_or_default()
            };
            let is_request = matches!(word(0), b"API.READ" | b"API.WRITE");
            let answer = match word(0) {
                b"API.READ" | b"API.WRITE" => {
                    let id = String::from_utf8_lossy(word(2)).into_owned();
                    let number = u64::from_str_radix(&id, 16).unwrap_or(u64::MAX);
                    ledger.note(number, What::Began(server));
                    // A sleep of no time lasts up to a tick of the timer.
                    if !work.is_zero() {
                        tokio::time::sleep(work).await;
                    }
                    ledger.note(number, What::Ended(server));
                    format!("*3\r\n${}\r\n{id}\r\n$-1\r\n$-1\r\n", id.len())
                }
                b"INFO" => "$9\r\nutil=0.30\r\n".to_owned(),
                b"PING" => "+PONG\r\n".to_owned(),
                _ => "-ERR unknown command\r\n".to_owned(),
            };
            stream.write_all(answer.as_bytes()).await?;
            if once && is_request {
                return Ok(());
            }
        }
        if stream.read_buf(&mut input).await? == 0 {
            return Ok(());
        }
    }
}

type Totals = Arc<Mutex<HashMap<String, (f64, Instant)>>>;

#[derive(Deserialize)]
struct Tally {
    n: f64,
    keep_ms: f64,
}

/// Adds to a name's total; a name is forgotten when the life that its first call gave is over.
async fn tally(
    State(totals): State<Totals>,
    Path(name): Path<String>,
    Query(call): Query<Tally>,
) -> String {
    let now = Instant::now();
    let mut totals = totals.lock().unwrap_or_else(PoisonError::into_inner);
    let life = Duration::from_millis(call.keep_ms.clamp(1.0, 60_000.0) as u64);
    let held = totals.entry(name).or_insert((0.0, now + life));
    if held.1 <= now {
        *held = (0.0, now + life);
    }
    held.0 += call.n;
    held.0.to_string()
}

pub(crate) fn counter() -> Router {
    Router::new()
        .route("/tally/{name}", post(tally))
        .with_state(Totals::default())
}

/// A watch: the whole list, then an empty line every 2 s.
async fn watch(State(list): State<Arc<String>>) -> Body {
    let lines = futures_util::stream::unfold(true, move |first| {
        let list = Arc::clone(&list);
        async move {
            let line = if first {
                Bytes::from(format!("{list}\n"))
            } else {
                tokio::time::sleep(Duration::from_secs(2)).await;
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
