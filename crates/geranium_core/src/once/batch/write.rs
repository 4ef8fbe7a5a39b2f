//! Writes and transactions of the batcher.

use bytes::Bytes;

use crate::id::StoreRevision;
use crate::once::{OpId, StoredClaim, WriteOutcome};

/// Number of a transaction.
pub type BatchId = u64;

/// One conditional write of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchWrite {
    /// Nonce of the call that asked for it.
    pub call: u64,
    /// Number of the operation within the call.
    pub op: OpId,
    /// Key of the claim.
    pub key: String,
    /// Encoded claim.
    pub value: Bytes,
    /// Revision that the claim must have; zero if it must be absent.
    pub expected: StoreRevision,
}

/// A transaction to send; no key occurs in it twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Number of the transaction.
    pub id: BatchId,
    /// Its writes.
    pub writes: Vec<BatchWrite>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatchOutcome {
    /// Every write took effect at this revision.
    Applied(StoreRevision),
    /// Nothing was written; the present values of the keys that exist.
    Conflict(Vec<(String, StoredClaim)>),
    /// The transaction may have taken effect or may yet do so.
    Ambiguous,
    /// The transaction had no effect, because the store could not be reached or
    /// refused it.
    NoEffect,
}

/// Outcome of one write, to feed to its call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteResult {
    /// Nonce of the call that asked for it.
    pub call: u64,
    /// Number of the operation within the call.
    pub op: OpId,
    /// The outcome.
    pub outcome: WriteOutcome,
}
