//! Assembly of answers from their chunks.
//!
//! An answer belongs to one request; each try to obtain it from a replica is an
//! attempt, and the chunks of an attempt are numbered from zero. [`StreamAssembler`]
//! puts chunks in order, drops those that are late or doubled, and ends with
//! either a definite end or a typed error.

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
