//! Assembly of answers from their pieces.
//!
//! An answer belongs to one request; each try to obtain it from a replica is an
//! attempt, and the pieces of an attempt are numbered from zero. [`StreamAssembler`]
//! puts pieces in order, drops those that are late or doubled, and ends with
//! either a definite end or a typed error.

mod assembler;
mod error;
mod limits;
mod piece;
mod resume;

pub use assembler::{Acceptance, StreamAssembler};
pub use error::StreamError;
pub use limits::StreamLimits;
pub use piece::{Delivery, FinishReason, Piece, PieceBody, StreamEnd};
pub use resume::ResumePoint;
