//! The counter, as a fake with true totals.

use super::connection::Connection;
use super::peer::Peer;
use std::collections::BTreeMap;

/// What the counter does with calls.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum CounterMode {
    Replies,
    Rejects,
    Silent,
}

/// The counter: replies to calls in order with true totals.
pub(crate) struct FakeCounter {
    pub peer: Peer,
    pub mode: CounterMode,
    pub totals: BTreeMap<String, f64>,
    pub calls: Vec<String>,
}

impl FakeCounter {
    pub(crate) fn new() -> FakeCounter {
        let (peer, mode) = (Peer::new(), CounterMode::Replies);
        FakeCounter {
            peer,
            mode,
            totals: BTreeMap::new(),
            calls: Vec::new(),
        }
    }

    /// The connection with a call that has no reply.
    pub(crate) fn connection_with_pending_call(&mut self) -> &mut Connection {
        let mut connections = self.peer.connections.iter_mut();
        connections.find(|end| !end.input.is_empty()).unwrap()
    }

    /// Reads all calls, and replies to them by its mode.
    pub(crate) fn serve(&mut self) {
        self.peer.read();
        for end in self
            .peer
            .connections
            .iter_mut()
            .filter(|_| self.mode != CounterMode::Silent)
        {
            while let Some(at) = end.input.windows(4).position(|w| w == b"\r\n\r\n") {
                let head: Vec<u8> = end.input.drain(..at + 4).collect();
                let head = String::from_utf8(head).unwrap();
                let call = head
                    .strip_prefix("POST /tally/")
                    .expect("a call")
                    .split(' ')
                    .next()
                    .unwrap();
                let (name, rest) = call.split_once("?n=").unwrap();
                let add: f64 = rest.split('&').next().unwrap().parse().unwrap();
                self.calls.push(name.to_owned());
                if self.mode == CounterMode::Rejects {
                    end.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                let total = self.totals.entry(name.to_owned()).or_default();
                *total += add;
                let body = total.to_string();
                end.send(format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                ));
            }
        }
    }
}
