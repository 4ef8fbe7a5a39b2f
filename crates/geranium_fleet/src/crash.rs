//! Detection of requests and prompt parts that crash the backend servers that run them.
//!
//! When an incarnation of a backend server ends, every request that it had not been answering
//! for long may be the cause: the request as a whole, or a part of its prompt. Each of these
//! [`CrashSubject`]s gets a [`CrashCount`]. A crash raises the count of a subject only if the
//! request was sent after the previous one was known, so that many backend servers that end
//! at the same moment count once. An answer disproves all crashes that were known when its
//! request was sent.
//!
//! A suspected subject is refused only together with the subjects that were in each of its
//! crashed requests. If all prompts of a route begin with the same part and some go on with
//! one that crashes backend servers, those with both parts are refused and the others run.
//!
//! Counts are merged by their maximum, and what crashed requests have in common by
//! intersection. It makes no difference in which order, how often and by which way an entry
//! host learns of them.

mod answered_parts;
mod count;
mod disconnects;
mod evidence;
mod refusal;
mod refusal_change;
mod report;
mod subject;
mod tracker;
mod verdict;

use std::time::Duration;

pub use count::CrashCount;
pub use refusal_change::RefusalChange;
pub use report::{CrashId, CrashReport};
pub use subject::CrashSubject;
pub use tracker::CrashTracker;
pub use verdict::{CrashVerdict, Trial};

/// Time after which a backend server that goes on sending events counts as having answered:
/// a subject that crashes backend servers does so when the answer begins.
pub const HARMLESS_AFTER: Duration = Duration::from_millis(250);

/// Number of crashes after which a subject is refused, unless something else explains them.
const CRASHES_TO_REFUSE: usize = 3;
