//! Faults on the datagrams between members: each pair of them has a path of its own through here,
//! in each direction.
//!
//! What happens to the n-th datagram of a direction follows from the seed, the direction, n and the
//! rules in force ([`fate`]) and from nothing else, so that the same seed and rules give the same
//! faults in the same order.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::runtime::Handle;

/// What happens to datagrams in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rules {
    /// Nothing passes.
    pub cut: bool,
    /// Share that is lost.
    pub loss: f64,
    /// Share that comes twice.
    pub twice: f64,
    /// Share of which one byte is changed.
    pub garble: f64,
    /// Least and most delay, drawn evenly: datagrams overtake one another within it.
    pub delay: (Duration, Duration),
}

/// What happens to one datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct Fate {
    /// When its copies arrive; none: it is lost.
    pub after: Vec<Duration>,
    /// The byte that is changed, as a share of its length, and by what.
    pub garbled: Option<(f64, u8)>,
}

/// A direction: from this member to that one.
pub type Way = (usize, usize);

/// What happens to the n-th datagram of a direction.
pub fn fate(seed: u64, way: Way, n: u64, rules: &Rules) -> Fate {
    let mixed = seed ^ (way.0 as u64) << 56 ^ (way.1 as u64) << 48 ^ n;
    let mut rng = StdRng::seed_from_u64(mixed);
    // All are drawn, whatever the rules: a change of one does not shift the others.
    let [lost, twice, garbled, place]: [f64; 4] = rng.random();
    let delays: [f64; 2] = rng.random();
    let bit = 1 << rng.random_range(0..8);
    if rules.cut || lost < rules.loss {
        return Fate {
            after: Vec::new(),
            garbled: None,
        };
    }
    let spread = rules.delay.1.saturating_sub(rules.delay.0);
    let copies = 1 + usize::from(twice < rules.twice);
    let after = delays[..copies]
        .iter()
        .map(|d| rules.delay.0 + spread.mul_f64(*d))
        .collect();
    Fate {
        after,
        garbled: (garbled < rules.garble).then_some((place, bit)),
    }
}

#[derive(Default)]
struct State {
    /// Where members really listen.
    real: BTreeMap<usize, SocketAddr>,
    rules: BTreeMap<Way, Rules>,
    /// What happened to each datagram of a direction, in order.
    trace: BTreeMap<Way, Vec<Fate>>,
}

/// The paths among all members.
pub struct Net {
    doors: Vec<Vec<SocketAddr>>,
    state: Arc<Mutex<State>>,
}

