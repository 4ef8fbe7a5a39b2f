//! Shared state of the process, confined to a single thread.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use geranium_core::collections::{HashMap, HashSet};
use geranium_core::id::StoreRevision;
use geranium_core::limit::{RetryBudget, RetryBudgetSettings};
use geranium_core::time::Timestamp;
use geranium_fleet::admission::Admissions;
use geranium_fleet::crash::{CrashId, CrashTracker};
use geranium_fleet::demand::{DemandMeter, DemandSum};
use geranium_fleet::directory::Directory;
use geranium_fleet::dispatch::{ColdLimit, Dispatcher};
use geranium_fleet::exchange::{FULL_MESH_LIMIT, Peer};
use geranium_fleet::forward_targets::ForwardTargets;
use geranium_fleet::host::{HostId, HostReport};
use geranium_fleet::peer_load::LoadSum;
use geranium_fleet::rate_limiter::limit_per_entry_host;
use geranium_fleet::reach::BackendReach;
use geranium_fleet::report_effect::ReportEffect;
use geranium_fleet::route_table::RouteTable;
use geranium_fleet::service::Service;
use geranium_net::ResponseMemory;
use geranium_platform::StoreEra;
use geranium_telemetry::ProcessClock;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::{Notify, watch};

use crate::ProcessCounters;
use crate::connections_in_use::ConnectionsInUse;
use crate::crash_reports::CrashOutbox;
use crate::dialect::Dialect;
use crate::freshness::{Freshness, FreshnessChange};
use crate::in_flight::InFlight;
use crate::metrics::Metrics;
use crate::pool::{ConnectError, ConnectionPool};
use crate::recent_changes::RecentChanges;
use crate::running_attempts::RunningAttempts;
use crate::settings::{EntrySettings, SharedBounds};
use crate::store_restore::RESTORE_GRACE;

/// Fraction of the shared retry budget that is used. The remainder is a margin, as the
/// counting windows of the entry hosts are not aligned.
const RETRY_BUDGET_FRACTION: f64 = 0.85;

/// Fraction of the process memory that responses of backend servers may use until callers have
/// taken them.
const RESPONSE_MEMORY_FRACTION: f64 = 0.25;

/// Lifecycle phase of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It accepts requests.
    Serving,
    /// It reports that it is not ready but still accepts requests.
    Leaving,
    /// It closes each connection after the current response.
    Closing,
}

/// The local view of the system and the state of the decision logic.
pub(crate) struct Core {
    /// Routes of the current configuration, if one is known.
    pub(crate) route_table: Option<Rc<RouteTable>>,
    /// Known backend servers.
    pub(crate) directory: Directory,
    /// Selects backend servers.
    pub(crate) dispatcher: Dispatcher,
    /// Recent requests by service and model, for admission.
    pub(crate) admissions: Admissions,
    /// Observed demand by service.
    pub(crate) demand: HashMap<Arc<str>, DemandMeter>,
    /// What the callers of the other entry hosts ask for, as far as these report it.
    pub(crate) peer_demand: DemandSum,
    /// Retry budgets by service.
    pub(crate) budgets: HashMap<Arc<str>, RetryBudget>,
    /// Tracks requests and prompt parts that crash backend servers.
    pub(crate) crashes: CrashTracker,
    /// Whether backend servers can be reached.
    pub(crate) reach: BackendReach,
    /// Entry hosts that take over requests while they cannot.
    pub(crate) forward_targets: ForwardTargets,
    /// Names of the registered entry hosts.
    pub(crate) entry_hosts: HashSet<String>,
    /// Largest number of entry hosts registered at the same time so far.
    max_entry_hosts: usize,
    /// Whether a complete snapshot of the store was read.
    pub(crate) snapshot_loaded: bool,
    /// Name of the current manager and the address of its datagrams, if there is one.
    pub(crate) manager: Option<(String, SocketAddr)>,
    pub(crate) rng: SmallRng,
}

impl Core {
    /// Returns the number of entry hosts that a shared limit is divided by. It never
    /// decreases, as an entry host that cannot reach the store still uses its share.
    pub(crate) fn limit_divisor(&self) -> usize {
        self.max_entry_hosts.max(self.entry_hosts.len()).max(1)
    }

    /// Returns whether there are more entry hosts than a full mesh has, so that reports of loads
    /// pass through leaders. As the limits, this does not change back while some are gone.
    pub(crate) fn has_many_entry_hosts(&self) -> bool {
        self.limit_divisor() > FULL_MESH_LIMIT
    }

