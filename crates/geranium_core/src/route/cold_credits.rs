//! Source of cold credits for the router.

use crate::id::GroupId;
use crate::time::Timestamp;

/// Cold credits that this entry host can spend, and groups marked as cold.
pub trait ColdCredits {
    /// Returns the number of unspent credits for a generation of a group.
    fn available(&self, now: Timestamp, group: &GroupId, generation: u64) -> u32;

    /// Returns whether any group that reports itself warm must be treated as cold.
    fn has_cold_marks(&self) -> bool;

    /// Returns whether a group that reports itself warm must be treated as cold.
    fn marked_cold(&self, group: &GroupId, generation: u64) -> bool;
}

/// Cold credits of a host that holds none and marks no group as cold.
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
