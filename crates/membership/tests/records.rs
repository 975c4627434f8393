//! Property tests: records can be merged in any order and any number of times, and a body is
//! decoded either completely or not at all.

use proptest::prelude::*;
use roseyard_membership::*;

fn record() -> impl Strategy<Value = Record> {
    let status = prop_oneof![
        Just(Status::Alive),
        (0u32..3).prop_map(Status::Suspect),
        Just(Status::Dead),
        Just(Status::Left)
    ];
    (0u64..3, 0u32..3, status, 0u32..3).prop_map(
        |(generation, incarnation, status, metadata_version)| {
            let zone = format!("z{generation}{metadata_version}");
            // As with real members, the version determines the metadata, and the generation the
            // address.
            let metadata = Metadata {
                zone: zone.as_str().try_into().unwrap(),
                ..Metadata::default()
            };
            let address = ([127, 0, 0, 1], 7000 + generation as u16).into();
            Record {
                name: Name::from("n1").unwrap(),
                address,
                generation,
                incarnation,
                status,
                metadata_version,
                metadata,
            }
        },
    )
}

fn merged(records: &[Record]) -> Record {
    let mut merged = records[0].clone();
    for record in records {
        merged.merge(record);
    }
    // The order of the records determines which suspecter the status contains.
    if let Status::Suspect(_) = merged.status {
        merged.status = Status::Suspect(0);
    }
    merged
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn merging_depends_on_neither_the_order_nor_the_repetition_of_records(
        records in prop::collection::vec(record(), 1..8),
        rotation in 0usize..8,
    ) {
        let mut other = records.clone();
        other.rotate_left(rotation % records.len());
        other.extend(records.iter().take(3).cloned());
        other.reverse();
        prop_assert_eq!(merged(&records), merged(&other));
    }

    #[test]
    fn a_member_that_left_stays_left_for_its_generation(
        records in prop::collection::vec(record(), 1..8),
    ) {
        let merged = merged(&records);
        let has_left = records
            .iter()
            .any(|record| record.status == Status::Left && record.generation == merged.generation);
        prop_assert_eq!(has_left, merged.status == Status::Left);
    }

    #[test]
    fn random_bytes_are_decoded_completely_or_not_at_all(
        bytes in prop::collection::vec(any::<u8>(), 0..230),
    ) {
        if let Some(wire::DecodedBody { message, records }) = wire::decode(&bytes) {
            let mut body = wire::Body::new(&message);
            for record in &records {
                prop_assert!(body.try_push(record) || bytes.len() > 180);
            }
        }
    }

    #[test]
    fn encoded_records_are_decoded_unchanged(records in prop::collection::vec(record(), 0..12)) {
        let mut body = wire::Body::new(&wire::Message::Ping(7));
        let encoded: Vec<_> = records
            .into_iter()
            .take_while(|record| body.try_push(record))
            .collect();
        let contents = wire::DecodedBody { message: wire::Message::Ping(7), records: encoded };
        prop_assert_eq!(wire::decode(&body.into_bytes()), Some(contents));
    }
}
