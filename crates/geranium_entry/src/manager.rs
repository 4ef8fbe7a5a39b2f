//! Group management by the elected entry host: planning and orders.

mod log_lines;
mod suspects;

use std::cell::{Cell, RefCell, RefMut};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use geranium_core::collections::HashMap;
use geranium_core::time::Timestamp;
use geranium_fleet::engine_profile::EngineProfile;
use geranium_fleet::host::{HostId, HostReport};
use geranium_fleet::order::{HostOrder, OrderAnswer};
use geranium_fleet::planner::{GroupPlanner, PlannerSettings};
use geranium_fleet::report_effect::ReportEffect;
use geranium_fleet::service::Service;
use tokio::sync::watch;

use crate::dialect::Dialect;
use crate::metrics::CauseLabel;
use crate::model_shares::ModelShares;
use crate::peers::PeerLink;
use crate::state::{Core, SharedState};
use crate::term::ManagerTerm;

/// Delay between a change and the next planning run, so that further changes are included.
const PLAN_DELAY: Duration = Duration::from_millis(10);
/// Longest interval between two planning runs.
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a request for a host's state report.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which hosts are polled while the store is unreachable.
const POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum number of hosts polled at a time, as each poll is counted like a health check.
const MAX_POLLED_HOSTS: usize = 32;
/// Interval at which the hosts and groups of the models are logged.
const SUPPLY_LOG_INTERVAL: Duration = Duration::from_secs(2);

/// Plans after each change and at regular intervals while this process is the manager.
pub(crate) async fn run_manager<D: Dialect>(
    shared: Rc<SharedState<D>>,
    mut elected: watch::Receiver<Option<ManagerTerm>>,
    peers: Rc<PeerLink>,
) {
    loop {
        let term = *elected.borrow_and_update();
        let Some(term) = term else {
            if elected.changed().await.is_err() {
                return;
            }
            continue;
        };
        shared.core.borrow_mut().directory.clear_order_counts();
        let manager = Rc::new(Manager::new(shared.clone(), term, peers.clone()));
        loop {
            manager.probe_suspects();
            manager.poll_hosts_in_transition();
            manager.plan();
            tokio::select! {
                () = shared.state_changed.notified() => tokio::time::sleep(PLAN_DELAY).await,
                () = tokio::time::sleep(MAX_PLAN_INTERVAL) => {}
                _ = elected.changed() => break,
            }
        }
        if shared.core.borrow().directory.has_contested() {
            // What the entries say instead was set aside.
            shared.snapshot_due.set(true);
        }
        shared.metrics.clear_manager_gauges();
        log::info!("this entry host is no longer the manager of the groups");
    }
}

/// State of the manager role.
struct Manager<D: Dialect> {
    shared: Rc<SharedState<D>>,
    planners: RefCell<HashMap<Arc<str>, GroupPlanner>>,
    model_shares: RefCell<ModelShares>,
    last_probed: RefCell<HashMap<HostId, Timestamp>>,
    /// Head hosts of stopped groups that were announced to the other entry hosts.
    announced_stops: RefCell<HashMap<HostId, Timestamp>>,
    last_polled: Cell<Timestamp>,
    supply_logged: Cell<Timestamp>,
    peers: Rc<PeerLink>,
    term: ManagerTerm,
}

impl<D: Dialect> Manager<D> {
    fn new(shared: Rc<SharedState<D>>, term: ManagerTerm, peers: Rc<PeerLink>) -> Self {
        Self {
            shared,
            planners: RefCell::default(),
            model_shares: RefCell::default(),
            last_probed: RefCell::default(),
            announced_stops: RefCell::default(),
            last_polled: Cell::new(term.began_at),
            supply_logged: Cell::new(term.began_at),
            peers,
            term,
        }
    }

    /// While the store is unreachable, polls hosts whose group is in transition for their
    /// state and passes the reports on to the other entry hosts.
    fn poll_hosts_in_transition(self: &Rc<Self>) {
        let now = self.shared.now();
        let due = now.since(self.last_polled.get()) >= POLL_INTERVAL;
        if !self.shared.store_unreachable.get() || !due {
            return;
        }
        self.last_polled.set(now);
        let hosts: Vec<(HostId, SocketAddr)> = {
            let core = self.shared.core.borrow();
            let planners = self.planners.borrow();
            let in_transition = planners
                .iter()
                .flat_map(|(service, p)| p.in_transition(&core.directory, service, now));
            in_transition
                .take(MAX_POLLED_HOSTS)
                .map(|h| (h.id.clone(), h.address))
                .collect()
        };
        let manager = self.clone();
        tokio::task::spawn_local(async move {
            let polls = hosts.into_iter().map(|(id, address)| {
                let manager = manager.clone();
                async move {
                    let report = manager.fetch_host_report(&id, address).await;
                    (id, report)
                }
            });
            let answers = futures::future::join_all(polls).await;
            let reports: Vec<(HostId, HostReport)> = answers
                .into_iter()
                .filter_map(|(id, report)| Some((id, report?)))
                .collect();
            let changed = manager.shared.apply_reports(&reports);
            if !changed.is_empty() {
                manager
                    .peers
                    .send_reports(&manager.shared.cfg.name, reports);
            }
        });
    }

    fn settings(&self, index: usize) -> PlannerSettings {
        PlannerSettings {
            nonce: format!(
                "{}-{:x}-{index}",
                self.shared.cfg.name,
                self.term.began_at.as_millis()
            ),
            first_epoch: self.term.first_epoch,
            load_window: self.shared.bounds.get().load_window,
        }
    }

