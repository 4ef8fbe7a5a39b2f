//! Bodies with a size limit.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::Incoming;
use viz::{Body, Request};

use crate::{ApiError, ClientError};

/// Reads the whole body of a request.
///
/// # Errors
///
/// Returns a typed refusal if the body has more than `limit` bytes or breaks off.
pub async fn read_body(req: &mut Request, limit: usize) -> Result<Bytes, ApiError> {
    let mut body: Body = std::mem::take(req.body_mut());
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| {
            ApiError::new(
                StatusCode::BAD_REQUEST,
                "broken_body",
                format!("request body broke off: {e}"),
            )
        })?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if buf.len() + data.len() > limit {
            return Err(ApiError::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                "oversize_body",
                format!("request body has more than {limit} bytes"),
            ));
        }
        buf.extend_from_slice(data);
    }
    Ok(buf.freeze())
}

/// Reads the whole body of an answer.
///
/// # Errors
///
/// Returns an error if the body has more than `limit` bytes or breaks off.
pub async fn read_incoming(
    address: std::net::SocketAddr,
    mut body: Incoming,
    limit: usize,
) -> Result<Bytes, ClientError> {
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| ClientError::BrokenBody(address, e.to_string()))?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if buf.len() + data.len() > limit {
            return Err(ClientError::OversizeBody(address, limit));
        }
        buf.extend_from_slice(data);
    }
    Ok(buf.freeze())
}
