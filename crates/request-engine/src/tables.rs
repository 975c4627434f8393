//! Hash tables that give memory back.

use std::collections::HashMap;
use std::hash::Hash;

/// Tables with room for fewer entries are left as they are.
const LEAST_CAPACITY: usize = 64;

/// Gives memory back once a table is mostly empty. It halves the table at least, so that the cost
/// is that of the removals before it.
pub(crate) fn shrink<K: Eq + Hash, V>(table: &mut HashMap<K, V>) {
    if table.capacity() > LEAST_CAPACITY && table.len() < table.capacity() / 4 {
        table.shrink_to(table.len() * 2);
    }
}
