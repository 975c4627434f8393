//! Fault injection for the membership datagrams of a fleet. Each ordered pair of members has its
//! own UDP relay.
//!
//! The faults of the n-th datagram of a direction depend only on the seed, the direction, n and the
//! current rules ([`datagram_faults`]), so that the same seed and rules give the same faults in the
//! same order.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::runtime::Handle;

/// The maximum length of a relayed datagram; longer ones are truncated.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// The fault rules of one direction. The default relays every datagram unchanged and without delay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rules {
    /// Whether all datagrams are dropped.
    pub cut: bool,
    /// The probability that a datagram is dropped, 0 to 1.
    pub loss: f64,
    /// The probability that a datagram is duplicated, 0 to 1.
    pub twice: f64,
    /// The probability that one bit of a datagram is flipped, 0 to 1.
    pub garble: f64,
    /// The minimum and maximum delay. Delays are uniformly distributed and may reorder datagrams.
    pub delay: (Duration, Duration),
}

impl Rules {
    /// Returns rules that drop all datagrams.
    #[must_use]
    pub fn cut() -> Rules {
        Rules {
            cut: true,
            ..Rules::default()
        }
    }
}

/// The faults that are applied to one datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct DatagramFaults {
    /// The delay of each copy that is sent; empty if the datagram is dropped.
    pub copy_delays: Vec<Duration>,
    /// The corruption that all copies share; `None` if they are sent unchanged.
    pub corruption: Option<Corruption>,
}

/// A corruption of one byte of a datagram.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Corruption {
    /// The position of the byte as a ratio of the datagram length, 0 to 1.
    pub position: f64,
    /// The mask of the bits to flip.
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

/// The numbers of the sending and of the receiving member.
pub type Direction = (usize, usize);

/// Returns the faults of the n-th datagram of a direction.
#[must_use]
pub fn datagram_faults(seed: u64, direction: Direction, n: u64, rules: &Rules) -> DatagramFaults {
    let (from, to) = direction;
    let datagram_seed = seed ^ (from as u64) << 56 ^ (to as u64) << 48 ^ n;
    let mut random = StdRng::seed_from_u64(datagram_seed);
    // All numbers are drawn whatever the rules, so that changing one rule does not change the
    // random numbers of the others.
    let [loss_draw, duplication_draw, corruption_draw, position]: [f64; 4] = random.random();
    let delay_ratios: [f64; 2] = random.random();
    let flipped_bits = 1 << random.random_range(0..8);
    if rules.cut || loss_draw < rules.loss {
        return DatagramFaults {
            copy_delays: Vec::new(),
            corruption: None,
        };
    }
    let (min_delay, max_delay) = rules.delay;
    let range = max_delay.saturating_sub(min_delay);
    let copies = 1 + usize::from(duplication_draw < rules.twice);
    let copy_delays = delay_ratios[..copies]
        .iter()
        .map(|ratio| min_delay + range.mul_f64(*ratio))
        .collect();
    let corruption = (corruption_draw < rules.garble).then_some(Corruption {
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
    /// The address on which each member listens.
    listeners: BTreeMap<usize, SocketAddr>,
    rules: BTreeMap<Direction, Rules>,
    /// The faults of each datagram of a direction, in the order of arrival.
    trace: BTreeMap<Direction, Vec<DatagramFaults>>,
}

/// The relays between all members of a fleet.
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
    /// Starts the relays between this many members. They run until the runtime is shut down.
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

    /// Returns the address to which member `from` sends its datagrams for member `to`.
    #[must_use]
    pub fn relay_address(&self, from: usize, to: usize) -> SocketAddr {
        self.relay_addresses[from][to]
    }

    /// Sets the address on which a member listens. Datagrams to a member without one are dropped.
    pub fn set_listener(&self, member: usize, address: SocketAddr) {
        locked(&self.state).listeners.insert(member, address);
    }

    /// Sets the rules for later datagrams of one direction.
    pub fn set(&self, direction: Direction, rules: Rules) {
        locked(&self.state).rules.insert(direction, rules);
    }

    /// Sets the rules for later datagrams of all directions.
    pub fn set_all(&self, rules: Rules) {
        let members = self.relay_addresses.len();
        for from in 0..members {
            for to in 0..members {
                self.set((from, to), rules);
            }
        }
    }

    /// Drops all later datagrams between members of one side and members of the other.
    pub fn split(&self, one_side: &[usize], other_side: &[usize]) {
        for one in one_side {
            for other in other_side {
                self.set((*one, *other), Rules::cut());
                self.set((*other, *one), Rules::cut());
            }
        }
    }

    /// Returns the faults of all datagrams of a direction so far, in the order of arrival.
    #[must_use]
    pub fn trace(&self, direction: Direction) -> Vec<DatagramFaults> {
        locked(&self.state)
            .trace
            .get(&direction)
            .cloned()
            .unwrap_or_default()
    }
}

/// Relays the datagrams of one direction.
struct Relay {
    incoming: Arc<UdpSocket>,
    /// The socket of the opposite direction. Datagrams are sent from it, so that replies to their
    /// source address pass through the opposite relay.
    outgoing: Arc<UdpSocket>,
    direction: Direction,
    seed: u64,
    state: Arc<Mutex<NetworkState>>,
}

impl Relay {
    async fn run(self) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            // The error means that an earlier datagram was sent to a closed port. Later datagrams
            // can still be received.
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

    /// Determines and records the faults of the next datagram. Also returns the address on which
    /// the receiver listens; `None` if it is not known.
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