    /// Records the registration of an entry host, or with `None` its end; returns whether the
    /// entry host is new or gone.
    pub(crate) fn record_entry_host(
        &mut self,
        name: &str,
        peer: Option<&Peer>,
        now: Timestamp,
    ) -> bool {
        self.forward_targets.set(name, peer);
        let changed = if peer.is_some() {
            self.entry_hosts.insert(name.to_owned())
        } else {
            self.entry_hosts.remove(name)
        };
        self.max_entry_hosts = self.max_entry_hosts.max(self.entry_hosts.len());
        let names = self.entry_hosts.iter().cloned();
        self.dispatcher.senders_mut().set_entry_hosts(names, now);
        changed
    }

    /// Returns the requests of this entry host at the backend servers, and what its callers ask for.
    pub(crate) fn own_load(&mut self, now: Timestamp) -> LoadSum {
        let running = self.dispatcher.running();
        let running = running.map(|(id, n)| (id.clone(), n)).collect();
        LoadSum::single(running, self.own_demand(now))
    }

    /// Returns what the callers of all entry hosts ask for, as far as these report it.
    pub(crate) fn total_demand(&mut self, now: Timestamp) -> DemandSum {
        DemandSum::of([&self.own_demand(now), &self.peer_demand])
    }

    /// Returns whether a sum of demand includes most of the registered entry hosts.
    pub(crate) fn is_reported(&self, demand: &DemandSum) -> bool {
        demand.entry_hosts > self.entry_hosts.len() / 2
    }

    /// Returns whether a request for a service has arrived, here or at an entry host that reports it.
    pub(crate) fn has_traffic(&self, service: &str) -> bool {
        let meter = self.demand.get(service);
        meter.is_some_and(|m| m.requests() > 0) || self.peer_demand.has_requests(service)
    }

    fn own_demand(&mut self, now: Timestamp) -> DemandSum {
        let services = self.demand.iter_mut();
        let mut models: Vec<_> = services
            .flat_map(|(service, meter)| meter.report(service, now))
            .collect();
        for requests in &mut models {
            let admissions = &self.admissions;
            if let Some(admission) = admissions.known_model(&requests.service, &requests.model) {
                requests.add_learned(admission, now);
            }
        }
        DemandSum {
            entry_hosts: 1,
            models,
        }
    }

    /// Returns the retry budget of a service, with this entry host's share among those known now.
    pub(crate) fn budget(&mut self, service: &Arc<str>, bounds: &SharedBounds) -> &mut RetryBudget {
        let retries = bounds.retry_slack * RETRY_BUDGET_FRACTION;
        let floor = limit_per_entry_host(retries, self.limit_divisor());
        let settings = RetryBudgetSettings {
            fraction: bounds.retry_ratio * RETRY_BUDGET_FRACTION,
            base_retries: u32::try_from(floor).unwrap_or(u32::MAX),
        };
        let budgets = self.budgets.entry(service.clone());
        let budget = budgets.or_insert_with(|| RetryBudget::new(settings));
        budget.set_settings(settings);
        budget
    }

    /// Returns this entry host's share of the request rate that is allowed at one cold
    /// backend server of a service.
    pub(crate) fn cold_limit(&self, service: &Service, bounds: &SharedBounds) -> Option<ColdLimit> {
        let limit = service.cold_rate * bounds.cold_factor + bounds.cold_slack;
        (service.cold_rate > 0.0).then(|| ColdLimit::new(limit, self.limit_divisor()))
    }

    /// Returns the longest cold start of any service.
    pub(crate) fn longest_cold_start(&self) -> Duration {
        let services = self
            .route_table
            .iter()
            .flat_map(|t| t.deployment().services.values());
        services.map(|s| s.cold_time).max().unwrap_or_default()
    }
}

