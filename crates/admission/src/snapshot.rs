//! Client reputations as bytes, stored over a restart.
//!
//! Layout, little-endian: the magic `RYSTAND\n`, the version (u16), 2 reserved bytes of zero, the
//! length of the body (u32), a CRC-32 (u32, IEEE 802.3) of the time and the body, the Unix time of
//! writing in milliseconds (u64), and the body in postcard's format.

use serde::{Deserialize, Serialize};

const MAGIC: [u8; 8] = *b"RYSTAND\n";
const VERSION: u16 = 1;
/// Length of what precedes the body.
const HEADER_BYTES: usize = 28;
const VERSION_OFFSET: usize = 8;
const BODY_LENGTH_OFFSET: usize = 12;
const CHECKSUM_OFFSET: usize = 16;
const WRITTEN_LOW_OFFSET: usize = 20;
const WRITTEN_HIGH_OFFSET: usize = 24;
/// Longest snapshot that is read, in bytes: some 500,000 addresses.
pub const MAX_SNAPSHOT_BYTES: usize = 16 << 20;

/// One client address or customer that was served.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClientRecord<K> {
    /// The key of the address, or the number of the customer.
    pub key: K,
    /// Requests served, decayed up to the time of writing.
    pub served: f32,
}

/// Clients that were served, the latest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Client addresses by [`PrefixLengths::client_key`](crate::PrefixLengths::client_key).
    pub clients: Vec<ClientRecord<u128>>,
    /// Customers by their numbers.
    pub customers: Vec<ClientRecord<u64>>,
}

/// A snapshot that was read, with its age.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredSnapshot {
    /// The snapshot.
    pub snapshot: Snapshot,
    /// When it was written, in milliseconds of Unix time.
    pub written_unix_ms: u64,
}

/// Why bytes are not read as a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// They do not begin with the magic.
    #[error("this is no snapshot of standing")]
    WrongMagic,
    /// They are of another version of the format.
    #[error("version {0} is not the one that is read (1)")]
    UnsupportedVersion(u16),
    /// They are fewer or more than were written.
    #[error("torn: {actual} bytes where {expected} were written")]
    WrongLength {
        /// Bytes that there are.
        actual: usize,
        /// Bytes that there should be.
        expected: usize,
    },
    /// The checksum does not match.
    #[error("the checksum does not match")]
    ChecksumMismatch,
    /// They are more than [`MAX_SNAPSHOT_BYTES`].
    #[error("longer than 16 MiB")]
    TooLong,
    /// The checksum matches but the body is malformed.
    #[error("the body cannot be read")]
    MalformedBody,
}

impl Snapshot {
    /// The bytes to store; `written_unix_ms` is the time of writing, in milliseconds of Unix time.
    #[must_use]
    pub fn encode(&self, written_unix_ms: u64) -> Vec<u8> {
        let body = postcard::to_stdvec(self).unwrap_or_default();
        let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
        bytes.extend(MAGIC);
        bytes.extend(VERSION.to_le_bytes());
        bytes.extend([0; 2]);
        bytes.extend((body.len() as u32).to_le_bytes());
        bytes.extend(checksum(written_unix_ms, &body).to_le_bytes());
        bytes.extend(written_unix_ms.to_le_bytes());
        bytes.extend(body);
        bytes
    }

    /// Reads stored bytes.
    ///
    /// # Errors
    ///
    /// If the bytes are not a complete snapshot of this version.
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
        if version != VERSION {
            return Err(SnapshotError::UnsupportedVersion(version));
        }
        let expected = HEADER_BYTES + read_u32(header, BODY_LENGTH_OFFSET) as usize;
        if bytes.len() != expected {
            return Err(wrong_length(expected));
        }
        let written_low = u64::from(read_u32(header, WRITTEN_LOW_OFFSET));
        let written_high = u64::from(read_u32(header, WRITTEN_HIGH_OFFSET));
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

/// The little-endian number at an offset that lies within the header.
fn read_u32(header: &[u8], offset: usize) -> u32 {
    header[offset..offset + 4]
        .iter()
        .rev()
        .fold(0, |number, byte| number << 8 | u32::from(*byte))
}

fn checksum(written_unix_ms: u64, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&written_unix_ms.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}
