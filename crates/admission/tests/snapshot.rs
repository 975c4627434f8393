//! A snapshot is read as it was written, or refused for its reason.

use roseyard_admission::*;

#[test]
fn what_was_written_is_read_and_every_torn_or_spoilt_file_is_told_apart() {
    let clients = (0..40)
        .map(|n| ClientRecord {
            key: n << 90,
            served: n as f32 / 3.0,
        })
        .collect();
    let snapshot = Snapshot {
        clients,
        customers: vec![ClientRecord {
            key: 7,
            served: 1.5,
        }],
    };
    let bytes = snapshot.encode(1_790_000_000_123);
    assert_eq!(Snapshot::decode(&bytes), Ok((snapshot, 1_790_000_000_123)));
    for len in 0..bytes.len() {
        let wrong = Snapshot::decode(&bytes[..len]).unwrap_err();
        let named = if len == 0 {
            wrong == SnapshotError::Foreign
        } else {
            matches!(wrong, SnapshotError::Torn { .. })
        };
        assert!(named, "{len}: {wrong}");
    }
    for at in 0..bytes.len() {
        let mut spoilt = bytes.clone();
        spoilt[at] ^= 0x10;
        // Two bytes of the head are room for later and say nothing.
        assert_eq!(
            Snapshot::decode(&spoilt).is_err(),
            !(10..12).contains(&at),
            "byte {at}"
        );
    }
    let mut newer = bytes.clone();
    newer[8] = 9;
    assert_eq!(Snapshot::decode(&newer), Err(SnapshotError::Version(9)));
    assert_eq!(
        Snapshot::decode(b"{\"name\":1}"),
        Err(SnapshotError::Foreign)
    );
    assert_eq!(
        Snapshot::decode(&[bytes, vec![0]].concat())
            .unwrap_err()
            .to_string()
            .split(':')
            .next(),
        Some("torn")
    );
}
