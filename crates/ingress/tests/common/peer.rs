//! A listener on loopback whose every byte the test decides.

use super::connection::{small_buffer_socket, Connection};
use std::net::{SocketAddr, TcpListener};

/// A listener and its connections.
pub(crate) struct Peer {
    listener: Option<TcpListener>,
    waiting: Vec<roseyard_ingress::transport::Stream>,
    pub address: SocketAddr,
    pub connections: Vec<Connection>,
}

impl Peer {
    pub(crate) fn new() -> Peer {
        Peer::of(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    fn of(listener: TcpListener) -> Peer {
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        Peer {
            address,
            listener: Some(listener),
            waiting: Vec::new(),
            connections: Vec::new(),
        }
    }

    /// A listener whose connections have small receive buffers: a long command can be written only
    /// in part until the test reads on.
    pub(crate) fn with_small_buffers() -> Peer {
        let socket = small_buffer_socket();
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        socket.listen(16).unwrap();
        Peer::of(TcpListener::from(socket))
    }

    /// Fills the listener's queue: connections are not established until `resume_accepting`.
    pub(crate) fn stop_accepting(&mut self) {
        rustix::net::listen(self.listener.as_ref().unwrap(), 0).unwrap();
        self.waiting = (0..2)
            .map(|_| roseyard_ingress::transport::connect(&self.address, 64).unwrap())
            .collect();
    }

    /// Accepts what waits from now on.
    pub(crate) fn resume_accepting(&mut self) {
        self.waiting.clear();
    }

    /// The listener, for a thread that serves it.
    pub(crate) fn blocking_listener(&self) -> TcpListener {
        let listener = self.listener.as_ref().unwrap().try_clone().unwrap();
        listener.set_nonblocking(false).unwrap();
        listener
    }

    fn accepting(&self) -> Option<&TcpListener> {
        self.listener.as_ref().filter(|_| self.waiting.is_empty())
    }

    /// Accepts what waits and reads everything.
    pub(crate) fn read(&mut self) {
        self.accept();
        self.connections.iter_mut().for_each(Connection::read);
    }

    /// Accepts what waits.
    pub(crate) fn accept(&mut self) {
        while let Some((stream, _)) = self.accepting().and_then(|l| l.accept().ok()) {
            self.connections.push(Connection::new(stream));
        }
    }

    /// The process has ended: connections are reset and refused.
    pub(crate) fn stop(&mut self) {
        self.listener = None;
        self.connections.clear();
    }

    /// Listens again at the same address.
    pub(crate) fn restart(&mut self) {
        self.listener = Peer::of(TcpListener::bind(self.address).unwrap()).listener;
    }

    /// The next complete command on any connection, with the connection's index.
    pub(crate) fn next_command(&mut self) -> Option<(usize, Vec<String>)> {
        self.connections
            .iter_mut()
            .enumerate()
            .find_map(|(n, end)| Some((n, end.next_command()?)))
    }
}
