//! Clients for model engines and plain services.
//!
//! [`EngineApi`] is the interface that the rest of the system uses;
//! [`HttpEngineClient`] implements it over the protocol of
//! `docs/engine-protocol.md`. [`ServiceClient`] calls plain services.
//!
//! | module | purpose |
//! | --- | --- |
//! | `api` | the trait [`EngineApi`] |
//! | `client` | implementation of [`EngineApi`] over HTTP |
//! | `completion` | request to run a completion, and its headers |
//! | `stream` | the stream of a completion |
//! | `sse` | decoder of server-sent events |
//! | `cache` | prefix cache events and hashes of prompt blocks |
//! | `service` | calls to plain services |

mod api;
mod cache;
mod chat;
mod client;
mod completion;
mod error;
mod piece;
mod refusal;
mod service;
mod service_error;
mod sse;
mod stream;

pub mod prelude;

pub use api::EngineApi;
pub use cache::{BLOCK_BYTES, CacheEvent, CacheEventKind, CacheEvents, block_hashes};
pub use chat::{ChatMessage, ChatRequest, Resume};
pub use client::{EngineClientConfig, HttpEngineClient};
pub use completion::{
    CompletionRequest, DEADLINE_HEADER, FENCING_HEADER, GROUP_HEADER, PRIORITY_HEADER,
    REQUEST_HEADER,
};
pub use error::EngineError;
pub use piece::CompletionPiece;
pub use refusal::{EngineRefusal, RefusalEnvelope, STALE_FENCING, WRONG_GROUP};
pub use service::{ServiceCall, ServiceClient, ServiceResponse};
pub use service_error::ServiceError;
pub use sse::{SseDecoder, SseError, SseEvent, SseEventKind};
pub use stream::{CompletionEvent, CompletionStream};
