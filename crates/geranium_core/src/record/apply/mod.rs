//! Decides whether an operator's change is written, and what its write meant.

mod error;
mod plan;
mod request;

pub use error::ApplyError;
pub use plan::{ApplyOutcome, ApplyPlan};
pub use request::{ApplyRequest, CurrentRecord, Expectation};
