//! Settings of an entry host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Bounds that hold over all entry hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedBounds {
    /// Further arrivals at backend servers for each request.
    pub retry_ratio: f64,
    /// Further arrivals in a window beyond the ratio.
    pub retry_slack: f64,
    /// Factor on the rate that a cold backend server bears.
    pub cold_factor: f64,
    /// Requests in a second at a cold backend server beyond the factor.
    pub cold_slack: f64,
    /// Window of the bound on loads from the weight store.
    pub load_window: Duration,
    /// Time from the request to stop until the process is killed.
    pub grace: Duration,
}

/// Settings of an entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// Name of the host.
    pub name: Arc<str>,
    /// Failure domain of the host.
    pub failure_domain: Arc<str>,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address at which the balancer asks whether the host is ready.
    pub readiness_address: SocketAddr,
    /// Address for datagrams of other entry hosts.
    pub peer_address: SocketAddr,
    /// Address of the metrics, if they are served.
    pub metrics_address: Option<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Part of a processor core that the process may use.
    pub processor_share: f64,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: u64,
    /// Shortest lease that the store grants.
    pub min_lease: Duration,
    /// Bounds that hold over all entry hosts together.
    pub bounds: SharedBounds,
}
