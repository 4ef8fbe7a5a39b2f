//! Failures of HTTP calls.

use std::net::SocketAddr;
use std::time::Duration;

use quick_error::quick_error;

quick_error! {
    /// Failure of an HTTP call.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ClientError {
        /// No connection was made: the other side has seen no byte of the request.
        Connect(address: SocketAddr, detail: String) {
            display("no connection to {}: {}", address, detail)
        }
        /// The request was sent, at least in part, and no answer came.
        NoAnswer(address: SocketAddr, detail: String) {
            display("no answer from {}: {}", address, detail)
        }
        /// No answer came in time; the request may have been received.
        Timeout(address: SocketAddr, limit: Duration) {
            display("no answer from {} within {} ms", address, limit.as_millis())
        }
        /// The answer's body ended before its time.
        BrokenBody(address: SocketAddr, detail: String) {
            display("answer of {} broke off: {}", address, detail)
        }
        /// The answer's body is larger than allowed.
        OversizeBody(address: SocketAddr, limit: usize) {
            display("answer of {} has more than {} bytes", address, limit)
        }
        /// The answer's body is not the JSON that was expected.
        Malformed(address: SocketAddr, detail: String) {
            display("answer of {} is malformed: {}", address, detail)
        }
        /// The request could not be built.
        InvalidRequest(detail: String) {
            display("request is invalid: {}", detail)
        }
    }
}

impl ClientError {
    /// Returns whether the other side certainly has not seen the request.
    #[must_use]
    pub const fn is_not_sent(&self) -> bool {
        matches!(self, Self::Connect(..) | Self::InvalidRequest(_))
    }
}
