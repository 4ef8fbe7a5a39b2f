//! Load and recent outcomes of a backend server.

use std::time::Duration;

use geranium_core::time::Timestamp;

use super::pause::Pause;
use crate::rate_limiter::RateLimiter;

/// Window of the rate limit for cold backend servers.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Load and recent outcomes of one backend server, as seen by this entry host.
#[derive(Debug)]
pub(super) struct HostStats {
    pub(super) running: u32,
    pub(super) peer_requests: f64,
    pub(super) failure_rate: f64,
    pub(super) mean_latency_ms: f64,
    pub(super) suspected_until: Timestamp,
    /// Pause requested by an incarnation of the backend server.
    pub(super) pause: Option<Pause>,
    /// Whether it has not answered successfully since it was suspected.
    pub(super) is_probing: bool,
    pub(super) recent_requests: RateLimiter,
}

impl Default for HostStats {
    fn default() -> Self {
        Self {
            running: 0,
            peer_requests: 0.0,
            failure_rate: 0.0,
            mean_latency_ms: 0.0,
            suspected_until: Timestamp::default(),
            pause: None,
            is_probing: false,
            recent_requests: RateLimiter::new(COLD_WINDOW),
        }
    }
}

impl HostStats {
    /// Returns whether new work goes to other servers if possible. After the suspicion
    /// period, one request at a time probes whether the backend server answers again.
    pub(super) fn is_suspected(&self, now: Timestamp) -> bool {
        now < self.suspected_until || (self.is_probing && self.running > 0)
    }

    /// Returns the end of the pause that still applies to an incarnation.
    pub(super) fn paused_until(&self, incarnation: u64, now: Timestamp) -> Option<Timestamp> {
        let pause = self
            .pause
            .filter(|p| p.incarnation == incarnation && now < p.until);
        pause.map(|p| p.until)
    }

    /// Returns the known number of running requests, including those of other entry hosts.
    pub(super) fn total_running(&self) -> f64 {
        f64::from(self.running) + self.peer_requests
    }
}