fn locked(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Net {
    /// Paths among so many members, carried on this runtime until it ends.
    pub fn start(members: usize, seed: u64, runtime: &Handle) -> io::Result<Net> {
        let state = Arc::new(Mutex::new(State::default()));
        let sockets: Vec<Vec<Arc<UdpSocket>>> = (0..members)
            .map(|_| {
                (0..members)
                    .map(|_| {
                        runtime
                            .block_on(UdpSocket::bind("127.0.0.1:0"))
                            .map(Arc::new)
                    })
                    .collect()
            })
            .collect::<io::Result<_>>()?;
        let doors = sockets
            .iter()
            .map(|row| row.iter().map(|s| s.local_addr()).collect())
            .collect::<io::Result<_>>()?;
        for (from, row) in sockets.iter().enumerate() {
            for (to, door) in row.iter().enumerate().filter(|(to, _)| *to != from) {
                let back = Arc::clone(&sockets[to][from]);
                runtime.spawn(carry(
                    Arc::clone(door),
                    back,
                    (from, to),
                    seed,
                    Arc::clone(&state),
                ));
            }
        }
        Ok(Net { doors, state })
    }

    /// Where a member sends what is for another.
    pub fn door(&self, from: usize, to: usize) -> SocketAddr {
        self.doors[from][to]
    }

    /// A member listens here from now on.
    pub fn listens(&self, member: usize, at: SocketAddr) {
        locked(&self.state).real.insert(member, at);
    }

    /// These rules hold in one direction from now on.
    pub fn set(&self, way: Way, rules: Rules) {
        locked(&self.state).rules.insert(way, rules);
    }

    /// These rules hold in all directions from now on.
    pub fn set_all(&self, rules: Rules) {
        let members = self.doors.len();
        (0..members).for_each(|a| (0..members).for_each(|b| self.set((a, b), rules)));
    }

    /// Nothing passes between these and those, in either direction.
    pub fn split(&self, these: &[usize], those: &[usize]) {
        for (a, b) in these
            .iter()
            .flat_map(|a| those.iter().map(move |b| (*a, *b)))
        {
            self.set(
                (a, b),
                Rules {
                    cut: true,
                    ..Rules::default()
                },
            );
            self.set(
                (b, a),
                Rules {
                    cut: true,
                    ..Rules::default()
                },
            );
        }
    }

    /// What happened to the datagrams of a direction so far.
    pub fn trace(&self, way: Way) -> Vec<Fate> {
        locked(&self.state)
            .trace
            .get(&way)
            .cloned()
            .unwrap_or_default()
    }
}

/// Takes what a member sends to another and passes it on, from where that one sends back.
async fn carry(
    door: Arc<UdpSocket>,
    back: Arc<UdpSocket>,
    way: Way,
    seed: u64,
    state: Arc<Mutex<State>>,
) {
    let mut space = [0; 2048];
    loop {
        // An error is word that an earlier datagram met a closed port: the next may pass.
        let Ok((length, _)) = door.recv_from(&mut space).await else {
            continue;
        };
        let (fate, to) = {
            let mut state = locked(&state);
            let rules = state.rules.get(&way).copied().unwrap_or_default();
            let trace = state.trace.entry(way).or_default();
            let fate = fate(seed, way, trace.len() as u64, &rules);
            trace.push(fate.clone());
            (fate, state.real.get(&way.1).copied())
        };
        let Some(to) = to else { continue };
        let mut bytes = space[..length].to_vec();
        if let Some((place, bit)) = fate.garbled.filter(|_| length > 0) {
            bytes[((length as f64 * place) as usize).min(length - 1)] ^= bit;
        }
        for after in fate.after {
            if after.is_zero() {
                let _ = back.send_to(&bytes, to).await;
                continue;
            }
            let (back, bytes) = (Arc::clone(&back), bytes.clone());
            tokio::spawn(async move {
                tokio::time::sleep(after).await;
                let _ = back.send_to(&bytes, to).await;
            });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_seed_gives_the_same_faults_in_the_same_order() {
        let ms = Duration::from_millis;
        let rules = Rules {
            cut: false,
            loss: 0.3,
            twice: 0.3,
            garble: 0.1,
            delay: (ms(1), ms(200)),
        };
        let play = |seed, way| {
            (0..2000)
                .map(|n| fate(seed, way, n, &rules))
                .collect::<Vec<_>>()
        };
        assert_eq!(play(5, (0, 1)), play(5, (0, 1)));
        assert_ne!(
            play(5, (0, 1)),
            play(5, (1, 0)),
            "each direction has its own"
        );
        assert_ne!(play(5, (0, 1)), play(6, (0, 1)));
        let lost = play(5, (0, 1))
            .iter()
            .filter(|f| f.after.is_empty())
            .count();
        assert!((500..700).contains(&lost), "{lost} of 2000 at 0.3");
        let cut = Rules { cut: true, ..rules };
        assert!((0..100).all(|n| fate(5, (0, 1), n, &cut).after.is_empty()));
    }

    #[test]
    fn datagrams_go_through_to_whoever_listens_and_come_from_the_way_back() {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let net = Net::start(2, 1, runtime.handle()).unwrap();
        let ends: Vec<_> = (0..2)
            .map(|_| std::net::UdpSocket::bind("127.0.0.1:0").unwrap())
            .collect();
        for (n, end) in ends.iter().enumerate() {
            end.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
            net.listens(n, end.local_addr().unwrap());
        }
        let mut space = [0; 64];
        ends[0].send_to(b"hello", net.door(0, 1)).unwrap();
        let (length, from) = ends[1].recv_from(&mut space).unwrap();
        assert_eq!((&space[..length], from), (&b"hello"[..], net.door(1, 0)));
        net.set(
            (1, 0),
            Rules {
                garble: 1.0,
                ..Rules::default()
            },
        );
        ends[1].send_to(b"answer", from).unwrap();
        let (length, _) = ends[0].recv_from(&mut space).unwrap();
        let changed = space[..length]
            .iter()
            .zip(b"answer")
            .filter(|(a, b)| a != b)
            .count();
        assert_eq!((length, changed), (6, 1));
        assert_eq!(net.trace((1, 0)).len(), 1);
    }
}
