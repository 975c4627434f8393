//! A TCP listener that counts accepted connections and the bytes transferred on them.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

/// Counters of a listener's connections, shared with its streams.
#[derive(Debug, Default)]
pub(super) struct Traffic {
    received: AtomicU64,
    sent: AtomicU64,
    connections: AtomicU64,
}

/// A snapshot of [`Traffic`].
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Totals {
    /// Bytes received from the daemon.
    pub received: u64,
    /// Bytes sent to the daemon.
    pub sent: u64,
    /// The number of accepted connections.
    pub connections: u64,
}

impl Totals {
    /// Returns the increase since an earlier snapshot.
    pub(super) fn since(self, earlier: Totals) -> Totals {
        Totals {
            received: self.received - earlier.received,
            sent: self.sent - earlier.sent,
            connections: self.connections - earlier.connections,
        }
    }
}

impl Traffic {
    /// Returns a snapshot of the counters.
    pub(super) fn totals(&self) -> Totals {
        let read = |total: &AtomicU64| total.load(Ordering::Relaxed);
        Totals {
            received: read(&self.received),
            sent: read(&self.sent),
            connections: read(&self.connections),
        }
    }

    /// Counts an accepted connection.
    pub(super) fn connection_accepted(&self) {
        self.connections.fetch_add(1, Ordering::Relaxed);
    }
}

/// A listener that counts its traffic.
pub(super) struct MeteredListener {
    /// The underlying listener.
    pub listener: TcpListener,
    /// The counters of all its connections.
    pub traffic: Arc<Traffic>,
}

impl axum::serve::Listener for MeteredListener {
    type Io = MeteredStream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (MeteredStream, SocketAddr) {
        let (stream, peer) = axum::serve::Listener::accept(&mut self.listener).await;
        self.traffic.connection_accepted();
        // Setting the option fails if the connection has already ended, which the first read
        // reports.
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

/// An accepted connection that counts its bytes.
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
