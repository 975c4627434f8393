//! What is known of clients, as bytes that outlast a restart.
//!
//! Layout, little-endian: the magic `RYSTAND\n`, the version (u16), 2 bytes of zero, the length of
//! the body (u32), its CRC-32 (u32, IEEE 802.3), the Unix time of writing in milliseconds (u64),
//! and the body in postcard's format. The checksum covers the time too.

use serde::{Deserialize, Serialize};

const MAGIC: [u8; 8] = *b"RYSTAND\n";
const VERSION: u16 = 1;
const HEAD: usize = 28;
/// Longest file that is read: some 500,000 addresses.
pub const MOST_BYTES: usize = 16 << 20;

/// One address or customer that was served.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClientRecord<K> {
    /// What names it.
    pub key: K,
    /// Served requests, as they had faded when this was written.
    pub served: f32,
}

/// What is known of clients, the latest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Client addresses in their key form.
    pub clients: Vec<ClientRecord<u128>>,
    /// Customers by their numbers.
    pub customers: Vec<ClientRecord<u64>>,
}

/// Why a file is passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// It does not begin as a snapshot does.
    #[error("this is no snapshot of standing")]
    Foreign,
    /// Another version of the program wrote it.
    #[error("version {0} is not the one that is read (1)")]
    Version(u16),
    /// It ends early, or goes on after its end.
    #[error("torn: {held} bytes where {wanted} were written")]
    Torn {
        /// Bytes there are.
        held: usize,
        /// Bytes that there should be.
        wanted: usize,
    },
    /// Its bytes are not the ones that were written.
    #[error("the checksum does not match")]
    Checksum,
    /// It is longer than any that is written.
    #[error("longer than 16 MiB")]
    Long,
    /// The checksum matches and the body cannot be read all the same.
    #[error("the body cannot be read")]
    Body,
}

impl Snapshot {
    /// The file's bytes; `unix_ms` is the time of writing.
    pub fn encode(&self, unix_ms: u64) -> Vec<u8> {
        let body = postcard::to_stdvec(self).unwrap_or_default();
        let mut out = Vec::with_capacity(HEAD + body.len());
        out.extend(MAGIC);
        out.extend(VERSION.to_le_bytes());
        out.extend([0; 2]);
        out.extend((body.len() as u32).to_le_bytes());
        out.extend(checksum(unix_ms, &body).to_le_bytes());
        out.extend(unix_ms.to_le_bytes());
        out.extend(body);
        out
    }

    /// Reads a file's bytes; the Unix time of its writing in milliseconds goes with it.
    pub fn decode(bytes: &[u8]) -> Result<(Snapshot, u64), SnapshotError> {
        if bytes.len() > MOST_BYTES {
            return Err(SnapshotError::Long);
        }
        let magic = &bytes[..bytes.len().min(MAGIC.len())];
        if magic.is_empty() || !MAGIC.starts_with(magic) {
            return Err(SnapshotError::Foreign);
        }
        let torn = |wanted| SnapshotError::Torn {
            held: bytes.len(),
            wanted,
        };
        let (head, body) = bytes.split_at_checked(HEAD).ok_or(torn(HEAD))?;
        let field = |at: usize| {
            head[at..at + 4]
                .iter()
                .rev()
                .fold(0, |n, b| n << 8 | u32::from(*b))
        };
        let version = field(8) as u16;
        if version != VERSION {
            return Err(SnapshotError::Version(version));
        }
        let wanted = HEAD + field(12) as usize;
        if bytes.len() != wanted {
            return Err(torn(wanted));
        }
        let written = u64::from(field(20)) | u64::from(field(24)) << 32;
        if checksum(written, body) != field(16) {
            return Err(SnapshotError::Checksum);
        }
        let snapshot = postcard::from_bytes(body).map_err(|_| SnapshotError::Body)?;
        Ok((snapshot, written))
    }
}

fn checksum(unix_ms: u64, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&unix_ms.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}
