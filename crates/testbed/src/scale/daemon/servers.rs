//! All servers of the platform: one listener at addresses of their own.

use super::metered_listener::Traffic;
use crate::checker::History;
use crate::fakes::serve_form_connection;
use crate::scale::topology::ServiceTopology;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What all servers do alike.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServerOptions {
    /// Time that a server takes for a request.
    pub service_time: Duration,
    /// Do servers close a connection once they have responded to a request on it?
    pub close_after_response: bool,
}

/// All servers, by the numbers of their addresses.
pub(super) struct LoopbackServers {
    dead: Vec<AtomicBool>,
    traffic: Traffic,
    changed: watch::Sender<()>,
    options: ServerOptions,
    /// What they observe; clients may record theirs here too.
    pub history: History,
}

impl LoopbackServers {
    pub(super) fn new(slots: usize, options: ServerOptions) -> LoopbackServers {
        LoopbackServers {
            dead: (0..slots).map(|_| AtomicBool::new(false)).collect(),
            traffic: Traffic::default(),
            changed: watch::channel(()).0,
            options,
            history: History::default(),
        }
    }

    /// These servers die: their connections are reset, and new ones too.
    pub(super) fn kill(&self, servers: impl Iterator<Item = Ipv4Addr>) {
        self.set_dead(servers, true);
    }

    /// These servers respond again.
    pub(super) fn revive(&self, servers: impl Iterator<Item = Ipv4Addr>) {
        self.set_dead(servers, false);
    }

    fn set_dead(&self, servers: impl Iterator<Item = Ipv4Addr>, dead: bool) {
        for slot in servers.filter_map(ServiceTopology::slot) {
            self.dead[slot].store(dead, Ordering::Relaxed);
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
            .is_none_or(|dead| dead.load(Ordering::Relaxed))
    }

    /// Accepts for all servers until the runtime ends.
    pub(super) async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            // An error is that of one connection, which ended before it was accepted.
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            self.traffic.connected();
            tokio::spawn(Arc::clone(&self).serve(stream));
        }
    }

    /// Serves one connection until it ends or its server dies.
    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let Ok(SocketAddr::V4(address)) = stream.local_addr() else {
            return;
        };
        let Some(slot) = ServiceTopology::slot(*address.ip()) else {
            return;
        };
        let ServerOptions {
            service_time,
            close_after_response,
        } = self.options;
        // A connection that is dropped before its end is reset, as those of a machine that has
        // died. Those that close after a response end in order.
        if !close_after_response && stream.set_zero_linger().is_err() {
            return;
        }
        let mut changed = self.changed.subscribe();
        let history = self.history.clone();
        let serving = serve_form_connection(
            stream,
            service_time.into(),
            slot,
            history,
            close_after_response,
        );
        tokio::pin!(serving);
        while !self.is_dead(slot) {
            tokio::select! {
                _ = &mut serving => return,
                _ = changed.changed() => {}
            }
        }
    }
}
