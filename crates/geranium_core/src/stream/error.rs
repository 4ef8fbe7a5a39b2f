//! Faults that end a stream.

use quick_error::quick_error;

use crate::id::RequestId;

quick_error! {
    /// Fault that ends a stream, or a call that its state doesn't allow.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum StreamError {
        /// The caller reads too slowly.
        ReaderTooSlow(request: RequestId, buffered: usize) {
            display("request {} has {} bytes waiting for a slow reader", request, buffered)
        }
        /// Too many chunks wait for one that is missing.
        ReorderOverflow(request: RequestId, missing: u64) {
            display("request {} still misses chunk {}", request, missing)
        }
        /// A chunk doesn't continue where the assembled tokens end.
        TokenGap(request: RequestId, expected: u64, found: u64) {
            display("request {} expects token {}, but a chunk starts at {}", request, expected, found)
        }
        /// The end names another number of tokens than were assembled.
        Incomplete(request: RequestId, expected: u64, assembled: u64) {
            display("request {} has {} of {} tokens at its end", request, assembled, expected)
        }
        /// A whole answer came after chunks of another one.
        UnexpectedWhole(request: RequestId, assembled: u64) {
            display("request {} got a whole answer after {} tokens", request, assembled)
        }
        /// The replica reported a failure.
        Replica(request: RequestId, detail: String) {
            display("request {} failed at its replica: {}", request, detail)
        }
        /// The replica's stream broke off and no other one could take over.
        Interrupted(request: RequestId, tokens: u64) {
            display("request {} broke off after {} tokens", request, tokens)
        }
        /// The answer is too long to be resumed elsewhere.
        TooLongToResume(request: RequestId, bytes: usize) {
            display("request {} has {} bytes of text, too many to resume", request, bytes)
        }
        /// The stream has ended already.
        AlreadyEnded(request: RequestId) {
            display("request {} has ended already", request)
        }
    }
}
