//! The stored form of snapshots.

use roseyard_admission::*;

#[test]
fn a_written_snapshot_is_read_and_each_kind_of_damage_has_its_error() {
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
    assert_eq!(
        Snapshot::decode(&bytes),
        Ok(StoredSnapshot {
            snapshot,
            written_unix_ms: 1_790_000_000_123
        })
    );
    for len in 0..bytes.len() {
        let error = Snapshot::decode(&bytes[..len]).unwrap_err();
        let is_expected = if len == 0 {
            error == SnapshotError::WrongMagic
        } else {
            matches!(error, SnapshotError::WrongLength { .. })
        };
        assert!(is_expected, "{len}: {error}");
    }
    for at in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[at] ^= 0x10;
        // The two reserved bytes of the header are not checked.
        assert_eq!(
            Snapshot::decode(&damaged).is_err(),
            !(10..12).contains(&at),
            "byte {at}"
        );
    }
    let mut newer = bytes.clone();
    newer[8] = 9;
    assert_eq!(
        Snapshot::decode(&newer),
        Err(SnapshotError::UnsupportedVersion(9))
    );
    assert_eq!(
        Snapshot::decode(b"{\"name\":1}"),
        Err(SnapshotError::WrongMagic)
    );
    assert_eq!(
        Snapshot::decode(&[bytes, vec![0]].concat())
            .unwrap_err()
            .to_string()
            .split(':')
            .next(),
        Some("wrong snapshot length")
    );
}
