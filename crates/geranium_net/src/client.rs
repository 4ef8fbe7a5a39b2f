//! HTTP client that connects by IP address.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use crate::{ClientError, ResponseBody, ResponseMemory, ResponseTimeout, is_protocol_status};

/// Maximum buffer size of a connection, in bytes. It bounds the head of a response, so that
/// a server that sends an endless head cannot exhaust the memory of this process.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Memory for the buffered responses of a client that shares none, in bytes.
const DEFAULT_RESPONSE_MEMORY: usize = 256 << 20;

/// Limits of a client.
#[derive(Clone, Debug)]
pub struct ClientConfig {
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Time after which an idle connection is closed. It is shorter than the header
    /// timeout of servers, so that no request is sent on a connection that the server is
    /// about to close.
    pub idle_timeout: Duration,
    /// Maximum number of idle connections kept for each address.
    pub max_idle_per_host: usize,
    /// Maximum size of a buffered response body, in bytes.
    pub max_body: usize,
    /// Memory for all buffered responses.
    pub response_memory: ResponseMemory,
}

impl Default for ClientConfig {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(4),
            max_idle_per_host: 64,
            max_body: 4 << 20,
            response_memory: ResponseMemory::new(DEFAULT_RESPONSE_MEMORY),
        }
    }
}

/// A request to one address.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    address: SocketAddr,
    method: Method,
    path: String,
    headers: Vec<(HeaderName, HeaderValue)>,
    body: Bytes,
}

impl HttpRequest {
    /// Creates a request without a body; `path` may include a query string.
    pub fn new(address: SocketAddr, method: Method, path: impl Into<String>) -> Self {
        Self {
            address,
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Creates a GET request.
    pub fn get(address: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(address, Method::GET, path)
    }

    /// Creates a POST request.
    pub fn post(address: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(address, Method::POST, path)
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: HeaderName, value: HeaderValue) -> Self {
        self.headers.push((name, value));
        self
    }

    /// Adds a header whose value is given as text.
    ///
    /// # Errors
    ///
    /// Returns an error if `value` is not a valid header value.
    pub fn header_text(self, name: &'static str, value: &str) -> Result<Self, ClientError> {
        let value = HeaderValue::from_str(value)
            .map_err(|_| ClientError::InvalidRequest(format!("value of header {name:?}")))?;
        Ok(self.header(HeaderName::from_static(name), value))
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: Bytes) -> Self {
        self.body = body;
        self
    }

    /// Serializes a value as the JSON body and sets the content type.
    ///
    /// # Errors
    ///
    /// Returns an error if the value cannot be serialized.
    pub fn json<T: Serialize>(self, value: &T) -> Result<Self, ClientError> {
        let body =
            serde_json::to_vec(value).map_err(|e| ClientError::InvalidRequest(e.to_string()))?;
        let json = HeaderValue::from_static("application/json");
        Ok(self.header(CONTENT_TYPE, json).body(Bytes::from(body)))
    }

    /// Returns the address that the request is sent to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    fn into_hyper(self) -> Result<Request<Full<Bytes>>, ClientError> {
        let uri = format!("http://{}{}", self.address, self.path);
        let mut builder = Request::builder().method(self.method).uri(uri);
        for (name, value) in self.headers {
            builder = builder.header(name, value);
        }
        builder
            .body(Full::new(self.body))
            .map_err(|e| ClientError::InvalidRequest(e.to_string()))
    }
}

/// An HTTP client with pooled connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
    max_body: usize,
    response_memory: ResponseMemory,
}

