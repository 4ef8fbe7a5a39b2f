//! The properties of a request that its limits depend on.

use std::time::Duration;

use super::PrioritySet;
use crate::first_token::FirstTokenEstimate;

/// A request whose limits at the groups of its model are computed.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionQuery<'a> {
    /// Prediction of waits at the groups of the model.
    pub estimate: FirstTokenEstimate<'a>,
    /// Client account; empty for callers without one.
    pub account: &'a str,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Priorities of recent requests for the model at other entry hosts.
    pub peer_priorities: PrioritySet,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Number of prompt tokens; 0 or an impossible number if it is unknown.
    pub prompt_tokens: f64,
}
