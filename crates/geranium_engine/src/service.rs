//! HTTP client for plain services.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use geranium_net::{
    BodyFraming, ClientConfig, ClientError, HttpClient, HttpRequest, ResponseMemory,
    read_response_body,
};
use hyper::header::{
    ACCEPT, CACHE_CONTROL, CONTENT_LANGUAGE, CONTENT_TYPE, ETAG, HeaderMap, HeaderName,
    HeaderValue, IF_MATCH, IF_NONE_MATCH, LAST_MODIFIED, LOCATION, RETRY_AFTER,
};
use hyper::{Method, StatusCode};

use crate::ServiceError;

/// Header that identifies a call across all its attempts.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Request headers that are forwarded to the service.
const REQUEST_HEADERS: [HeaderName; 6] = [
    ACCEPT,
    CONTENT_TYPE,
    CONTENT_LANGUAGE,
    IF_MATCH,
    IF_NONE_MATCH,
    IDEMPOTENCY_KEY,
];
/// Response headers that are forwarded to the caller.
const RESPONSE_HEADERS: [HeaderName; 7] = [
    CACHE_CONTROL,
    CONTENT_LANGUAGE,
    CONTENT_TYPE,
    ETAG,
    LAST_MODIFIED,
    LOCATION,
    RETRY_AFTER,
];

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Address of the service.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers; only those that concern the content, its version or the idempotency
    /// key are forwarded to the service.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
}

/// The complete response of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers that concern the content, its location or a retry.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

/// Client for plain services.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    http: HttpClient,
    max_body: usize,
    response_memory: ResponseMemory,
}

impl ServiceClient {
    /// Creates a client. Clones share its connections.
    #[must_use]
    pub fn new(cfg: &ClientConfig) -> Self {
        Self {
            http: HttpClient::new(cfg),
            max_body: cfg.max_body,
            response_memory: cfg.response_memory.clone(),
        }
    }

    /// Sends a call without retries and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns [`ServiceError::NotSent`] only if no byte of the call reached the
    /// service, and [`ServiceError::OutcomeUnknown`] for every other failure.
    pub async fn call(
        &self,
        call: ServiceCall,
        timeout: Duration,
    ) -> Result<ServiceResponse, ServiceError> {
        let address = call.address;
        let outcome = tokio::time::timeout(timeout, self.send_once(call, timeout)).await;
        let outcome = outcome.unwrap_or(Err(ClientError::Timeout(address, timeout)));
        outcome.map_err(|e| {
            if e.is_not_sent() {
                ServiceError::NotSent(e)
            } else {
                ServiceError::OutcomeUnknown(e)
            }
        })
    }

    async fn send_once(
        &self,
        call: ServiceCall,
        timeout: Duration,
    ) -> Result<ServiceResponse, ClientError> {
        let address = call.address;
        let mut req = HttpRequest::new(address, call.method, call.path).body(call.body);
        for (name, value) in select_headers(&call.headers, &REQUEST_HEADERS) {
            req = req.header(name.clone(), value.clone());
        }
        let res = self.http.send(req, timeout).await?;
        let framing = BodyFraming::of(&res);
        let (head, body) = res.into_parts();
        let body = read_response_body(address, body, self.max_body, &self.response_memory).await?;
        // A service that stopped right after the head looks the same.
        if framing == BodyFraming::Connection && body.is_empty() {
            let detail = "it has no byte after its head".to_owned();
            return Err(ClientError::BrokenBody(address, detail));
        }
        Ok(ServiceResponse {
            status: head.status,
            headers: select_headers(&head.headers, &RESPONSE_HEADERS)
                .map(|(name, value)| (name.clone(), value.clone()))
                .collect(),
            body,
        })
    }
}

fn select_headers<'a>(
    headers: &'a HeaderMap,
    names: &'a [HeaderName],
) -> impl Iterator<Item = (&'a HeaderName, &'a HeaderValue)> {
    names
        .iter()
        .filter_map(|name| headers.get(name).map(|value| (name, value)))
}
