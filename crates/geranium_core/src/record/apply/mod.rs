//! Planning of an operator's change and the outcome of its write.

mod error;
mod plan;
mod request;

pub use error::ApplyError;
pub use plan::{ApplyOutcome, ApplyPlan};
pub use request::{ApplyRequest, CurrentRecord, Expectation};
