//! Up to which load of a group a request counts as in time.
//!
//! When a model has less capacity than demand, not all requests can meet their objectives.
//! Each entry host computes a bound for each request: the number of requests at a group below
//! which this request still counts as in time. Requests below the bound are spread over the
//! groups; the others share the group with the most requests, where they delay none that can
//! be in time (see [`DispatchCriteria::in_time_limit`]).
//!
//! The state is local to an entry host and follows from its own requests within seconds.
//!
//! [`DispatchCriteria::in_time_limit`]: crate::dispatch::DispatchCriteria::in_time_limit

mod account_share;
mod admissions;
mod bound_query;
mod model_admission;
mod place_wait;
mod recent_requests;
mod seen_priorities;

use account_share::AccountShare;
use recent_requests::RecentRequests;
use seen_priorities::SeenPriorities;

pub use admissions::Admissions;
pub use bound_query::BoundQuery;
pub use model_admission::ModelAdmission;
pub use place_wait::PlaceWait;

/// Lowest priority that model engines support; a larger number is a lower priority.
pub const LOWEST_PRIORITY: u8 = 9;
