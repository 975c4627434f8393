//! Hash tables that release memory as they empty.

use std::collections::HashMap;
use std::hash::Hash;

/// Tables with a capacity of at most this are left as they are.
const MIN_SHRINKABLE_CAPACITY: usize = 64;

/// Shrinks a table that is less than a quarter full, to at most half its capacity: the cost is
/// covered by that of the removals before it.
pub(crate) fn shrink<K: Eq + Hash, V>(table: &mut HashMap<K, V>) {
    if table.capacity() > MIN_SHRINKABLE_CAPACITY && table.len() < table.capacity() / 4 {
        table.shrink_to(table.len() * 2);
    }
}
