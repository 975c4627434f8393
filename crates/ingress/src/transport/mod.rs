//! Sockets, readiness notification, buffers and deadlines. This layer does not interpret the bytes
//! that it transfers.

pub mod datagrams;
pub mod deadlines;
pub mod poller;
pub mod stream;

pub use datagrams::DatagramSocket;
pub use deadlines::Deadlines;
pub use poller::{Poller, Ready};
pub use roseyard_request_engine::{Key, Slots};
pub use stream::{
    accept, connect, is_fd_shortage, listen, listener_address, max_descriptors,
    open_spare_descriptor, ReadOutcome, Stream,
};
