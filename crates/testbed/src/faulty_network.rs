//! Faults on the datagrams between members: each pair of them has a path of its own through here,
//! in each direction.
//!
//! The fate of the n-th datagram of a direction follows from the seed, the direction, n and the
//! rules in force ([`datagram_faults`]) and from nothing else, so that the same seed and rules give
//! the same faults in the same order.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::runtime::Handle;

/// Longest datagram that is passed on, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// The faults in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rules {
    /// Nothing passes.
    pub cut: bool,
    /// Share of datagrams that is lost.
    pub loss: f64,
    /// Share that is duplicated.
    pub twice: f64,
    /// Share of which one bit is changed.
    pub garble: f64,
    /// Shortest and longest delay, uniformly distributed, so that datagrams are reordered.
    pub delay: (Duration, Duration),
}

impl Rules {
    /// Nothing passes.
    #[must_use]
    pub fn cut() -> Rules {
        Rules {
            cut: true,
            ..Rules::default()
        }
    }
}

/// What happens to one datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct DatagramFaults {
    /// The delays of its copies; empty if it is lost.
    pub copy_delays: Vec<Duration>,
    /// The change of one of its bytes, if any.
    pub corruption: Option<Corruption>,
}

/// A change of one byte of a datagram.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Corruption {
    /// The byte's position as a share of the length.
    pub position: f64,
    /// The bits that are flipped.
    pub flipped_bits: u8,
}

impl Corruption {
    fn apply(self, bytes: &mut [u8]) {
        let length = bytes.len();
        if length > 0 {
            let index = ((length as f64 * self.position) as usize).min(length - 1);
            bytes[index] ^= self.flipped_bits;
        }
    }
}

/// A direction: from this member to that one.
pub type Direction = (usize, usize);

/// The fate of the n-th datagram of a direction.
#[must_use]
pub fn datagram_faults(seed: u64, direction: Direction, n: u64, rules: &Rules) -> DatagramFaults {
    let (from, to) = direction;
    let mixed = seed ^ (from as u64) << 56 ^ (to as u64) << 48 ^ n;
    let mut random = StdRng::seed_from_u64(mixed);
    // All are drawn, whatever the rules: a change of one does not shift the others.
    let [loss, duplication, corruption, position]: [f64; 4] = random.random();
    let delays: [f64; 2] = random.random();
    let flipped_bits = 1 << random.random_range(0..8);
    if rules.cut || loss < rules.loss {
        return DatagramFaults {
            copy_delays: Vec::new(),
            corruption: None,
        };
    }
    let (shortest, longest) = rules.delay;
    let range = longest.saturating_sub(shortest);
    let copies = 1 + usize::from(duplication < rules.twice);
    let copy_delays = delays[..copies]
        .iter()
        .map(|part| shortest + range.mul_f64(*part))
        .collect();
    let corruption = (corruption < rules.garble).then_some(Corruption {
        position,
        flipped_bits,
    });
    DatagramFaults {
        copy_delays,
        corruption,
    }
}

#[derive(Default)]
struct NetworkState {
    /// Where each member listens.
    listeners: BTreeMap<usize, SocketAddr>,
    rules: BTreeMap<Direction, Rules>,
    /// The fate of each datagram of a direction, in order.
    trace: BTreeMap<Direction, Vec<DatagramFaults>>,
}

/// The paths among all members.
pub struct FaultyNetwork {
    relay_addresses: Vec<Vec<SocketAddr>>,
    state: Arc<Mutex<NetworkState>>,
}

fn locked(state: &Mutex<NetworkState>) -> MutexGuard<'_, NetworkState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn bind_relays(members: usize, runtime: &Handle) -> io::Result<Vec<Vec<Arc<UdpSocket>>>> {
    let bind = || {
        runtime
            .block_on(UdpSocket::bind("127.0.0.1:0"))
            .map(Arc::new)
    };
    (0..members)
        .map(|_| (0..members).map(|_| bind()).collect())
        .collect()
}

