//! Reading of HTTP bodies with a size limit.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::StatusCode;
use viz::{Body, Request};

use crate::ApiError;

/// Maximum number of bytes that are read and discarded after the size limit. A caller that
/// is still sending when the connection closes loses the error response, so the rest of
/// the body is read before the response is sent.
const MAX_DISCARDED_BYTES: usize = 32 << 20;

/// Timeout for reading the discarded rest of a body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for reading a request body, so that slow callers don't hold memory.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads the whole body of a request.
///
/// # Errors
///
/// Returns an [`ApiError`] if the body exceeds `limit` bytes, is incomplete or takes
/// longer than 30 s.
pub async fn read_body(req: &mut Request, limit: usize) -> Result<Bytes, ApiError> {
    read_body_with_timeout(req, limit, BODY_TIMEOUT).await
}

/// Reads the whole body of a request within `timeout`.
///
/// # Errors
///
/// Returns an [`ApiError`] if the body exceeds `limit` bytes, is incomplete or takes
/// longer than `timeout`.
pub async fn read_body_with_timeout(
    req: &mut Request,
    limit: usize,
    timeout: Duration,
) -> Result<Bytes, ApiError> {
    let mut body: Body = std::mem::take(req.body_mut());
    let read = tokio::time::timeout(timeout, read_limited(&mut body, limit));
    read.await.unwrap_or_else(|_| {
        let message = format!("request body took longer than {} ms", timeout.as_millis());
        Err(ApiError::new(
            StatusCode::REQUEST_TIMEOUT,
            "slow_body",
            message,
        ))
    })
}

async fn read_limited(body: &mut Body, limit: usize) -> Result<Bytes, ApiError> {
    let mut buf = BytesMut::new();
    while let Some(data) = next_data(body).await? {
        if buf.len() + data.len() > limit {
            discard_rest(body).await;
            return Err(ApiError::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                "oversize_body",
                format!("request body has more than {limit} bytes"),
            ));
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}

async fn next_data(body: &mut Body) -> Result<Option<Bytes>, ApiError> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| {
            ApiError::new(
                StatusCode::BAD_REQUEST,
                "broken_body",
                format!("request body broke off: {e}"),
            )
        })?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

/// Reads and discards the body of a request that is rejected without using its body.
pub async fn discard_body(req: &mut Request) {
    let mut body: Body = std::mem::take(req.body_mut());
    discard_rest(&mut body).await;
}

/// Reads and discards the rest of a body, limited in time and size.
async fn discard_rest(body: &mut Body) {
    let read = async {
        let mut discarded = 0;
        while let Ok(Some(data)) = next_data(body).await {
            discarded += data.len();
            if discarded > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    // The error response is sent whether or not the rest arrives in time.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, read).await;
}
