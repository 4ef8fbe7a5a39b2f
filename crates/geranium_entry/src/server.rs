//! HTTP listeners for callers, the load balancer's readiness check and metrics.

use std::cell::{Cell, OnceCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::Version;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use prometheus_client::registry::Registry;
use tokio::net::{TcpListener, TcpStream};

use geranium_net::{HttpServer, ServerConfig, ServerError};
use tokio_util::sync::CancellationToken;
use viz::{IntoResponse, Router, StatusCode, get};

use crate::beliefs::BeliefsClient;
use crate::dialect::Dialect;
use crate::metrics;
use crate::relay::{self, Origin};
use crate::state::{Phase, SharedState};

/// Delay after a failed accept, so that running out of file descriptors does not cause a
/// busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Smallest connection buffer that hyper accepts, in bytes.
const MIN_BUFFER: usize = 8_192;
/// Idle timeout of a connection while no configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest request header while no configuration is known, in bytes.
const DEFAULT_MAX_HEADER_BYTES: usize = 16_384;

/// Accepts connections of callers or of other entry hosts until the process ends.
pub(crate) async fn run<D: Dialect>(
    shared: Rc<SharedState<D>>,
    listener: TcpListener,
    origin: Origin,
) {
    loop {
        match listener.accept().await {
            Ok((stream, remote)) => {
                tokio::task::spawn_local(serve(shared.clone(), stream, remote, origin));
            }
            Err(e) => {
                log::warn!("failed to accept a connection: {e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve<D: Dialect>(
    shared: Rc<SharedState<D>>,
    stream: TcpStream,
    remote: SocketAddr,
    origin: Origin,
) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!(remote:% = remote; "failed to set TCP_NODELAY: {e}");
    }
    let (idle, max_header_bytes) = {
        let core = shared.core.borrow();
        let limits = core.route_table.as_ref().map(|t| t.deployment().limits);
        limits.map_or((DEFAULT_IDLE_TIMEOUT, DEFAULT_MAX_HEADER_BYTES), |l| {
            (l.idle_timeout.max(l.header_timeout), l.max_header_bytes)
        })
    };
    let mut phase = shared.phase.subscribe();
    let has_chunks = Cell::new(true);
    let in_use = OnceCell::new();
    let service = service_fn(|req| {
        has_chunks.set(req.version() >= Version::HTTP_11);
        in_use.get_or_init(|| shared.connections_in_use.start());
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(relay::handle(shared, req, origin).await) }
    });
    // One that is opened late carries a single request, so that its caller gets an answer.
    let is_late = *phase.borrow() == Phase::Closing;
    let mut connection = http1::Builder::new()
        .keep_alive(!is_late)
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(max_header_bytes.max(MIN_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let result = tokio::select! {
        // A request that has arrived is read before its connection counts as idle.
        biased;
        result = &mut connection => result,
        _ = phase.wait_for(|p| *p == Phase::Closing), if !is_late => {
            std::pin::Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        }
    };
    let Err(e) = result else {
        return;
    };
    log::debug!(remote:% = remote; "caller connection failed: {e}");
    // The error of a body that was broken off. Without chunks, an orderly close would end it as
    // if it were complete.
    if e.is_user() && !has_chunks.get() {
        reset(&connection.into_parts().io.into_inner(), remote);
    }
}

/// Lets a connection end with a reset once it is dropped.
fn reset(stream: &TcpStream, remote: SocketAddr) {
    if let Err(e) = stream.set_zero_linger() {
        log::warn!(remote:% = remote; "a broken-off response may look complete to its caller: {e}");
    }
}

/// Answers readiness checks of the load balancer until the process ends.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub(crate) async fn run_readiness(
    address: SocketAddr,
    path: &str,
    ready: Arc<AtomicBool>,
) -> Result<(), ServerError> {
    let handler = move |_: viz::Request| {
        let ready = ready.load(Ordering::Relaxed);
        async move {
            let status = if ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            Ok::<_, viz::Error>(status.into_response())
        }
    };
    let router = Router::new().route(path, get(handler));
    let server = HttpServer::bind(address, ServerConfig::default()).await?;
    server.run(router, CancellationToken::new()).await;
    Ok(())
}

/// Serves metrics and the local state of the entry host until the process ends.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub(crate) async fn run_metrics(
    address: SocketAddr,
    registry: Arc<Registry>,
    beliefs: BeliefsClient,
) -> Result<(), ServerError> {
    let handler = move |_: viz::Request| {
        let text = metrics::render(&registry);
        async move { Ok::<_, viz::Error>(text.into_response()) }
    };
    let beliefs_handler = move |_: viz::Request| {
        let view = beliefs.request();
        async move {
            let res = match view.await {
                Some(view) => viz::types::Json(view).into_response(),
                None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
            };
            Ok::<_, viz::Error>(res)
        }
    };
    let router = Router::new()
        .route("/metrics", get(handler))
        .route("/beliefs", get(beliefs_handler));
    let server = HttpServer::bind(address, ServerConfig::default()).await?;
    server.run(router, CancellationToken::new()).await;
    Ok(())
}
