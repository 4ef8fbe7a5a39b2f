//! Intervals and timeouts of the membership.

use std::time::Duration;

/// Intervals and timeouts of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberTiming {
    /// Interval between heartbeats of two hosts of a failure domain.
    pub heartbeat_interval: Duration,
    /// Maximum number of heartbeat exchanges per second of a host within its domain;
    /// in a large domain the interval grows to stay below it.
    pub max_exchanges_per_second: u32,
    /// Silence after which a peer is suspected, as a number of heartbeat intervals.
    pub suspect_after_intervals: u32,
    /// Silence after which a peer is removed.
    pub forget_after: Duration,
    /// Interval between heartbeat exchanges of two failure domains.
    pub domain_interval: Duration,
    /// Maximum number of exchanges per second of a representative with other domains.
    pub max_domain_exchanges_per_second: u32,
    /// Initial delay between attempts to reach a seed address that has not answered.
    pub seed_interval: Duration,
    /// Gap between two calls of the state machine above which the process counts as
    /// paused.
    pub pause_threshold: Duration,
    /// Age of a report above which its observer marks the engine silent.
    pub report_silent_after: Duration,
    /// Minimum interval between shared reports of an engine that differ only in load.
    pub load_interval: Duration,
}

impl MemberTiming {
    /// Returns the interval between heartbeats with each of `peers` peers.
    #[must_use]
    pub fn heartbeat_interval_for(&self, peers: usize) -> Duration {
        rate_limited_interval(
            self.heartbeat_interval,
            peers,
            self.max_exchanges_per_second,
        )
    }

    /// Returns the interval between exchanges with each of `domains` domains.
    #[must_use]
    pub fn domain_interval_for(&self, domains: usize) -> Duration {
        let limit = self.max_domain_exchanges_per_second;
        rate_limited_interval(self.domain_interval, domains, limit)
    }

    /// Returns the silence after which one of `peers` peers is suspected.
    #[must_use]
    pub fn suspect_after_for(&self, peers: usize) -> Duration {
        self.heartbeat_interval_for(peers) * self.suspect_after_intervals
    }
}

impl Default for MemberTiming {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(250),
            max_exchanges_per_second: 20,
            suspect_after_intervals: 4,
            forget_after: Duration::from_secs(120),
            domain_interval: Duration::from_secs(1),
            max_domain_exchanges_per_second: 4,
            seed_interval: Duration::from_secs(1),
            pause_threshold: Duration::from_millis(500),
            report_silent_after: Duration::from_millis(600),
            load_interval: Duration::from_secs(1),
        }
    }
}

/// Lengthens an interval so that `count` events per interval do not exceed a rate.
fn rate_limited_interval(interval: Duration, count: usize, per_second: u32) -> Duration {
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    let needed = Duration::from_secs(1).saturating_mul(count) / per_second.max(1);
    interval.max(needed)
}
