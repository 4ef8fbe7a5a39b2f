//! Refusals of engines as they travel.

use serde::{Deserialize, Serialize};

/// Type of the refusal of an order with an old fencing number.
pub const STALE_FENCING: &str = "stale_fencing";
/// Type of the refusal of a request that is meant for another group.
pub const WRONG_GROUP: &str = "wrong_group";

/// A refusal of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRefusal {
    /// Stable name of the refusal.
    #[serde(rename = "type", default)]
    pub kind: String,
    /// Explanation for people.
    #[serde(default)]
    pub message: String,
    /// Highest fencing number seen, for a stale order.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub highest: Option<u64>,
    /// When to come back, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Wrapper of a refusal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalEnvelope {
    /// The refusal.
    pub error: EngineRefusal,
}
