//! A listener on loopback for which the test decides what is accepted, read and sent.

use super::connection::{small_buffer_socket, Connection};
use std::net::{SocketAddr, TcpListener};

/// A listener and the connections that it has accepted.
pub(crate) struct Peer {
    /// None while the peer is stopped.
    listener: Option<TcpListener>,
    /// Connections that fill the accept queue; empty while connections are accepted.
    queue_fillers: Vec<roseyard_ingress::transport::Stream>,
    pub address: SocketAddr,
    /// Accepted connections in their order, closed ones included.
    pub connections: Vec<Connection>,
}

impl Peer {
    /// Listens at a free port of 127.0.0.1.
    pub(crate) fn new() -> Peer {
        Peer::from_listener(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    fn from_listener(listener: TcpListener) -> Peer {
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        Peer {
            address,
            listener: Some(listener),
            queue_fillers: Vec::new(),
            connections: Vec::new(),
        }
    }

    /// Listens with small receive buffers: the ingress can write only part of a long command until
    /// the test reads on.
    pub(crate) fn with_small_buffers() -> Peer {
        let socket = small_buffer_socket();
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        socket.listen(16).unwrap();
        Peer::from_listener(TcpListener::from(socket))
    }

    /// Fills the accept queue, so that further connections are not established before
    /// `resume_accepting`.
    pub(crate) fn stop_accepting(&mut self) {
        rustix::net::listen(self.listener.as_ref().unwrap(), 0).unwrap();
        self.queue_fillers = (0..2)
            .map(|_| roseyard_ingress::transport::connect(&self.address, 64).unwrap())
            .collect();
    }

    /// Drops the connections that fill the accept queue, so that others are established again.
    pub(crate) fn resume_accepting(&mut self) {
        self.queue_fillers.clear();
    }

    /// Returns the listener in blocking mode, for a thread that accepts its connections.
    pub(crate) fn blocking_listener(&self) -> TcpListener {
        let listener = self.listener.as_ref().unwrap().try_clone().unwrap();
        listener.set_nonblocking(false).unwrap();
        listener
    }

    /// Returns the listener unless the peer is stopped or its accept queue is filled.
    fn accepting(&self) -> Option<&TcpListener> {
        self.listener
            .as_ref()
            .filter(|_| self.queue_fillers.is_empty())
    }

    /// Accepts pending connections and reads from all connections.
    pub(crate) fn read(&mut self) {
        self.accept();
        self.connections.iter_mut().for_each(Connection::read);
    }

    /// Accepts pending connections.
    pub(crate) fn accept(&mut self) {
        while let Some((stream, _)) = self.accepting().and_then(|l| l.accept().ok()) {
            self.connections.push(Connection::new(stream));
        }
    }

    /// Closes the listener and all connections, as the end of the peer's process does.
    pub(crate) fn stop(&mut self) {
        self.listener = None;
        self.connections.clear();
    }

    /// Listens again at the same address after `stop`.
    pub(crate) fn restart(&mut self) {
        self.listener = Peer::from_listener(TcpListener::bind(self.address).unwrap()).listener;
    }

    /// Removes the next complete command from the first connection that has one. Returns the
    /// connection's index and the words of the command.
    pub(crate) fn next_command(&mut self) -> Option<(usize, Vec<String>)> {
        self.connections
            .iter_mut()
            .enumerate()
            .find_map(|(n, c)| Some((n, c.next_command()?)))
    }
}
