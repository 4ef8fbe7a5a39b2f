//! Interface to the names and formats of a platform.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use geranium_fleet::host::HostReport;
use geranium_fleet::notice::{LimitNotice, ServerNotice, parse_pause};
use geranium_fleet::order::{HostOrder, OrderReply};
use geranium_fleet::prompt_parts::PromptParts;
use hyper::header::{HeaderMap, HeaderName, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::store_update::StoreUpdate;

/// Names of the HTTP headers that a platform uses.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifier of one call of a caller; a response has to repeat it.
    pub request_id: HeaderName,
    /// Time that the sender will wait, in milliseconds.
    pub deadline: HeaderName,
    /// API key of a client account.
    pub account_key: HeaderName,
    /// Name of the client account; set by the entry host.
    pub account: HeaderName,
    /// Requested model.
    pub model: HeaderName,
    /// Number of prompt tokens and maximum number of output tokens, separated by a comma.
    pub token_counts: HeaderName,
    /// The caller's estimate of the number of output tokens.
    pub answer_estimate: HeaderName,
    /// Id of the last event that the receiver has received.
    pub last_event_id: HeaderName,
    /// Backend server that the request is meant for; any other server rejects it.
    pub expected_host: HeaderName,
    /// Priority at the backend server; set by the entry host.
    pub priority: HeaderName,
    /// Present in responses to requests that were not executed.
    pub not_run: HeaderName,
    /// The backend server's signature on its response.
    pub signature: HeaderName,
    /// Set to 1 in responses of a backend server that is shutting down.
    pub leaving: HeaderName,
    /// Number of requests per second that a backend server takes from all entry hosts.
    pub request_limit: HeaderName,
}

impl HeaderNames {
    /// Reads the notices that a backend server gives about itself in the headers of a
    /// response. A misdirected response is ignored: it comes from another server that now
    /// has the address.
    #[must_use]
    pub fn notice<B>(&self, res: &Response<B>) -> ServerNotice {
        if res.status() == StatusCode::MISDIRECTED_REQUEST {
            return ServerNotice::default();
        }
        let headers = res.headers();
        let leaving = headers.get_all(&self.leaving);
        let limits = headers.get_all(&self.request_limit).into_iter();
        ServerNotice {
            leaving: leaving
                .into_iter()
                .any(|v| v.as_bytes().trim_ascii() == b"1"),
            pause: (res.status() == StatusCode::SERVICE_UNAVAILABLE)
                .then(|| headers.get(RETRY_AFTER))
                .flatten()
                .map(|v| parse_pause(v.to_str().unwrap_or_default())),
            limit: limits
                .map(|v| LimitNotice::parse(v.to_str().unwrap_or_default()))
                .fold(LimitNotice::Unlimited, LimitNotice::stricter),
        }
    }
}

/// A host's answer to a request for its state, with what it announces about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportReply {
    /// State of the host.
    pub report: HostReport,
    /// What the host announces about itself.
    pub notice: ServerNotice,
}

/// Names, formats and calls of a platform. Implementations contain no decision logic.
pub trait Dialect: Clone + 'static {
    /// Returns the header names.
    fn headers(&self) -> &HeaderNames;

    /// Returns the path of the load balancer's readiness check.
    fn ready_path(&self) -> &str;

    /// Decodes the parts of a request's prompt from its headers; empty if it states none.
    fn prompt_parts(&self, headers: &HeaderMap) -> PromptParts;

    /// Decodes a value of the store.
    fn decode(&self, key: &str, value: &Bytes) -> StoreUpdate;

    /// Decodes the deletion of a value of the store.
    fn decode_deletion(&self, key: &str) -> StoreUpdate;

    /// Returns the store key of a value that the entry hosts themselves maintain.
    fn internal_key(&self, name: &str) -> String;

    /// Sends an order to a host.
    fn send_order(
        &self,
        order: &HostOrder,
        timeout: Duration,
    ) -> impl Future<Output = OrderReply> + Send;

    /// Fetches the state report of a host; `None` if it did not answer in time.
    fn fetch_host_report(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> impl Future<Output = Option<ReportReply>> + Send;
}
