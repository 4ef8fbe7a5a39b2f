//! What can be made to fail, and the counts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::http::GateState;

/// Body of `POST /fault`; fields that are left out change nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFault {
    /// What becomes of connections.
    pub connections: Option<GateState>,
    /// Delay before a call is executed, in milliseconds.
    pub delay_before_ms: Option<u64>,
    /// Delay of the answer after the call was executed, in milliseconds.
    pub delay_after_ms: Option<u64>,
    /// Number of the next calls that are received and not executed.
    pub drop_calls: Option<u32>,
    /// Number of the next calls whose answer is lost after they were executed.
    pub drop_answers: Option<u32>,
    /// Status of the answers; zero stands for 200.
    pub status: Option<u16>,
}

/// Answer of `GET /fault/stats`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStats {
    /// Calls received.
    pub received: u64,
    /// Calls executed.
    pub executed: u64,
    /// Executions by idempotency key.
    pub executions: BTreeMap<String, u64>,
    /// Executions by method and path.
    pub routes: BTreeMap<String, u64>,
}
