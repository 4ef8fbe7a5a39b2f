//! Liveness and readiness endpoints of the caller and the operator listener.

use std::sync::Arc;

use bytes::Bytes;
use hyper::StatusCode;
use viz::{Request, Response, Result};

use crate::node::Node;
use crate::operator::reply::with_content_type;

/// Reports liveness: answers with 200 as long as the process runs.
pub async fn healthz(_node: Arc<Node>, _req: Request) -> Result<Response> {
    Ok(text(StatusCode::OK, b"ok\n"))
}

/// Reports readiness: 200 if the process accepts requests, otherwise 503.
pub async fn readyz(node: Arc<Node>, _req: Request) -> Result<Response> {
    Ok(if node.is_ready() {
        text(StatusCode::OK, b"ready\n")
    } else {
        text(StatusCode::SERVICE_UNAVAILABLE, b"not ready\n")
    })
}

fn text(status: StatusCode, body: &'static [u8]) -> Response {
    with_content_type(status, "text/plain", Bytes::from_static(body))
}
