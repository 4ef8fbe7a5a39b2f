//! Commonly used types of this crate.

pub use crate::{
    CacheEvent, CacheEventKind, CacheEvents, ChatRequest, CompletionEvent, CompletionPiece,
    CompletionRequest, CompletionStream, EngineApi, EngineClientConfig, EngineError,
    HttpEngineClient, Resume, ServiceCall, ServiceClient, ServiceError, ServiceResponse,
};
