//! Monotonic wall clock of a process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use geranium_core::time::Timestamp;

/// A wall clock that is read once at start and then advanced by a monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    started_at: Timestamp,
    start_instant: Instant,
}

impl ProcessClock {
    /// Reads the system time and starts the clock.
    #[must_use]
    pub fn start() -> Self {
        let elapsed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            started_at: Timestamp::default() + elapsed,
            start_instant: Instant::now(),
        }
    }

    /// Returns the current time, which never decreases.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.started_at + self.start_instant.elapsed()
    }

    /// Returns the time at which the process started.
    #[must_use]
    pub const fn started_at(&self) -> Timestamp {
        self.started_at
    }
}
