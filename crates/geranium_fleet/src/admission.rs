//! Limits on the load of a group for a request, by its priority and client account.
//!
//! Requests are spread over all groups that are not full. A group is full for a request at a
//! number of requests that depends on its priority and on the share of its client account, so
//! that requests of lower priority and accounts above their share leave places free for the
//! others. Apart from that, each request has a number of requests at a group below which it is
//! expected to meet its objective; a model is contended while requests are sent above it.
//!
//! The state is local to an entry host and follows from its own requests within seconds, but for the
//! priorities that other entry hosts report.

mod admission_limits;
mod admission_query;
mod admissions;
mod model_admission;
mod place_wait;
mod priority_set;
mod recent_requests;
mod seen_priorities;

use recent_requests::RecentRequests;
use seen_priorities::SeenPriorities;

pub use admission_limits::AdmissionLimits;
pub use admission_query::AdmissionQuery;
pub use admissions::Admissions;
pub use model_admission::ModelAdmission;
pub use place_wait::PlaceWait;
pub use priority_set::PrioritySet;

/// Percentage of the places that requests leave free for each higher priority.
pub(crate) const PRIORITY_RESERVE_PERCENT: u32 = 15;
/// Maximum percentage of the places that requests leave free.
pub(crate) const MAX_RESERVE_PERCENT: u32 = 50;
/// Lowest priority that model engines support; a larger number is a lower priority.
pub const LOWEST_PRIORITY: u8 = 9;
