//! The faulty network derives its faults from the seed, and relays datagrams in both directions.

use roseyard_testbed::faulty_network::{datagram_faults, FaultyNetwork, Rules};
use std::time::Duration;

#[test]
fn equal_seeds_give_equal_faults_in_the_same_order() {
    let ms = Duration::from_millis;
    let rules = Rules {
        cut: false,
        loss: 0.3,
        twice: 0.3,
        garble: 0.1,
        delay: (ms(1), ms(200)),
    };
    let faults_of = |seed, direction| {
        (0..2000)
            .map(|n| datagram_faults(seed, direction, n, &rules))
            .collect::<Vec<_>>()
    };
    assert_eq!(faults_of(5, (0, 1)), faults_of(5, (0, 1)));
    assert_ne!(
        faults_of(5, (0, 1)),
        faults_of(5, (1, 0)),
        "both directions have the same faults"
    );
    assert_ne!(faults_of(5, (0, 1)), faults_of(6, (0, 1)));
    let lost = faults_of(5, (0, 1))
        .iter()
        .filter(|faults| faults.copy_delays.is_empty())
        .count();
    assert!(
        (500..700).contains(&lost),
        "{lost} of 2000 datagrams were lost at a ratio of 0.3"
    );
    let cut = Rules { cut: true, ..rules };
    assert!((0..100).all(|n| datagram_faults(5, (0, 1), n, &cut).copy_delays.is_empty()));
}

#[test]
fn datagrams_reach_the_listener_from_the_address_of_the_opposite_relay() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let network = FaultyNetwork::start(2, 1, runtime.handle()).unwrap();
    let sockets: Vec<_> = (0..2)
        .map(|_| std::net::UdpSocket::bind("127.0.0.1:0").unwrap())
        .collect();
    for (n, socket) in sockets.iter().enumerate() {
        socket
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        network.set_listener(n, socket.local_addr().unwrap());
    }
    let mut buffer = [0; 64];
    sockets[0]
        .send_to(b"hello", network.relay_address(0, 1))
        .unwrap();
    let (length, from) = sockets[1].recv_from(&mut buffer).unwrap();
    assert_eq!(
        (&buffer[..length], from),
        (&b"hello"[..], network.relay_address(1, 0))
    );
    network.set(
        (1, 0),
        Rules {
            garble: 1.0,
            ..Rules::default()
        },
    );
    sockets[1].send_to(b"answer", from).unwrap();
    let (length, _) = sockets[0].recv_from(&mut buffer).unwrap();
    let changed = buffer[..length]
        .iter()
        .zip(b"answer")
        .filter(|(a, b)| a != b)
        .count();
    assert_eq!((length, changed), (6, 1));
    assert_eq!(network.trace((1, 0)).len(), 1);
}
