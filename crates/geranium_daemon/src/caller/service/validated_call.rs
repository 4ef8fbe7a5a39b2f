//! Call to a plain service that may be sent.

use std::net::SocketAddr;

use bytes::Bytes;
use geranium_core::id::{AccountId, RecordName, RequestId};
use geranium_core::time::Timestamp;
use geranium_engine::ServiceCall;
use hyper::{HeaderMap, Method};

/// A validated call.
pub(super) struct ValidatedCall {
    pub(super) request: RequestId,
    pub(super) account: AccountId,
    pub(super) service: RecordName,
    pub(super) method: Method,
    /// Path below the service's prefix, including the query.
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) deadline: Timestamp,
    pub(super) idempotent: bool,
    pub(super) endpoints: Vec<SocketAddr>,
}

impl ValidatedCall {
    /// Returns the request to one of the endpoints.
    pub(super) fn request_to(&self, address: SocketAddr) -> ServiceCall {
        ServiceCall {
            address,
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            body: self.body.clone(),
        }
    }
}
