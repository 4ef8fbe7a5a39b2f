//! Trait for calls to model engines.

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use futures::Stream;
use geranium_core::engine::{EngineReport, Order};
use geranium_core::id::RequestId;

use crate::{CacheEvents, CompletionEvent, CompletionRequest, EngineError};

/// Calls to model engines. The implementation applies a timeout to each call.
pub trait EngineApi: Clone + Send + Sync + 'static {
    /// Stream of the pieces of a completion. Dropping the stream cancels the completion.
    type Stream: Stream<Item = Result<CompletionEvent, EngineError>> + Send + Unpin + 'static;

    /// Fetches the report of an engine.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine gave no usable response.
    fn report(
        &self,
        address: SocketAddr,
    ) -> impl Future<Output = Result<EngineReport, EngineError>> + Send;

    /// Sends an order and returns the report of the engine after it was applied.
    ///
    /// # Errors
    ///
    /// Returns [`EngineError::StaleFencing`] if the engine has seen a higher
    /// fencing number. After [`EngineError::NoAnswer`] the order may have been
    /// applied.
    fn send_order(
        &self,
        address: SocketAddr,
        order: &Order,
    ) -> impl Future<Output = Result<EngineReport, EngineError>> + Send;

    /// Opens the stream of a completion. The request body must set `stream: true`.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine did not accept the completion;
    /// [`EngineError::is_not_run`] returns whether it is certain that it did not run.
    fn stream_completion(
        &self,
        address: SocketAddr,
        req: &CompletionRequest,
    ) -> impl Future<Output = Result<Self::Stream, EngineError>> + Send;

    /// Runs a completion and returns the complete JSON response.
    ///
    /// # Errors
    ///
    /// Returns an error if the complete response did not arrive in the remaining time.
    fn buffered_completion(
        &self,
        address: SocketAddr,
        req: &CompletionRequest,
    ) -> impl Future<Output = Result<Bytes, EngineError>> + Send;

    /// Cancels a completion. An id that the engine does not know is not an error.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine gave no usable response.
    fn cancel(
        &self,
        address: SocketAddr,
        request: &RequestId,
    ) -> impl Future<Output = Result<(), EngineError>> + Send;

    /// Fetches the cache events that follow a sequence number.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine gave no usable response.
    fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> impl Future<Output = Result<CacheEvents, EngineError>> + Send;

    /// Exports the KV cache of the given blocks in the engine's own format.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine gave no usable response.
    fn export_kv(
        &self,
        address: SocketAddr,
        block_hashes: &[u64],
    ) -> impl Future<Output = Result<Bytes, EngineError>> + Send;

    /// Imports KV cache that another engine exported and returns the number of
    /// imported blocks.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine gave no usable response.
    fn import_kv(
        &self,
        address: SocketAddr,
        exported: Bytes,
    ) -> impl Future<Output = Result<u64, EngineError>> + Send;
}
