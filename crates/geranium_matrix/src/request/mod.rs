//! Steps of the request half: claimed calls and streams.
//!
//! A [`ClaimRig`] sends one idempotency key to entry hosts that run the real
//! [`ClaimCall`]; a [`StreamRig`] relays one answer through the real
//! [`StreamAssembler`], [`RetryBudget`] and [`CrashRegistry`]. The faults strike when
//! the step is reached, and what the callers got is compared with what ran.
//!
//! [`ClaimCall`]: geranium_core::once::ClaimCall
//! [`StreamAssembler`]: geranium_core::stream::StreamAssembler
//! [`RetryBudget`]: geranium_core::limit::RetryBudget
//! [`CrashRegistry`]: geranium_core::limit::CrashRegistry

mod claim_host;
mod claim_rig;
mod claim_store;
mod column;
mod impact;
mod mutation;
mod schedule;
mod step;
mod stream_rig;
mod violation;

pub use claim_rig::ClaimRig;
pub use column::RequestColumn;
pub use impact::{BackendFault, EntryFault, Impact, StoreFault};
pub use mutation::RequestMutation;
pub use step::RequestStep;
pub use stream_rig::StreamRig;
pub use violation::RequestViolation;
