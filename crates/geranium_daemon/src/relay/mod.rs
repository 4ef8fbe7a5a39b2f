//! Relays completions from replica groups to callers.
//!
//! A [`RelayJob`] tries groups until the answer is complete. A stream that is
//! interrupted resumes on another group after the tokens that the caller already
//! has, within the retry budget and the deadline.

mod attempt;
mod attempt_outcome;
mod chunk;
mod crash_detector;
mod crashes;
mod job;
mod output;
mod request;
mod selection;
mod stream_reader;
mod trial;

pub use chunk::finish_text;
pub use job::RelayJob;
pub use output::{CompleteAnswer, OutputError, RelayOutput};
pub use request::RelayRequest;
