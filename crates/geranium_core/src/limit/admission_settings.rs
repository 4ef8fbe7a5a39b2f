//! Settings of admission.

use std::time::Duration;

/// Settings of admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Maximum number of queued requests.
    pub max_queued: usize,
    /// Time before the deadline that is reserved for running the request.
    pub reserve: Duration,
    /// Assumed service time of a request until real ones have been measured.
    pub initial_service_time: Duration,
    /// Waiting time that raises a request by one priority level within its account.
    pub aging_step: Duration,
    /// Time for which requests stay queued after the capacity falls to zero.
    pub zero_capacity_grace: Duration,
    /// Minimum retry delay that a refusal returns.
    pub min_retry_after: Duration,
    /// Maximum retry delay that a refusal returns, before jitter.
    pub max_retry_after: Duration,
    /// Maximum random fraction added to the retry delay.
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
