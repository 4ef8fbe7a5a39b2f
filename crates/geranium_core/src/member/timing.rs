//! Intervals and timeouts of the membership.

use std::time::Duration;

/// Intervals and timeouts of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberTiming {
    /// Time between heartbeats of two hosts of a failure domain.
    pub heartbeat_interval: Duration,
    /// Most heartbeat exchanges of a host within its domain, per second; a large
    /// domain lengthens the interval instead.
    pub max_exchanges_per_second: u32,
    /// Silence after which a peer is suspected, in heartbeat intervals.
    pub suspect_after_intervals: u32,
    /// Silence after which a peer is forgotten.
    pub forget_after: Duration,
    /// Time between exchanges of two failure domains.
    pub domain_interval: Duration,
    /// Most exchanges of a representative with other domains, per second.
    pub max_domain_exchanges_per_second: u32,
    /// Time between attempts to reach a seed address that has not answered.
    pub seed_interval: Duration,
    /// Time between two runs of this process above which it was paused.
    pub pause_threshold: Duration,
    /// Age above which an observer stops vouching for a report.
    pub report_silent_after: Duration,
    /// Time between shared reports of an engine that differ in load only.
    pub load_interval: Duration,
}

impl MemberTiming {
    /// Returns the time between heartbeats with each of `peers` peers.
    #[must_use]
    pub fn heartbeat_interval_for(&self, peers: usize) -> Duration {
        rate_limited_interval(
            self.heartbeat_interval,
            peers,
            self.max_exchanges_per_second,
        )
    }

    /// Returns the time between exchanges with each of `domains` domains.
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

/// Lengthens an interval so that `count` events in it stay below a rate.
fn rate_limited_interval(interval: Duration, count: usize, per_second: u32) -> Duration {
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    let needed = Duration::from_secs(1).saturating_mul(count) / per_second.max(1);
    interval.max(needed)
}
