//! Engine reports.

use serde::{Deserialize, Serialize};

use crate::id::{FencingNumber, GroupId, HostId, Incarnation};

/// Loading state of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EnginePhase {
    /// No model is assigned.
    Idle,
    /// The weights are being loaded.
    Loading,
    /// The model is loaded, but not warmed up, and sustains only a light load.
    Cold,
    /// The model is loaded and warmed up.
    Warm,
}

/// The assignment that an engine reports to be following.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Assignment {
    /// Group that the engine is a member of.
    pub group: GroupId,
    /// Fencing number of the order that assigned it.
    pub fencing: FencingNumber,
    /// Name of the weights.
    pub model: String,
    /// Version of the weights.
    pub version: String,
    /// Adapters loaded with the weights, sorted.
    pub adapters: Vec<String>,
    /// Rank of the host among the members.
    pub rank: u32,
}

/// Report of one engine; its load figures lag behind the actual load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Host that the engine runs on.
    pub host: HostId,
    /// Incarnation of the engine process; a new incarnation starts without a model.
    pub incarnation: Incarnation,
    /// Sequence number; increases with each report of an incarnation.
    pub sequence: u64,
    /// Highest fencing number that the engine has seen.
    pub fencing: FencingNumber,
    /// Assignment that the engine follows, if any.
    pub assignment: Option<Assignment>,
    /// Loading state of the assigned model.
    pub phase: EnginePhase,
    /// Whether the engine has started to leave.
    pub leaving: bool,
    /// Number of requests that are running.
    pub running: u32,
    /// Number of requests that are queued in the engine.
    pub waiting: u32,
    /// Free capacity of the KV cache, in tokens.
    pub kv_free_tokens: u64,
}

impl EngineReport {
    /// Returns whether two reports differ in anything but load and sequence number.
    #[must_use]
    pub fn differs_in_state(&self, other: &Self) -> bool {
        self.incarnation != other.incarnation
            || self.fencing != other.fencing
            || self.assignment != other.assignment
            || self.phase != other.phase
            || self.leaving != other.leaving
    }
}
