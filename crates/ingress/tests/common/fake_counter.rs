//! A fake counter that keeps exact totals.

use super::connection::Connection;
use super::peer::Peer;
use std::collections::BTreeMap;

/// How the counter responds to calls.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum CounterMode {
    /// Replies with the total.
    Replies,
    /// Replies with status 503.
    Rejects,
    /// Receives calls and does not reply.
    Silent,
}

/// A counter that replies to calls in their order.
pub(crate) struct FakeCounter {
    pub peer: Peer,
    pub mode: CounterMode,
    /// Units used, by the name in the call's path.
    pub totals: BTreeMap<String, f64>,
    /// Names in the paths of all calls that have received a reply, in order.
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

    /// Returns the first connection with a call that has no reply; panics if there is none.
    pub(crate) fn connection_with_pending_call(&mut self) -> &mut Connection {
        let mut connections = self.peer.connections.iter_mut();
        connections.find(|c| !c.input.is_empty()).unwrap()
    }

    /// Reads all calls and responds to them as the mode says.
    pub(crate) fn serve(&mut self) {
        self.peer.read();
        for connection in self
            .peer
            .connections
            .iter_mut()
            .filter(|_| self.mode != CounterMode::Silent)
        {
            while let Some(head_end) = connection.input.windows(4).position(|w| w == b"\r\n\r\n") {
                let head: Vec<u8> = connection.input.drain(..head_end + 4).collect();
                let head = String::from_utf8(head).unwrap();
                let call = head
                    .strip_prefix("POST /tally/")
                    .expect("a POST below /tally/")
                    .split(' ')
                    .next()
                    .unwrap();
                let (name, query) = call.split_once("?n=").unwrap();
                let units: f64 = query.split('&').next().unwrap().parse().unwrap();
                self.calls.push(name.to_owned());
                if self.mode == CounterMode::Rejects {
                    connection
                        .send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                let total = self.totals.entry(name.to_owned()).or_default();
                *total += units;
                let body = total.to_string();
                connection.send(format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                ));
            }
        }
    }
}
