//! Failures of calls between entry hosts.

use std::net::SocketAddr;
use std::time::Duration;

use quick_error::quick_error;

quick_error! {
    /// Failure of a call between entry hosts.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PeerError {
        /// The address cannot be listened on.
        Bind(address: SocketAddr, detail: String) {
            display("cannot listen for peers on {}: {}", address, detail)
        }
        /// The thread or its runtime cannot be started.
        Start(detail: String) {
            display("cannot start the thread for peers: {}", detail)
        }
        /// No connection could be made; the call was not sent.
        Unreachable(address: SocketAddr, detail: String) {
            display("peer {} is unreachable: {}", address, detail)
        }
        /// The last attempt failed a moment ago; the call was not sent.
        BackingOff(address: SocketAddr, wait: Duration) {
            display("peer {} failed lately; next attempt in {} ms", address, wait.as_millis())
        }
        /// The peer does not accept the token; the call was not sent.
        TokenRefused(address: SocketAddr) {
            display("peer {} does not accept the token", address)
        }
        /// The connection ended; the call may have been carried out.
        Disconnected(address: SocketAddr, detail: String) {
            display("connection to peer {} ended: {}", address, detail)
        }
        /// No answer came in time; the call may have been carried out.
        Timeout(address: SocketAddr, limit: Duration) {
            display("peer {} did not answer within {} ms", address, limit.as_millis())
        }
        /// The peer has too many calls in progress; the call was not carried out.
        Overloaded(address: SocketAddr) {
            display("peer {} has too many calls in progress", address)
        }
        /// Too many calls wait on this host; the call was not sent.
        QueueFull(address: SocketAddr) {
            display("too many calls wait to be sent; the call to {} was dropped", address)
        }
        /// The peer answered with a failure.
        Failed(address: SocketAddr, detail: String) {
            display("peer {} failed: {}", address, detail)
        }
        /// The client was stopped; the call was not sent.
        Stopped(address: SocketAddr) {
            display("the client was stopped before the call to {} was sent", address)
        }
    }
}
