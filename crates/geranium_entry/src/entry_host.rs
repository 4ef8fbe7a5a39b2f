//! Starts and stops an entry host.

use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use geranium_net::ServerError;
use geranium_platform::KvStore;
use quick_error::quick_error;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use crate::dialect::Dialect;
use crate::peers::PeerLink;
use crate::settings::EntrySettings;
use crate::state::{Phase, SharedState};
use crate::store_watcher::StoreWatcher;
use crate::{
    ProcessCounters, beliefs, crash_reports, election, metrics, peer_fallback, peers,
    recent_changes, server, store_watcher, watchdog,
};

/// Time after the request to stop in which the balancer may still send callers
/// here; it asks once a second and needs two answers.
const BALANCER_DRAIN_TIME: Duration = Duration::from_millis(2_600);
/// Part of the grace time after which the process ends with requests still running.
const GRACE_FRACTION: f64 = 0.96;
/// Pause between two looks whether the last request has ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Pause between two reads of the settings, which may change unannounced.
const SETTINGS_RELOAD_INTERVAL: Duration = Duration::from_secs(2);
/// Pause between two clean-ups of unused connections and forgotten hosts.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

quick_error! {
    /// Failure of an entry host.
    #[derive(Debug)]
    pub enum EntryHostError {
        /// An address cannot be listened on.
        Bind(what: &'static str, cause: std::io::Error) {
            display("address for {} cannot be listened on: {}", what, cause)
            source(cause)
        }
        /// A listener that callers depend on has ended.
        Serve(what: &'static str, cause: ServerError) {
            display("{} cannot be answered: {}", what, cause)
            source(cause)
        }
        /// Signals cannot be received.
        Signals(cause: std::io::Error) {
            display("signals cannot be received: {}", cause)
            source(cause)
        }
        /// The runtime cannot be started.
        Runtime(cause: std::io::Error) {
            display("runtime cannot be started: {}", cause)
            source(cause)
        }
    }
}

/// Runs an entry host until it is asked to stop.
///
/// `counters` are served with the metrics. `read_settings` reads the settings again;
/// their bounds take effect at once, all else at the next start.
///
/// # Errors
///
/// Returns an error if an address cannot be listened on, also later.
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
    let listener = TcpListener::bind(cfg.caller_address)
        .await
        .map_err(|e| EntryHostError::Bind("callers", e))?;
    let link = PeerLink::bind(cfg.peer_address)
        .await
        .map_err(|e| EntryHostError::Bind("peers", e))?;
    let link = Rc::new(link);
    let (crash_sender, crashes) = mpsc::unbounded_channel();
    let shared = Rc::new(SharedState::new(cfg, dialect, crash_sender, counters));
    log::info!(callers:% = shared.cfg.caller_address, first_start = shared.cfg.first_start; "entry host starts");

    let mut failures = spawn_listeners(&shared);
    tokio::task::spawn_local(server::run(shared.clone(), listener));
    let watcher = Rc::new(StoreWatcher::new(shared.clone(), link.clone()));
    tokio::task::spawn_local(store_watcher::run(watcher.clone(), store.clone()));
    tokio::task::spawn_local(peer_fallback::run(watcher));
    tokio::task::spawn_local(crash_reports::run(shared.clone(), store.clone(), crashes));
    tokio::task::spawn_local(election::run(shared.clone(), store, link.clone()));
    tokio::task::spawn_local(watchdog::run(shared.clone(), link.clone()));
    tokio::task::spawn_local(peers::run_sender(shared.clone(), link.clone()));
    tokio::task::spawn_local(peers::run_receiver(shared.clone(), link));
    tokio::task::spawn_local(sweep(shared.clone()));
    tokio::task::spawn_local(metrics::run(shared.clone()));

    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            Some(e) = failures.recv() => return Err(e),
            _ = reload.recv() => log::info!("settings are read again"),
            () = tokio::time::sleep(SETTINGS_RELOAD_INTERVAL) => {}
        }
        match read_settings() {
            Ok(settings) => shared.set_bounds(settings.bounds),
            Err(e) => log::warn!("settings are not taken: {e}"),
        }
    }
    shut_down(&shared).await;
    Ok(())
}

/// Starts to listen beside the callers' address; returns where failures arrive.
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
            // The receiver lives as long as the process.
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
            // Requests are served without metrics too.
            log::error!("metrics cannot be served: {e}");
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

/// Ends the process without cutting off a request: the balancer hears first that
/// the host is not ready, then connections close after their answers.
async fn shut_down<D: Dialect>(shared: &Rc<SharedState<D>>) {
    let requested_at = shared.now();
    log::info!(running = shared.running.count(); "entry host leaves");
    shared.phase.send_replace(Phase::Leaving);
    shared.update_readiness();
    let end = requested_at + shared.bounds.get().grace.mul_f64(GRACE_FRACTION);
    shared.exit_deadline.set(Some(end));
    tokio::time::sleep(BALANCER_DRAIN_TIME).await;
    shared.phase.send_replace(Phase::Closing);
    tokio::time::sleep(DRAIN_POLL_INTERVAL * 4).await;
    while shared.now() < end && shared.running.count() > 0 {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    log::info!(running = shared.running.count(); "entry host stops");
}
