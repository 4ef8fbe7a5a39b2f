//! A set of priorities.

use std::ops::BitOr;

use serde::{Deserialize, Serialize};

use super::LOWEST_PRIORITY;

/// A set of priorities, as one bit each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrioritySet(u16);

impl PrioritySet {
    /// Returns the highest priority in the set, which is the smallest number.
    #[must_use]
    pub fn highest(self) -> Option<u8> {
        (0..=LOWEST_PRIORITY).find(|priority| self.0 & (1 << priority) != 0)
    }

    /// Returns the number of priorities in the set that are higher than `priority`.
    #[must_use]
    pub fn higher(self, priority: u8) -> u32 {
        let higher = (1_u16 << priority.min(LOWEST_PRIORITY)) - 1;
        (self.0 & higher).count_ones()
    }
}

impl BitOr for PrioritySet {
    type Output = Self;

    fn bitor(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }
}

impl FromIterator<u8> for PrioritySet {
    fn from_iter<I: IntoIterator<Item = u8>>(priorities: I) -> Self {
        let bit = |priority: u8| 1 << priority.min(LOWEST_PRIORITY);
        Self(priorities.into_iter().map(bit).fold(0, BitOr::bitor))
    }
}
