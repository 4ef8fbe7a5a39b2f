//! The interface to a platform's names and formats.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use geranium_fleet::host::HostReport;
use geranium_fleet::notice::{ServerNotice, parse_pause};
use geranium_fleet::order::{HostOrder, OrderReply};
use hyper::header::{HeaderName, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::store_update::StoreUpdate;

/// Names of the headers that a platform uses.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifier of one attempt of a caller.
    pub request_id: HeaderName,
    /// Milliseconds that the sender will wait.
    pub deadline: HeaderName,
    /// Key of a client account.
    pub account_key: HeaderName,
    /// Name of the client account, set by the entry host.
    pub account: HeaderName,
    /// Model that a request asks for.
    pub model: HeaderName,
    /// Prompt tokens and most answer tokens, separated by a comma.
    pub token_counts: HeaderName,
    /// Caller's estimate of the answer's tokens.
    pub answer_estimate: HeaderName,
    /// Id of the last event that the receiver has.
    pub last_event_id: HeaderName,
    /// Backend server that must answer; any other refuses.
    pub expected_host: HeaderName,
    /// Rank at the backend server, set by the entry host.
    pub priority: HeaderName,
    /// Present in answers to requests that have not run.
    pub not_run: HeaderName,
    /// Signature of a backend server on its answer.
    pub signature: HeaderName,
    /// Set to 1 in answers of a backend server that is about to end.
    pub leaving: HeaderName,
}

impl HeaderNames {
    /// Reads what a backend server says of itself in the head of an answer. Another server
    /// that has taken over its address says nothing of it.
    #[must_use]
    pub fn notice<B>(&self, res: &Response<B>) -> ServerNotice {
        if res.status() == StatusCode::MISDIRECTED_REQUEST {
            return ServerNotice::default();
        }
        let headers = res.headers();
        let leaving = headers.get_all(&self.leaving);
        ServerNotice {
            leaving: leaving
                .into_iter()
                .any(|v| v.as_bytes().trim_ascii() == b"1"),
            pause: (res.status() == StatusCode::SERVICE_UNAVAILABLE)
                .then(|| headers.get(RETRY_AFTER))
                .flatten()
                .map(|v| parse_pause(v.to_str().unwrap_or_default())),
        }
    }
}

/// Names, formats and calls of a platform; decides nothing.
pub trait Dialect: Clone + 'static {
    /// Returns the names of headers.
    fn headers(&self) -> &HeaderNames;

    /// Returns the path by which a balancer asks whether the host is ready.
    fn ready_path(&self) -> &str;

    /// Reads a value of the store.
    fn decode(&self, key: &str, value: &Bytes) -> StoreUpdate;

    /// Reads the deletion of a value of the store.
    fn decode_deletion(&self, key: &str) -> StoreUpdate;

    /// Returns the store's key of a value of the entry hosts themselves.
    fn internal_key(&self, name: &str) -> String;

    /// Sends an order to a host.
    fn send_order(
        &self,
        order: &HostOrder,
        timeout: Duration,
    ) -> impl Future<Output = OrderReply> + Send;

    /// Asks a host for its state; `None` if it did not answer in time.
    fn fetch_host_report(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> impl Future<Output = Option<HostReport>> + Send;
}
