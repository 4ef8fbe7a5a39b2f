//! HTTP interface for callers.

mod auth;
mod chat;
mod forward;
mod headers;
pub mod refusal;
mod service;

use std::sync::Arc;

use viz::{Request, Router};

use crate::health::{healthz, readyz};
use crate::node::Node;

/// Path on which entry hosts forward completions to each other.
pub const FORWARD_PATH: &str = "/internal/v1/chat/completions";

/// Header with the token that entry hosts authenticate each other with.
pub const PEER_TOKEN_HEADER: &str = "x-geranium-peer-token";

/// Header with the client account of a forwarded request.
pub const ACCOUNT_HEADER: &str = "x-geranium-account";

/// Creates the router of the caller listener.
#[must_use]
pub fn router(node: &Arc<Node>) -> Router {
    let completions = bind(node, chat::completions);
    let forwarded = bind(node, forward::completions);
    let models = bind(node, chat::models);
    let service = bind(node, service::call);
    let ready = bind(node, readyz);
    let healthy = bind(node, healthz);
    Router::new()
        .post("/v1/chat/completions", completions)
        .get("/v1/models", models)
        .post(FORWARD_PATH, forwarded)
        .any("/v1/services/:service/*", service)
        .get("/readyz", ready)
        .get("/healthz", healthy)
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
