//! Writes, transactions and their outcomes.

use bytes::Bytes;

use crate::id::StoreRevision;
use crate::once::{OpId, StoredClaim, WriteOutcome};

/// Identifier of a transaction, unique within its batcher.
pub type BatchId = u64;

/// One conditional write of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchWrite {
    /// Nonce of the call that requested the write.
    pub call: u64,
    /// Identifier of the operation within the call.
    pub op: OpId,
    /// Key of the claim.
    pub key: String,
    /// Encoded claim.
    pub value: Bytes,
    /// Revision that the claim must have; zero if it must be absent.
    pub expected: StoreRevision,
}

/// A transaction to send; its writes have distinct keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Identifier of the transaction.
    pub id: BatchId,
    /// Writes of the transaction.
    pub writes: Vec<BatchWrite>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatchOutcome {
    /// Every write took effect at this revision.
    Applied(StoreRevision),
    /// Nothing was written, because a revision differed; holds the current values
    /// of the keys that exist.
    Conflict(Vec<(String, StoredClaim)>),
    /// The outcome is unknown: the transaction may have taken effect or may still
    /// do so.
    Ambiguous,
    /// The transaction had no effect, because the store was unreachable or rejected
    /// it.
    NoEffect,
}

/// Outcome of one write, to pass to its call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteResult {
    /// Nonce of the call that requested the write.
    pub call: u64,
    /// Identifier of the operation within the call.
    pub op: OpId,
    /// Outcome of the write.
    pub outcome: WriteOutcome,
}
