//! Sets of groups by their slot in the group table.

/// Number of groups whose prefix cache is tracked; requests are routed to all
/// other groups without prefix affinity.
pub(super) const MAX_TRACKED_GROUPS: usize = 256;

const WORD_BITS: usize = 64;
const WORDS: usize = MAX_TRACKED_GROUPS / WORD_BITS;

/// A set of slots below [`MAX_TRACKED_GROUPS`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct GroupSet([u64; WORDS]);

impl GroupSet {
    /// Returns the set of all slots.
    pub(super) const fn all() -> Self {
        Self([u64::MAX; WORDS])
    }

    /// Adds a slot; an untracked slot is ignored.
    pub(super) fn insert(&mut self, slot: u16) {
        if let Some(word) = self.0.get_mut(usize::from(slot) / WORD_BITS) {
            *word |= 1 << (usize::from(slot) % WORD_BITS);
        }
    }

    /// Removes a slot.
    pub(super) fn remove(&mut self, slot: u16) {
        if let Some(word) = self.0.get_mut(usize::from(slot) / WORD_BITS) {
            *word &= !(1 << (usize::from(slot) % WORD_BITS));
        }
    }

    /// Returns whether the set is empty.
    pub(super) fn is_empty(&self) -> bool {
        self.0 == [0; WORDS]
    }

    /// Returns the slots in both sets.
    pub(super) fn intersection(&self, other: &Self) -> Self {
        let mut out = *self;
        for (word, mask) in out.0.iter_mut().zip(other.0) {
            *word &= mask;
        }
        out
    }

    /// Returns the slots in this set that are not in the other.
    pub(super) fn difference(&self, other: &Self) -> Self {
        let mut out = *self;
        for (word, mask) in out.0.iter_mut().zip(other.0) {
            *word &= !mask;
        }
        out
    }

    /// Calls a function with each slot, in ascending order.
    pub(super) fn for_each(&self, mut f: impl FnMut(usize)) {
        for (i, mut word) in self.0.into_iter().enumerate() {
            while word != 0 {
                f(i * WORD_BITS + word.trailing_zeros() as usize);
                word &= word - 1;
            }
        }
    }
}
