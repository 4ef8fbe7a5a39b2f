//! What may rule out a backend server for a request.

use geranium_core::time::Timestamp;

/// Reasons that may rule out a backend server for a request.
pub(super) struct HostCheck {
    pub(super) running: f64,
    pub(super) suspected: bool,
    pub(super) paused_until: Option<Timestamp>,
    pub(super) at_limit: bool,
    /// Whether the server named a limit of which this entry host has used its part.
    pub(super) at_own_limit: bool,
    pub(super) full: bool,
}