/// State shared by all tasks of the process.
pub(crate) struct SharedState<D: Dialect> {
    /// Settings, as read at startup.
    pub(crate) cfg: EntrySettings,
    /// Limits that apply to all entry hosts together, as of the last reload of the settings.
    pub(crate) bounds: Cell<SharedBounds>,
    /// Names and formats of the platform.
    pub(crate) dialect: D,
    pub(crate) clock: ProcessClock,
    /// Local view of the system and the decision logic.
    pub(crate) core: RefCell<Core>,
    /// Connections to backend servers.
    pub(crate) pool: ConnectionPool,
    /// Memory budget for responses that callers have not taken yet.
    pub(crate) response_memory: ResponseMemory,
    /// Attempts that are in progress at backend servers.
    pub(crate) running: Rc<RunningAttempts>,
    /// Connections of callers and of other entry hosts that carry requests.
    pub(crate) connections_in_use: Rc<ConnectionsInUse>,
    /// Metrics of the process.
    pub(crate) metrics: Metrics,
    /// Notifies waiting tasks of changes to the local view of the system.
    pub(crate) state_changed: Notify,
    /// Head hosts of groups that may have stopped, for the manager to probe.
    pub(crate) suspected_heads: RefCell<HashMap<Arc<str>, Timestamp>>,
    /// Backend server incarnations that announced their shutdown, not yet reported to the
    /// manager.
    pub(crate) unreported_leaving: RefCell<Vec<(HostId, u64)>>,
    /// Lifecycle phase of the process.
    pub(crate) phase: watch::Sender<Phase>,
    /// Result of the load balancer's readiness check.
    pub(crate) ready: Arc<AtomicBool>,
    /// Queue of the task that publishes crashes of backend servers.
    pub(crate) crash_outbox: CrashOutbox,
    /// The check of the path to the backend servers that is in progress.
    pub(crate) reach_checks: InFlight<()>,
    /// Probes of backend servers that may have crashed.
    pub(crate) crash_probes: InFlight<CrashId>,
    /// Whether this process is the manager.
    pub(crate) is_manager: Cell<bool>,
    /// Whether the last call to the store failed.
    pub(crate) store_unreachable: Cell<bool>,
    /// Time of the last contact with the store, directly or through another entry host.
    pub(crate) last_store_contact: Cell<Timestamp>,
    /// How far the local view is behind the store.
    pub(crate) freshness: RefCell<Freshness>,
    /// Time at which the current configuration took effect.
    pub(crate) configured_at: Cell<Option<Timestamp>>,
    /// Store revision up to which changes were applied.
    pub(crate) revision: Cell<Option<StoreRevision>>,
    /// Whether the store has to be read completely before changes are followed again.
    pub(crate) snapshot_due: Cell<bool>,
    /// Time of the last return of the store from an older copy.
    pub(crate) restored_at: watch::Sender<Option<Timestamp>>,
    /// Era of the store that the local view is from, if the store states eras.
    pub(crate) store_era: Cell<Option<StoreEra>>,
    /// Recent store changes, for entry hosts that do not watch the store themselves.
    pub(crate) recent_changes: Arc<RecentChanges>,
    /// Time at which the process exits, once it was asked to stop.
    pub(crate) exit_deadline: Cell<Option<Timestamp>>,
}

