//! Requests of callers for each model, at this entry host and over all of them.
//!
//! Each entry host counts what its callers ask for, whether it is served or not, and reports it
//! beside its load. The sums over all entry hosts tell the manager the demand for a model also
//! while that has no group that could take a request, and do not depend on which entry host is
//! the manager.

mod demand_meter;
mod demand_sum;
mod model_requests;
mod request_rate;

pub use demand_meter::DemandMeter;
pub use demand_sum::DemandSum;
pub use model_requests::ModelRequests;

use request_rate::RequestRate;
