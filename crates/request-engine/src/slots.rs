//! A slot table with generational keys: the key of a removed entry does not refer to a later entry
//! in the same slot.

/// Identifies an entry of a [`Slots`] table by its slot and the generation of the slot at the time
/// of the insertion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    index: u32,
    generation: u32,
}

/// The number of bits of a generation. A packed key takes 56 bits, so that the remaining 8 bits of
/// a poll token can identify the table.
const GENERATION_BITS: u32 = 24;
const GENERATION_MASK: u32 = (1 << GENERATION_BITS) - 1;

impl Key {
    /// Returns the key as a number below 2^56.
    pub fn pack(self) -> u64 {
        u64::from(self.generation) << 32 | u64::from(self.index)
    }

    /// Returns the key that [`Key::pack`] encoded as this number.
    pub fn unpack(packed: u64) -> Key {
        Key {
            index: packed as u32,
            generation: (packed >> 32) as u32 & GENERATION_MASK,
        }
    }
}

/// A table that assigns a key to each entry. A slot is reused with the next generation, so that an
/// event for a removed entry does not affect the entry that now occupies the slot. Generations
/// repeat after 2^24 uses of a slot.
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
    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len() - self.free.len()
    }

    /// Whether the table has no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Inserts the entry that `make` creates, which receives the key of the new entry. Returns the
    /// key.
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

    /// Returns an entry; `None` if it was removed.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&T> {
        let slot = self.entries.get(key.index as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        slot.entry.as_ref()
    }

    /// Returns a mutable reference to an entry; `None` if it was removed.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        let slot = self.entries.get_mut(key.index as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        slot.entry.as_mut()
    }

    /// Removes an entry and returns it; `None` if it was removed before.
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

    /// Returns all entries with their keys, in the order of their slots.
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
