//! The interface towards callers.

mod auth;
mod chat;
mod forward;
mod headers;
pub mod refusal;
mod service;

use std::sync::Arc;

use bytes::Bytes;
use hyper::StatusCode;
use viz::{Request, Response, Result, Router};

use crate::node::Node;
use crate::operator::reply;

/// Path on which entry hosts pass completions on to each other.
pub const FORWARD_PATH: &str = "/internal/v1/chat/completions";

/// Header with the token of entry hosts.
pub const PEER_TOKEN_HEADER: &str = "x-geranium-peer-token";

/// Header with the client account of a request that was passed on.
pub const ACCOUNT_HEADER: &str = "x-geranium-account";

/// Makes the router of the caller listener.
#[must_use]
pub fn router(node: &Arc<Node>) -> Router {
    let completions = bind(node, chat::completions);
    let forwarded = bind(node, forward::completions);
    let models = bind(node, chat::models);
    let service = bind(node, service::call);
    let ready = bind(node, readyz);
    Router::new()
        .post("/v1/chat/completions", completions)
        .get("/v1/models", models)
        .post(FORWARD_PATH, forwarded)
        .any("/v1/services/:service/*", service)
        .get("/readyz", ready)
        .get("/healthz", healthz)
}

fn bind<F, Fut>(
    node: &Arc<Node>,
    handler: F,
) -> impl Fn(Request) -> Fut + Clone + Send + Sync + 'static
where
    F: Fn(Arc<Node>, Request) -> Fut + Clone + Send + Sync + 'static,
{
    let node = node.clone();
    move |req| handler(node.clone(), req)
}

async fn readyz(node: Arc<Node>, _req: Request) -> Result<Response> {
    if node.is_ready() {
        return Ok(reply::typed(
            StatusCode::OK,
            "text/plain",
            Bytes::from_static(b"ready\n"),
        ));
    }
    let body = Bytes::from_static(b"not ready\n");
    Ok(reply::typed(
        StatusCode::SERVICE_UNAVAILABLE,
        "text/plain",
        body,
    ))
}

async fn healthz(_req: Request) -> Result<Response> {
    Ok(reply::typed(
        StatusCode::OK,
        "text/plain",
        Bytes::from_static(b"ok\n"),
    ))
}
