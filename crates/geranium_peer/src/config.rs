//! Settings of the server and the client.

use std::net::SocketAddr;
use std::time::Duration;

use crate::PeerToken;

/// Largest message, in bytes; larger ones end the connection.
const MAX_MESSAGE_LEN: usize = 2 * 1_024 * 1_024;

/// Deepest nesting of a message.
const MAX_NESTING: i32 = 16;

/// Size of a word of the encoding, in bytes.
const WORD_LEN: usize = 8;

/// Settings of the server.
#[derive(Clone, Debug)]
pub struct PeerServerConfig {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Token that callers must present.
    pub token: PeerToken,
    /// Most connections at a time; further ones are closed at once.
    pub max_connections: usize,
    /// Most calls in progress at a time; further ones fail at once.
    pub max_calls: usize,
    /// Time within which a caller must present the token.
    pub token_timeout: Duration,
    /// Time without a call after which a connection is closed.
    pub idle_timeout: Duration,
    /// Time for calls in progress to end when the server stops.
    pub stop_timeout: Duration,
}

impl PeerServerConfig {
    /// Makes settings with the default limits.
    #[must_use]
    pub const fn new(address: SocketAddr, token: PeerToken) -> Self {
        Self {
            address,
            token,
            max_connections: 512,
            max_calls: 512,
            token_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(120),
            stop_timeout: Duration::from_secs(2),
        }
    }
}

/// Settings of the client.
#[derive(Clone, Debug)]
pub struct PeerClientConfig {
    /// Token that peers ask for.
    pub token: PeerToken,
    /// Time within which a connection must be made.
    pub connect_timeout: Duration,
    /// Time within which a short call must be answered.
    pub call_timeout: Duration,
    /// Time within which a call that carries records must be answered.
    pub records_timeout: Duration,
    /// Most calls that wait to be sent.
    pub max_queued: usize,
    /// First wait after a connection could not be made; it doubles each time.
    pub backoff_min: Duration,
    /// Longest wait after a connection could not be made.
    pub backoff_max: Duration,
    /// Time without a call after which a connection is closed.
    pub idle_timeout: Duration,
}

impl PeerClientConfig {
    /// Makes settings with the default limits.
    #[must_use]
    pub const fn new(token: PeerToken) -> Self {
        Self {
            token,
            connect_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_millis(500),
            records_timeout: Duration::from_secs(3),
            max_queued: 1_024,
            backoff_min: Duration::from_millis(100),
            backoff_max: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// Returns the limits of messages that are read.
pub(crate) fn reader_options() -> capnp::message::ReaderOptions {
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_LEN / WORD_LEN));
    options.nesting_limit(MAX_NESTING);
    options
}
