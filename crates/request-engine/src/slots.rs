//! Tables of numbered slots.

/// Names one entry of a table: its slot and the generation that the entry was put in with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    index: u32,
    generation: u32,
}

/// Bits of a key's generation: the rest of a poll token names the table.
const GENERATION_BITS: u32 = 24;

impl Key {
    /// The key as one number below 2^56.
    pub fn pack(self) -> u64 {
        u64::from(self.generation) << 32 | u64::from(self.index)
    }

    /// The key that `pack` made this number from.
    pub fn unpack(packed: u64) -> Key {
        Key {
            index: packed as u32,
            generation: (packed >> 32) as u32 & ((1 << GENERATION_BITS) - 1),
        }
    }
}

/// A table whose entries keep their number while they live. A number is used again with another
/// generation, which guards against news for an entry that is gone reaching its successor.
pub struct Slots<T> {
    entries: Vec<(u32, Option<T>)>,
    free: Vec<u32>,
}

impl<T> Default for Slots<T> {
    fn default() -> Self {
        Slots {
            entries: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<T> Slots<T> {
    /// Entries held.
    pub fn len(&self) -> usize {
        self.entries.len() - self.free.len()
    }

    /// Is the table empty?
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Puts an entry in; its own key is handed to whoever makes it.
    pub fn insert_with(&mut self, make: impl FnOnce(Key) -> T) -> Key {
        let index = self.free.pop().unwrap_or_else(|| {
            self.entries.push((0, None));
            self.entries.len() as u32 - 1
        });
        let (generation, entry) = &mut self.entries[index as usize];
        let key = Key {
            index,
            generation: *generation,
        };
        *entry = Some(make(key));
        key
    }

    /// The entry, unless it is gone.
    pub fn get(&self, key: Key) -> Option<&T> {
        self.entries
            .get(key.index as usize)
            .filter(|e| e.0 == key.generation)?
            .1
            .as_ref()
    }

    /// The entry for change, unless it is gone.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        self.entries
            .get_mut(key.index as usize)
            .filter(|e| e.0 == key.generation)?
            .1
            .as_mut()
    }

    /// Takes the entry out.
    pub fn remove(&mut self, key: Key) -> Option<T> {
        let entry = self
            .entries
            .get_mut(key.index as usize)
            .filter(|e| e.0 == key.generation)?;
        let value = entry.1.take()?;
        entry.0 = (entry.0 + 1) & ((1 << GENERATION_BITS) - 1);
        self.free.push(key.index);
        Some(value)
    }

    /// All entries with their keys, by slot.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &T)> {
        self.entries
            .iter()
            .enumerate()
            .filter_map(|(index, (generation, entry))| {
                Some((
                    Key {
                        index: index as u32,
                        generation: *generation,
                    },
                    entry.as_ref()?,
                ))
            })
    }
}
