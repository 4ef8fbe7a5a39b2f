//! Effects of the claim state machine.

use super::{Claim, ClaimAnswer, ClaimHolder};
use crate::event::EventDraft;
use crate::id::StoreRevision;
use crate::time::Timestamp;

/// Identifier of a store operation, unique within its call.
pub type OpId = u64;

/// An action that a claimed call requests from its driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEffect {
    /// Reads the claim; the driver reports the outcome with the same `op`.
    Read {
        /// Identifier of the operation.
        op: OpId,
        /// Key of the claim.
        key: String,
    },
    /// Writes the claim by compare-and-swap; the driver reports the outcome with
    /// the same `op`.
    Write {
        /// Identifier of the operation.
        op: OpId,
        /// Key of the claim.
        key: String,
        /// New value.
        claim: Box<Claim>,
        /// Revision that the claim must have; zero if it must be absent.
        expected: StoreRevision,
    },
    /// Asks the membership whether a holder's process is still running.
    CheckHolder {
        /// The holder to check.
        holder: ClaimHolder,
    },
    /// Sends the call to the service; emitted at most once for each attempt.
    Dispatch {
        /// Number of the attempt.
        attempt: u32,
        /// Latest time of the dispatch. The driver checks it against its clock
        /// right before it sends the first byte, and reports the call as not
        /// sent from that time on.
        before: Timestamp,
    },
    /// Responds to the caller; emitted exactly once.
    Answer(ClaimAnswer),
    /// Records an event.
    Emit(EventDraft),
}
