//! Priorities of the recent requests for a model.

use std::time::Duration;

use geranium_core::time::Timestamp;

use super::LOWEST_PRIORITY;

/// Time for which a priority counts after its last request, so that the priority of a route
/// that is gone holds no capacity back for long.
const RETENTION: Duration = Duration::from_secs(60);
/// Number of priorities.
const PRIORITIES: usize = LOWEST_PRIORITY as usize + 1;

/// A priority with the tightest objective of its recent requests.
#[derive(Clone, Copy, Debug)]
struct SeenPriority {
    objective: Duration,
    objective_at: Timestamp,
    seen_at: Timestamp,
}

/// The requests of higher priority that a request leaves capacity for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Urgent {
    /// Number of distinct higher priorities.
    pub(super) priorities: u32,
    /// Tightest objective of these and of the request itself.
    pub(super) objective: Duration,
}

/// Priorities of the recent requests for one model.
#[derive(Clone, Debug, Default)]
pub(super) struct SeenPriorities {
    by_priority: [Option<SeenPriority>; PRIORITIES],
}

impl SeenPriorities {
    /// Records a request of a priority and the objective of its route.
    pub(super) fn record(&mut self, priority: u8, objective: Duration, now: Timestamp) {
        let Some(entry) = self.by_priority.get_mut(usize::from(priority)) else {
            return;
        };
        let kept =
            entry.filter(|e| e.objective < objective && now.since(e.objective_at) < RETENTION);
        *entry = Some(SeenPriority {
            objective: kept.map_or(objective, |e| e.objective),
            objective_at: kept.map_or(now, |e| e.objective_at),
            seen_at: now,
        });
    }

    /// Returns what was seen recently above a priority.
    pub(super) fn urgent(&self, priority: u8, objective: Duration, now: Timestamp) -> Urgent {
        let higher = self.by_priority.iter().take(usize::from(priority));
        let recent = higher
            .flatten()
            .filter(|e| now.since(e.seen_at) < RETENTION);
        let none = Urgent {
            priorities: 0,
            objective,
        };
        recent.fold(none, |urgent, e| Urgent {
            priorities: urgent.priorities + 1,
            objective: urgent.objective.min(e.objective),
        })
    }
}
