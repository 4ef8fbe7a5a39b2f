//! Chunks of an answer, and their delivery to the caller.

use super::StreamError;
use crate::id::RequestId;

/// The reason why a model stopped.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum FinishReason {
    /// The model finished its answer.
    Stop,
    /// The token limit was reached.
    Length,
    /// Another reason, as reported by the engine.
    Other(String),
}

/// The content of a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ChunkBody {
    /// Tokens of the answer.
    Tokens {
        /// Index of the first token within the answer.
        first: u64,
        /// Number of tokens.
        count: u32,
        /// Text of the tokens.
        text: String,
    },
    /// The regular end of the answer.
    End {
        /// Number of tokens of the complete answer.
        tokens: u64,
        /// The reason why the model stopped.
        reason: FinishReason,
    },
    /// A complete answer that was not streamed.
    Whole {
        /// Number of tokens of the answer.
        tokens: u64,
        /// Text of the answer.
        text: String,
        /// The reason why the model stopped.
        reason: FinishReason,
    },
    /// A failure reported by the replica. It ends the stream, so a driver that
    /// resumes on another replica must not pass it to the assembler.
    Failure {
        /// Error message of the replica.
        detail: String,
    },
}

impl ChunkBody {
    /// Returns the length of the text, in bytes.
    #[must_use]
    pub fn text_len(&self) -> usize {
        match self {
            Self::Tokens { text, .. } | Self::Whole { text, .. } => text.len(),
            Self::Failure { detail } => detail.len(),
            Self::End { .. } => 0,
        }
    }
}

/// One chunk of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StreamChunk {
    /// Request that the answer belongs to.
    pub request: RequestId,
    /// Attempt that the chunk belongs to.
    pub attempt: u32,
    /// Sequence number within the attempt, starting at zero.
    pub sequence: u64,
    /// Content of the chunk.
    pub body: ChunkBody,
}

/// The regular end of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StreamEnd {
    /// Number of tokens of the complete answer.
    pub tokens: u64,
    /// The reason why the model stopped.
    pub reason: FinishReason,
}

/// The next item for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The next tokens.
    Tokens {
        /// Index of the first token within the answer.
        first: u64,
        /// Number of tokens.
        count: u64,
        /// Text of the tokens.
        text: String,
    },
    /// The answer was delivered completely; nothing follows.
    End(StreamEnd),
    /// The answer is incomplete; nothing follows.
    Error(StreamError),
}
