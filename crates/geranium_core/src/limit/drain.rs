//! The rate at which a queue drains.

use std::time::Duration;

use crate::time::Timestamp;

/// Weight of a new service time.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Usual gaps between two ends that must pass without one before the drain
/// counts as slower.
const STALL_GAPS: f64 = 3.0;

/// Estimates how often one of the requests in progress ends.
#[derive(Clone, Debug)]
pub(super) struct DrainRate {
    service_secs: f64,
    last_end: Option<Timestamp>,
}

impl DrainRate {
    /// Makes an estimate from a first guess of the time that a request takes.
    pub(super) fn new(initial_service_time: Duration) -> Self {
        Self {
            service_secs: initial_service_time.as_secs_f64(),
            last_end: None,
        }
    }

    /// Notes the end of a request that took `service`.
    pub(super) fn ended(&mut self, now: Timestamp, service: Duration) {
        self.service_secs += SAMPLE_WEIGHT * (service.as_secs_f64() - self.service_secs);
        self.last_end = Some(now);
    }

    /// Notes that a request starts on an idle capacity, from when a gap counts.
    pub(super) fn resumed(&mut self, now: Timestamp) {
        self.last_end = Some(now);
    }

    /// Returns the expected time between two ends, in seconds.
    pub(super) fn gap_secs(&self, now: Timestamp, capacity: u32) -> f64 {
        let usual = self.service_secs / f64::from(capacity.max(1));
        let silent = self.last_end.map_or(0.0, |t| now.since(t).as_secs_f64());
        usual.max(silent / STALL_GAPS)
    }
}
