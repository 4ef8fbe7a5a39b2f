//! Startup and graceful shutdown of an entry host.

use std::fmt::Display;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use geranium_core::time::Timestamp;
use geranium_net::ServerError;
use geranium_platform::KvStore;
use quick_error::quick_error;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use crate::crash_reports::CrashOutbox;
use crate::dialect::Dialect;
use crate::peers::PeerLink;
use crate::relay::Origin;
use crate::settings::EntrySettings;
use crate::shutdown_schedule::ShutdownSchedule;
use crate::state::{Phase, SharedState};
use crate::store_watcher::StoreWatcher;
use crate::{
    ProcessCounters, beliefs, crash_reports, election, metrics, peer_fallback, peers, reach_check,
    recent_changes, server, store_restore, store_watcher, watchdog,
};

/// Interval at which the shutdown checks whether all connections are closed.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the settings are reloaded, as they may change without a signal.
const SETTINGS_RELOAD_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which idle connections and removed hosts are cleaned up.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

quick_error! {
    /// Failure of an entry host.
    #[derive(Debug)]
    pub enum EntryHostError {
        /// Binding a listening address failed.
        Bind(what: &'static str, cause: std::io::Error) {
            display("failed to bind the address for {}: {}", what, cause)
            source(cause)
        }
        /// A listener that the entry host depends on has failed.
        Serve(what: &'static str, cause: ServerError) {
            display("listener for {} failed: {}", what, cause)
            source(cause)
        }
        /// Installing a signal handler failed.
        Signals(cause: std::io::Error) {
            display("failed to install a signal handler: {}", cause)
            source(cause)
        }
        /// Starting the Tokio runtime failed.
        Runtime(cause: std::io::Error) {
            display("failed to start the runtime: {}", cause)
            source(cause)
        }
    }
}

/// Runs an entry host until it receives SIGTERM.
///
/// `counters` are exported with the metrics. `read_settings` reloads the settings: their
/// bounds take effect immediately, everything else at the next start.
///
/// # Errors
///
/// Returns an error if an address cannot be bound, if a listener fails later, or if the
/// runtime or the signal handlers cannot be set up.
pub fn run<D, S, E>(
    cfg: EntrySettings,
    dialect: D,
    store: S,
    counters: &ProcessCounters,
    read_settings: impl Fn() -> Result<EntrySettings, E>,
) -> Result<(), EntryHostError>
where
    D: Dialect,
    S: KvStore,
    E: Display,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(EntryHostError::Runtime)?;
    let local = LocalSet::new();
    local.block_on(
        &runtime,
        serve(cfg, dialect, store, counters, read_settings),
    )
}

async fn serve<D, S, E>(
    cfg: EntrySettings,
    dialect: D,
    store: S,
    counters: &ProcessCounters,
    read_settings: impl Fn() -> Result<EntrySettings, E>,
) -> Result<(), EntryHostError>
where
    D: Dialect,
    S: KvStore,
    E: Display,
{
    let mut terminate = signal(SignalKind::terminate()).map_err(EntryHostError::Signals)?;
    let mut reload = signal(SignalKind::hangup()).map_err(EntryHostError::Signals)?;
    let listener = bind("callers", cfg.caller_address).await?;
    let link = PeerLink::bind(cfg.peer_address)
        .await
        .map_err(|e| EntryHostError::Bind("peers", e))?;
    let forward_listener = match cfg.forward_address {
        Some(address) => Some(bind("forwarded requests", address).await?),
        None => {
            log::warn!("there is no port for requests that other entry hosts forward");
            None
        }
    };
    let link = Rc::new(link);
    let (crash_outbox, crashes) = CrashOutbox::channel();
    let shared = Rc::new(SharedState::new(cfg, dialect, crash_outbox, counters));
    log::info!(callers:% = shared.cfg.caller_address, first_start = shared.cfg.first_start; "entry host starts");

    let mut failures = spawn_listeners(&shared);
    tokio::task::spawn_local(server::run(shared.clone(), listener, Origin::Caller));
    if let Some(listener) = forward_listener {
        tokio::task::spawn_local(server::run(shared.clone(), listener, Origin::EntryHost));
    }
    tokio::task::spawn_local(reach_check::run(shared.clone()));
    let watcher = Rc::new(StoreWatcher::new(shared.clone(), link.clone()));
    tokio::task::spawn_local(store_watcher::run(watcher.clone(), store.clone()));
    tokio::task::spawn_local(peer_fallback::run(watcher));
    tokio::task::spawn_local(store_restore::run(shared.clone(), store.clone()));
    tokio::task::spawn_local(crash_reports::run(
        shared.clone(),
        store.clone(),
        link.clone(),
        crashes,
    ));
    tokio::task::spawn_local(election::run(shared.clone(), store, link.clone()));
    tokio::task::spawn_local(watchdog::run(shared.clone(), link.clone()));
    tokio::task::spawn_local(peers::run_sender(shared.clone(), link.clone()));
    tokio::task::spawn_local(peers::run_receiver(shared.clone(), link));
    tokio::task::spawn_local(sweep(shared.clone()));
    tokio::task::spawn_local(metrics::run(shared.clone()));

    loop {
        let stops = tokio::select! {
            _ = terminate.recv() => true,
            Some(e) = failures.recv() => return Err(e),
            _ = reload.recv() => {
                log::info!("received SIGHUP, reloading the settings");
                false
            }
            () = tokio::time::sleep(SETTINGS_RELOAD_INTERVAL) => false,
        };
        // Also before a shutdown, which has to end within the present grace period.
        match read_settings() {
            Ok(settings) => shared.set_bounds(settings.bounds),
            Err(e) => log::warn!("settings are not taken: {e}"),
        }
        if stops {
            break;
        }
    }
    shut_down(&shared).await;
    Ok(())
}

