//! The binary format of client reputations, which are preserved across restarts.
//!
//! The layout, little-endian: the magic number `RYSTAND\n`, the format version (u16), 2 reserved
//! bytes of zero, the length of the body (u32), a CRC-32 (IEEE 802.3) of the time and the body
//! (u32), the Unix time of writing in milliseconds (u64), and the body in the postcard format.

use serde::{Deserialize, Serialize};

const MAGIC: [u8; 8] = *b"RYSTAND\n";
const FORMAT_VERSION: u16 = 1;
/// The length of everything before the body.
const HEADER_BYTES: usize = 28;
const VERSION_OFFSET: usize = 8;
const BODY_LENGTH_OFFSET: usize = 12;
const CHECKSUM_OFFSET: usize = 16;
const WRITTEN_TIME_LOW_OFFSET: usize = 20;
const WRITTEN_TIME_HIGH_OFFSET: usize = 24;
/// The maximum length of a snapshot that is decoded; enough for about 500,000 addresses.
pub const MAX_SNAPSHOT_BYTES: usize = 16 << 20;

/// A client address or a customer that had requests served.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClientRecord<K> {
    /// The key of the address, or the customer's number.
    pub key: K,
    /// The number of served requests, decayed up to the time of writing.
    pub served: f32,
}

/// The client addresses and customers that had requests served; in both lists, those with open
/// connections come first, then the others from the most recent to the oldest.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Client addresses, identified by their
    /// [`PrefixLengths::client_key`](crate::PrefixLengths::client_key).
    pub clients: Vec<ClientRecord<u128>>,
    /// Customers, identified by their numbers.
    pub customers: Vec<ClientRecord<u64>>,
}

/// A decoded snapshot with the time at which it was written.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredSnapshot {
    /// The reputations.
    pub snapshot: Snapshot,
    /// The Unix time of writing, in milliseconds.
    pub written_unix_ms: u64,
}

/// The reason why bytes cannot be decoded as a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The bytes do not begin with the magic number.
    #[error("not a reputation snapshot: the magic number 'RYSTAND' is missing")]
    WrongMagic,
    /// The format version is not supported.
    #[error("unsupported snapshot version {0}, expected 1")]
    UnsupportedVersion(u16),
    /// The snapshot is truncated, or is followed by other bytes.
    #[error("wrong snapshot length: found {actual} bytes, expected {expected}")]
    WrongLength {
        /// The number of bytes found.
        actual: usize,
        /// The length according to the header; that of the header itself if it is incomplete.
        expected: usize,
    },
    /// The checksum does not match the time and the body.
    #[error("snapshot checksum mismatch")]
    ChecksumMismatch,
    /// The snapshot is longer than [`MAX_SNAPSHOT_BYTES`].
    #[error("snapshot is longer than 16 MiB")]
    TooLong,
    /// The checksum matches but the body is malformed.
    #[error("snapshot checksum matches, but the body is malformed")]
    MalformedBody,
}

impl Snapshot {
    /// Encodes the snapshot; `written_unix_ms` is the Unix time of writing, in milliseconds.
    #[must_use]
    pub fn encode(&self, written_unix_ms: u64) -> Vec<u8> {
        let body = postcard::to_stdvec(self).unwrap_or_default();
        let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
        bytes.extend(MAGIC);
        bytes.extend(FORMAT_VERSION.to_le_bytes());
        bytes.extend([0; 2]);
        bytes.extend((body.len() as u32).to_le_bytes());
        bytes.extend(checksum(written_unix_ms, &body).to_le_bytes());
        bytes.extend(written_unix_ms.to_le_bytes());
        bytes.extend(body);
        bytes
    }

    /// Decodes the bytes that [`Self::encode`] returned.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not one complete, undamaged snapshot of the supported
    /// version.
    pub fn decode(bytes: &[u8]) -> Result<StoredSnapshot, SnapshotError> {
        if bytes.len() > MAX_SNAPSHOT_BYTES {
            return Err(SnapshotError::TooLong);
        }
        let magic = &bytes[..bytes.len().min(MAGIC.len())];
        if magic.is_empty() || !MAGIC.starts_with(magic) {
            return Err(SnapshotError::WrongMagic);
        }
        let wrong_length = |expected| SnapshotError::WrongLength {
            actual: bytes.len(),
            expected,
        };
        let (header, body) = bytes
            .split_at_checked(HEADER_BYTES)
            .ok_or(wrong_length(HEADER_BYTES))?;
        let version = read_u32(header, VERSION_OFFSET) as u16;
        if version != FORMAT_VERSION {
            return Err(SnapshotError::UnsupportedVersion(version));
        }
        let expected = HEADER_BYTES + read_u32(header, BODY_LENGTH_OFFSET) as usize;
        if bytes.len() != expected {
            return Err(wrong_length(expected));
        }
        let written_low = u64::from(read_u32(header, WRITTEN_TIME_LOW_OFFSET));
        let written_high = u64::from(read_u32(header, WRITTEN_TIME_HIGH_OFFSET));
        let written_unix_ms = written_low | written_high << 32;
        if checksum(written_unix_ms, body) != read_u32(header, CHECKSUM_OFFSET) {
            return Err(SnapshotError::ChecksumMismatch);
        }
        let snapshot = postcard::from_bytes(body).map_err(|_| SnapshotError::MalformedBody)?;
        Ok(StoredSnapshot {
            snapshot,
            written_unix_ms,
        })
    }
}

/// Returns the little-endian number at an offset. Panics if the header ends before it.
fn read_u32(header: &[u8], offset: usize) -> u32 {
    header[offset..offset + 4]
        .iter()
        .rev()
        .fold(0, |number, byte| number << 8 | u32::from(*byte))
}

/// Returns the CRC-32 of the time of writing and the body.
fn checksum(written_unix_ms: u64, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&written_unix_ms.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}
