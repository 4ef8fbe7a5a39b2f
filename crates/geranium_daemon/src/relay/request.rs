//! Request for a completion to be relayed.
use bytes::Bytes;
use geranium_core::id::{AccountId, ModelId, RequestId};
use geranium_core::limit::RequestFingerprint;
use geranium_core::route::BlockHash;
use geranium_core::time::Timestamp;
use geranium_engine::Resume;

/// A completion to be relayed.
#[derive(Clone, Debug)]
pub struct RelayRequest {
    /// Request ID.
    pub request: RequestId,
    /// Client account that the request belongs to.
    pub account: AccountId,
    /// Priority from 0 (lowest) to 9 (highest).
    pub priority: u8,
    /// Model name given by the caller.
    pub model: ModelId,
    /// JSON body for the engine; always requests a stream.
    pub body: Bytes,
    /// Block hashes of the prompt.
    pub prefix: Vec<BlockHash>,
    /// Fingerprint that stays the same when the request is sent again.
    pub fingerprint: RequestFingerprint,
    /// Time at which the caller stops waiting.
    pub deadline: Timestamp,
    /// Whether another entry host forwarded the request.
    pub forwarded: bool,
    /// Resume position, if another entry host started the completion.
    pub resume: Option<Resume>,
}
