//! Construction of HTTP answers.

use bytes::Bytes;
use geranium_net::ApiError;
use http_body_util::Full;
use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use serde::Serialize;
use viz::{Body, Response};

/// Renders a value as a JSON answer.
///
/// # Errors
///
/// Returns an error if the value cannot be serialised.
pub fn json(value: &impl Serialize) -> Result<Response, ApiError> {
    let body = serde_json::to_vec(value).map_err(|e| {
        ApiError::new(
            StatusCode::INTERNAL_SERVER_ERROR,
            "unrenderable_answer",
            e.to_string(),
        )
    })?;
    Ok(with_content_type(
        StatusCode::OK,
        "application/json",
        Bytes::from(body),
    ))
}

/// Creates an answer with a status, a content type and a body.
pub fn with_content_type(status: StatusCode, content_type: &'static str, body: Bytes) -> Response {
    let mut res = Response::new(Body::Full(Full::new(body)));
    *res.status_mut() = status;
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    res
}
