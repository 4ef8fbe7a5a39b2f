//! Inputs of the claim state machine.

use super::{ClaimHolder, OpId, StoredClaim, UpstreamAnswer};
use crate::id::StoreRevision;

/// Outcome of a conditional write of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum WriteOutcome {
    /// The write took effect at this revision.
    Applied(StoreRevision),
    /// The write had no effect, because the revision differed; holds the current
    /// value, if there is one.
    Conflict(Option<StoredClaim>),
    /// The outcome is unknown: the write may have taken effect or may still do so.
    Ambiguous,
    /// The write had no effect, because the store was unreachable or rejected it.
    NoEffect,
}

/// Outcome of a read of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ReadOutcome {
    /// The current value, if there is one.
    Found(Option<StoredClaim>),
    /// The store returned no usable response.
    Failed,
}

/// Outcome of a dispatch to the service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum UpstreamOutcome {
    /// The service returned a complete response.
    Answered(UpstreamAnswer),
    /// No byte of the call was sent, so the service can't have run it.
    NotSent,
    /// Bytes were sent, but no complete response was received.
    Unknown,
}

/// Whether the process that holds a claim is still running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HolderStatus {
    /// The membership has heard from the process recently.
    Live,
    /// The process has ended, was replaced by a new one, or is unreachable.
    Gone,
}

/// Input that the driver passes to [`ClaimCall::step`](super::ClaimCall::step).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClaimInput {
    /// A write completed.
    Written {
        /// Identifier of the operation.
        op: OpId,
        /// Its outcome.
        outcome: WriteOutcome,
    },
    /// A read completed.
    Read {
        /// Identifier of the operation.
        op: OpId,
        /// Its outcome.
        outcome: ReadOutcome,
    },
    /// Result of a [`ClaimEffect::CheckHolder`](super::ClaimEffect::CheckHolder).
    Holder {
        /// The holder that was checked.
        holder: ClaimHolder,
        /// Whether its process is still running.
        status: HolderStatus,
    },
    /// A dispatch completed.
    Upstream {
        /// Number of the attempt.
        attempt: u32,
        /// Outcome of the attempt.
        outcome: UpstreamOutcome,
    },
    /// A timer expired; see [`next_wake`](super::ClaimCall::next_wake).
    Tick,
}