    /// Plans the groups of each service with model engines and sends the resulting orders.
    fn plan(self: &Rc<Self>) {
        let now = self.shared.now();
        let mut pending_orders = Vec::new();
        let is_supply_due = now.since(self.supply_logged.get()) >= SUPPLY_LOG_INTERVAL;
        if is_supply_due {
            self.supply_logged.set(now);
        }
        {
            let mut core = self.shared.core.borrow_mut();
            for gone in core.directory.expire(now) {
                log::info!(host:% = gone; "removing a backend server whose entry did not reappear");
            }
            let Some(table) = core.route_table.clone() else {
                return;
            };
            for (i, service) in table.deployment().services.values().enumerate() {
                let Some(engine) = &service.engine else {
                    continue;
                };
                let planner = &mut *self.planner(i, service, now);
                let orders =
                    self.plan_service(planner, &mut core, service, engine, is_supply_due, now);
                pending_orders.extend(orders.into_iter().map(|o| (service.name.clone(), o)));
            }
        }
        for (service, order) in pending_orders {
            let manager = self.clone();
            tokio::task::spawn_local(async move { manager.send(service, order).await });
        }
    }

    /// Returns the planner of the service with an index, which is created if there is none.
    fn planner(&self, index: usize, service: &Service, now: Timestamp) -> RefMut<'_, GroupPlanner> {
        RefMut::map(self.planners.borrow_mut(), |planners| {
            let planner = planners.entry(service.name.clone());
            planner.or_insert_with(|| GroupPlanner::new(self.settings(index), now))
        })
    }

    /// Returns the orders that are due now for the groups of a service.
    fn plan_service(
        self: &Rc<Self>,
        planner: &mut GroupPlanner,
        core: &mut Core,
        service: &Service,
        engine: &EngineProfile,
        is_supply_due: bool,
        now: Timestamp,
    ) -> Vec<HostOrder> {
        let metrics = &self.shared.metrics;
        let has_traffic = !self.shared.cfg.first_start || core.has_traffic(&service.name);
        let mut model_shares = self.model_shares.borrow_mut();
        let shares = model_shares.update(core, service, engine, metrics, now);
        // Entry hosts may register after the planner was created.
        let has_many_entry_hosts = core.has_many_entry_hosts();
        planner.set_favours_deficits(has_many_entry_hosts);
        planner.set_standby(has_many_entry_hosts);
        planner.pause_standby(self.shared.store_unreachable.get());
        if is_supply_due {
            planner.request_supply();
        }
        let directory = &core.directory;
        let orders = planner.plan(directory, &service.name, engine, &shares, has_traffic, now);
        if is_supply_due {
            log_lines::log_supply(service, planner);
        }
        metrics.set_hosts_without_group(directory, &service.name, engine);
        for order in &orders {
            log_lines::log_basis(order, planner, directory);
        }
        for stale in planner.take_hosts_to_query(now) {
            self.query_order_count(stale);
        }
        orders
    }

    async fn send(self: Rc<Self>, service: Arc<str>, order: HostOrder) {
        let cause = CauseLabel {
            cause: order.kind.as_str(),
        };
        self.shared.metrics.orders.get_or_create(&cause).inc();
        let reply = self.shared.dialect.send_order(&order, ORDER_TIMEOUT).await;
        self.shared
            .apply_notice(&order.host, order.incarnation, reply.notice, None);
        let answer = reply.answer;
        if answer == OrderAnswer::Unknown {
            self.shared.check_reach_soon(&order.host);
        }
        let now = self.shared.now();
        log::info!(host:% = order.host, order = order.kind.as_str(), detail:? = order.kind, expected_count = order.expected_count, answer:? = answer; "order sent");
        if !self.shared.is_manager.get() {
            return;
        }
        if let Some(planner) = self.planners.borrow_mut().get_mut(&service) {
            let directory = &mut self.shared.core.borrow_mut().directory;
            planner.record_answer(&order, reply, directory, now);
        }
        self.shared.state_changed.notify_waiters();
    }

    /// Fetches the state report of a host; `None` if it did not answer in time.
    async fn fetch_host_report(&self, id: &HostId, address: SocketAddr) -> Option<HostReport> {
        let shared = &self.shared;
        let reply = shared
            .dialect
            .fetch_host_report(address, PROBE_TIMEOUT)
            .await?;
        shared.apply_notice(id, reply.report.born, reply.notice, None);
        Some(reply.report)
    }

    /// Fetches the order count of a host that refused an order.
    fn query_order_count(self: &Rc<Self>, id: HostId) {
        let manager = self.clone();
        tokio::task::spawn_local(async move {
            let known = {
                let core = manager.shared.core.borrow();
                core.directory.get(&id).map(|h| h.address)
            };
            let Some(address) = known else {
                return;
            };
            let Some(report) = manager.fetch_host_report(&id, address).await else {
                return;
            };
            if !manager.shared.is_manager.get() {
                return;
            }
            let effect = manager.shared.apply_report(&id, &report);
            log::info!(host:% = id, count = report.orders_begun, effect:? = effect; "fetched the order count of a backend server");
            if effect != ReportEffect::Older {
                let now = manager.shared.now();
                for planner in manager.planners.borrow_mut().values_mut() {
                    planner.confirm_order_count(&id, now);
                }
            }
            manager.shared.state_changed.notify_waiters();
        });
    }
}
