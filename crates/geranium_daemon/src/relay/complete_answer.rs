//! Answer for a caller that does not stream.

use geranium_core::stream::FinishReason;
use geranium_net::MemoryReservation;

/// A complete answer for a caller that does not stream.
#[derive(Debug)]
pub struct CompleteAnswer {
    /// Generated text.
    pub text: String,
    /// Number of generated tokens.
    pub tokens: u64,
    /// Why the model stopped.
    pub reason: FinishReason,
    /// Memory of the text.
    pub memory: MemoryReservation,
}
