//! Settings of the stand-in.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Settings of a [`FakePlatform`](super::FakePlatform).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformConfig {
    /// Address of the key-value service.
    pub listen: SocketAddr,
    /// More addresses of the same service, each with connections that can be made
    /// to fail on their own; one for each failure domain makes partitions.
    pub more_listen: Vec<SocketAddr>,
    /// Address for faults and counts.
    pub admin: SocketAddr,
    /// Reads allowed per second, watches included.
    pub max_reads_per_second: Option<u32>,
    /// Writes and lease calls allowed per second.
    pub max_writes_per_second: Option<u32>,
    /// Time between progress notices of an idle watch.
    pub progress_interval: Duration,
    /// Changes kept for watches; older ones are compacted.
    pub history_limit: usize,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            listen: any_port,
            more_listen: Vec::new(),
            admin: any_port,
            max_reads_per_second: None,
            max_writes_per_second: None,
            progress_interval: Duration::from_secs(5),
            history_limit: 10_000,
        }
    }
}
