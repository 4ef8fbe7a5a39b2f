//! Answers of the stand-ins.

use bytes::Bytes;
use geranium_net::{ApiError, read_body};
use http_body_util::Full;
use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use serde::Serialize;
use serde::de::DeserializeOwned;
use viz::{Body, Request, Response};

/// Largest body of a fault, in bytes.
const MAX_FAULT: usize = 64 << 10;

/// Marks an answer in whose place the connection is closed.
#[derive(Clone, Copy, Debug)]
pub(super) struct DropConnection;

/// Makes an answer in whose place the connection is closed.
#[must_use]
pub fn drop_connection() -> Response {
    let mut res = Response::new(Body::empty());
    res.extensions_mut().insert(DropConnection);
    res
}

/// Makes a JSON answer.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => {
            let mut res = Response::new(Body::Full(Full::new(Bytes::from(body))));
            *res.status_mut() = status;
            let json = HeaderValue::from_static("application/json");
            res.headers_mut().insert(CONTENT_TYPE, json);
            res
        }
        Err(e) => {
            log::error!("cannot serialise an answer: {e}");
            drop_connection()
        }
    }
}

/// Parses a JSON body.
///
/// # Errors
///
/// Returns a typed refusal if the body is not the expected JSON.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, ApiError> {
    serde_json::from_slice(body).map_err(|e| {
        let message = format!("body is not valid: {e}");
        ApiError::new(StatusCode::BAD_REQUEST, "malformed_body", message)
    })
}

/// Reads the body of `POST /fault`.
///
/// # Errors
///
/// Returns a typed refusal if the body is not a fault.
pub async fn read_fault<T: DeserializeOwned>(req: &mut Request) -> Result<T, ApiError> {
    let body = read_body(req, MAX_FAULT).await?;
    parse_json(&body)
}
