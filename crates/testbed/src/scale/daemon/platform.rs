//! The platform around the daemon, in one process: servers, a counter and discovery, each with
//! counts of what goes over its connections.

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

/// An HTTP server on a port of its own.
struct HttpServer {
    address: SocketAddr,
    traffic: Arc<Traffic>,
}

pub(super) struct LoopbackPlatform {
    /// The port that all servers listen on.
    pub port: u16,
    /// The servers.
    pub servers: Arc<LoopbackServers>,
    /// Discovery.
    pub discovery: Arc<FakeDiscovery>,
    discovery_server: HttpServer,
    counter_server: HttpServer,
    has_counter: bool,
}

impl LoopbackPlatform {
    /// Starts it for these servers; without `has_counter` the daemon gets no counter's address.
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

    /// Where discovery listens.
    pub(super) fn discovery_address(&self) -> SocketAddr {
        self.discovery_server.address
    }

    /// Where the counter listens, if the daemon has one.
    pub(super) fn counter_address(&self) -> Option<SocketAddr> {
        self.has_counter.then_some(self.counter_server.address)
    }

    /// What went to and from the counter so far.
    pub(super) fn counter_totals(&self) -> Totals {
        self.counter_server.traffic.totals()
    }

    /// What went to and from discovery so far.
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
