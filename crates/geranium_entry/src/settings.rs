//! Settings of an entry host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Limits that apply to all entry hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedBounds {
    /// Retries allowed per request.
    pub retry_ratio: f64,
    /// Retries allowed in a window in addition to the ratio.
    pub retry_slack: f64,
    /// Factor applied to the request rate that a cold backend server can sustain.
    pub cold_factor: f64,
    /// Requests per second allowed at a cold backend server in addition to the factor.
    pub cold_slack: f64,
    /// Window of the limit on loads from the weight store.
    pub load_window: Duration,
    /// Time between the request to stop and the forced termination of the process.
    pub grace: Duration,
}

/// Settings of an entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// Name of the host.
    pub name: Arc<str>,
    /// Failure domain of the host.
    pub failure_domain: Arc<str>,
    /// Address at which callers connect.
    pub caller_address: SocketAddr,
    /// Address of the load balancer's readiness check.
    pub readiness_address: SocketAddr,
    /// Address for other entry hosts: UDP datagrams, and HTTP requests for store changes.
    pub peer_address: SocketAddr,
    /// Address for requests that other entry hosts forward here, if there is a port for it.
    pub forward_address: Option<SocketAddr>,
    /// Address at which metrics are served, if at all.
    pub metrics_address: Option<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Number of processor cores that the process may use; may be a fraction.
    pub processor_share: f64,
    /// Memory limit of the process, in bytes.
    pub memory_bytes: u64,
    /// Shortest lease that the store grants.
    pub min_lease: Duration,
    /// Limits that apply to all entry hosts together.
    pub bounds: SharedBounds,
}
