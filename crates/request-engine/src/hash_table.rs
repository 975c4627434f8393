//! Shrinking of hash tables after removals.

use std::collections::HashMap;
use std::hash::Hash;

/// Tables with at most this capacity, in entries, are not shrunk.
const MIN_SHRINKABLE_CAPACITY: usize = 64;

/// Shrinks a table that is less than a quarter full to at most half its capacity. The amortised
/// cost of a removal remains constant.
pub(crate) fn shrink<K: Eq + Hash, V>(table: &mut HashMap<K, V>) {
    if table.capacity() > MIN_SHRINKABLE_CAPACITY && table.len() < table.capacity() / 4 {
        table.shrink_to(table.len() * 2);
    }
}
