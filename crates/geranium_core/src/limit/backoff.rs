//! Backoff delays between retries.

use std::time::Duration;

use rand::Rng;

/// Exponential backoff with full jitter between the retries of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBackoff {
    /// Maximum delay before the first retry.
    pub base: Duration,
    /// Maximum delay before any retry.
    pub max: Duration,
}

impl Default for RetryBackoff {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(10),
            max: Duration::from_secs(1),
        }
    }
}

impl RetryBackoff {
    /// Returns a random delay before a retry, where 0 is the first one.
    ///
    /// The delay is uniform between zero and a limit that doubles with each retry,
    /// so that requests that failed at the same time do not retry at the same time.
    pub fn delay(&self, retry: u32, rng: &mut impl Rng) -> Duration {
        let factor = 1_u32 << retry.min(16);
        let limit = (self.base * factor).min(self.max);
        limit.mul_f64(rng.random::<f64>())
    }
}
