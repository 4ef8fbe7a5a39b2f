//! Chunks of an answer and what the caller gets of them.

use super::StreamError;
use crate::id::RequestId;

/// Why a model stopped.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum FinishReason {
    /// The model came to its end.
    Stop,
    /// The limit of tokens was reached.
    Length,
    /// Another reason, in the engine's words.
    Other(String),
}

/// What a chunk carries.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ChunkBody {
    /// Tokens of the answer.
    Tokens {
        /// Index of the first of them within the whole answer.
        first: u64,
        /// Number of tokens.
        count: u32,
        /// Their text.
        text: String,
    },
    /// The definite end of the answer.
    End {
        /// Tokens of the whole answer.
        tokens: u64,
        /// Why the model stopped.
        reason: FinishReason,
    },
    /// A whole answer that is not streamed.
    Whole {
        /// Tokens of the answer.
        tokens: u64,
        /// Its text.
        text: String,
        /// Why the model stopped.
        reason: FinishReason,
    },
    /// A failure that the replica reported; it ends the stream, so a driver that
    /// resumes elsewhere does not pass it on.
    Failure {
        /// The replica's words.
        detail: String,
    },
}

/// One chunk of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StreamChunk {
    /// Request that the answer belongs to.
    pub request: RequestId,
    /// Attempt that the chunk belongs to.
    pub attempt: u32,
    /// Position within the attempt, from zero.
    pub sequence: u64,
    /// What it carries.
    pub body: ChunkBody,
}

/// The definite end of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StreamEnd {
    /// Tokens of the whole answer.
    pub tokens: u64,
    /// Why the model stopped.
    pub reason: FinishReason,
}

/// What the caller gets next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The next tokens.
    Tokens {
        /// Index of the first of them within the whole answer.
        first: u64,
        /// Number of tokens.
        count: u64,
        /// Their text.
        text: String,
    },
    /// The whole answer was delivered; nothing follows.
    End(StreamEnd),
    /// The answer is not whole; nothing follows.
    Error(StreamError),
}
