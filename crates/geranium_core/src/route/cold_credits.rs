//! What the router asks about cold credits.

use crate::id::GroupId;
use crate::time::Timestamp;

/// Tells how many cold credits this entry host may still spend on a group.
pub trait ColdCredits {
    /// Returns the unspent credits for a group and generation.
    fn available(&self, now: Timestamp, group: &GroupId, generation: u64) -> u32;

    /// Returns whether any group that reports itself warm must be treated as cold.
    fn has_cold_marks(&self) -> bool;

    /// Returns whether a group that reports itself warm must be treated as cold.
    fn marked_cold(&self, group: &GroupId, generation: u64) -> bool;
}

/// Credits of a host that holds none.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoColdCredits;

impl ColdCredits for NoColdCredits {
    fn available(&self, _now: Timestamp, _group: &GroupId, _generation: u64) -> u32 {
        0
    }

    fn has_cold_marks(&self) -> bool {
        false
    }

    fn marked_cold(&self, _group: &GroupId, _generation: u64) -> bool {
        false
    }
}
