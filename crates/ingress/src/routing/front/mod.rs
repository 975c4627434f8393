//! The platform's front: clients' connections, their commands in order, their answers in the same
//! order.

mod input;
mod output;

use super::client::{Client, Pending, Phase};
use super::commands::Terms;
use super::core::Core;
use super::listener::{connection_id, turn_away, Accepted, Listener};
use super::{Io, Party};
use crate::limits::Limits;
use crate::transport::{spare, Key, Slots, Stream};
use roseyard_admission::{
    Action, AdmissionController, AdmissionPolicy, DescriptorUse, Event, Reputation,
};
use rustix::fd::OwnedFd;
use std::collections::HashSet;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// All clients.
pub struct Front {
    listener: Listener,
    clients: Slots<Client>,
    terms: Terms,
    /// Numbers of the requests that are open, as their clients gave them.
    open: HashSet<u64>,
    /// Bytes held for all clients.
    held: usize,
    dirty: Vec<Key>,
    /// Clients that go on in the next round.
    again: Vec<Key>,
    /// Connections end once they are between requests.
    draining: bool,
    /// Stands for what is thrown away; never written to.
    scratch: Vec<u8>,
    /// Is `PING` answered?
    pub ready: bool,
}

/// Takes a connection out of the tables; its socket closes with what is handed back.
fn close(key: Key, clients: &mut Slots<Client>, held: &mut usize, io: &mut Io) -> Option<Client> {
    let mut client = clients.remove(key)?;
    io.deadlines.set(&mut client.due, None, Party::Client(key));
    io.budget.release(DescriptorUse::Clients);
    *held -= client.held;
    Some(client)
}

/// Closes a connection that admission has named. Whom it turns away or refuses is seen to where
/// that was asked.
fn carry_out(action: Action, clients: &mut Slots<Client>, held: &mut usize, io: &mut Io) {
    if let Action::Close { connection, .. } = action {
        close(Key::unpack(connection.0), clients, held, io);
    }
}

/// How long a connection may rest; while the process ends, only as long as a newcomer's first
/// request may take.
fn idle_timeout_of(
    controller: &AdmissionController,
    key: Key,
    draining: bool,
    limits: &Limits,
) -> Duration {
    let idle_timeout_of = controller.idle_timeout_of(connection_id(key));
    if draining {
        idle_timeout_of.min(limits.drain_newcomer)
    } else {
        idle_timeout_of
    }
}

impl Front {
    /// Listens for clients; `secret` keeps others from choosing addresses that collide in tables.
    pub fn new(
        listener: OwnedFd,
        terms: Terms,
        policy: AdmissionPolicy,
        secret: u64,
        io: &mut Io,
    ) -> rustix::io::Result<Front> {
        Ok(Front {
            listener: Listener::new(listener, policy, secret, io)?,
            clients: Slots::default(),
            terms,
            open: HashSet::new(),
            held: 0,
            dirty: Vec::new(),
            again: Vec::new(),
            draining: false,
            scratch: vec![0; io.limits.round_discard],
            ready: false,
        })
    }

    /// Requests carry their route in this field from now on.
    pub fn set_route_field(&mut self, field: Option<&str>) {
        self.terms.route_field = field.map(str::to_owned);
    }

