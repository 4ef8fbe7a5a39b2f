//! Settings of admission.

use std::time::Duration;

/// Settings of admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Requests that may wait at once.
    pub max_queued: usize,
    /// Time before the deadline that is kept for the work itself.
    pub reserve: Duration,
    /// Time that a request takes, until it has been observed.
    pub initial_service_time: Duration,
    /// Waiting time that raises a request by one priority within its account.
    pub aging_step: Duration,
    /// Time for which queued requests stay when the capacity falls to zero.
    pub zero_capacity_grace: Duration,
    /// Shortest time to come back that a refusal names.
    pub min_retry_after: Duration,
    /// Longest time to come back that a refusal names, before jitter.
    pub max_retry_after: Duration,
    /// Largest random share added to the time to come back.
    pub jitter: f64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            max_queued: 10_000,
            reserve: Duration::ZERO,
            initial_service_time: Duration::from_secs(2),
            aging_step: Duration::from_millis(250),
            zero_capacity_grace: Duration::from_millis(500),
            min_retry_after: Duration::from_millis(250),
            max_retry_after: Duration::from_secs(60),
            jitter: 0.5,
        }
    }
}
