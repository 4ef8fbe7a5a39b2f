//! Settings of claims.

use std::time::Duration;

use super::ClaimError;

/// Settings of claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClaimConfig {
    /// Maximum time between the claim and its dispatch.
    pub dispatch_window: Duration,
    /// Time that a claim stays in the store after its last change.
    pub retention: Duration,
    /// Upper bound on clock skew and process pauses, which `retention` must cover.
    pub clock_margin: Duration,
    /// Maximum size of a response body that is stored for resends, in bytes.
    pub max_stored_body: usize,
    /// Delay before the first poll of a claim that another holder is running; the
    /// delay between later polls grows up to eightfold.
    pub poll_interval: Duration,
    /// Delay before a retry after the store returned no usable response.
    pub retry_interval: Duration,
    /// Time after the deadline during which a late response is still recorded.
    pub late_answer_window: Duration,
    /// Time during which the write of a final state is retried if the store fails.
    pub record_retry_window: Duration,
    /// Retry-after time of refusals, except those of the rate limit.
    pub unavailable_retry_after: Duration,
    /// Maximum number of claim writes of one call, including lost races and new
    /// attempts.
    pub max_claim_writes: u32,
    /// Maximum number of dispatches of one call; a call is dispatched again only if
    /// nothing of the previous attempt was sent.
    pub max_attempts: u32,
}

impl Default for ClaimConfig {
    fn default() -> Self {
        Self {
            dispatch_window: Duration::from_secs(5),
            retention: Duration::from_secs(24 * 60 * 60),
            clock_margin: Duration::from_secs(10 * 60),
            max_stored_body: 16 * 1024,
            poll_interval: Duration::from_millis(100),
            retry_interval: Duration::from_millis(200),
            late_answer_window: Duration::from_secs(60),
            record_retry_window: Duration::from_secs(60),
            unavailable_retry_after: Duration::from_secs(2),
            max_claim_writes: 8,
            max_attempts: 2,
        }
    }
}

impl ClaimConfig {
    /// Checks that a claim can't expire before its last possible dispatch.
    ///
    /// # Errors
    ///
    /// Returns an error if the retention is shorter than the sum of the dispatch
    /// window, the late answer window, the record retry window and the clock margin.
    pub fn validate(&self) -> Result<(), ClaimError> {
        let minimum = self.dispatch_window
            + self.late_answer_window
            + self.record_retry_window
            + self.clock_margin;
        if self.retention < minimum {
            return Err(ClaimError::RetentionTooShort(
                self.retention.as_secs(),
                minimum.as_secs(),
            ));
        }
        Ok(())
    }
}
