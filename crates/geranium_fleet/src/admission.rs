//! Which requests are refused first when a model has less capacity than demand.
//!
//! Requests are spread over all groups that are not full. A group is full for a request at a
//! number of requests that depends on its priority and on the share of its client account, so
//! that requests of lower priority and accounts above their share leave places free for the
//! others. Apart from that, each request has a number of requests at a group below which it is
//! expected to meet its objective; a model is contended while requests are sent above it.
//!
//! The state is local to an entry host and follows from its own requests within seconds.

mod account_share;
mod admission_limits;
mod admissions;
mod bound_query;
mod model_admission;
mod place_wait;
mod recent_requests;
mod seen_priorities;

use account_share::AccountShare;
use recent_requests::RecentRequests;
use seen_priorities::SeenPriorities;

pub use admission_limits::AdmissionLimits;
pub use admissions::Admissions;
pub use bound_query::BoundQuery;
pub use model_admission::ModelAdmission;
pub use place_wait::PlaceWait;

/// Lowest priority that model engines support; a larger number is a lower priority.
pub const LOWEST_PRIORITY: u8 = 9;
