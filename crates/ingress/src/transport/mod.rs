//! Sockets, readiness and buffers. Knows bytes and connections, not what they mean.

pub mod datagrams;
pub mod deadlines;
pub mod poller;
pub mod stream;

pub use datagrams::Datagrams;
pub use deadlines::Deadlines;
pub use poller::{Poller, Ready};
pub use roseyard_request_engine::{Key, Slots};
pub use stream::{
    accept, allowed, connect, is_fd_shortage, listen, listening_at, spare, Fill, Stream,
};
