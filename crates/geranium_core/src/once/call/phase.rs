//! Phases of a claimed call.

use crate::id::StoreRevision;
use crate::once::{Claim, OpId};
use crate::time::Timestamp;

/// The store operation that a call is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Pending {
    /// A write is in flight.
    Write(OpId),
    /// A read is in flight.
    Read(OpId),
    /// No operation is in flight; the next one starts at this time.
    Delay(Timestamp),
}

/// The claim is being written; the call has not been dispatched.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Claiming {
    pub claim: Claim,
    pub expected: StoreRevision,
    /// Whether a write of this claim had an unknown outcome and may still take effect.
    pub ambiguous: bool,
    /// Whether the value at revision `expected` is an earlier attempt of this call.
    pub replaces_own_attempt: bool,
    pub pending: Pending,
}

/// The call was dispatched after its claim was confirmed to be in the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Dispatched {
    pub claim: Claim,
    pub revision: StoreRevision,
}

/// The final state of an attempt is being written.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Recording {
    pub claim: Claim,
    /// Time before which the sweep can't have deleted the claim.
    pub retained_until: Timestamp,
    pub expected: StoreRevision,
    pub pending: Pending,
    pub give_up_at: Timestamp,
}

/// Another holder is running the call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Waiting {
    pub claim: Claim,
    pub holder_gone: bool,
    pub store_failed: bool,
    /// Number of reads that found the claim still running.
    pub polls: u32,
    pub pending: Pending,
}

/// The current phase of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    Claiming(Claiming),
    Dispatched(Dispatched),
    Recording(Recording),
    Waiting(Waiting),
    Ended,
}
