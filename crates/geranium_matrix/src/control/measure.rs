//! What a run costs its users.

use std::time::Duration;

use geranium_core::id::{FencingNumber, GroupId};
use geranium_core::time::Timestamp;

/// What a run costs its users.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Measures {
    /// Time that wanted replicas did not serve, summed over replicas.
    pub group_downtime: Duration,
    /// Accelerator-seconds, in milliseconds, of hosts that work and serve nothing
    /// while a replica is missing, or that hold a model no group serves.
    pub stranded_millis: u64,
    /// Time from a member's death until no entry host sent its group new work.
    pub gate_closed_after: Option<Duration>,
    /// Time from a member's death until the first order for the repair.
    pub repair_ordered_after: Option<Duration>,
}

impl Measures {
    /// Returns the stranded accelerators in accelerator-seconds.
    #[must_use]
    pub fn stranded_seconds(&self) -> u64 {
        self.stranded_millis / 1_000
    }
}

/// The group whose repair is timed.
#[derive(Clone, Debug)]
pub(super) struct WatchedGroup {
    pub(super) group: GroupId,
    pub(super) fencing: FencingNumber,
    pub(super) lost_at: Timestamp,
}
