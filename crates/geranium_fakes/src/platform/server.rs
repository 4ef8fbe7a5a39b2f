//! The running stand-in.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use geranium_net::ServerError;
use hyper::StatusCode;
use tokio_util::task::AbortOnDropHandle;
use viz::{IntoResponse, Request, Response, Router};

use super::handler::Handler;
use super::{PlatformConfig, PlatformFault, PlatformStats};
use crate::http::{FakeListener, Gate, json, read_fault};

/// Time between looks for leases that have ended.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// A running stand-in of the key-value service; dropping it stops it.
pub struct FakePlatform {
    handler: Arc<Handler>,
    main: FakeListener,
    more: Vec<FakeListener>,
    admin: FakeListener,
    _expiry: AbortOnDropHandle<()>,
}

impl FakePlatform {
    /// Starts a stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be listened on.
    pub async fn start(cfg: PlatformConfig) -> Result<Self, ServerError> {
        let (listen, more_listen, admin) = (cfg.listen, cfg.more_listen.clone(), cfg.admin);
        let gate = Gate::default();
        let more_gates: Vec<Gate> = more_listen.iter().map(|_| Gate::default()).collect();
        let gates = std::iter::once(&gate).chain(&more_gates).cloned().collect();
        let handler = Arc::new(Handler::new(cfg, gates));
        let main = FakeListener::start(listen, main_router(&handler), gate).await?;
        let mut more = Vec::new();
        for (listen, gate) in more_listen.into_iter().zip(more_gates) {
            more.push(FakeListener::start(listen, main_router(&handler), gate).await?);
        }
        let admin = FakeListener::start(admin, admin_router(&handler), Gate::default()).await?;
        let expiry = tokio::spawn(expire_leases(handler.clone()));
        Ok(Self {
            handler,
            main,
            more,
            admin,
            _expiry: AbortOnDropHandle::new(expiry),
        })
    }

    /// Returns the address of the key-value service.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.main.address()
    }

    /// Returns every address of the key-value service.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let listeners = std::iter::once(&self.main).chain(&self.more);
        listeners.map(FakeListener::address).collect()
    }

    /// Returns the address for faults and counts.
    #[must_use]
    pub const fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Puts a fault into force.
    pub fn set_fault(&self, fault: &PlatformFault) {
        self.handler.set_fault(fault);
    }

    /// Returns the counts.
    #[must_use]
    pub fn stats(&self) -> PlatformStats {
        self.handler.stats()
    }

    /// Writes a value without a condition.
    pub fn put(&self, key: &str, value: impl Into<Bytes>) {
        self.handler.put(key, value.into());
    }
}

async fn expire_leases(handler: Arc<Handler>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        handler.expire();
    }
}

/// Makes a route's function from a method of the handler.
macro_rules! route {
    ($handler:expr, $method:ident) => {{
        let handler = $handler.clone();
        move |req: Request| {
            let handler = handler.clone();
            async move { Ok::<Response, viz::Error>(handler.$method(req).await) }
        }
    }};
}

fn main_router(handler: &Arc<Handler>) -> Router {
    Router::new()
        .post("/v3/kv/range", route!(handler, range))
        .post("/v3/kv/put", route!(handler, put_value))
        .post("/v3/kv/txn", route!(handler, transact))
        .post("/v3/lease/grant", route!(handler, grant))
        .post("/v3/lease/keepalive", route!(handler, keep_alive))
        .post("/v3/lease/revoke", route!(handler, revoke))
        .post("/v3/kv/lease/revoke", route!(handler, revoke))
        .post("/v3/watch", route!(handler, watch))
}

fn admin_router(handler: &Arc<Handler>) -> Router {
    let for_fault = handler.clone();
    let for_stats = handler.clone();
    Router::new()
        .post("/fault", move |req: Request| {
            let handler = for_fault.clone();
            async move { Ok::<Response, viz::Error>(set_fault(&handler, req).await) }
        })
        .get("/fault/stats", move |_: Request| {
            let stats = for_stats.stats();
            async move { Ok::<Response, viz::Error>(json(StatusCode::OK, &stats)) }
        })
}

async fn set_fault(handler: &Handler, mut req: Request) -> Response {
    match read_fault::<PlatformFault>(&mut req).await {
        Ok(fault) => {
            handler.set_fault(&fault);
            json(StatusCode::OK, &handler.stats())
        }
        Err(e) => e.into_response(),
    }
}
