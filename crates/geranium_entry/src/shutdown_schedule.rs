//! When a shutdown closes connections and when the process exits.

use std::time::Duration;

use geranium_core::time::Timestamp;

/// Time after the request to stop during which the load balancer may still send callers
/// here: it checks readiness once a second and acts on two consecutive results.
const BALANCER_DRAIN_TIME: Duration = Duration::from_millis(2_600);
/// Time between the close of idle connections and the exit.
const CLOSE_TIME: Duration = Duration::from_millis(200);
/// Fraction of the grace period after which the process exits even if requests are
/// still running.
const GRACE_FRACTION: f64 = 0.96;

/// Times of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// When connections are closed after their current response, and idle ones at once.
    pub close_at: Timestamp,
    /// When the process exits if no connection is in use.
    pub earliest_exit: Timestamp,
    /// When the process exits at the latest.
    pub latest_exit: Timestamp,
}

impl ShutdownSchedule {
    /// Creates the schedule of a shutdown that must end within the grace period.
    #[must_use]
    pub fn new(requested_at: Timestamp, grace: Duration) -> Self {
        let available = grace.mul_f64(GRACE_FRACTION);
        let drain_time = BALANCER_DRAIN_TIME.min(available.saturating_sub(CLOSE_TIME));
        Self {
            close_at: requested_at + drain_time,
            earliest_exit: requested_at + available.min(drain_time + CLOSE_TIME),
            latest_exit: requested_at + available,
        }
    }
}
