//! Claims that keep non-idempotent calls from running more than once.
//!
//! A non-idempotent call is dispatched only by the holder of its claim, a value in
//! the platform's store that is written by compare-and-swap before the dispatch.
//! [`ClaimCall`] is the state machine for one call of one caller; its driver
//! performs the [`ClaimEffect`]s and reports their outcomes as [`ClaimInput`]s.

mod answer;
mod batch;
mod budget;
mod call;
mod claim;
mod config;
mod effect;
mod error;
mod input;
mod key;
mod outcome;
mod sweep;

pub use answer::{StoredAnswer, StoredBody, UpstreamAnswer};
pub use batch::{Batch, BatchConfig, BatchId, BatchOutcome, BatchWrite, ClaimBatcher, WriteResult};
pub use budget::{ClaimAdmission, ClaimBudget};
pub use call::ClaimCall;
pub use claim::{CLAIM_SCHEMA_VERSION, Claim, ClaimHolder, ClaimState, StoredClaim};
pub use config::ClaimConfig;
pub use effect::{ClaimEffect, OpId};
pub use error::ClaimError;
pub use input::{ClaimInput, HolderStatus, ReadOutcome, UpstreamOutcome, WriteOutcome};
pub use key::{CLAIM_PREFIX, ClaimRequest, Fingerprint, IdempotencyKey, claim_key};
pub use outcome::{
    ClaimAnswer, InProgress, NotRun, NotRunReason, OtherAttempts, OutcomeUnknown, UnknownReason,
};
pub use sweep::{ClaimDeletion, claim_sweep_prefix, expired_claims};
