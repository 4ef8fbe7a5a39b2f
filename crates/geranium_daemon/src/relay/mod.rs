//! Relays completions from replica groups to callers.
//!
//! A [`RelayJob`] tries groups until the answer is complete. A stream that is
//! interrupted resumes on another group after the tokens that the caller already
//! has, within the retry budget and the deadline.

mod attempt;
mod attempt_outcome;
mod chunk;
mod complete_answer;
mod crash_detector;
mod crashes;
mod job;
mod output;
mod output_error;
mod request;
mod selection;
mod stream_reader;
mod trial;

pub use chunk::finish_text;
pub use complete_answer::CompleteAnswer;
pub use job::RelayJob;
pub use output::RelayOutput;
pub use output_error::OutputError;
pub use request::RelayRequest;
