//! Responses to calls of plain services.

use bytes::Bytes;
use geranium_core::once::{
    ClaimAnswer, InProgress, NotRun, OtherAttempts, OutcomeUnknown, StoredAnswer, StoredBody,
};
use geranium_engine::ServiceResponse;
use geranium_net::ApiError;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{HeaderMap, StatusCode};
use viz::{Body, Response};

/// Header that marks the stored answer of an earlier attempt.
const REPLAYED_HEADER: &str = "idempotent-replayed";

/// Converts the response of an endpoint.
pub(super) fn from_endpoint(answer: ServiceResponse) -> Response {
    response(answer.status, answer.headers, answer.body)
}

/// Converts the answer of a claim.
///
/// # Errors
///
/// Returns the refusal if the claim has no response of the service.
pub(super) fn from_claim(answer: ClaimAnswer) -> Result<Response, ApiError> {
    let status = StatusCode::from_u16(answer.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let kind = answer.error_type().unwrap_or_default();
    let retry_after = answer.retry_after();
    let refusal = match answer {
        ClaimAnswer::Done(answer) => return Ok(whole(status, &answer.headers, answer.body)),
        ClaimAnswer::Replayed(answer) => return Ok(replayed(status, answer)),
        ClaimAnswer::NotRun(refusal) => not_run(status, kind, &refusal),
        ClaimAnswer::OutcomeUnknown(unknown) => outcome_unknown(status, kind, &unknown),
        ClaimAnswer::InProgress(progress) => in_progress(status, kind, &progress),
        ClaimAnswer::KeyReused => key_reused(status, kind),
    };
    Err(match retry_after {
        Some(after) => refusal.retry_after(after),
        None => refusal,
    })
}

fn not_run(status: StatusCode, kind: &str, refusal: &NotRun) -> ApiError {
    let message = format!("this attempt was not run: {:?}", refusal.reason);
    let may_have_run = refusal.other_attempts == OtherAttempts::NotChecked;
    ApiError::new(status, kind, message)
        .not_run()
        .earlier_attempt_may_have_run(may_have_run)
}

fn outcome_unknown(status: StatusCode, kind: &str, unknown: &OutcomeUnknown) -> ApiError {
    let message = format!(
        "attempt {} may have run ({:?}); it is never run again under this key",
        unknown.attempt, unknown.reason
    );
    ApiError::new(status, kind, message)
}

fn in_progress(status: StatusCode, kind: &str, progress: &InProgress) -> ApiError {
    let message = format!("attempt {} with this key is in progress", progress.attempt);
    ApiError::new(status, kind, message)
        .not_run()
        .earlier_attempt_may_have_run(true)
}

fn key_reused(status: StatusCode, kind: &str) -> ApiError {
    let message = "the idempotency key was already used for another request";
    ApiError::new(status, kind, message).not_run()
}

/// Returns the stored answer of an earlier attempt.
fn replayed(status: StatusCode, answer: StoredAnswer) -> Response {
    let mut res = match answer.body {
        StoredBody::Whole(body) => whole(status, &answer.headers, body),
        StoredBody::Digest { sha256, len } => digest(status, &sha256, len),
    };
    res.headers_mut()
        .insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    res
}

/// Returns a complete answer; headers that are not valid are left out.
fn whole(status: StatusCode, headers: &[(String, String)], body: Bytes) -> Response {
    let mut valid = HeaderMap::new();
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            valid.insert(name, value);
        }
    }
    response(status, valid, body)
}

/// Returns the digest of a stored answer whose body was too long to store.
fn digest(status: StatusCode, sha256: &str, len: u64) -> Response {
    let body = serde_json::json!({"body_not_kept": {"sha256": sha256, "bytes": len}});
    let json = HeaderValue::from_static("application/json");
    let headers = HeaderMap::from_iter([(CONTENT_TYPE, json)]);
    response(status, headers, Bytes::from(body.to_string()))
}

fn response(status: StatusCode, headers: HeaderMap, body: Bytes) -> Response {
    let mut res = Response::new(Body::Full(Full::new(body)));
    *res.status_mut() = status;
    *res.headers_mut() = headers;
    res
}
