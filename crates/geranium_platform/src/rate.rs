//! Rate limit of calls.

use std::time::Duration;

use geranium_core::time::Timestamp;

/// Credits of one call, so that a rate per second refills whole credits each microsecond.
const CREDITS_PER_CALL: u64 = 1_000_000;

/// A token bucket that holds at most the calls of one second.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use geranium_core::time::Timestamp;
/// use geranium_platform::TokenBucket;
///
/// let start = Timestamp::from_millis(0);
/// let mut bucket = TokenBucket::new(2, start);
/// assert_eq!(bucket.try_take(start), Ok(()));
/// assert_eq!(bucket.try_take(start), Ok(()));
/// assert_eq!(bucket.try_take(start), Err(Duration::from_millis(500)));
/// ```
#[derive(Clone, Debug)]
pub struct TokenBucket {
    per_second: u64,
    credits: u64,
    refilled: Timestamp,
}

impl TokenBucket {
    /// Makes a full bucket that refills with `per_second` calls a second.
    #[must_use]
    pub fn new(per_second: u32, now: Timestamp) -> Self {
        let per_second = u64::from(per_second);
        Self {
            per_second,
            credits: per_second * CREDITS_PER_CALL,
            refilled: now,
        }
    }

    /// Takes one call.
    ///
    /// # Errors
    ///
    /// Returns the time until the next call if the bucket is empty.
    pub fn try_take(&mut self, now: Timestamp) -> Result<(), Duration> {
        self.refill(now);
        if self.credits >= CREDITS_PER_CALL {
            self.credits -= CREDITS_PER_CALL;
            return Ok(());
        }
        let missing = CREDITS_PER_CALL - self.credits;
        let micros = missing.checked_div(self.per_second).unwrap_or(u64::MAX);
        Err(Duration::from_micros(micros))
    }

    fn refill(&mut self, now: Timestamp) {
        let micros = u64::try_from(now.since(self.refilled).as_micros()).unwrap_or(u64::MAX);
        let most = self.per_second * CREDITS_PER_CALL;
        let gained = micros.saturating_mul(self.per_second);
        self.credits = self.credits.saturating_add(gained).min(most);
        self.refilled = self.refilled.max(now);
    }
}
