//! Compatibility with members of earlier releases: the bytes of each datagram must stay as those
//! members encode and decode them.

use roseyard_membership::wire::{self, Body, DecodedBody, Message};
use roseyard_membership::{Authenticator, Key, Metadata, Name, Record, Stage, Status};

const GENERATION: u64 = 1_790_000_000_000;

fn name(text: &str) -> Name {
    Name::from(text).expect("a short name")
}

fn authenticator(local: &str) -> Authenticator {
    Authenticator::new("east", vec![Key::new(&[7; 32])], name(local), 3)
}

fn record() -> Record {
    Record {
        name: name("n2"),
        address: "10.1.2.3:7946".parse().expect("an address"),
        generation: 1_790_000_000_123,
        incarnation: 4,
        status: Status::Suspect(77),
        metadata_version: 2,
        metadata: Metadata {
            zone: "z1".try_into().expect("a short zone"),
            stage: Stage::Serving,
            ..Metadata::default()
        },
    }
}

// For each message, the datagram that carries it and one record, in hexadecimal digits.
const PING: &str = concat!(
    "014bb06bdb262b026e3180d8c1a28c34010007026e32000a0102038a3efbd8c1a28c3404",
    "014d02027a3101007610aba19283e1f2e9c1883706f1e2fb",
);
const ACK: &str = concat!(
    "014bb06bdb262b026e3180d8c1a28c340201ac02026e32000a0102038a3efbd8c1a28c34",
    "04014d02027a310100f59886060183e533637c55f461cdf2df",
);
const PING_REQ: &str = concat!(
    "014bb06bdb262b026e3180d8c1a28c34030209026e33000a00000150026e32000a010203",
    "8a3efbd8c1a28c3404014d02027a310100f79b82da0bf0c293a8a8b878bfd118ae",
);
const NACK: &str = concat!(
    "014bb06bdb262b026e3180d8c1a28c34040301026e32000a0102038a3efbd8c1a28c3404",
    "014d02027a3101007ea02348c49b28c9424476f69bf647c3",
);
const JOIN: &str = concat!(
    "014bb06bdb262b026e3180d8c1a28c340504026e32000a0102038a3efbd8c1a28c340401",
    "4d02027a3101009b439e116af9e80fa545fecf277bd39a",
);
const GOSSIP: &str = concat!(
    "014bb06bdb262b026e3180d8c1a28c340605026e32000a0102038a3efbd8c1a28c340401",
    "4d02027a31010012aa5313f4409f07892966ea26704452",
);
const SYNC: &str = concat!(
    "014bb06bdb262b026e3180d8c1a28c340706888e98a8c0e0808101026e3101026e32000a",
    "0102038a3efbd8c1a28c3404014d02027a3101008c783c61c67d1c6d9e8f1a25e0937cde",
);
const PAGE: &str = concat!(
    "014bb06bdb262b026e3180d8c1a28c340807026e39026e32000a0102038a3efbd8c1a28c",
    "3404014d02027a31010052f8b88459bba7449d137e29b0a5be27",
);
const NAME_CONFLICT: &str = concat!(
    "014bb06bdb262b026e3180d8c1a28c340908007f00000105026e32000a0102038a3efbd8",
    "c1a28c3404014d02027a310100fe0210f2c61fb082dbde4bdec78ba53b",
);

/// Returns each message with its datagram.
fn datagrams() -> [(Message, &'static str); 9] {
    let ping_request = Message::PingReq {
        sequence: 9,
        target: name("n3"),
        address: "10.0.0.1:80".parse().expect("an address"),
    };
    let sync = Message::Sync {
        digest: 0x0102_0304_0506_0708,
        after: name("n1"),
        is_reply: true,
    };
    let name_conflict = Message::NameConflict("127.0.0.1:5".parse().expect("an address"));
    [
        (Message::Ping(7), PING),
        (Message::Ack(300), ACK),
        (ping_request, PING_REQ),
        (Message::Nack(1), NACK),
        (Message::Join, JOIN),
        (Message::Gossip, GOSSIP),
        (sync, SYNC),
        (Message::Page(name("n9")), PAGE),
        (name_conflict, NAME_CONFLICT),
    ]
}

fn to_hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hexadecimal(digits: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&digits[at..at + 2], 16).expect("two digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}

#[test]
fn datagrams_are_encoded_as_by_earlier_releases() {
    let mut authenticator = authenticator("n1");
    for (message, expected) in datagrams() {
        let mut body = Body::new(&message);
        assert!(body.try_push(&record()));
        let sealed = authenticator.seal(GENERATION, &body.into_bytes());
        assert_eq!(to_hexadecimal(&sealed), expected, "{message:?}");
    }
}

#[test]
fn datagrams_of_earlier_releases_are_decoded() {
    let mut authenticator = authenticator("n2");
    for (message, digits) in datagrams() {
        let datagram = from_hexadecimal(digits);
        let opened = authenticator
            .open(&datagram)
            .expect("the datagram is authentic");
        assert_eq!(opened.sender, name("n1"));
        assert_eq!(opened.generation, GENERATION);
        let records = vec![record()];
        assert_eq!(
            wire::decode(opened.body),
            Some(DecodedBody { message, records })
        );
    }
}
