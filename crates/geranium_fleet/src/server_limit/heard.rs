//! What was heard of the limit of a backend server.

use geranium_core::time::Timestamp;

/// What an answer, or another entry host, says of the limit of a backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeardLimit {
    /// Incarnation of the backend server.
    pub(super) incarnation: u64,
    /// Requests per second that it takes, or `None` if it names no limit.
    pub(super) per_second: Option<f64>,
    /// When the answer with the limit arrived, or when the request was sent whose answer
    /// named none.
    pub(super) at: Timestamp,
    /// Whether this entry host got the answer itself.
    pub(super) directly: bool,
}
