//! Crash information that entry hosts exchange.

use serde::{Deserialize, Serialize};

use super::RequestFingerprint;
use crate::id::GroupId;
use crate::time::Timestamp;

/// One crash of one group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashId {
    /// Group that crashed.
    pub group: GroupId,
    /// Generation of the group that the crash ended.
    pub generation: u64,
}

/// Whether a request is held responsible for a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChargeState {
    /// The request was in flight when the group crashed.
    Charged,
    /// The request was cleared of the crash; takes precedence over a charge.
    Cleared,
}

/// Crash information about one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspicionEntry {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Crashes at which the request was in flight.
    pub crashes: Vec<(CrashId, ChargeState)>,
    /// Time of the last change.
    pub changed_at: Timestamp,
}

/// A crash whose cause is known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedCrash {
    /// The crash.
    pub crash: CrashId,
    /// The request that was on trial in the group.
    pub cause: RequestFingerprint,
    /// Time at which the crash was detected.
    pub at: Timestamp,
}

/// Crash information that entry hosts exchange. Merging is idempotent and
/// independent of order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashDigest {
    /// Requests under suspicion.
    pub entries: Vec<SuspicionEntry>,
    /// Crashes whose cause is known.
    pub explained: Vec<ExplainedCrash>,
}
