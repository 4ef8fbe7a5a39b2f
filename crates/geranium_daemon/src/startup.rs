//! Startup and shutdown of the daemon.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::time::Duration;

use geranium_core::event::{EventDraft, EventKind, EventSubject};
use geranium_core::id::Incarnation;
use geranium_core::once::ClaimConfig;
use geranium_engine::{EngineClientConfig, HttpEngineClient, ServiceClient};
use geranium_net::{ClientConfig, HttpClient, HttpServer, ResponseMemory, ServerConfig};
use geranium_peer::{PeerClient, PeerClientConfig, PeerServer, PeerServerConfig, PeerToken};
use geranium_platform::{EtcdClient, EtcdConfig};
use geranium_telemetry::{EventRecorder, JsonLogger, ProcessClock, ProcessIdentity};
use parking_lot::{Mutex, RwLock};
use rand::Rng;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::claim::{ClaimService, MembershipDirectory, sweep_claims};
use crate::control::{
    ControlInput, ControlTask, HOST_PREFIX, LeaderElection, PublishedControl, StoreWatcher,
    WatchTarget, poll_cache_events, table_key,
};
use crate::metrics::Metrics;
use crate::node::Node;
use crate::peers::{NodePeerHandler, PeerInput, PeerTask, PublishedPeers};
use crate::settings::DaemonSettings;
use crate::startup_error::StartupError;
use crate::traffic::{Traffic, tick_traffic};
use crate::{caller, operator};

/// Maximum number of inputs queued for the control task, and for the peer task.
const INPUT_QUEUE_CAPACITY: usize = 1_024;

/// Number of random low bits of an incarnation, so that two starts within one microsecond
/// differ.
const INCARNATION_RANDOM_BITS: u32 = 10;

/// Maximum number of concurrent operator connections.
const MAX_OPERATOR_CONNECTIONS: usize = 256;

/// Time for other processes to notice the shutdown before the listeners close.
const SHUTDOWN_NOTICE: Duration = Duration::from_millis(200);

/// The daemon with its background tasks and listeners.
pub struct Daemon {
    node: Arc<Node>,
    control_rx: Option<mpsc::Receiver<ControlInput>>,
    peer_rx: Option<mpsc::Receiver<PeerInput>>,
    peer_server: Option<PeerServer>,
    servers: JoinSet<()>,
    tasks: JoinSet<()>,
    stop_tasks: CancellationToken,
    stop_servers: CancellationToken,
}

impl Daemon {
    /// Creates the shared state. No background task or listener runs yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer client cannot be started.
    pub fn prepare(settings: DaemonSettings) -> Result<Self, StartupError> {
        let clock = ProcessClock::start();
        let identity = ProcessIdentity {
            host: settings.host.clone(),
            failure_domain: settings.failure_domain.clone(),
            incarnation: new_incarnation(&clock),
        };
        let recorder = Arc::new(EventRecorder::new(
            identity.clone(),
            settings.event_capacity,
        ));
        let store = EtcdClient::new(EtcdConfig::new(settings.platform.clone()));
        let peers = Arc::new(PublishedPeers::default());
        let claims = ClaimService::new(
            store.clone(),
            MembershipDirectory {
                recorder: recorder.clone(),
                peers: peers.clone(),
            },
            recorder.clone(),
            clock,
            ClaimConfig::default(),
        );
        let (control, control_rx) = mpsc::channel(INPUT_QUEUE_CAPACITY);
        let (peer_tx, peer_rx) = mpsc::channel(INPUT_QUEUE_CAPACITY);
        let token = PeerToken::new(&settings.peer_token);
        let peer_client = PeerClient::start(PeerClientConfig::new(token))?;
        let response_memory = ResponseMemory::new(settings.response_memory);
        let http = ClientConfig {
            response_memory: response_memory.clone(),
            ..ClientConfig::default()
        };
        let mut engines = EngineClientConfig::default();
        engines.http.response_memory = response_memory.clone();
        let node = Node {
            traffic: Traffic::new(&identity),
            clock,
            recorder,
            metrics: Metrics::new(),
            store,
            engines: HttpEngineClient::new(engines),
            services: ServiceClient::new(&http),
            http: HttpClient::new(&http),
            response_memory,
            published: Arc::new(PublishedControl::default()),
            claims: Arc::new(claims),
            control,
            peers,
            peer_client,
            peer_tx,
            yield_leadership: Notify::new(),
            leader: RwLock::default(),
            operator_addresses: Mutex::default(),
            stopping: AtomicBool::new(false),
            next_write_sequence: AtomicU64::new(1),
            settings,
        };
        Ok(Self {
            node: Arc::new(node),
            control_rx: Some(control_rx),
            peer_rx: Some(peer_rx),
            peer_server: None,
            servers: JoinSet::new(),
            tasks: JoinSet::new(),
            stop_tasks: CancellationToken::new(),
            stop_servers: CancellationToken::new(),
        })
    }

    /// Installs a logger that writes JSON lines to standard error.
    ///
    /// # Errors
    ///
    /// Returns an error if a logger is installed already.
    pub fn install_logger(&self) -> Result<(), StartupError> {
        let identity = self.node.recorder.identity().clone();
        let level = self.node.settings.log_level;
        JsonLogger::new(identity, level, std::io::stderr()).install()?;
        Ok(())
    }

