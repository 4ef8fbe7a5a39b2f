//! A clock that stands still while the process is paused.

use std::time::Duration;

use crate::time::Timestamp;

/// Counts the time during which the process ran.
///
/// Silence of peers is measured on it: a process that was paused has not
/// listened and must not suspect everybody when it resumes.
#[derive(Clone, Copy, Debug)]
pub(super) struct UptimeClock {
    last: Timestamp,
    uptime: Duration,
    threshold: Duration,
}

impl UptimeClock {
    pub(super) const fn new(now: Timestamp, threshold: Duration) -> Self {
        Self {
            last: now,
            uptime: Duration::ZERO,
            threshold,
        }
    }

    /// Takes note of the present time; returns the length of a pause before it.
    pub(super) fn advance(&mut self, now: Timestamp) -> Option<Duration> {
        let gap = now.since(self.last);
        self.last = self.last.max(now);
        self.uptime += gap.min(self.threshold);
        (gap > self.threshold).then_some(gap)
    }

    /// Returns the time during which the process ran.
    pub(super) const fn uptime(&self) -> Duration {
        self.uptime
    }
}
