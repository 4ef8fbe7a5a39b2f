//! The operator interface.

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

/// Makes the router of the operator listener.
#[must_use]
pub fn router(node: &Arc<Node>) -> Router {
    let router = Router::new();
    let router = with(router, node, "/v1/records", Verb::Get, records::list);
    let router = with(
        router,
        node,
        "/v1/records/:kind/:name",
        Verb::Get,
        records::get,
    );
    let router = with(
        router,
        node,
        "/v1/records/:kind/:name",
        Verb::Put,
        records::apply,
    );
    let router = with(
        router,
        node,
        "/v1/history/:kind/:name",
        Verb::Get,
        records::history,
    );
    let router = with(
        router,
        node,
        "/v1/in-force/:kind/:name",
        Verb::Get,
        records::in_force,
    );
    let router = with(router, node, "/v1/validate", Verb::Post, records::validate);
    let router = with(router, node, "/v1/status", Verb::Get, status::status);
    let router = with(router, node, "/v1/events", Verb::Get, events::events);
    let router = with(
        router,
        node,
        "/v1/explain/:what/:id",
        Verb::Get,
        explain::explain,
    );
    let router = open(router, node, "/metrics", status::metrics);
    let router = open(router, node, "/healthz", healthz);
    open(router, node, "/readyz", readyz)
}

#[derive(Clone, Copy)]
enum Verb {
    Get,
    Post,
    Put,
}

/// Adds a route that needs the operator token.
fn with<F, Fut>(
    router: Router,
    node: &Arc<Node>,
    path: &'static str,
    verb: Verb,
    handler: F,
) -> Router
where
    F: Fn(Arc<Node>, Request) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Result<Response>> + Send + 'static,
{
    let node = node.clone();
    let guarded = move |req: Request| {
        let (node, handler) = (node.clone(), handler.clone());
        async move {
            auth::check(&node, &req)?;
            handler(node, req).await
        }
    };
    match verb {
        Verb::Get => router.get(path, guarded),
        Verb::Post => router.post(path, guarded),
        Verb::Put => router.put(path, guarded),
    }
}

/// Adds a route that anybody on the operator network may read.
fn open<F, Fut>(router: Router, node: &Arc<Node>, path: &'static str, handler: F) -> Router
where
    F: Fn(Arc<Node>, Request) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Result<Response>> + Send + 'static,
{
    let node = node.clone();
    router.get(path, move |req: Request| handler(node.clone(), req))
}
