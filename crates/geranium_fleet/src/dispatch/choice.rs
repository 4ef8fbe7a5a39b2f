//! The outcome of a selection.

use std::time::Duration;

use super::Placement;
use crate::host::Host;

/// The selected backend server.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The backend server.
    pub host: Host,
    /// Number of backend servers that could have been selected.
    pub candidates: usize,
    /// Known number of requests running there.
    pub load: f64,
    /// Bound that the request had, if any.
    pub in_time_limit: Option<f64>,
    /// How the request was placed, if it had a bound.
    pub placement: Option<Placement>,
    /// Age of the other entry hosts' part of the load.
    pub load_age: Duration,
}
