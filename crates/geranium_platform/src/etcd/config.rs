//! Settings of the etcd client.

use std::net::SocketAddr;
use std::time::Duration;

/// Settings of an [`EtcdClient`](crate::EtcdClient).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EtcdConfig {
    /// Endpoints of one etcd cluster, in order of preference.
    pub endpoints: Vec<SocketAddr>,
    /// Longest time for one call over all endpoints.
    pub call_timeout: Duration,
    /// Longest silence of a watch. etcd's progress notices must come more often,
    /// or an idle watch is opened anew each time.
    pub watch_idle_timeout: Duration,
    /// Largest answer of a read, in bytes.
    pub max_answer: usize,
    /// Largest message of a watch, in bytes.
    pub max_watch_message: usize,
    /// Reads that may be sent per second, waiting watches included.
    pub max_reads_per_second: Option<u32>,
    /// Writes and lease calls that may be sent per second.
    pub max_writes_per_second: Option<u32>,
}

impl EtcdConfig {
    /// Makes settings with the customary limits.
    #[must_use]
    pub fn new(endpoints: Vec<SocketAddr>) -> Self {
        Self {
            endpoints,
            call_timeout: Duration::from_secs(2),
            watch_idle_timeout: Duration::from_secs(60),
            max_answer: 64 << 20,
            max_watch_message: 64 << 20,
            max_reads_per_second: None,
            max_writes_per_second: None,
        }
    }
}
