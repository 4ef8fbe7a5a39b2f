//! A clock of process uptime that excludes pauses.

use std::time::Duration;

use crate::time::Timestamp;

/// Measures process uptime, excluding pauses.
///
/// The silence of peers is measured on this clock: a paused process receives
/// nothing and must not suspect all of its peers when it resumes.
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

    /// Advances the clock to `now`; returns the length of the pause since the last
    /// call, if there was one.
    pub(super) fn advance(&mut self, now: Timestamp) -> Option<Duration> {
        let gap = now.since(self.last);
        self.last = self.last.max(now);
        self.uptime += gap.min(self.threshold);
        (gap > self.threshold).then_some(gap)
    }

    /// Returns the uptime without pauses.
    pub(super) const fn uptime(&self) -> Duration {
        self.uptime
    }
}
