//! The running stand-in.

use std::net::SocketAddr;
use std::sync::Arc;

use geranium_net::ServerError;
use hyper::StatusCode;
use viz::{IntoResponse, Request, Response, Router};

use super::core::ServiceCore;
use super::{ServiceConfig, ServiceFault, ServiceStats};
use crate::http::{FakeListener, Gate, json, read_fault};

/// A running stand-in of a plain service; dropping it stops it.
pub struct FakeService {
    core: Arc<ServiceCore>,
    main: FakeListener,
    admin: FakeListener,
}

impl FakeService {
    /// Starts a stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be listened on.
    pub async fn start(cfg: ServiceConfig) -> Result<Self, ServerError> {
        let gate = Gate::default();
        let core = Arc::new(ServiceCore::new(gate.clone()));
        let main = FakeListener::start(cfg.listen, main_router(&core), gate).await?;
        let admin = FakeListener::start(cfg.admin, admin_router(&core), Gate::default()).await?;
        Ok(Self { core, main, admin })
    }

    /// Returns the address of the service.
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
    pub fn set_fault(&self, fault: ServiceFault) {
        self.core.set_fault(fault);
    }

    /// Returns the counts.
    #[must_use]
    pub fn stats(&self) -> ServiceStats {
        self.core.stats()
    }
}

fn main_router(core: &Arc<ServiceCore>) -> Router {
    let core = core.clone();
    let call = move |req: Request| {
        let core = core.clone();
        async move { Ok::<Response, viz::Error>(core.call(req).await) }
    };
    Router::new().any("/", call.clone()).any("/*", call)
}

fn admin_router(core: &Arc<ServiceCore>) -> Router {
    let for_fault = core.clone();
    let for_stats = core.clone();
    Router::new()
        .post("/fault", move |req: Request| {
            let core = for_fault.clone();
            async move { Ok::<Response, viz::Error>(set_fault(&core, req).await) }
        })
        .get("/fault/stats", move |_: Request| {
            let stats = for_stats.stats();
            async move { Ok::<Response, viz::Error>(json(StatusCode::OK, &stats)) }
        })
}

async fn set_fault(core: &ServiceCore, mut req: Request) -> Response {
    match read_fault::<ServiceFault>(&mut req).await {
        Ok(fault) => {
            core.set_fault(fault);
            json(StatusCode::OK, &core.stats())
        }
        Err(e) => e.into_response(),
    }
}