    /// Starts the task that controls the replica groups.
    pub fn add_group_control(&mut self) {
        let Some(rx) = self.control_rx.take() else {
            return;
        };
        let task = ControlTask::new(self.node.clone(), rx);
        self.tasks.spawn(task.run());
    }

    /// Starts the membership, the replication of records and the listener for peers.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn add_peers(&mut self) -> Result<(), StartupError> {
        let Some(rx) = self.peer_rx.take() else {
            return Ok(());
        };
        let node = &self.node;
        let mut task = PeerTask::new(node.clone(), rx);
        let handler = NodePeerHandler::new(node.clone(), task.initial_heartbeat());
        let token = PeerToken::new(&node.settings.peer_token);
        let cfg = PeerServerConfig::new(node.settings.peer_address, token);
        self.peer_server = Some(PeerServer::start(cfg, handler)?);
        self.tasks.spawn(task.run());
        Ok(())
    }

    /// Starts the watches of the store values that group control follows: the platform's host
    /// entries and the group table.
    pub fn add_store_watches(&mut self) {
        let table = table_key(&self.node.settings.failure_domain);
        let targets = [
            WatchTarget::Hosts(HOST_PREFIX.to_owned()),
            WatchTarget::Table(table),
        ];
        for target in targets {
            let watcher =
                StoreWatcher::new(self.node.store.clone(), target, self.node.control.clone());
            self.tasks.spawn(watcher.run());
        }
    }

    /// Starts the election of the leader of the failure domain.
    pub fn add_leader_election(&mut self) {
        let election = LeaderElection::new(self.node.clone(), self.stop_tasks.clone());
        self.tasks.spawn(election.run());
    }

    /// Starts polling the engines for cache events, which the router uses.
    pub fn add_cache_event_polling(&mut self) {
        self.tasks.spawn(poll_cache_events(self.node.clone()));
    }

    /// Starts the deletion of claims whose retention time is over.
    pub fn add_claim_sweep(&mut self) {
        self.tasks.spawn(sweep_claims(self.node.clone()));
    }

    /// Starts the periodic processing of request queues and cold-start credits.
    pub fn add_traffic_ticks(&mut self) {
        self.tasks.spawn(tick_traffic(self.node.clone()));
    }

    /// Starts the HTTP interface for callers.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn add_caller_interface(&mut self) -> Result<(), StartupError> {
        let settings = &self.node.settings;
        let cfg = ServerConfig {
            max_connections: settings.max_connections,
            shutdown_timeout: settings.shutdown_timeout,
            ..ServerConfig::default()
        };
        let server = HttpServer::bind(settings.caller_address, cfg).await?;
        let router = caller::router(&self.node);
        self.servers
            .spawn(server.run(router, self.stop_servers.clone()));
        Ok(())
    }

    /// Starts the HTTP interface for operators.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn add_operator_interface(&mut self) -> Result<(), StartupError> {
        let cfg = ServerConfig {
            max_connections: MAX_OPERATOR_CONNECTIONS,
            shutdown_timeout: Duration::from_secs(1),
            ..ServerConfig::default()
        };
        let server = HttpServer::bind(self.node.settings.operator_address, cfg).await?;
        let router = operator::router(&self.node);
        self.servers
            .spawn(server.run(router, self.stop_servers.clone()));
        Ok(())
    }

    /// Runs until `SIGTERM` or `SIGINT` is received, then shuts down gracefully.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal handlers cannot be installed.
    pub async fn run_until_signal(mut self) -> Result<(), StartupError> {
        let mut terminate = signal(SignalKind::terminate()).map_err(StartupError::Signal)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(StartupError::Signal)?;
        self.record_process_event(EventKind::ProcessStarted, "the process started");
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        self.stop().await;
        Ok(())
    }

    /// Shuts down gracefully: accepts no new requests, hands over the leadership and waits for
    /// the running requests to complete.
    pub async fn stop(&mut self) {
        self.record_process_event(EventKind::ShutdownStarted, "a stop was asked for");
        self.node.begin_shutdown();
        let _ = self.node.peer_tx.send(PeerInput::Leaving).await;
        self.stop_tasks.cancel();
        tokio::time::sleep(SHUTDOWN_NOTICE).await;
        self.stop_servers.cancel();
        self.wait_for_requests().await;
        self.tasks.shutdown().await;
        if let Some(server) = self.peer_server.take() {
            let _ = tokio::task::spawn_blocking(move || server.stop()).await;
        }
    }

    /// Waits until the running requests have completed, at most for the shutdown timeout.
    async fn wait_for_requests(&mut self) {
        let timeout = self.node.settings.shutdown_timeout;
        let servers = &mut self.servers;
        let finished = async {
            while servers.join_next().await.is_some() {}
            // A claimed call has ended only once its answer is stored for resends.
            self.node.claims.wait_until_idle().await;
        };
        if tokio::time::timeout(timeout, finished).await.is_err() {
            log::warn!("shutdown timeout reached while requests are still running");
        }
    }

    fn record_process_event(&self, kind: EventKind, reason: &str) {
        let subject = EventSubject::host(&self.node.settings.host);
        self.node.record(EventDraft::new(kind, subject, reason));
    }
}

fn new_incarnation(clock: &ProcessClock) -> Incarnation {
    let low = rand::rng().random_range(0..1_u64 << INCARNATION_RANDOM_BITS);
    Incarnation(clock.now().0 << INCARNATION_RANDOM_BITS | low)
}
