//! Compatibility with stored snapshots: a file of version 1, which an earlier release wrote, is
//! decoded, and its contents are encoded to the same bytes.

use roseyard_admission::{ClientRecord, Snapshot, StoredSnapshot};

const STORED: &[u8] = include_bytes!("data/reputation-snapshot.bin");
const WRITTEN_UNIX_MS: u64 = 1_790_000_000_123;

fn expected() -> Snapshot {
    let client = |number: u128| ClientRecord {
        key: number << 90,
        served: number as f32 * 1.5,
    };
    let customer = |key, served| ClientRecord { key, served };
    Snapshot {
        clients: (1..=5).map(client).collect(),
        customers: vec![customer(7, 1.5), customer(1 << 40, 250.25)],
    }
}

#[test]
fn a_stored_snapshot_is_decoded() {
    assert_eq!(
        Snapshot::decode(STORED),
        Ok(StoredSnapshot {
            snapshot: expected(),
            written_unix_ms: WRITTEN_UNIX_MS
        })
    );
}

#[test]
fn a_snapshot_is_encoded_to_the_stored_bytes() {
    assert_eq!(expected().encode(WRITTEN_UNIX_MS), STORED);
}
