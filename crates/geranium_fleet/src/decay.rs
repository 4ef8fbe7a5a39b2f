//! Exponential decay of observations.

use std::time::Duration;

use geranium_core::time::Timestamp;

/// Minimum interval between two decays.
const DECAY_INTERVAL: Duration = Duration::from_millis(250);

/// The time up to which values have decayed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Decay {
    half_life: Duration,
    decayed_at: Timestamp,
}

impl Decay {
    /// Creates a decay by one half per `half_life`.
    pub(crate) fn new(half_life: Duration) -> Self {
        Self {
            half_life,
            decayed_at: Timestamp::default(),
        }
    }

    /// Returns the factor to apply to all values, if a decay is due.
    pub(crate) fn factor(&mut self, now: Timestamp) -> Option<f64> {
        let elapsed = now.since(self.decayed_at);
        if elapsed < DECAY_INTERVAL {
            return None;
        }
        self.decayed_at = now;
        Some(0.5_f64.powf(elapsed.as_secs_f64() / self.half_life.as_secs_f64()))
    }
}
