//! Errors of HTTP calls.

use std::net::SocketAddr;
use std::time::Duration;

use quick_error::quick_error;

quick_error! {
    /// Error of an HTTP call.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ClientError {
        /// The connection could not be established, so the server received no part of the request.
        Connect(address: SocketAddr, detail: String) {
            display("cannot connect to {}: {}", address, detail)
        }
        /// The request was sent, at least in part, but no response arrived.
        NoAnswer(address: SocketAddr, detail: String) {
            display("no response from {}: {}", address, detail)
        }
        /// No response arrived in time; the server may have received the request.
        Timeout(address: SocketAddr, limit: Duration) {
            display("no response from {} within {} ms", address, limit.as_millis())
        }
        /// The response body was not complete in time; so many bytes of it had arrived.
        Incomplete(address: SocketAddr, waited: Duration, read: usize) {
            display("response from {} was not complete after {} ms: {} bytes had arrived", address, waited.as_millis(), read)
        }
        /// The response body ended early.
        BrokenBody(address: SocketAddr, detail: String) {
            display("response from {} ended early: {}", address, detail)
        }
        /// The response body exceeds the size limit.
        OversizeBody(address: SocketAddr, limit: usize) {
            display("response from {} exceeds {} bytes", address, limit)
        }
        /// The response body does not fit into the memory for all responses.
        NoMemory(address: SocketAddr, read: usize) {
            display("no memory for the response from {} after {} bytes", address, read)
        }
        /// The status is none of the protocol's, or the response body is not the expected JSON.
        Malformed(address: SocketAddr, detail: String) {
            display("response from {} is malformed: {}", address, detail)
        }
        /// The request could not be built.
        InvalidRequest(detail: String) {
            display("request is invalid: {}", detail)
        }
    }
}

impl ClientError {
    /// Returns whether the server is certain not to have received any part of the request.
    #[must_use]
    pub const fn is_not_sent(&self) -> bool {
        matches!(self, Self::Connect(..) | Self::InvalidRequest(_))
    }
}
