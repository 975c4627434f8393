//! Tests that the authenticator drops forged, foreign and replayed datagrams, and reports the
//! reason.

use roseyard_membership::*;

fn name(text: &str) -> Name {
    Name::from(text).unwrap()
}

fn authenticator(local: &str, keys: &[u8]) -> Authenticator {
    let keys = keys.iter().map(|k| Key::new(&[*k; 32])).collect();
    Authenticator::new("east", keys, name(local), 3)
}

#[test]
fn a_sealed_datagram_opens_once() {
    let (mut a, mut b) = (authenticator("a", &[1]), authenticator("b", &[1]));
    let sealed = a.seal(7, b"body");
    assert_eq!(
        b.open(&sealed).unwrap(),
        OpenedDatagram {
            sender: name("a"),
            generation: 7,
            body: b"body"
        }
    );
    assert_eq!(b.open(&sealed), Err(DropReason::Replayed));
}

#[test]
fn a_datagram_with_any_changed_byte_is_dropped() {
    let sealed = authenticator("a", &[1]).seal(7, b"body");
    for position in 0..sealed.len() {
        let mut bytes = sealed.clone();
        bytes[position] ^= 0x10;
        assert!(
            authenticator("b", &[1]).open(&bytes).is_err(),
            "byte {position}"
        );
    }
    for end in 0..sealed.len() {
        assert!(
            authenticator("b", &[1]).open(&sealed[..end]).is_err(),
            "truncated to {end} bytes"
        );
    }
    assert_eq!(
        authenticator("b", &[1]).open(&[1; 257]),
        Err(DropReason::Malformed)
    );
}

#[test]
fn another_key_cluster_or_version_is_dropped_for_its_own_reason() {
    let sealed = authenticator("a", &[1]).seal(7, b"body");
    assert_eq!(
        authenticator("b", &[2]).open(&sealed),
        Err(DropReason::NotAuthentic)
    );
    let mut other = Authenticator::new("west", vec![Key::new(&[1; 32])], name("b"), 3);
    assert_eq!(other.open(&sealed), Err(DropReason::ClusterMismatch));
    let mut old = sealed;
    old[0] = 9;
    assert_eq!(
        authenticator("b", &[1]).open(&old),
        Err(DropReason::VersionMismatch)
    );
}

#[test]
fn both_of_two_keys_open_datagrams_and_the_first_seals_them() {
    let (mut old, mut both, mut new) = (
        authenticator("a", &[1]),
        authenticator("b", &[2, 1]),
        authenticator("c", &[2]),
    );
    assert!(both.open(&old.seal(1, b"")).is_ok());
    assert!(both.open(&new.seal(1, b"")).is_ok());
    assert!(new.open(&both.seal(1, b"")).is_ok());
    assert_eq!(old.open(&both.seal(1, b"")), Err(DropReason::NotAuthentic));
}

#[test]
fn sequence_numbers_within_64_of_the_highest_are_accepted_once_in_any_order() {
    let (mut a, mut b) = (authenticator("a", &[1]), authenticator("b", &[1]));
    let sent: Vec<_> = (0..80).map(|_| a.seal(5, b"")).collect();
    assert!(b.open(&sent[79]).is_ok());
    assert!(b.open(&sent[20]).is_ok(), "59 below the highest");
    assert_eq!(b.open(&sent[20]), Err(DropReason::Replayed));
    assert_eq!(
        b.open(&sent[3]),
        Err(DropReason::Replayed),
        "older than the replay window"
    );
    assert!(b.open(&a.seal(6, b"")).is_ok());
    assert_eq!(
        b.open(&sent[40]),
        Err(DropReason::Replayed),
        "from the previous generation"
    );
}

#[test]
fn the_number_of_senders_is_limited() {
    let mut b = authenticator("b", &[1]);
    for n in 0..3 {
        assert!(b
            .open(&authenticator(&format!("n{n}"), &[1]).seal(1, b""))
            .is_ok());
    }
    assert_eq!(
        b.open(&authenticator("n9", &[1]).seal(1, b"")),
        Err(DropReason::TooManySenders)
    );
}
