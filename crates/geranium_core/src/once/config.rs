//! Settings of claims.

use std::time::Duration;

use super::ClaimError;

/// Settings of claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClaimConfig {
    /// Time from the claim to the latest dispatch.
    pub dispatch_window: Duration,
    /// Time that a claim stays in the store after its last change.
    pub retention: Duration,
    /// Bound on clock differences and pauses that `retention` has to cover.
    pub clock_margin: Duration,
    /// Longest body that is kept for resends, in bytes.
    pub max_stored_body: usize,
    /// Time to the first read of a claim that another holder works on; later
    /// reads are up to eight times as far apart.
    pub poll_interval: Duration,
    /// Time between two tries at a store that gave no usable answer.
    pub retry_interval: Duration,
    /// Time after the deadline in which a late answer is still recorded.
    pub late_answer_window: Duration,
    /// Time in which a final state is written again if the store fails.
    pub record_retry_window: Duration,
    /// Time to come back that refusals name when the store is unavailable.
    pub unavailable_retry_after: Duration,
    /// Claim writes of one call, lost races and new attempts included.
    pub max_claim_writes: u32,
    /// Attempts of one call, counted when the connection was never made.
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
    /// Checks that claims outlive every dispatch that they allow.
    ///
    /// # Errors
    ///
    /// Returns an error if the retention doesn't cover the dispatch window, the
    /// late answers and the clock margin.
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
