//! The keys that the operator's file names, one a file.

use roseyard_membership::Key;
use roseyard_operator_config::MembershipSettings;
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use thiserror::Error;

const KEY_BYTES: usize = 32;
/// Permission bits of everybody but the owner.
const OTHERS_MODE: u32 = 0o077;

/// A key file that cannot be used.
#[derive(Debug, Error)]
#[error("membership: {}: {reason}", path.display())]
pub struct KeyFileError {
    /// The file.
    pub path: PathBuf,
    /// Why it cannot be used.
    pub reason: KeyFileReason,
}

/// Why a key file cannot be used.
#[derive(Debug, Error)]
pub enum KeyFileReason {
    /// It cannot be read.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// Others than its owner may read it.
    #[error("others may read this key (mode {mode:04o}); make it 0600")]
    ReadableByOthers {
        /// Its permission bits.
        mode: u32,
    },
    /// It holds something else.
    #[error("not a key: 64 hex digits are expected")]
    NotAKey,
}

/// Reads the keys of the operator's file, the one to send with first.
pub(super) fn read_keys(operator: &MembershipSettings) -> Result<Vec<Key>, KeyFileError> {
    let files = operator.key_file.iter().chain(&operator.other_key_file);
    let key = |path: &PathBuf| {
        read_key(path).map_err(|reason| KeyFileError {
            path: path.clone(),
            reason,
        })
    };
    files.map(key).collect()
}

/// Marks that distinguish keys in log lines.
pub(super) fn fingerprints(keys: &[Key]) -> String {
    let fingerprints: Vec<_> = keys.iter().map(Key::fingerprint).collect();
    fingerprints.join(" ")
}

/// The key of a file: 64 hex digits that nobody but the owner may read.
fn read_key(path: &Path) -> Result<Key, KeyFileReason> {
    let mode = fs::metadata(path)?.permissions().mode() & 0o777;
    if mode & OTHERS_MODE != 0 {
        return Err(KeyFileReason::ReadableByOthers { mode });
    }
    let text = fs::read_to_string(path)?;
    let text = text.trim();
    if text.len() != 2 * KEY_BYTES || !text.is_ascii() {
        return Err(KeyFileReason::NotAKey);
    }
    let mut bytes = [0; KEY_BYTES];
    for (index, byte) in bytes.iter_mut().enumerate() {
        let digits = &text[2 * index..2 * index + 2];
        *byte = u8::from_str_radix(digits, 16).map_err(|_| KeyFileReason::NotAKey)?;
    }
    Ok(Key::new(&bytes))
}
