//! Assembly of streamed answers from their chunks.
//!
//! An answer belongs to one request. Each try to obtain it from a replica is an
//! attempt, and the chunks of an attempt are numbered from zero. [`StreamAssembler`]
//! orders the chunks, drops late and duplicate ones, and terminates the stream with
//! either a regular end or a typed error.

mod assembler;
mod chunk;
mod error;
mod limits;
mod resume;

pub use assembler::{ChunkOutcome, StreamAssembler};
pub use chunk::{ChunkBody, Delivery, FinishReason, StreamChunk, StreamEnd};
pub use error::StreamError;
pub use limits::StreamLimits;
pub use resume::ResumePoint;
