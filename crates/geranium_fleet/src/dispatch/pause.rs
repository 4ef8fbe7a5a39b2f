//! Pauses that backend servers ask for.

use geranium_core::time::Timestamp;

/// A pause requested by a backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pause {
    /// Incarnation that asked for the pause; the next one takes work.
    pub(super) incarnation: u64,
    pub(super) until: Timestamp,
}
