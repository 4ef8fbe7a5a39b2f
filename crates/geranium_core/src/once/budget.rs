//! Budget of claim writes.

use std::time::Duration;

use crate::time::Timestamp;

/// Store writes that one claimed call needs: its claim and its final state.
const WRITES_PER_CALL: f64 = 2.0;

/// A token bucket that keeps claim writes below the platform's rate.
///
/// A call that finds the bucket empty is refused at once; the writes of a call
/// that was admitted are paid for in advance, so that its final state never has
/// to wait behind new calls.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimBudget {
    writes_per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Option<Timestamp>,
}

impl ClaimBudget {
    /// Makes a full bucket for a rate of store writes and a burst of writes.
    #[must_use]
    pub fn new(writes_per_second: f64, burst: f64) -> Self {
        let burst = burst.max(WRITES_PER_CALL);
        Self {
            writes_per_second: writes_per_second.max(f64::MIN_POSITIVE),
            burst,
            tokens: burst,
            refilled_at: None,
        }
    }

    /// Takes the writes of one call, or returns the time until they are there.
    ///
    /// # Errors
    ///
    /// Returns the time to come back if the bucket is empty.
    pub fn admit(&mut self, now: Timestamp) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= WRITES_PER_CALL {
            self.tokens -= WRITES_PER_CALL;
            return Ok(());
        }
        let missing = WRITES_PER_CALL - self.tokens;
        let wait = missing / self.writes_per_second;
        Err(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }

    fn refill(&mut self, now: Timestamp) {
        let since = self.refilled_at.unwrap_or(now);
        let earned = now.since(since).as_secs_f64() * self.writes_per_second;
        self.tokens = (self.tokens + earned).min(self.burst);
        self.refilled_at = Some(now.max(since));
    }
}
