//! Reports of engines.

use serde::{Deserialize, Serialize};

use crate::id::{FencingNumber, GroupId, HostId, Incarnation};

/// How far an engine is with its model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EnginePhase {
    /// No model is assigned.
    Idle,
    /// Weights are being loaded.
    Loading,
    /// The model is loaded and can bear only a light load.
    Cold,
    /// The model is loaded and warmed up.
    Warm,
}

/// What an engine says it has been told to serve.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Assignment {
    /// Group that the engine is a member of.
    pub group: GroupId,
    /// Fencing number of the order that it follows.
    pub fencing: FencingNumber,
    /// Name of the weights.
    pub model: String,
    /// Version of the weights.
    pub version: String,
    /// Adapters beside the weights, sorted.
    pub adapters: Vec<String>,
    /// Position among the members.
    pub rank: u32,
}

/// Report of one engine; the load figures lag behind reality.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Host that the engine runs on.
    pub host: HostId,
    /// Run of the engine process; a new one has lost its model.
    pub incarnation: Incarnation,
    /// Grows with each report of one incarnation.
    pub sequence: u64,
    /// Highest fencing number seen.
    pub fencing: FencingNumber,
    /// What the engine follows, if anything.
    pub assignment: Option<Assignment>,
    /// How far the engine is with it.
    pub phase: EnginePhase,
    /// Whether the engine has begun to leave.
    pub leaving: bool,
    /// Requests being worked on.
    pub running: u32,
    /// Requests waiting in the engine.
    pub waiting: u32,
    /// Tokens that fit into the free part of the KV cache.
    pub kv_free_tokens: u64,
}

impl EngineReport {
    /// Returns whether another report shows another state, its load aside.
    #[must_use]
    pub fn differs_in_state(&self, other: &Self) -> bool {
        self.incarnation != other.incarnation
            || self.fencing != other.fencing
            || self.assignment != other.assignment
            || self.phase != other.phase
            || self.leaving != other.leaving
    }
}