async fn bind(what: &'static str, address: SocketAddr) -> Result<TcpListener, EntryHostError> {
    TcpListener::bind(address)
        .await
        .map_err(|e| EntryHostError::Bind(what, e))
}

/// Starts all listeners except the one for callers; returns the receiver of their
/// failures.
fn spawn_listeners<D: Dialect>(
    shared: &Rc<SharedState<D>>,
) -> mpsc::UnboundedReceiver<EntryHostError> {
    let (failure_sender, failures) = mpsc::unbounded_channel();
    let ready = shared.ready.clone();
    let address = shared.cfg.readiness_address;
    let path = shared.dialect.ready_path().to_owned();
    let readiness_failure_sender = failure_sender.clone();
    tokio::task::spawn_local(async move {
        if let Err(e) = server::run_readiness(address, &path, ready).await {
            // Cannot fail: the receiver lives as long as the process.
            let _ = readiness_failure_sender.send(EntryHostError::Serve("balancer", e));
        }
    });
    let (address, recent) = (shared.cfg.peer_address, shared.recent_changes.clone());
    let clock = shared.clock;
    tokio::task::spawn_local(async move {
        if let Err(e) = recent_changes::serve(address, recent, clock).await {
            let _ = failure_sender.send(EntryHostError::Serve("other entry hosts", e));
        }
    });
    let Some(address) = shared.cfg.metrics_address else {
        return failures;
    };
    let registry = shared.metrics.registry();
    let (beliefs_client, beliefs_requests) = beliefs::channel();
    tokio::task::spawn_local(beliefs::serve(shared.clone(), beliefs_requests));
    tokio::task::spawn_local(async move {
        if let Err(e) = server::run_metrics(address, registry, beliefs_client).await {
            // Not fatal, as requests can be served without metrics.
            log::error!("failed to serve metrics: {e}");
        }
    });
    failures
}

async fn sweep<D: Dialect>(shared: Rc<SharedState<D>>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let now = shared.now();
        shared.pool.sweep(now);
        let mut core = shared.core.borrow_mut();
        core.directory.expire(now);
        let core = &mut *core;
        core.dispatcher.prune_removed(&core.directory, now);
    }
}

/// Shuts down gracefully: readiness is withdrawn first so that the load balancer stops
/// sending callers, then connections are closed after their current response. The process
/// exits when all are closed, and at the end of the grace period at the latest.
async fn shut_down<D: Dialect>(shared: &Rc<SharedState<D>>) {
    let requested_at = shared.now();
    log::info!(running = shared.running.count(), connections = shared.connections_in_use.count(); "entry host leaves");
    shared.phase.send_replace(Phase::Leaving);
    shared.update_readiness();
    let schedule = ShutdownSchedule::new(requested_at, shared.bounds.get().grace);
    shared.exit_deadline.set(Some(schedule.latest_exit));
    sleep_until(shared, schedule.close_at).await;
    shared.phase.send_replace(Phase::Closing);
    sleep_until(shared, schedule.earliest_exit).await;
    while shared.now() < schedule.latest_exit && shared.connections_in_use.count() > 0 {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    log::info!(running = shared.running.count(), connections = shared.connections_in_use.count(); "entry host stops");
}

async fn sleep_until<D: Dialect>(shared: &SharedState<D>, at: Timestamp) {
    tokio::time::sleep(at.since(shared.now())).await;
}
