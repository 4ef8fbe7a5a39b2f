//! Carries completions from replica groups to callers.
//!
//! A [`RelayJob`] tries groups until the answer is whole: it resumes a stream
//! that broke off on another group, from the tokens already passed on, within
//! the retry budget and the deadline.

mod attempt;
mod attempt_end;
mod choosing;
mod chunk;
mod crashes;
mod job;
mod output;
mod reading;
mod request;
mod trial;
mod witness;

pub use chunk::finish_text;
pub use job::RelayJob;
pub use output::{RelayOutput, WholeAnswer};
pub use request::RelayRequest;
