//! Estimate of the rate at which a queue drains.

use std::time::Duration;

use crate::time::Timestamp;

/// Weight of a new sample in the moving average of the service time.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Number of expected completion intervals without a completion after which the
/// drain rate is taken to be lower.
const STALL_GAPS: f64 = 3.0;

/// Estimates the interval between completions of the requests in progress.
#[derive(Clone, Debug)]
pub(super) struct DrainRate {
    service_secs: f64,
    last_end: Option<Timestamp>,
}

impl DrainRate {
    /// Creates an estimate with an initial service time.
    pub(super) fn new(initial_service_time: Duration) -> Self {
        Self {
            service_secs: initial_service_time.as_secs_f64(),
            last_end: None,
        }
    }

    /// Records the completion of a request that took `service`.
    pub(super) fn ended(&mut self, now: Timestamp, service: Duration) {
        self.service_secs += SAMPLE_WEIGHT * (service.as_secs_f64() - self.service_secs);
        self.last_end = Some(now);
    }

    /// Records the start of a request on idle capacity; the current interval counts
    /// from here.
    pub(super) fn resumed(&mut self, now: Timestamp) {
        self.last_end = Some(now);
    }

    /// Returns the expected time between two completions, in seconds.
    pub(super) fn gap_secs(&self, now: Timestamp, capacity: u32) -> f64 {
        let expected = self.service_secs / f64::from(capacity.max(1));
        let idle_secs = self.last_end.map_or(0.0, |t| now.since(t).as_secs_f64());
        expected.max(idle_secs / STALL_GAPS)
    }
}