    /// Where it listens.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.address()
    }

    /// Clients connected.
    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// Is nobody connected?
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// Requests that are open, by their clients' numbers, and bytes held for all clients.
    pub fn held(&self) -> (usize, usize) {
        (self.open.len(), self.held)
    }

    /// Has some client more to say that waits for the next round?
    pub fn has_more(&self) -> bool {
        !self.again.is_empty()
    }

    /// Connections wait at the listener.
    pub fn accept(&mut self, most: usize, core: &mut Core, io: &mut Io) {
        for _ in 0..most {
            match self.listener.accept(io) {
                Accepted::Connection(stream, peer) => self.take_in(stream, peer, core, io),
                Accepted::Nothing => return,
                Accepted::Failed => {}
                Accepted::Shortage => {
                    if !core.evict_idle(io) && !self.make_room(io) {
                        return self.listener.turn_away_one(io);
                    }
                }
            }
        }
    }

    /// Sees to it that a spare descriptor is held again after it was used.
    pub fn keep_spare(&mut self, io: &mut Io) {
        if io.spare.is_none() {
            io.spare = spare();
            if io.spare.is_none() && self.make_room(io) {
                io.spare = spare();
            }
        }
    }

    /// A connection was accepted: it stays if admission and the descriptors allow.
    fn take_in(&mut self, stream: Stream, peer: IpAddr, core: &mut Core, io: &mut Io) {
        let key = self.clients.insert_with(|_| Client::new(stream, io.now));
        let mut away = None;
        let event = Event::Connected {
            connection: connection_id(key),
            peer_address: peer,
        };
        let (listener, clients, held) = (&mut self.listener, &mut self.clients, &mut self.held);
        listener.handle(event, io, |action, io| match action {
            Action::RejectConnection { retry_after, .. } => away = Some(retry_after),
            _ => carry_out(action, clients, held, io),
        });
        if let Some(after) = away {
            if let Some(client) = self.clients.remove(key) {
                turn_away(client.stream, after);
            }
            return;
        }
        // Servers may have borrowed the descriptor that this place stands for.
        if !core.take_descriptor(DescriptorUse::Clients, io) {
            self.listener.handle(
                Event::Closed {
                    connection: connection_id(key),
                    client_fault: false,
                },
                io,
                |_, _| (),
            );
            if let Some(client) = self.clients.remove(key) {
                turn_away(client.stream, self.listener.controller.policy().retry_after);
            }
            return;
        }
        let client = self.clients.get(key);
        if client.is_some_and(|c| {
            io.poller
                .add(c.stream.fd(), Party::Client(key).token())
                .is_err()
        }) {
            self.close(key, false, io);
        }
        self.arm(key, io);
    }

    /// Closes the connection between requests that is to go first; false if there is none.
    fn make_room(&mut self, io: &mut Io) -> bool {
        let before = self.clients.len();
        self.tell(Event::DescriptorsExhausted, io);
        self.clients.len() < before
    }

    /// Tells admission, and closes what is to be closed.
    fn tell(&mut self, event: Event, io: &mut Io) {
        let (listener, clients, held) = (&mut self.listener, &mut self.clients, &mut self.held);
        listener.handle(event, io, |action, io| carry_out(action, clients, held, io));
    }

    /// Admission goes by other settings from now on.
    pub fn set_policy(&mut self, policy: AdmissionPolicy, io: &mut Io) {
        for action in self.listener.set_policy(policy, io) {
            carry_out(action, &mut self.clients, &mut self.held, io);
        }
    }

    /// Admission, with what is known of clients.
    pub fn controller(&self) -> &AdmissionController {
        &self.listener.controller
    }

    /// Admission, to be told what was known before the start.
    pub fn gate_mut(&mut self) -> &mut AdmissionController {
        &mut self.listener.controller
    }

    /// It is time to tell what admission did.
    pub fn on_report_due(&mut self) {
        self.listener.on_report_due();
    }

    /// The listener's pause is over.
    pub fn on_listener_due(&mut self, io: &mut Io) {
        self.listener.resume(io);
    }

    /// Ends a connection; `fault` if that speaks against its address.
    fn close(&mut self, key: Key, fault: bool, io: &mut Io) -> Option<Client> {
        let client = close(key, &mut self.clients, &mut self.held, io)?;
        self.tell(
            Event::Closed {
                connection: connection_id(key),
                client_fault: fault,
            },
            io,
        );
        Some(client)
    }

    /// The client is gone: what it waited for is called off.
    fn gone(&mut self, key: Key, fault: bool, core: &mut Core, io: &mut Io) {
        let Some(client) = self.close(key, fault, io) else {
            return;
        };
        for pending in client.pending {
            if let Pending::Waiting(request, id) = pending {
                self.open.remove(&id);
                core.cancel_request(request);
            }
        }
    }

    /// Counts what a client's connection holds. Over the limit for all, those that hold most are
    /// dropped.
    fn account(&mut self, key: Key, core: &mut Core, io: &mut Io) {
        if let Some(client) = self.clients.get_mut(key) {
            let held = client.stream.input().len() + client.stream.unwritten() + client.waiting;
            self.held = self.held - client.held + held;
            client.held = held;
        }
        while self.held > io.limits.client_bytes {
            let most = self
                .clients
                .iter()
                .max_by_key(|(_, c)| c.held)
                .map(|(key, _)| key);
            let Some(most) = most else { return };
            tracing::warn!(
                event = "clients.memory_limit",
                "client memory limit reached, closing the largest client"
            );
            self.gone(most, true, core, io);
        }
    }

    /// Sees to it that the client's next deadline is heard of; a later one waits for the one that
    /// is set.
    fn arm(&mut self, key: Key, io: &mut Io) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let idle_timeout_of =
            idle_timeout_of(&self.listener.controller, key, self.draining, &io.limits);
        let Some(at) = client.next_due(idle_timeout_of, &io.limits) else {
            return;
        };
        if client.due.is_none_or(|due| at < due) {
            io.deadlines
                .set(&mut client.due, Some(at), Party::Client(key));
        }
    }

    fn touch(&mut self, key: Key) {
        if let Some(client) = self.clients.get_mut(key).filter(|c| !c.dirty) {
            client.dirty = true;
            self.dirty.push(key);
        }
    }

    fn queue(&mut self, key: Key) {
        if let Some(client) = self.clients.get_mut(key).filter(|c| !c.queued) {
            client.queued = true;
            self.again.push(key);
        }
    }

    /// A client's deadline has come: it says nothing, reads nothing, stops amid a command or does
    /// not end.
    pub fn on_client_due(&mut self, key: Key, core: &mut Core, io: &mut Io) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        client.due = None;
        let unwritten = client.stream.unwritten();
        client.stall = client
            .stall
            .map(|(at, before)| match at <= io.now && unwritten < before {
                true => (io.now + io.limits.client_stall, unwritten),
                false => (at, before),
            });
        let idle_timeout_of =
            idle_timeout_of(&self.listener.controller, key, self.draining, &io.limits);
        if client
            .next_due(idle_timeout_of, &io.limits)
            .is_none_or(|at| at > io.now)
        {
            return self.arm(key, io);
        }
        let stalled = client.stall.is_some_and(|(at, _)| at <= io.now);
        let mut fault = stalled;
        if client.phase == Phase::Open && !stalled {
            if client.begun.take().is_some() {
                client.protocol_error("command not finished in time");
                self.tell(Event::ProtocolError(connection_id(key)), io);
                return self.touch(key);
            }
            // What has just come is still read.
            if !client.stream.quiet() {
                return self.read(key, core, io);
            }
            if self.draining {
                return self.touch(key);
            }
            fault = self
                .listener
                .controller
                .reputation(connection_id(key), io.now)
                <= Some(Reputation::NoCommand);
        }
        self.gone(key, fault, core, io);
    }

    /// Takes in what still waits at the listener, then ends the connections, each after its last
    /// answer. What comes from now on is refused at once: an answer to it might come later than the
    /// end of the process.
    pub fn drain(&mut self, core: &mut Core, io: &mut Io) {
        self.accept(io.limits.backlog.unsigned_abs() as usize, core, io);
        self.listener.close(io);
        let keys: Vec<Key> = self.clients.iter().map(|(key, _)| key).collect();
        for key in &keys {
            if let Some(client) = self
                .clients
                .get_mut(*key)
                .filter(|c| c.phase == Phase::Lingering)
            {
                client.linger = client.linger.min(io.now + io.limits.last_linger);
            }
            self.read(*key, core, io);
        }
        self.draining = true;
        for key in keys {
            self.touch(key);
            self.arm(key, io);
        }
    }

    /// Every request has had its answer: no connection is waited for any longer.
    pub fn stop(&mut self) {
        let keys: Vec<Key> = self.clients.iter().map(|(key, _)| key).collect();
        for key in keys {
            if let Some(client) = self.clients.get_mut(key).filter(|c| c.phase == Phase::Open) {
                client.phase = Phase::Ending;
            }
            self.touch(key);
        }
    }
}
