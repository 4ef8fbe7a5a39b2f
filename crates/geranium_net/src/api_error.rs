//! Error responses to callers and operators.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use serde::{Deserialize, Serialize};
use viz::{Body, IntoResponse, Response};

/// JSON content type.
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// An error response with the JSON body `{"error": {"type", "message", ...}}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApiError {
    /// HTTP status of the response.
    #[serde(skip, default = "default_status")]
    pub status: StatusCode,
    /// Stable, machine-readable error type.
    #[serde(rename = "type")]
    pub kind: String,
    /// Human-readable explanation.
    pub message: String,
    /// Time to wait before a retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Whether this attempt ran; `false` guarantees that it did not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ran: Option<bool>,
    /// Whether an earlier attempt with the same idempotency key may have run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub earlier_attempt_may_have_run: Option<bool>,
    /// Individual faults of the input, if there are several.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<String>,
}

#[derive(Serialize, Deserialize)]
struct Envelope<T> {
    error: T,
}

const fn default_status() -> StatusCode {
    StatusCode::INTERNAL_SERVER_ERROR
}

impl ApiError {
    /// Creates an error response.
    pub fn new(status: StatusCode, kind: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            status,
            kind: kind.into(),
            message: message.into(),
            retry_after_ms: None,
            ran: None,
            earlier_attempt_may_have_run: None,
            faults: Vec::new(),
        }
    }

    /// Sets the time to wait before a retry.
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Marks the attempt as certainly not run.
    #[must_use]
    pub fn not_run(mut self) -> Self {
        self.ran = Some(false);
        self
    }

    /// Sets whether an earlier attempt with the same idempotency key may have run.
    #[must_use]
    pub fn earlier_attempt_may_have_run(mut self, may_have_run: bool) -> Self {
        self.earlier_attempt_may_have_run = Some(may_have_run);
        self
    }

    /// Sets the individual faults of the input.
    #[must_use]
    pub fn with_faults(mut self, faults: Vec<String>) -> Self {
        self.faults = faults;
        self
    }

    /// Parses the body of an error response; returns `None` if it has another format.
    #[must_use]
    pub fn parse(status: StatusCode, body: &[u8]) -> Option<Self> {
        let mut envelope: Envelope<Self> = serde_json::from_slice(body).ok()?;
        envelope.error.status = status;
        Some(envelope.error)
    }

    /// Renders the JSON body.
    #[must_use]
    pub fn to_json(&self) -> Bytes {
        // A struct of strings and numbers can always be serialized.
        serde_json::to_vec(&Envelope { error: self })
            .map(Bytes::from)
            .unwrap_or_default()
    }
}

impl std::fmt::Display for ApiError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} ({})", self.message, self.kind)
    }
}

impl std::error::Error for ApiError {}

impl IntoResponse for ApiError {
    fn into_response(self) -> Response {
        let mut res = Response::new(Body::Full(Full::new(self.to_json())));
        *res.status_mut() = self.status;
        res.headers_mut().insert(CONTENT_TYPE, JSON);
        if let Some(ms) = self.retry_after_ms {
            // Retry-After is in whole seconds; rounding up avoids a retry that is too early.
            res.headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from(ms.div_ceil(1_000)));
        }
        res
    }
}

impl From<ApiError> for viz::Error {
    fn from(e: ApiError) -> Self {
        Self::Responder(e.into_response())
    }
}
