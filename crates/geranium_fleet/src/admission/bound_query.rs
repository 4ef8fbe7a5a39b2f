//! What the bound of a request follows from.

use std::time::Duration;

use crate::first_token::FirstTokenEstimate;

/// A request whose bound is computed.
#[derive(Clone, Copy, Debug)]
pub struct BoundQuery<'a> {
    /// Prediction of waits at the groups of the model.
    pub estimate: FirstTokenEstimate<'a>,
    /// Client account; empty for callers without one.
    pub account: &'a str,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Number of prompt tokens; 0 or an impossible number if it is unknown.
    pub prompt_tokens: f64,
}
