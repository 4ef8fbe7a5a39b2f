//! HTTP client for engines.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use geranium_core::engine::{EngineReport, Order};
use geranium_core::id::{FencingNumber, RequestId};
use geranium_net::{ClientConfig, ClientError, HttpClient, HttpRequest, read_response_body};
use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::completion::{
    DEADLINE_HEADER, FENCING_HEADER, GROUP_HEADER, PRIORITY_HEADER, REQUEST_HEADER,
};
use crate::refusal::{STALE_FENCING, WRONG_GROUP};
use crate::{
    CacheEvents, CompletionRequest, CompletionStream, EngineApi, EngineError, RefusalEnvelope,
};

/// Maximum size of the body of a refusal, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 << 10;
/// Content type of JSON.
const JSON: HeaderValue = HeaderValue::from_static("application/json");
/// Content type of exported KV cache.
const OCTET_STREAM: HeaderValue = HeaderValue::from_static("application/octet-stream");

/// Settings of an [`HttpEngineClient`].
#[derive(Clone, Debug)]
pub struct EngineClientConfig {
    /// Timeout of a report, an order, a cancellation or a query for cache events.
    pub call_timeout: Duration,
    /// Timeout for an engine to accept a completion; the first token may arrive
    /// later.
    pub accept_timeout: Duration,
    /// Timeout of an export or import of KV cache.
    pub kv_timeout: Duration,
    /// Maximum size of an event of a stream, in bytes.
    pub max_event_bytes: usize,
    /// Limits on connections and on buffered responses.
    pub http: ClientConfig,
}

impl Default for EngineClientConfig {
    fn default() -> Self {
        Self {
            call_timeout: Duration::from_secs(1),
            accept_timeout: Duration::from_secs(5),
            kv_timeout: Duration::from_secs(30),
            max_event_bytes: 256 << 10,
            http: ClientConfig {
                max_idle_per_host: 256,
                max_body: 64 << 20,
                ..ClientConfig::default()
            },
        }
    }
}

/// Client for engines that implement the protocol of `docs/engine-protocol.md`.
///
/// # Examples
///
/// ```no_run
/// # async fn example() -> Result<(), geranium_engine::EngineError> {
/// use geranium_engine::{EngineApi, EngineClientConfig, HttpEngineClient};
///
/// let engines = HttpEngineClient::new(EngineClientConfig::default());
/// let report = engines.report(([127, 0, 0, 1], 7001).into()).await?;
/// println!("{} is {:?}", report.host, report.phase);
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct HttpEngineClient {
    http: HttpClient,
    cfg: EngineClientConfig,
}

#[derive(Deserialize)]
struct OrderResponse {
    report: EngineReport,
}

#[derive(Serialize)]
struct CancelBody<'a> {
    request: &'a RequestId,
}

#[derive(Serialize)]
struct ExportBody<'a> {
    block_hashes: &'a [u64],
}

#[derive(Deserialize)]
struct ImportResponse {
    imported: u64,
}

impl HttpEngineClient {
    /// Creates a client. Clones share its connections.
    #[must_use]
    pub fn new(cfg: EngineClientConfig) -> Self {
        Self {
            http: HttpClient::new(&cfg.http),
            cfg,
        }
    }

    async fn call(&self, req: HttpRequest, timeout: Duration) -> Result<Bytes, EngineError> {
        let address = req.address();
        let (status, body) = self
            .http
            .send_buffered(req, timeout)
            .await
            .map_err(EngineError::from_client)?;
        if status.is_success() {
            Ok(body)
        } else {
            Err(refusal_error(address, status, &body))
        }
    }

    async fn call_json<T: DeserializeOwned>(
        &self,
        req: HttpRequest,
        timeout: Duration,
    ) -> Result<T, EngineError> {
        let address = req.address();
        let body = self.call(req, timeout).await?;
        serde_json::from_slice(&body)
            .map_err(|e| EngineError::NoAnswer(ClientError::Malformed(address, e.to_string())))
    }
}

impl EngineApi for HttpEngineClient {
    type Stream = CompletionStream;

    async fn report(&self, address: SocketAddr) -> Result<EngineReport, EngineError> {
        let req = HttpRequest::get(address, "/v1/report");
        self.call_json(req, self.cfg.call_timeout).await
    }

    async fn send_order(
        &self,
        address: SocketAddr,
        order: &Order,
    ) -> Result<EngineReport, EngineError> {
        let req = post_json(address, "/v1/orders", order)?;
        let answer: OrderResponse = self.call_json(req, self.cfg.call_timeout).await?;
        Ok(answer.report)
    }

