//! Intervals and timeouts of the spread of records.

use std::time::Duration;

/// Intervals and timeouts of the spread of records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicationTiming {
    /// Time for which a new host waits for its peers before it reads the store.
    pub first_read_delay: Duration,
    /// Age of the knowledge of the store above which a host reads it itself.
    pub stale_after: Duration,
    /// Upper bound of the random delay that spreads reads over time.
    pub read_jitter: Duration,
    /// First wait after a failed read; it doubles with each failure.
    pub backoff_min: Duration,
    /// Longest wait after failed reads of a host that follows the store.
    pub watcher_backoff_max: Duration,
    /// Longest wait after failed reads of any other host.
    pub backoff_max: Duration,
    /// Time after which a read without any outcome counts as failed.
    pub read_timeout: Duration,
    /// Silence of a watch after which the store is read again.
    pub watch_idle_timeout: Duration,
    /// Shortest wait before a peer with another digest is asked; a push may come.
    pub pull_delay: Duration,
    /// Upper bound of the random addition to the wait.
    pub pull_jitter: Duration,
    /// Time after which a pull without any outcome counts as failed.
    pub pull_timeout: Duration,
    /// Shortest wait before a newer record is written back to the store.
    pub write_back_delay: Duration,
    /// Upper bound of the random addition; other hosts may write it back first.
    pub write_back_jitter: Duration,
    /// Most write-backs that wait for their outcome.
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
