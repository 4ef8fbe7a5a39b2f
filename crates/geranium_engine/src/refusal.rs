//! JSON format in which engines refuse a call.

use serde::{Deserialize, Serialize};

/// Type of the refusal of an order with an outdated fencing number.
pub const STALE_FENCING: &str = "stale_fencing";
/// Type of the refusal of a request that is addressed to another group.
pub const WRONG_GROUP: &str = "wrong_group";

/// Refusal of a call by an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRefusal {
    /// Machine-readable type of the refusal; it does not change between versions.
    #[serde(rename = "type", default)]
    pub kind: String,
    /// Human-readable explanation.
    #[serde(default)]
    pub message: String,
    /// Highest fencing number that the engine has seen; set for a stale order.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub highest: Option<u64>,
    /// Delay before a retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// JSON object around a refusal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalEnvelope {
    /// The refusal.
    pub error: EngineRefusal,
}
