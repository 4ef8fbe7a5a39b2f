//! Errors of calls to engines.

use std::net::SocketAddr;
use std::time::Duration;

use geranium_core::id::FencingNumber;
use geranium_net::ClientError;
use quick_error::quick_error;

use crate::SseError;

quick_error! {
    /// Error of a call to an engine.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum EngineError {
        /// The call did not reach the engine, so it was not run.
        NotSent(err: ClientError) {
            display("call did not reach the engine: {}", err)
            source(err)
        }
        /// The call was sent and no usable response arrived, so it may have run.
        NoAnswer(err: ClientError) {
            display("engine gave no usable response: {}", err)
            source(err)
        }
        /// The engine has seen a higher fencing number, so the order was not applied.
        StaleFencing(address: SocketAddr, highest: FencingNumber) {
            display("engine at {} refused the order: it has seen fencing number {}", address, highest)
        }
        /// The engine serves another group or fencing number, so nothing was run.
        WrongGroup(address: SocketAddr, message: String) {
            display("engine at {} serves another group or fencing number: {}", address, message)
        }
        /// The engine refused the call.
        Refused(address: SocketAddr, status: u16, kind: String, message: String, retry_after: Option<Duration>) {
            display("engine at {} refused the call with status {}: {} ({})", address, status, message, kind)
        }
        /// The stream ended without its end marker.
        StreamTruncated(address: SocketAddr, detail: String) {
            display("stream from the engine at {} ended early: {}", address, detail)
        }
        /// The engine reported a failure within the stream.
        StreamFailed(address: SocketAddr, kind: String, message: String) {
            display("engine at {} aborted the stream: {} ({})", address, message, kind)
        }
        /// The stream violates the protocol.
        MalformedStream(address: SocketAddr, err: SseError) {
            display("stream from the engine at {} violates the protocol: {}", address, err)
            source(err)
        }
    }
}

impl EngineError {
    /// Classifies the error of a call by whether the call was sent.
    #[must_use]
    pub fn from_client(err: ClientError) -> Self {
        if err.is_not_sent() {
            Self::NotSent(err)
        } else {
            Self::NoAnswer(err)
        }
    }

    /// Returns whether it is certain that the engine has not run the call.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::NotSent(_) | Self::StaleFencing(..) | Self::WrongGroup(..) => true,
            Self::Refused(_, status, ..) => *status == 503 || (400..500).contains(status),
            Self::NoAnswer(_)
            | Self::StreamTruncated(..)
            | Self::StreamFailed(..)
            | Self::MalformedStream(..) => false,
        }
    }
}
