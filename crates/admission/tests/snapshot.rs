//! Encoding and decoding of snapshots.

use roseyard_admission::*;

#[test]
fn an_encoded_snapshot_is_decoded_and_each_kind_of_damage_returns_its_own_error() {
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
    for offset in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[offset] ^= 0x10;
        // The two reserved bytes of the header are not checked.
        assert_eq!(
            Snapshot::decode(&damaged).is_err(),
            !(10..12).contains(&offset),
            "byte {offset}"
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
