//! The platform that the daemon runs on, in this process: servers, a shared counter and discovery,
//! each with counts of its connections.

use super::discovery::FakeDiscovery;
use super::metered_listener::{MeteredListener, Totals, Traffic};
use super::servers::{LoopbackServers, ServerOptions};
use crate::fakes;
use crate::scale::topology::ServiceTopology;
use axum::Router;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use tokio::net::TcpListener;

/// A running HTTP server on its own port.
struct HttpServer {
    address: SocketAddr,
    traffic: Arc<Traffic>,
}

/// A platform of fakes on loopback.
pub(super) struct LoopbackPlatform {
    /// The port that all servers listen on.
    pub port: u16,
    /// The servers that execute requests.
    pub servers: Arc<LoopbackServers>,
    /// The discovery service.
    pub discovery: Arc<FakeDiscovery>,
    discovery_server: HttpServer,
    counter_server: HttpServer,
    /// Whether the daemon is told the counter's address.
    has_counter: bool,
}

impl LoopbackPlatform {
    /// Starts a platform with the servers of this topology. Without `has_counter`,
    /// [`LoopbackPlatform::counter_address`] returns `None`.
    pub(super) async fn start(
        topology: &ServiceTopology,
        options: ServerOptions,
        has_counter: bool,
    ) -> io::Result<LoopbackPlatform> {
        let listener = TcpListener::bind((IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0)).await?;
        let port = listener.local_addr()?.port();
        let servers = Arc::new(LoopbackServers::new(topology.slots(), options));
        tokio::spawn(Arc::clone(&servers).accept(listener));
        let discovery = Arc::new(FakeDiscovery::new(&topology.list(port)));
        let discovery_server = serve(discovery.router()).await?;
        let counter_server = serve(fakes::counter()).await?;
        Ok(LoopbackPlatform {
            port,
            servers,
            discovery,
            discovery_server,
            counter_server,
            has_counter,
        })
    }

    /// Returns the address of discovery.
    pub(super) fn discovery_address(&self) -> SocketAddr {
        self.discovery_server.address
    }

    /// Returns the address of the shared counter, or `None` if the daemon is to have none.
    pub(super) fn counter_address(&self) -> Option<SocketAddr> {
        self.has_counter.then_some(self.counter_server.address)
    }

    /// Returns the traffic between the daemon and the counter so far.
    pub(super) fn counter_totals(&self) -> Totals {
        self.counter_server.traffic.totals()
    }

    /// Returns the traffic between the daemon and discovery so far.
    pub(super) fn discovery_totals(&self) -> Totals {
        self.discovery_server.traffic.totals()
    }
}

async fn serve(app: Router) -> io::Result<HttpServer> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let traffic = Arc::<Traffic>::default();
    let metered = MeteredListener {
        listener,
        traffic: Arc::clone(&traffic),
    };
    tokio::spawn(async move { axum::serve(metered, app).await });
    Ok(HttpServer { address, traffic })
}
