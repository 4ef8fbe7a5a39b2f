//! Errors of streams.

use quick_error::quick_error;

use crate::id::RequestId;

quick_error! {
    /// Error that ends a stream, or a call that is invalid in its current state.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum StreamError {
        /// The caller reads too slowly, and the buffer for it is full.
        ReaderTooSlow(request: RequestId, buffered: usize) {
            display("request {} has {} bytes buffered for a slow reader", request, buffered)
        }
        /// The reorder buffer is full while a chunk is missing.
        ReorderOverflow(request: RequestId, missing: u64) {
            display("reorder buffer of request {} is full while chunk {} is missing", request, missing)
        }
        /// A chunk doesn't start at the token after the last assembled one.
        TokenGap(request: RequestId, expected: u64, found: u64) {
            display("request {} expects token {}, but a chunk starts at {}", request, expected, found)
        }
        /// The token count at the end differs from the number of assembled tokens.
        Incomplete(request: RequestId, expected: u64, assembled: u64) {
            display("request {} ended after {} of {} tokens", request, assembled, expected)
        }
        /// A complete answer was received after tokens of a streamed one.
        UnexpectedWhole(request: RequestId, assembled: u64) {
            display("request {} received a complete answer after {} streamed tokens", request, assembled)
        }
        /// The replica reported a failure.
        Replica(request: RequestId, detail: String) {
            display("replica reported a failure for request {}: {}", request, detail)
        }
        /// The replica's stream was interrupted, and no other replica resumed it.
        Interrupted(request: RequestId, tokens: u64) {
            display("stream of request {} was interrupted after {} tokens", request, tokens)
        }
        /// The answer is too long to be resumed on another replica.
        TooLongToResume(request: RequestId, bytes: usize) {
            display("answer of request {} is too long to resume: {} bytes", request, bytes)
        }
        /// The stream has already ended.
        AlreadyEnded(request: RequestId) {
            display("stream of request {} has already ended", request)
        }
    }
}
