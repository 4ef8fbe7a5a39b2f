//! Settings of the cold-start budget.

use std::time::Duration;

/// Settings of the cold-start budget; they must be equal on all hosts of a failure
/// domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdSettings {
    /// Lifetime of a credit, counted from the time of its user's request.
    pub lifetime: Duration,
    /// Time that the holder adds to the lifetime to allow for clock drift.
    pub margin: Duration,
    /// Interval between two requests of a user for the same group.
    pub renew_interval: Duration,
    /// Maximum delay between the measurement of a group's load and the time at which
    /// the driver reports it to the holder as known.
    pub report_lag: Duration,
    /// Maximum time that a request may run on a cold group. Its deadline is shortened
    /// to this, so that the engine ends it even if its entry host cannot.
    pub run_limit: Duration,
}

impl Default for ColdSettings {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_secs(3),
            margin: Duration::from_millis(100),
            renew_interval: Duration::from_millis(500),
            report_lag: Duration::from_millis(1_250),
            run_limit: Duration::from_secs(60),
        }
    }
}

impl ColdSettings {
    /// Returns the time after which the holder considers a credit expired.
    #[must_use]
    pub fn holder_lifetime(&self) -> Duration {
        self.lifetime + self.margin
    }
}
