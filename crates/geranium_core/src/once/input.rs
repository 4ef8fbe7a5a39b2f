//! What a claimed call is told by its driver.

use super::{ClaimHolder, OpId, StoredClaim, UpstreamAnswer};
use crate::id::StoreRevision;

/// Outcome of a conditional write of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum WriteOutcome {
    /// The write took effect at this revision.
    Applied(StoreRevision),
    /// The write had no effect; the present value, if there is one.
    Conflict(Option<StoredClaim>),
    /// The write may have taken effect or may yet do so.
    Ambiguous,
    /// The write had no effect, because the store could not be reached or
    /// refused it.
    NoEffect,
}

/// Outcome of a read of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ReadOutcome {
    /// The present value, if there is one.
    Found(Option<StoredClaim>),
    /// The store gave no usable answer.
    Failed,
}

/// What became of a dispatch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum UpstreamOutcome {
    /// The service answered in full.
    Answered(UpstreamAnswer),
    /// No byte of the call left this process: it certainly did not run.
    NotSent,
    /// Bytes were sent and no whole answer came back.
    Unknown,
}

/// Whether the process that holds a claim still runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HolderStatus {
    /// The process was heard of lately.
    Live,
    /// The process is gone, was replaced, or can't be reached.
    Gone,
}

/// What a claimed call is told by its driver.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClaimInput {
    /// A write came back.
    Written {
        /// Number of the operation.
        op: OpId,
        /// Its outcome.
        outcome: WriteOutcome,
    },
    /// A read came back.
    Read {
        /// Number of the operation.
        op: OpId,
        /// Its outcome.
        outcome: ReadOutcome,
    },
    /// The membership answered.
    Holder {
        /// The holder that was asked about.
        holder: ClaimHolder,
        /// Whether its process still runs.
        status: HolderStatus,
    },
    /// The dispatch came back.
    Upstream {
        /// Number of the attempt.
        attempt: u32,
        /// What became of it.
        outcome: UpstreamOutcome,
    },
    /// Time has passed; see [`next_wake`](super::ClaimCall::next_wake).
    Tick,
}
