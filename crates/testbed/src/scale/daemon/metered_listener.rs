//! A listener that counts the connections it accepts and the bytes on them.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

/// Counts of what has gone over the connections of a listener.
#[derive(Debug, Default)]
pub(super) struct Traffic {
    received: AtomicU64,
    sent: AtomicU64,
    connections: AtomicU64,
}

/// [`Traffic`] at one time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Totals {
    /// Bytes from the daemon.
    pub received: u64,
    /// Bytes to the daemon.
    pub sent: u64,
    /// Connections accepted.
    pub connections: u64,
}

impl Totals {
    /// What was added since the earlier totals.
    pub(super) fn since(self, earlier: Totals) -> Totals {
        Totals {
            received: self.received - earlier.received,
            sent: self.sent - earlier.sent,
            connections: self.connections - earlier.connections,
        }
    }
}

impl Traffic {
    /// The counts so far.
    pub(super) fn totals(&self) -> Totals {
        let read = |total: &AtomicU64| total.load(Ordering::Relaxed);
        Totals {
            received: read(&self.received),
            sent: read(&self.sent),
            connections: read(&self.connections),
        }
    }

    /// Counts a connection that was accepted.
    pub(super) fn connected(&self) {
        self.connections.fetch_add(1, Ordering::Relaxed);
    }
}

/// A listener with counts.
pub(super) struct MeteredListener {
    /// Where it listens.
    pub listener: TcpListener,
    /// Its counts.
    pub traffic: Arc<Traffic>,
}

impl axum::serve::Listener for MeteredListener {
    type Io = MeteredStream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (MeteredStream, SocketAddr) {
        let (stream, peer) = axum::serve::Listener::accept(&mut self.listener).await;
        self.traffic.connected();
        // The first read reports a connection that has ended already.
        let _ = stream.set_nodelay(true);
        (
            MeteredStream {
                stream,
                traffic: Arc::clone(&self.traffic),
            },
            peer,
        )
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}

/// A connection whose bytes are counted.
pub(super) struct MeteredStream {
    stream: TcpStream,
    traffic: Arc<Traffic>,
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.traffic
            .received
            .fetch_add((buffer.filled().len() - before) as u64, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = &polled {
            self.traffic
                .sent
                .fetch_add(*written as u64, Ordering::Relaxed);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
