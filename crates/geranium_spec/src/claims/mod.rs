//! The protocol of claims: entry hosts, one store, one plain service.
//!
//! Callers send one idempotency key to several entry hosts. Store answers get
//! lost before or after the write takes effect, writes arrive late, the store has
//! outages, processes pause at any point and end, connections to the service
//! break before or after the call ran, the failure detector errs both ways, and
//! expired claims are deleted.

mod action;
mod bounds;
mod model;
mod slot;
mod state;
mod steps;

pub use action::ClaimAction;
pub use bounds::{CallPlan, ClaimBounds};
pub use model::ClaimModel;
pub use state::ClaimWorld;
