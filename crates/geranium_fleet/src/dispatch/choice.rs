//! The outcome of a selection.

use std::time::Duration;

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
    /// Age of the other entry hosts' part of the load.
    pub load_age: Duration,
}
