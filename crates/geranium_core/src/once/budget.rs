//! Rate limits for store writes.

use std::time::Duration;

use crate::time::Timestamp;

/// Store writes of one claimed call: the claim and its final state.
const WRITES_PER_CALL: f64 = 2.0;

/// Admission control for new claimed calls.
pub trait ClaimAdmission {
    /// Admits one call.
    ///
    /// # Errors
    ///
    /// Returns the time to wait before a retry if the call is not admitted.
    fn admit(&mut self, now: Timestamp) -> Result<(), Duration>;
}

/// A token bucket.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct TokenBucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Option<Timestamp>,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(super) fn new(per_second: f64, burst: f64) -> Self {
        Self {
            per_second: per_second.max(f64::MIN_POSITIVE),
            burst,
            tokens: burst,
            refilled_at: None,
        }
    }

    /// Changes the refill rate; tokens accrued so far are kept.
    pub(super) fn set_rate(&mut self, now: Timestamp, per_second: f64) {
        self.refill(now);
        self.per_second = per_second.max(f64::MIN_POSITIVE);
    }

    /// Takes `count` tokens, or returns the time until they are available.
    pub(super) fn take(&mut self, now: Timestamp, count: f64) -> Result<(), Duration> {
        self.refill(now);
        let missing = count - self.tokens;
        if missing <= 0.0 {
            self.tokens -= count;
            return Ok(());
        }
        Err(self.refill_time(missing))
    }

    /// Returns the time in which the bucket accrues `count` tokens.
    pub(super) fn refill_time(&self, count: f64) -> Duration {
        // Rounded up, so that the tokens are available once the time has elapsed.
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

/// A rate limit for claims that are written in one store transaction each.
///
/// A call is rejected at once if the bucket lacks tokens. Admission takes the
/// tokens for all writes of the call in advance, so that the write of its final
/// state never waits behind new calls.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimBudget {
    bucket: TokenBucket,
}

impl ClaimBudget {
    /// Creates a full budget with the given write rate and burst size.
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