impl HttpClient {
    /// Creates a client.
    #[must_use]
    pub fn new(cfg: &ClientConfig) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(cfg.connect_timeout));
        connector.set_nodelay(true);
        let inner = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(cfg.idle_timeout)
            .pool_max_idle_per_host(cfg.max_idle_per_host)
            .http1_max_buf_size(MAX_BUFFER_BYTES)
            .build(connector);
        Self {
            inner,
            max_body: cfg.max_body,
            response_memory: cfg.response_memory.clone(),
        }
    }

    /// Sends a request and returns the response without reading its body.
    ///
    /// # Errors
    ///
    /// Returns an error if no response started within `limit`, or if its status is none of the
    /// protocol's.
    /// [`ClientError::is_not_sent`] returns whether the server may have received the request.
    pub async fn send(
        &self,
        req: HttpRequest,
        limit: Duration,
    ) -> Result<Response<Incoming>, ClientError> {
        let address = req.address;
        match tokio::time::timeout(limit, self.request_with_retry(req.into_hyper()?)).await {
            Ok(Ok(res)) if is_protocol_status(res.status()) => Ok(res),
            Ok(Ok(res)) => {
                let detail = format!("status {}", res.status().as_u16());
                Err(ClientError::Malformed(address, detail))
            }
            Ok(Err(e)) if e.is_connect() => {
                Err(ClientError::Connect(address, error_chain_text(&e)))
            }
            Ok(Err(e)) => Err(ClientError::NoAnswer(address, error_chain_text(&e))),
            Err(_) => Err(ClientError::Timeout(address, limit)),
        }
    }

    /// Sends a request, and retries a GET once if the connection closes before a response
    /// starts, as the server may have closed an idle connection at that moment.
    async fn request_with_retry(
        &self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, hyper_util::client::legacy::Error> {
        let retry = (req.method() == Method::GET).then(|| req.clone());
        match (self.inner.request(req).await, retry) {
            (Err(e), Some(retry)) if closed_before_response(&e) => self.inner.request(retry).await,
            (outcome, _) => outcome,
        }
    }

    /// Sends a request and reads the whole response body.
    ///
    /// # Errors
    ///
    /// Returns an error if the whole response did not arrive within `limit`.
    pub async fn send_buffered(
        &self,
        req: HttpRequest,
        limit: impl Into<ResponseTimeout>,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        let res = self.send_buffered_with_headers(req, limit).await?;
        Ok((res.status(), res.into_body()))
    }

    /// Sends a request and reads the whole response, including its headers.
    ///
    /// # Errors
    ///
    /// Returns an error if the whole response did not arrive within `limit`.
    pub async fn send_buffered_with_headers(
        &self,
        req: HttpRequest,
        limit: impl Into<ResponseTimeout>,
    ) -> Result<Response<Bytes>, ClientError> {
        let limit = limit.into();
        let address = req.address;
        let sent_at = Instant::now();
        let (head, body) = self.send(req, limit.head).await?.into_parts();
        let mut body = ResponseBody::new(address, body, self.max_body, &self.response_memory);
        loop {
            let deadline = (sent_at + limit.total).min(Instant::now() + limit.pause);
            match tokio::time::timeout_at(deadline, body.read_part()).await {
                Ok(Ok(true)) => {}
                Ok(Ok(false)) => break,
                Ok(Err(e)) => return Err(e),
                Err(_) => {
                    let waited = sent_at.elapsed();
                    return Err(ClientError::Incomplete(address, waited, body.read_bytes()));
                }
            }
        }
        Ok(Response::from_parts(head, body.into_bytes()))
    }

    /// Sends a request and parses the response body as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the whole response did not arrive within `limit` or is
    /// not the expected JSON.
    pub async fn send_json<T: DeserializeOwned>(
        &self,
        req: HttpRequest,
        limit: Duration,
    ) -> Result<(StatusCode, T), ClientError> {
        let address = req.address;
        let (status, body) = self.send_buffered(req, limit).await?;
        let value = serde_json::from_slice(&body)
            .map_err(|e| ClientError::Malformed(address, format!("status {status}: {e}")))?;
        Ok((status, value))
    }
}

/// Returns whether the server closed the connection before it started a response.
fn closed_before_response(e: &hyper_util::client::legacy::Error) -> bool {
    let source = std::error::Error::source(e);
    let source = source.and_then(|s| s.downcast_ref::<hyper::Error>());
    source.is_some_and(hyper::Error::is_incomplete_message)
}

/// Formats an error with its sources, because the text of hyper's own errors names only the
/// layer that failed.
fn error_chain_text(e: &dyn std::error::Error) -> String {
    let mut text = e.to_string();
    let mut source = e.source();
    while let Some(e) = source {
        text.push_str(": ");
        text.push_str(&e.to_string());
        source = e.source();
    }
    text
}
