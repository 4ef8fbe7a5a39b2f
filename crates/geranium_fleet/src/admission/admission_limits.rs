//! Numbers of requests at a group at which a further one is late or finds the group full.

/// Numbers of requests at a group, over all entry hosts, that limit a further request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionLimits {
    /// Number below which the request is expected to meet its objective.
    pub in_time: f64,
    /// Number at which the group is full for the request.
    pub max_running: f64,
}
