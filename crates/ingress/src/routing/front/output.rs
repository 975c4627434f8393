//! What clients are sent: answers in the order of their commands, and the end of a connection
//! behind the last one.

use super::Front;
use crate::protocol::resp;
use crate::routing::client::{Client, Phase};
use crate::routing::core::{Core, Response};
use crate::routing::listener::{busy_reply, connection_id};
use crate::routing::Io;
use crate::transport::Key;
use roseyard_admission::Event;

impl Front {
    pub(super) fn reply(&mut self, key: Key, bytes: &[u8]) {
        if let Some(client) = self.clients.get_mut(key) {
            client.reply(bytes);
        }
    }

    /// Passes an answer on.
    pub fn answer(
        &mut self,
        (key, number): (Key, u64),
        answer: Response,
        core: &mut Core,
        io: &mut Io,
    ) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let served = matches!(answer, Response::Served(_));
        if let Some(id) = client.settle(number, answer_bytes(answer)) {
            self.open.remove(&id);
            self.tell(
                Event::Answered {
                    connection: connection_id(key),
                    served,
                },
                io,
            );
        }
        self.touch(key);
        self.account(key, core, io);
    }

    /// Writes all answers of this round.
    pub fn flush(&mut self, core: &mut Core, io: &mut Io) {
        while let Some(key) = self.dirty.pop() {
            self.flush_client(key, core, io);
        }
    }

    fn flush_client(&mut self, key: Key, core: &mut Core, io: &mut Io) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        client.dirty = false;
        let Ok(unwritten) = client.stream.flush() else {
            return self.gone(key, false, core, io);
        };
        if unwritten > 0 {
            client.stall = client
                .stall
                .or(Some((io.now + io.limits.client_stall, unwritten)));
        } else {
            client.stall = None;
            client.used = if client.first > 0 {
                io.now
            } else {
                client.used
            };
            client.stream.trim(8 * io.limits.chunk_bytes);
        }
        let blocked = std::mem::take(&mut client.blocked);
        if self.draining && !blocked && client.is_over(io.now, &io.limits) {
            // What has come behind the last answer is answered too.
            match client.stream.quiet() {
                true => client.phase = Phase::Ending,
                false => self.queue(key),
            }
        }
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        if unwritten == 0 && client.phase == Phase::Ending && client.pending.is_empty() {
            self.linger(key, core, io);
        } else {
            self.after_flush(key, blocked, io);
        }
        self.account(key, core, io);
        self.arm(key, io);
    }

    /// All is written and no command follows. Closing at once would send a reset if more input has
    /// come, which destroys answers on their way: what comes is thrown away until the other side
    /// ends too.
    fn linger(&mut self, key: Key, core: &mut Core, io: &mut Io) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        client.phase = Phase::Lingering;
        let wait = if self.draining {
            io.limits.last_linger
        } else {
            io.limits.linger
        };
        client.linger = io.now + wait;
        if client.stream.end_sending().is_err() {
            return self.gone(key, false, core, io);
        }
        self.queue(key);
        self.tell(Event::HalfClosed(connection_id(key)), io);
    }

    /// Commands that waited for answers to go out are read on; an idle connection is reported to
    /// admission.
    fn after_flush(&mut self, key: Key, was_blocked: bool, io: &mut Io) {
        let Some(is_idle) = self.clients.get(key).map(Client::is_idle) else {
            return;
        };
        if was_blocked {
            self.queue(key);
        }
        if is_idle {
            self.tell(Event::BecameIdle(connection_id(key)), io);
        }
    }
}

fn answer_bytes(answer: Response) -> Vec<u8> {
    match answer {
        Response::Served(value) => {
            let mut out = Vec::with_capacity(value.len() + 16);
            resp::put_bulk(&mut out, &value);
            out
        }
        Response::Rejected(after) => busy_reply(after),
        Response::Failed => b"-ERR failed\r\n".to_vec(),
    }
}
