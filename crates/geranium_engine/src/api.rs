//! Interface to model engines.

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use futures::Stream;
use geranium_core::engine::{EngineReport, Order};
use geranium_core::id::RequestId;

use crate::{CacheEvents, CompletionEvent, CompletionRequest, EngineError};

/// Calls to model engines. Each call is bounded by a timeout of the implementation.
pub trait EngineApi: Clone + Send + Sync + 'static {
    /// Pieces of a completion. Dropping the stream cancels the completion.
    type Stream: Stream<Item = Result<CompletionEvent, EngineError>> + Send + Unpin + 'static;

    /// Asks an engine for its report.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine gave no usable answer.
    fn report(
        &self,
        address: SocketAddr,
    ) -> impl Future<Output = Result<EngineReport, EngineError>> + Send;

    /// Sends an order and returns the report that follows it.
    ///
    /// # Errors
    ///
    /// Returns [`EngineError::StaleFencing`] if the engine has seen a higher
    /// fencing number. After [`EngineError::NoAnswer`] the order may be in force.
    fn send_order(
        &self,
        address: SocketAddr,
        order: &Order,
    ) -> impl Future<Output = Result<EngineReport, EngineError>> + Send;

    /// Opens the stream of a completion; the request body asks for `stream: true`.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine did not accept the completion;
    /// [`EngineError::is_not_run`] tells whether it certainly did not run.
    fn stream_completion(
        &self,
        address: SocketAddr,
        req: &CompletionRequest,
    ) -> impl Future<Output = Result<Self::Stream, EngineError>> + Send;

    /// Runs a completion and returns its whole JSON answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the whole answer did not arrive in the remaining time.
    fn buffered_completion(
        &self,
        address: SocketAddr,
        req: &CompletionRequest,
    ) -> impl Future<Output = Result<Bytes, EngineError>> + Send;

    /// Cancels a completion; one that is unknown to the engine is no error.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine gave no usable answer.
    fn cancel(
        &self,
        address: SocketAddr,
        request: &RequestId,
    ) -> impl Future<Output = Result<(), EngineError>> + Send;

    /// Reads the cache events after a sequence number.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine gave no usable answer.
    fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> impl Future<Output = Result<CacheEvents, EngineError>> + Send;

    /// Exports the KV cache of some blocks in the engine's own format.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine gave no usable answer.
    fn export_kv(
        &self,
        address: SocketAddr,
        block_hashes: &[u64],
    ) -> impl Future<Output = Result<Bytes, EngineError>> + Send;

    /// Imports what another engine exported and returns the number of blocks.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine gave no usable answer.
    fn import_kv(
        &self,
        address: SocketAddr,
        exported: Bytes,
    ) -> impl Future<Output = Result<u64, EngineError>> + Send;
}
