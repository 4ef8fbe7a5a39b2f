//! What a claimed call asks its driver to do.

use super::{Claim, ClaimAnswer, ClaimHolder};
use crate::event::EventDraft;
use crate::id::StoreRevision;
use crate::time::Timestamp;

/// Number of a store operation within one call.
pub type OpId = u64;

/// What a claimed call asks its driver to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEffect {
    /// Reads the claim; the outcome comes back with the same number.
    Read {
        /// Number of the operation.
        op: OpId,
        /// Key of the claim.
        key: String,
    },
    /// Writes the claim by compare-and-swap; the outcome comes back with the
    /// same number.
    Write {
        /// Number of the operation.
        op: OpId,
        /// Key of the claim.
        key: String,
        /// New value.
        claim: Box<Claim>,
        /// Revision that the claim must have; zero if it must be absent.
        expected: StoreRevision,
    },
    /// Asks the membership whether a holder's process still runs.
    CheckHolder {
        /// The holder.
        holder: ClaimHolder,
    },
    /// Sends the call to the service; emitted at most once for each attempt.
    Dispatch {
        /// Number of the attempt.
        attempt: u32,
        /// The driver compares this with its clock right before the first byte
        /// is sent, and reports the call as not sent from that time on.
        before: Timestamp,
    },
    /// Answers the caller; emitted exactly once.
    Answer(ClaimAnswer),
    /// Records an event.
    Emit(EventDraft),
}
