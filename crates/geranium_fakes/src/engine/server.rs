//! The running stand-in.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use geranium_core::engine::EngineReport;
use geranium_core::id::HostId;
use geranium_net::ServerError;
use hyper::StatusCode;
use tokio_util::task::AbortOnDropHandle;
use viz::{Handler, IntoResponse, Request, Response, Router};

use super::core::EngineCore;
use super::handler::{cache_events, cancel, complete, export_kv, import_kv, member, order, report};
use super::members::MemberWatch;
use super::{EngineConfig, EngineFault, EngineStats};
use crate::http::{FakeListener, Gate, json, read_fault};

/// A running stand-in of a model engine; dropping it stops it.
pub struct FakeEngine {
    core: Arc<EngineCore>,
    main: FakeListener,
    admin: FakeListener,
    _members: AbortOnDropHandle<()>,
}

impl FakeEngine {
    /// Starts a stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be listened on.
    pub async fn start(cfg: EngineConfig) -> Result<Self, ServerError> {
        let (listen, admin) = (cfg.listen, cfg.admin);
        let gate = Gate::default();
        let core = Arc::new(EngineCore::new(cfg, gate.clone()));
        let main = FakeListener::start(listen, main_router(&core), gate).await?;
        let admin = FakeListener::start(admin, admin_router(&core), Gate::default()).await?;
        let members = tokio::spawn(MemberWatch::new(core.clone()).run());
        Ok(Self {
            core,
            main,
            admin,
            _members: AbortOnDropHandle::new(members),
        })
    }

    /// Returns the host that the engine runs on.
    #[must_use]
    pub fn host(&self) -> &HostId {
        &self.core.cfg.host
    }

    /// Returns the address of the engine.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.main.address()
    }

    /// Returns the address for faults and counts.
    #[must_use]
    pub const fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Puts a fault into force.
    pub fn set_fault(&self, fault: &EngineFault) {
        self.core.set_fault(fault);
    }

    /// Returns the counts.
    #[must_use]
    pub fn stats(&self) -> EngineStats {
        self.core.stats()
    }

    /// Returns the report that a call would get now.
    #[must_use]
    pub fn report(&self) -> EngineReport {
        self.core.report()
    }
}

/// Makes a route's handler from a function of the engine.
fn route<F, R>(
    core: &Arc<EngineCore>,
    run: F,
) -> impl Handler<Request, Output = viz::Result<Response>> + Clone
where
    F: Fn(Arc<EngineCore>, Request) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response> + Send + 'static,
{
    let core = core.clone();
    move |req: Request| {
        let answer = run(core.clone(), req);
        async move { Ok(answer.await) }
    }
}

fn main_router(core: &Arc<EngineCore>) -> Router {
    Router::new()
        .get("/v1/report", route(core, report))
        .post("/v1/orders", route(core, order))
        .post("/v1/chat/completions", route(core, complete))
        .post("/v1/cancel", route(core, cancel))
        .get("/v1/cache/events", route(core, cache_events))
        .post("/v1/kv/export", route(core, export_kv))
        .post("/v1/kv/import", route(core, import_kv))
        .post("/fake/member", route(core, member))
}

fn admin_router(core: &Arc<EngineCore>) -> Router {
    Router::new()
        .post("/fault", route(core, set_fault))
        .get("/fault/stats", route(core, stats))
}

async fn set_fault(core: Arc<EngineCore>, mut req: Request) -> Response {
    match read_fault::<EngineFault>(&mut req).await {
        Ok(fault) => {
            core.set_fault(&fault);
            json(StatusCode::OK, &core.stats())
        }
        Err(e) => e.into_response(),
    }
}

async fn stats(core: Arc<EngineCore>, _: Request) -> Response {
    json(StatusCode::OK, &core.stats())
}