    async fn stream_completion(
        &self,
        address: SocketAddr,
        req: &CompletionRequest,
    ) -> Result<CompletionStream, EngineError> {
        let timeout = self.cfg.accept_timeout.min(req.remaining);
        let res = self
            .http
            .send(completion_http_request(address, req)?, timeout)
            .await
            .map_err(EngineError::from_client)?;
        let status = res.status();
        if status.is_success() {
            let body = res.into_body();
            return Ok(CompletionStream::new(
                address,
                body,
                self.cfg.max_event_bytes,
                &self.cfg.http.response_memory,
            ));
        }
        let body = tokio::time::timeout(
            timeout,
            read_response_body(
                address,
                res.into_body(),
                MAX_REFUSAL_BYTES,
                &self.cfg.http.response_memory,
            ),
        )
        .await
        .map_err(|_| EngineError::NoAnswer(ClientError::Timeout(address, timeout)))?;
        // The status alone shows that the engine refused the call, so a failure to read
        // the body is ignored.
        Err(refusal_error(address, status, &body.unwrap_or_default()))
    }

    async fn buffered_completion(
        &self,
        address: SocketAddr,
        req: &CompletionRequest,
    ) -> Result<Bytes, EngineError> {
        self.call(completion_http_request(address, req)?, req.remaining)
            .await
    }

    async fn cancel(&self, address: SocketAddr, request: &RequestId) -> Result<(), EngineError> {
        let req = post_json(address, "/v1/cancel", &CancelBody { request })?;
        self.call(req, self.cfg.call_timeout).await?;
        Ok(())
    }

    async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> Result<CacheEvents, EngineError> {
        let req = HttpRequest::get(address, format!("/v1/cache/events?after={after}"));
        self.call_json(req, self.cfg.call_timeout).await
    }

    async fn export_kv(
        &self,
        address: SocketAddr,
        block_hashes: &[u64],
    ) -> Result<Bytes, EngineError> {
        let req = post_json(address, "/v1/kv/export", &ExportBody { block_hashes })?;
        self.call(req, self.cfg.kv_timeout).await
    }

    async fn import_kv(&self, address: SocketAddr, exported: Bytes) -> Result<u64, EngineError> {
        let req = HttpRequest::post(address, "/v1/kv/import")
            .header(CONTENT_TYPE, OCTET_STREAM)
            .body(exported);
        let answer: ImportResponse = self.call_json(req, self.cfg.kv_timeout).await?;
        Ok(answer.imported)
    }
}

fn post_json(
    address: SocketAddr,
    path: &'static str,
    value: &impl Serialize,
) -> Result<HttpRequest, EngineError> {
    HttpRequest::post(address, path)
        .json(value)
        .map_err(EngineError::from_client)
}

fn completion_http_request(
    address: SocketAddr,
    req: &CompletionRequest,
) -> Result<HttpRequest, EngineError> {
    let remaining = u64::try_from(req.remaining.as_millis()).unwrap_or(u64::MAX);
    let header_text = |value: &str| HeaderValue::from_str(value).map_err(|e| invalid_request(&e));
    Ok(HttpRequest::post(address, "/v1/chat/completions")
        .header(CONTENT_TYPE, JSON)
        .header(
            header_name(REQUEST_HEADER),
            header_text(req.request.as_str())?,
        )
        .header(header_name(GROUP_HEADER), header_text(req.group.as_str())?)
        .header(
            header_name(FENCING_HEADER),
            HeaderValue::from(req.fencing.0),
        )
        .header(
            header_name(PRIORITY_HEADER),
            HeaderValue::from(u64::from(req.priority)),
        )
        .header(header_name(DEADLINE_HEADER), HeaderValue::from(remaining))
        .body(req.body_with_resume()?))
}

const fn header_name(name: &'static str) -> HeaderName {
    HeaderName::from_static(name)
}

pub(crate) fn invalid_request(e: &impl std::fmt::Display) -> EngineError {
    EngineError::NotSent(ClientError::InvalidRequest(e.to_string()))
}

fn refusal_error(address: SocketAddr, status: StatusCode, body: &[u8]) -> EngineError {
    let refusal = serde_json::from_slice::<RefusalEnvelope>(body)
        .unwrap_or_default()
        .error;
    match (refusal.kind.as_str(), refusal.highest) {
        (STALE_FENCING, Some(highest)) => {
            EngineError::StaleFencing(address, FencingNumber(highest))
        }
        (WRONG_GROUP, _) => EngineError::WrongGroup(address, refusal.message),
        _ => EngineError::Refused(
            address,
            status.as_u16(),
            refusal.kind,
            refusal.message,
            refusal.retry_after_ms.map(Duration::from_millis),
        ),
    }
}
