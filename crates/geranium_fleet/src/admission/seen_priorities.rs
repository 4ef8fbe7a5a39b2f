//! Priorities of the recent requests for a model.

use std::time::Duration;

use geranium_core::time::Timestamp;

use super::{LOWEST_PRIORITY, PrioritySet};

/// Time for which a priority counts after its last request, so that the priority of a route
/// that is gone holds no capacity back for long.
const RETENTION: Duration = Duration::from_secs(60);
/// Number of priorities.
const PRIORITIES: usize = LOWEST_PRIORITY as usize + 1;

/// Times of the last requests for one model, by priority.
#[derive(Clone, Debug, Default)]
pub(super) struct SeenPriorities {
    last_seen: [Option<Timestamp>; PRIORITIES],
}

impl SeenPriorities {
    /// Records a request of a priority.
    pub(super) fn record(&mut self, priority: u8, now: Timestamp) {
        if let Some(entry) = self.last_seen.get_mut(usize::from(priority)) {
            *entry = Some(now);
        }
    }

    /// Returns the priorities that were seen recently.
    pub(super) fn recent(&self, now: Timestamp) -> PrioritySet {
        let priorities = self.last_seen.iter().zip(0..);
        let is_recent = |at: &Option<Timestamp>| at.is_some_and(|at| now.since(at) < RETENTION);
        let recent = priorities.filter(|(at, _)| is_recent(at));
        recent.map(|(_, priority)| priority).collect()
    }
}
