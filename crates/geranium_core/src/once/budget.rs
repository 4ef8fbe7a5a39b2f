//! Budgets of store writes.

use std::time::Duration;

use crate::time::Timestamp;

/// Store writes that one claimed call needs: its claim and its final state.
const WRITES_PER_CALL: f64 = 2.0;

/// Decides whether one more call may be claimed now.
pub trait ClaimAdmission {
    /// Admits one call, or returns the time until it would be admitted.
    ///
    /// # Errors
    ///
    /// Returns the time to come back if the call is not admitted.
    fn admit(&mut self, now: Timestamp) -> Result<(), Duration>;
}

/// A token bucket of store writes.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct TokenBucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Option<Timestamp>,
}

impl TokenBucket {
    /// Makes a full bucket.
    pub(super) fn new(per_second: f64, burst: f64) -> Self {
        Self {
            per_second: per_second.max(f64::MIN_POSITIVE),
            burst,
            tokens: burst,
            refilled_at: None,
        }
    }

    /// Changes the rate; what was earned so far stays.
    pub(super) fn set_rate(&mut self, now: Timestamp, per_second: f64) {
        self.refill(now);
        self.per_second = per_second.max(f64::MIN_POSITIVE);
    }

    /// Takes tokens, or returns the time until they are there.
    pub(super) fn take(&mut self, now: Timestamp, count: f64) -> Result<(), Duration> {
        self.refill(now);
        let missing = count - self.tokens;
        if missing <= 0.0 {
            self.tokens -= count;
            return Ok(());
        }
        Err(self.refill_time(missing))
    }

    /// Returns the time in which the bucket earns that many tokens.
    pub(super) fn refill_time(&self, count: f64) -> Duration {
        // Rounded up, so that the tokens are there when the time has passed.
        let micros = (count / self.per_second * 1e6).ceil();
        Duration::try_from_secs_f64(micros / 1e6).unwrap_or(Duration::MAX)
    }

    fn refill(&mut self, now: Timestamp) {
        let since = self.refilled_at.unwrap_or(now);
        let earned = now.since(since).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + earned).min(self.burst);
        self.refilled_at = Some(now.max(since));
    }
}

/// A token bucket for claims of which each is a store transaction of its own.
///
/// A call that finds the bucket empty is refused at once; the writes of a call
/// that was admitted are paid for in advance, so that its final state never has
/// to wait behind new calls.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimBudget {
    bucket: TokenBucket,
}

impl ClaimBudget {
    /// Makes a full bucket for a rate of store writes and a burst of writes.
    #[must_use]
    pub fn new(writes_per_second: f64, burst: f64) -> Self {
        Self {
            bucket: TokenBucket::new(writes_per_second, burst.max(WRITES_PER_CALL)),
        }
    }
}

impl ClaimAdmission for ClaimBudget {
    fn admit(&mut self, now: Timestamp) -> Result<(), Duration> {
        self.bucket.take(now, WRITES_PER_CALL)
    }
}
