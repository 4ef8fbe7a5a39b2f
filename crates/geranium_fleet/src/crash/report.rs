//! What entry hosts tell each other about a crash.

use serde::{Deserialize, Serialize};

use super::CrashCount;
use crate::host::{Host, HostId};

/// Identifies a crash: the incarnation of a backend server that ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashId {
    /// The backend server.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: u64,
}

impl CrashId {
    /// Returns the crash in which the present incarnation of a backend server ends.
    #[must_use]
    pub fn of(host: &Host) -> Self {
        Self {
            host: host.id.clone(),
            incarnation: host.incarnation,
        }
    }
}

/// A crash, and the requests and prompt parts of one entry host that may have caused it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The incarnation that ended.
    pub crash: CrashId,
    /// The requests that may have caused it: for each the counts of its subjects, this crash
    /// included.
    pub requests: Vec<Vec<CrashCount>>,
}
