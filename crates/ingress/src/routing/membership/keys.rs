//! Reads the cluster keys from the files that the operator's file names, one key per file.

use roseyard_membership::Key;
use roseyard_operator_config::MembershipSettings;
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use thiserror::Error;

const KEY_BYTES: usize = 32;
/// Permission bits of the group and of others.
const GROUP_AND_OTHERS_MODE_MASK: u32 = 0o077;

/// An error in a key file, with its path.
#[derive(Debug, Error)]
#[error("membership: {}: {reason}", path.display())]
pub struct KeyFileError {
    /// Path of the key file.
    pub path: PathBuf,
    /// Why the file cannot be used.
    pub reason: KeyFileReason,
}

/// Reasons why a key file cannot be used.
#[derive(Debug, Error)]
pub enum KeyFileReason {
    /// The file cannot be read.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// Users other than the owner have permissions for the file.
    #[error("others may read this key (mode {mode:04o}); make it 0600")]
    ReadableByOthers {
        /// The permission bits of the file.
        mode: u32,
    },
    /// The file does not hold exactly 64 hexadecimal digits.
    #[error("invalid key: expected 64 hexadecimal digits")]
    InvalidKey,
}

/// Reads all keys that the operator's file names. The first key authenticates outgoing datagrams;
/// incoming ones may be authenticated with any of them.
pub(super) fn read_keys(config: &MembershipSettings) -> Result<Vec<Key>, KeyFileError> {
    let files = config.key_file.iter().chain(&config.secondary_key_file);
    let read = |path: &PathBuf| {
        read_key(path).map_err(|reason| KeyFileError {
            path: path.clone(),
            reason,
        })
    };
    files.map(read).collect()
}

/// Returns the fingerprints of keys, which identify them in log lines without disclosing them.
pub(super) fn fingerprints(keys: &[Key]) -> String {
    let fingerprints: Vec<_> = keys.iter().map(Key::fingerprint).collect();
    fingerprints.join(" ")
}

/// Reads a key of 64 hexadecimal digits from a file that only its owner may access.
fn read_key(path: &Path) -> Result<Key, KeyFileReason> {
    let mode = fs::metadata(path)?.permissions().mode() & 0o777;
    if mode & GROUP_AND_OTHERS_MODE_MASK != 0 {
        return Err(KeyFileReason::ReadableByOthers { mode });
    }
    let text = fs::read_to_string(path)?;
    let text = text.trim();
    if text.len() != 2 * KEY_BYTES || !text.is_ascii() {
        return Err(KeyFileReason::InvalidKey);
    }
    let mut bytes = [0; KEY_BYTES];
    for (index, byte) in bytes.iter_mut().enumerate() {
        let digits = &text[2 * index..2 * index + 2];
        *byte = u8::from_str_radix(digits, 16).map_err(|_| KeyFileReason::InvalidKey)?;
    }
    Ok(Key::new(&bytes))
}
