//! Intervals and timeouts of record replication.

use std::time::Duration;

/// Intervals and timeouts of record replication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicationTiming {
    /// Delay before the first read of the store by a new host, in which it can
    /// receive records from its peers.
    pub first_read_delay: Duration,
    /// Time since the records were last known to match the store after which a
    /// host that does not watch the store reads it.
    pub stale_after: Duration,
    /// Upper bound of the random delay that spreads the reads of hosts over time.
    pub read_jitter: Duration,
    /// Backoff after the first failed read; it doubles with each failure.
    pub backoff_min: Duration,
    /// Maximum backoff of a host that watches the store.
    pub watcher_backoff_max: Duration,
    /// Maximum backoff of any other host.
    pub backoff_max: Duration,
    /// Time after which a read without a result counts as failed.
    pub read_timeout: Duration,
    /// Time without an event of a watch after which the store is read again.
    pub watch_idle_timeout: Duration,
    /// Minimum delay before a pull from a peer with an unknown digest, in which
    /// the peer may push its records.
    pub pull_delay: Duration,
    /// Upper bound of the random extension of `pull_delay`.
    pub pull_jitter: Duration,
    /// Time after which a pull without a result counts as failed.
    pub pull_timeout: Duration,
    /// Minimum delay before a newer record is written back to the store.
    pub write_back_delay: Duration,
    /// Upper bound of the random extension of `write_back_delay`, in which another
    /// host may write the record back first.
    pub write_back_jitter: Duration,
    /// Maximum number of concurrent write-backs.
    pub max_write_backs: usize,
}

impl Default for ReplicationTiming {
    fn default() -> Self {
        Self {
            first_read_delay: Duration::from_millis(500),
            stale_after: Duration::from_secs(5),
            read_jitter: Duration::from_secs(5),
            backoff_min: Duration::from_millis(500),
            watcher_backoff_max: Duration::from_secs(15),
            backoff_max: Duration::from_secs(60),
            read_timeout: Duration::from_secs(10),
            watch_idle_timeout: Duration::from_secs(60),
            pull_delay: Duration::from_millis(100),
            pull_jitter: Duration::from_millis(300),
            pull_timeout: Duration::from_secs(3),
            write_back_delay: Duration::from_secs(1),
            write_back_jitter: Duration::from_secs(3),
            max_write_backs: 4,
        }
    }
}
