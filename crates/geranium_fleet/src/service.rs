//! Services of the operator's configuration.

use std::sync::Arc;
use std::time::Duration;

use crate::engine_profile::EngineProfile;

/// A service: a set of backend servers that answer the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// Path of the health check.
    pub health_path: String,
    /// Maximum number of connections to one backend server from all callers together.
    pub max_connections: u32,
    /// How long a backend server stays cold after its start.
    pub cold_time: Duration,
    /// Requests per second that a cold backend server can take; 0 if it is never cold.
    pub cold_rate: f64,
    /// The model engine, or `None` for a plain service.
    pub engine: Option<Arc<EngineProfile>>,
}
