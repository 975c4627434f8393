//! All servers of the platform: one listener serves the loopback addresses of all of them.

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

/// The behavior that all servers share.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServerOptions {
    /// Time that a server takes to execute a request.
    pub service_time: Duration,
    /// Whether servers close a connection after they have responded to a request on it.
    pub close_after_response: bool,
}

/// All servers, indexed by the slots of their addresses ([`ServiceTopology::slot`]).
pub(super) struct LoopbackServers {
    /// Whether each server is dead, by slot.
    dead: Vec<AtomicBool>,
    traffic: Traffic,
    /// Notifies connections that some server has died or come back.
    dead_changed: watch::Sender<()>,
    options: ServerOptions,
    /// The observations of the servers; clients may record theirs here too.
    pub history: History,
}

impl LoopbackServers {
    /// Returns servers for this many slots, all alive.
    pub(super) fn new(slots: usize, options: ServerOptions) -> LoopbackServers {
        LoopbackServers {
            dead: (0..slots).map(|_| AtomicBool::new(false)).collect(),
            traffic: Traffic::default(),
            dead_changed: watch::channel(()).0,
            options,
            history: History::default(),
        }
    }

    /// Simulates the death of these servers: their existing and new connections are reset.
    pub(super) fn kill(&self, servers: impl Iterator<Item = Ipv4Addr>) {
        self.set_dead(servers, true);
    }

    /// Makes these servers respond again.
    pub(super) fn revive(&self, servers: impl Iterator<Item = Ipv4Addr>) {
        self.set_dead(servers, false);
    }

    fn set_dead(&self, servers: impl Iterator<Item = Ipv4Addr>, dead: bool) {
        for slot in servers.filter_map(ServiceTopology::slot) {
            self.dead[slot].store(dead, Ordering::Relaxed);
        }
        self.dead_changed.send_replace(());
    }

    /// Returns the number of connections accepted so far, by all servers.
    pub(super) fn connections(&self) -> u64 {
        self.traffic.totals().connections
    }

    fn is_dead(&self, slot: usize) -> bool {
        self.dead
            .get(slot)
            .is_none_or(|dead| dead.load(Ordering::Relaxed))
    }

    /// Accepts connections for all servers until the runtime shuts down.
    pub(super) async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            // An error concerns only one connection, which ended before it was accepted.
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            self.traffic.connection_accepted();
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
        // Dropping a connection resets it, as when the server's machine has died. Connections that
        // are closed after a response have to end in an orderly way instead.
        if !close_after_response && stream.set_zero_linger().is_err() {
            return;
        }
        let mut dead_changed = self.dead_changed.subscribe();
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
                _ = dead_changed.changed() => {}
            }
        }
    }
}
