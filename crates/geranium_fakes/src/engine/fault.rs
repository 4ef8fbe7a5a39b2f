//! What can be made to fail, and the counts.

use serde::{Deserialize, Serialize};

use crate::http::GateState;

/// Body of `POST /fault`; fields that are left out change nothing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFault {
    /// What becomes of connections.
    pub connections: Option<GateState>,
    /// Answers nothing and generates nothing for this time, in milliseconds; the
    /// engine then goes on as if nothing had been.
    pub pause_ms: Option<u64>,
    /// Loses everything, cuts every stream and begins a new incarnation.
    pub fail_over: bool,
    /// Turns cold and drops its prefix cache, with the same incarnation.
    pub forget: bool,
    /// Multiplies the time per token.
    pub straggle_factor: Option<f64>,
    /// Whether the engine reports that it is leaving.
    pub leaving: Option<bool>,
    /// Number of the next orders whose answer is lost after they were followed.
    pub lose_order_answers: Option<u32>,
    /// Sends each piece whose index is a multiple of this after its successor;
    /// zero sends all in order.
    pub swap_every: Option<u64>,
    /// Sends each piece whose index is a multiple of this twice; zero sends all once.
    pub repeat_every: Option<u64>,
    /// Never sends a piece whose index is a multiple of this, though the end marker
    /// comes; zero sends all.
    pub lose_every: Option<u64>,
    /// Pads the text of each piece of a stream to this many bytes; zero pads none.
    pub pad_pieces: Option<usize>,
    /// Cuts every stream and goes on.
    pub cut_streams: bool,
}

/// Answer of `GET /fault/stats`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStats {
    /// Completions that got a slot.
    pub executions: u64,
    /// Completions that reached their end.
    pub completed: u64,
    /// Completions that were cancelled or whose caller has gone.
    pub cancelled: u64,
    /// Completions that were cut by a failure of the engine.
    pub cut: u64,
    /// Completions that were given up at their deadline.
    pub expired: u64,
    /// Completions that went on from a later piece.
    pub resumed: u64,
    /// Resumed completions whose text so far is not what this engine would give.
    pub resume_mismatches: u64,
    /// Most completions worked on at a time.
    pub peak_concurrent: u32,
    /// Times that a cold engine got too much and fell over.
    pub over_capacity: u64,
    /// Times that a prompt made the engine fall over.
    pub crashes: u64,
    /// Times that the replica ended because a member was missing.
    pub replica_deaths: u64,
    /// Completions refused because they were meant for another group.
    pub wrong_group: u64,
    /// Orders followed.
    pub orders_followed: u64,
    /// Orders refused for their fencing number.
    pub orders_stale: u64,
    /// Tokens generated.
    pub tokens: u64,
}
