//! HTTP interface for operators.

mod auth;
mod events;
mod explain;
mod query;
mod records;
pub mod reply;
mod status;

use std::sync::Arc;

use viz::{Request, Response, Result, Router};

pub use status::accelerators;

use crate::health::{healthz, readyz};
use crate::node::Node;

/// Creates the router of the operator listener.
#[must_use]
pub fn router(node: &Arc<Node>) -> Router {
    let router = Router::new();
    let router = authenticated_route(router, node, "/v1/records", HttpMethod::Get, records::list);
    let router = authenticated_route(
        router,
        node,
        "/v1/records/:kind/:name",
        HttpMethod::Get,
        records::get,
    );
    let router = authenticated_route(
        router,
        node,
        "/v1/records/:kind/:name",
        HttpMethod::Put,
        records::apply,
    );
    let router = authenticated_route(
        router,
        node,
        "/v1/history/:kind/:name",
        HttpMethod::Get,
        records::history,
    );
    let router = authenticated_route(
        router,
        node,
        "/v1/in-force/:kind/:name",
        HttpMethod::Get,
        records::in_force,
    );
    let router = authenticated_route(
        router,
        node,
        "/v1/validate",
        HttpMethod::Post,
        records::validate,
    );
    let router = authenticated_route(router, node, "/v1/status", HttpMethod::Get, status::status);
    let router = authenticated_route(router, node, "/v1/events", HttpMethod::Get, events::events);
    let router = authenticated_route(
        router,
        node,
        "/v1/explain/:what/:id",
        HttpMethod::Get,
        explain::explain,
    );
    let router = public_route(router, node, "/metrics", status::metrics);
    let router = public_route(router, node, "/healthz", healthz);
    public_route(router, node, "/readyz", readyz)
}

#[derive(Clone, Copy)]
enum HttpMethod {
    Get,
    Post,
    Put,
}

/// Adds a route that requires the operator token.
fn authenticated_route<F, Fut>(
    router: Router,
    node: &Arc<Node>,
    path: &'static str,
    method: HttpMethod,
    handler: F,
) -> Router
where
    F: Fn(Arc<Node>, Request) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Result<Response>> + Send + 'static,
{
    let node = node.clone();
    let authenticated = move |req: Request| {
        let (node, handler) = (node.clone(), handler.clone());
        async move {
            auth::check_token(&node, &req)?;
            handler(node, req).await
        }
    };
    match method {
        HttpMethod::Get => router.get(path, authenticated),
        HttpMethod::Post => router.post(path, authenticated),
        HttpMethod::Put => router.put(path, authenticated),
    }
}

/// Adds a route that requires no token, so that anybody on the operator network may read it.
fn public_route<F, Fut>(router: Router, node: &Arc<Node>, path: &'static str, handler: F) -> Router
where
    F: Fn(Arc<Node>, Request) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Result<Response>> + Send + 'static,
{
    let node = node.clone();
    router.get(path, move |req: Request| handler(node.clone(), req))
}
