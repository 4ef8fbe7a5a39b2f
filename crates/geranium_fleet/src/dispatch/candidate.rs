//! A backend server that can take a request.

use crate::host::Host;

/// A backend server that can take a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    /// Load with penalties, in requests.
    pub(super) score: f64,
    /// Known number of running requests.
    pub(super) running: f64,
    pub(super) host: &'a Host,
}
