//! What entry hosts tell each other of a limit.

use std::time::Duration;

use geranium_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use super::heard::HeardLimit;
use crate::host::HostId;

/// The newest that an entry host knows of the limit of a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Backend server.
    pub host: HostId,
    /// Incarnation of the backend server.
    pub incarnation: u64,
    /// Requests per second that it takes, or `None` if it names no limit any more.
    pub per_second: Option<f64>,
    /// Time since it was heard, in milliseconds.
    pub age_ms: u64,
}

impl LimitReport {
    /// Returns what it says, as heard from another entry host.
    pub(super) fn heard(&self, now: Timestamp) -> HeardLimit {
        HeardLimit {
            incarnation: self.incarnation,
            per_second: self.per_second,
            at: now - Duration::from_millis(self.age_ms),
            directly: false,
        }
    }
}
