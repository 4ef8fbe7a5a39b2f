//! A completion to be relayed.

use bytes::Bytes;
use geranium_core::id::{AccountId, ModelId, RequestId};
use geranium_core::limit::RequestFingerprint;
use geranium_core::route::BlockHash;
use geranium_core::time::Timestamp;
use geranium_engine::Resume;

/// A completion to be relayed.
#[derive(Clone, Debug)]
pub struct RelayRequest {
    /// Id of the request.
    pub request: RequestId,
    /// Client account.
    pub account: AccountId,
    /// Priority from 0 (lowest) to 9 (highest).
    pub priority: u8,
    /// Model as the caller names it.
    pub model: ModelId,
    /// JSON body for the engine; asks for a stream.
    pub body: Bytes,
    /// Hashes of the prompt's blocks.
    pub prefix: Vec<BlockHash>,
    /// Identifies the request over resends.
    pub fingerprint: RequestFingerprint,
    /// Time when the caller stops waiting.
    pub deadline: Timestamp,
    /// Whether another entry host passed the request on.
    pub forwarded: bool,
    /// Where to go on, if another entry host began the completion.
    pub resume: Option<Resume>,
}
