//! Loads of a group up to which a request is in time and is taken at all.

/// Numbers of requests at a group, over all entry hosts, that limit a further request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionLimits {
    /// Number below which the request is expected to meet its objective.
    pub in_time: f64,
    /// Number at which the group is full for the request.
    pub max_running: f64,
}
