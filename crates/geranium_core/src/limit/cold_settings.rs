//! Settings of the cold-start budget.

use std::time::Duration;

/// Settings of the cold-start budget; equal on all hosts of a failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdSettings {
    /// Lifetime of a credit, from the time at which its user asked for it.
    pub lifetime: Duration,
    /// Time that the holder adds to a lifetime for clocks of different speed.
    pub margin: Duration,
    /// Time between two requests of a user for the same group.
    pub renew_interval: Duration,
    /// Longest time between the measurement of a group's load and the time for
    /// which the driver gives it to the holder.
    pub report_lag: Duration,
    /// Longest time that a request may run on a cold group; its deadline is cut
    /// to this, so that engines end it even if its entry host cannot.
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
    /// Returns the time after which the holder takes a credit for expired.
    #[must_use]
    pub fn holder_lifetime(&self) -> Duration {
        self.lifetime + self.margin
    }
}