impl FaultyNetwork {
    /// Paths among this many members, carried on this runtime until it ends.
    pub fn start(members: usize, seed: u64, runtime: &Handle) -> io::Result<FaultyNetwork> {
        let state = Arc::new(Mutex::new(NetworkState::default()));
        let sockets = bind_relays(members, runtime)?;
        let relay_addresses = sockets
            .iter()
            .map(|row| row.iter().map(|socket| socket.local_addr()).collect())
            .collect::<io::Result<_>>()?;
        for (from, row) in sockets.iter().enumerate() {
            for (to, socket) in row.iter().enumerate().filter(|(to, _)| *to != from) {
                let relay = Relay {
                    incoming: Arc::clone(socket),
                    outgoing: Arc::clone(&sockets[to][from]),
                    direction: (from, to),
                    seed,
                    state: Arc::clone(&state),
                };
                runtime.spawn(relay.run());
            }
        }
        Ok(FaultyNetwork {
            relay_addresses,
            state,
        })
    }

    /// Where a member sends its datagrams for another.
    #[must_use]
    pub fn relay_address(&self, from: usize, to: usize) -> SocketAddr {
        self.relay_addresses[from][to]
    }

    /// Sets where a member listens from now on.
    pub fn set_listener(&self, member: usize, address: SocketAddr) {
        locked(&self.state).listeners.insert(member, address);
    }

    /// Sets the rules of one direction from now on.
    pub fn set(&self, direction: Direction, rules: Rules) {
        locked(&self.state).rules.insert(direction, rules);
    }

    /// Sets the rules of all directions from now on.
    pub fn set_all(&self, rules: Rules) {
        let members = self.relay_addresses.len();
        for from in 0..members {
            for to in 0..members {
                self.set((from, to), rules);
            }
        }
    }

    /// Cuts both directions between each member of one side and each of the other.
    pub fn split(&self, one_side: &[usize], other_side: &[usize]) {
        for one in one_side {
            for other in other_side {
                self.set((*one, *other), Rules::cut());
                self.set((*other, *one), Rules::cut());
            }
        }
    }

    /// The fates of the datagrams of a direction so far.
    #[must_use]
    pub fn trace(&self, direction: Direction) -> Vec<DatagramFaults> {
        locked(&self.state)
            .trace
            .get(&direction)
            .cloned()
            .unwrap_or_default()
    }
}

/// The path of one direction.
struct Relay {
    incoming: Arc<UdpSocket>,
    /// The socket of the opposite direction: replies go there.
    outgoing: Arc<UdpSocket>,
    direction: Direction,
    seed: u64,
    state: Arc<Mutex<NetworkState>>,
}

impl Relay {
    async fn run(self) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            // An error reports that an earlier datagram met a closed port: the next may pass.
            let Ok((length, _)) = self.incoming.recv_from(&mut buffer).await else {
                continue;
            };
            let (faults, destination) = self.next_faults();
            let Some(destination) = destination else {
                continue;
            };
            let mut bytes = buffer[..length].to_vec();
            if let Some(corruption) = faults.corruption {
                corruption.apply(&mut bytes);
            }
            for copy_delay in faults.copy_delays {
                self.send_after(copy_delay, bytes.clone(), destination)
                    .await;
            }
        }
    }

    /// Decides and records the fate of the next datagram; also where the receiver listens.
    fn next_faults(&self) -> (DatagramFaults, Option<SocketAddr>) {
        let mut state = locked(&self.state);
        let rules = state
            .rules
            .get(&self.direction)
            .copied()
            .unwrap_or_default();
        let trace = state.trace.entry(self.direction).or_default();
        let faults = datagram_faults(self.seed, self.direction, trace.len() as u64, &rules);
        trace.push(faults.clone());
        let destination = state.listeners.get(&self.direction.1).copied();
        (faults, destination)
    }

    async fn send_after(&self, delay: Duration, bytes: Vec<u8>, destination: SocketAddr) {
        if delay.is_zero() {
            let _ = self.outgoing.send_to(&bytes, destination).await;
            return;
        }
        let outgoing = Arc::clone(&self.outgoing);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = outgoing.send_to(&bytes, destination).await;
        });
    }
}
