//! A slot table: entries under keys that are never valid for a later entry.

/// Names one entry of a [`Slots`] table: its slot, and the generation of the slot when the entry
/// was inserted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    index: u32,
    generation: u32,
}

/// Bits of a key's generation. A packed key takes 56 bits, which leaves 8 of a poll token for the
/// table.
const GENERATION_BITS: u32 = 24;
const GENERATION_MASK: u32 = (1 << GENERATION_BITS) - 1;

impl Key {
    /// The key as one number below 2^56.
    pub fn pack(self) -> u64 {
        u64::from(self.generation) << 32 | u64::from(self.index)
    }

    /// The key that `pack` made this number from.
    pub fn unpack(packed: u64) -> Key {
        Key {
            index: packed as u32,
            generation: (packed >> 32) as u32 & GENERATION_MASK,
        }
    }
}

/// A table whose entries keep their key while they are in it. A slot is reused with another
/// generation: an event for a removed entry never reaches the entry that took its slot.
pub struct Slots<T> {
    entries: Vec<Slot<T>>,
    free: Vec<u32>,
}

struct Slot<T> {
    generation: u32,
    entry: Option<T>,
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
    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len() - self.free.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Inserts the entry that `make` builds from its own key.
    pub fn insert_with(&mut self, make: impl FnOnce(Key) -> T) -> Key {
        let index = self.free.pop().unwrap_or_else(|| {
            self.entries.push(Slot {
                generation: 0,
                entry: None,
            });
            self.entries.len() as u32 - 1
        });
        let slot = &mut self.entries[index as usize];
        let key = Key {
            index,
            generation: slot.generation,
        };
        slot.entry = Some(make(key));
        key
    }

    /// The entry; none if it was removed.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&T> {
        let slot = self.entries.get(key.index as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        slot.entry.as_ref()
    }

    /// The entry, mutable; none if it was removed.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        let slot = self.entries.get_mut(key.index as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        slot.entry.as_mut()
    }

    /// Removes the entry and returns it; none if it was removed before.
    pub fn remove(&mut self, key: Key) -> Option<T> {
        let slot = self.entries.get_mut(key.index as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        let entry = slot.entry.take()?;
        slot.generation = (slot.generation + 1) & GENERATION_MASK;
        self.free.push(key.index);
        Some(entry)
    }

    /// All entries with their keys, in the order of slots.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &T)> {
        self.entries.iter().enumerate().filter_map(|(index, slot)| {
            let key = Key {
                index: index as u32,
                generation: slot.generation,
            };
            Some((key, slot.entry.as_ref()?))
        })
    }
}