impl<D: Dialect> SharedState<D> {
    /// Creates the initial state.
    pub(crate) fn new(
        cfg: EntrySettings,
        dialect: D,
        crash_outbox: CrashOutbox,
        counters: &ProcessCounters,
    ) -> Self {
        let dispatcher = Dispatcher::new(cfg.name.clone(), cfg.failure_domain.clone());
        let core = Core {
            route_table: None,
            directory: Directory::default(),
            dispatcher,
            admissions: Admissions::default(),
            demand: HashMap::default(),
            peer_demand: DemandSum::default(),
            budgets: HashMap::default(),
            crashes: CrashTracker::default(),
            reach: BackendReach::default(),
            forward_targets: ForwardTargets::new(cfg.name.clone(), cfg.failure_domain.clone()),
            entry_hosts: HashSet::default(),
            max_entry_hosts: 0,
            snapshot_loaded: false,
            manager: None,
            rng: SmallRng::from_os_rng(),
        };
        let clock = ProcessClock::start();
        let recent_changes = Arc::new(RecentChanges::new(cfg.memory_bytes));
        let response_memory = cfg.memory_bytes as f64 * RESPONSE_MEMORY_FRACTION;
        Self {
            response_memory: ResponseMemory::new(response_memory as usize),
            bounds: Cell::new(cfg.bounds),
            cfg,
            dialect,
            last_store_contact: Cell::new(clock.now()),
            freshness: RefCell::new(Freshness::new(clock.now())),
            configured_at: Cell::new(None),
            clock,
            core: RefCell::new(core),
            pool: ConnectionPool::default(),
            running: Rc::default(),
            connections_in_use: Rc::default(),
            metrics: Metrics::new(counters),
            state_changed: Notify::new(),
            suspected_heads: RefCell::default(),
            unreported_leaving: RefCell::default(),
            phase: watch::Sender::new(Phase::Serving),
            ready: Arc::default(),
            crash_outbox,
            reach_checks: InFlight::default(),
            crash_probes: InFlight::default(),
            is_manager: Cell::new(false),
            store_unreachable: Cell::new(false),
            revision: Cell::new(None),
            snapshot_due: Cell::new(false),
            restored_at: watch::Sender::new(None),
            store_era: Cell::new(None),
            recent_changes,
            exit_deadline: Cell::new(None),
        }
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Opens a connection to a backend server and keeps it for the next request.
    ///
    /// # Errors
    ///
    /// Returns an error if connecting failed or timed out.
    pub(crate) async fn open_connection(
        &self,
        id: &HostId,
        address: SocketAddr,
    ) -> Result<(), ConnectError> {
        let connection = ConnectionPool::connect(address).await?;
        self.pool.put_unused(id, address, connection, self.now());
        Ok(())
    }

    /// Applies the limits of reloaded settings.
    pub(crate) fn set_bounds(&self, bounds: SharedBounds) {
        if self.bounds.replace(bounds) != bounds {
            log::info!(bounds:? = bounds; "limits in the settings changed");
        }
    }

    /// Returns the version of the current configuration.
    pub(crate) fn version(&self) -> Option<u64> {
        let core = self.core.borrow();
        core.route_table.as_ref().map(|t| t.deployment().version)
    }

    /// Applies state reports fetched directly from hosts; returns the ids of the hosts that
    /// changed.
    pub(crate) fn apply_reports(&self, reports: &[(HostId, HostReport)]) -> Vec<HostId> {
        let mut changed = Vec::new();
        for (id, report) in reports {
            if self.apply_report(id, report) == ReportEffect::Replaced {
                changed.push(id.clone());
            }
        }
        if !changed.is_empty() {
            self.state_changed.notify_waiters();
        }
        changed
    }

    /// Applies one state report, which the manager weighs against what it knows.
    pub(crate) fn apply_report(&self, id: &HostId, report: &HostReport) -> ReportEffect {
        if report.leaving {
            self.record_leaving(id, report.born);
        }
        let directory = &mut self.core.borrow_mut().directory;
        let before = directory.get(id).map(|h| h.group.to_string());
        let effect = if self.is_manager.get() {
            directory.apply_report(id, report)
        } else {
            directory.follow_report(id, report)
        };
        if effect == ReportEffect::Replaced {
            let after = directory.get(id).map(|h| h.group.to_string());
            log::info!(host:% = id, report:? = report, before = before, after = after; "known state of a backend server replaced by its report");
        }
        effect
    }

    /// Moves the attempts at a head host to other hosts and avoids it for a while.
    pub(crate) fn reroute_from(&self, head: &HostId) {
        let now = self.now();
        self.core.borrow_mut().dispatcher.suspect(head, now);
        self.running.reroute_from(head);
    }

    /// Records that the store has returned from an older copy of its data. Revisions and
    /// leases from before mean nothing any more, and what the copy lacks is kept until
    /// its owners had the time to write it again.
    pub(crate) fn record_store_restored(&self, before: StoreEra, era: StoreEra) {
        let now = self.now();
        log::warn!(before = before.0, era = era.0, revision = self.revision.get().map(|r| r.0); "store has returned from an older copy");
        self.metrics.store_restores.inc();
        self.snapshot_due.set(true);
        self.recent_changes.clear();
        {
            let directory = &mut self.core.borrow_mut().directory;
            directory.mark_store_recovered(now);
            directory.keep_draining(now);
        }
        self.restored_at.send_replace(Some(now));
    }

    /// Returns whether the store returned from an older copy so lately that what it lacks may
    /// be written again.
    pub(crate) fn is_restore_recent(&self) -> bool {
        let restored_at = *self.restored_at.borrow();
        restored_at.is_some_and(|at| self.now().since(at) < RESTORE_GRACE)
    }

    /// Logs whether the local view has become outdated or is up to date again.
    pub(crate) fn check_freshness(&self) {
        let change = self.freshness.borrow_mut().check(self.now());
        let version = self.metrics.version.get();
        let revision = self.revision.get().map(|r| r.0);
        match change {
            Some(FreshnessChange::Outdated) => {
                log::warn!(version = version, revision = revision; "view of the store is outdated");
            }
            Some(FreshnessChange::Recovered(behind)) => {
                log::info!(behind_ms = behind.as_millis() as u64, version = version, revision = revision; "view of the store is up to date again");
            }
            None => {}
        }
    }

    /// Recomputes the result of the readiness check.
    pub(crate) fn update_readiness(&self) {
        let core = self.core.borrow();
        let ready = core.route_table.is_some()
            && core.snapshot_loaded
            && *self.phase.borrow() == Phase::Serving;
        let previous = self.ready.swap(ready, std::sync::atomic::Ordering::Relaxed);
        if previous != ready {
            log::info!(ready = ready; "readiness changed");
        }
    }
}
