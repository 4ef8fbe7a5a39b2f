//! Group management by the elected entry host: planning, orders and probes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use geranium_core::collections::HashMap;
use geranium_core::time::Timestamp;
use geranium_fleet::directory::Directory;
use geranium_fleet::host::{Host, HostId, HostReport};
use geranium_fleet::order::{HostOrder, OrderAnswer};
use geranium_fleet::planner::{GroupPlanner, PlannerSettings};
use geranium_fleet::report_effect::ReportEffect;
use geranium_fleet::service::Service;
use tokio::sync::watch;

use crate::dialect::Dialect;
use crate::metrics::CauseLabel;
use crate::model_shares::ModelShares;
use crate::peers::PeerLink;
use crate::state::SharedState;
use crate::term::ManagerTerm;

/// Delay between a change and the next planning run, so that further changes are included.
const PLAN_DELAY: Duration = Duration::from_millis(10);
/// Longest interval between two planning runs.
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a request for a host's state report.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of consecutive unanswered probes after which a host is considered dead.
const PROBE_ATTEMPTS: u32 = 2;
/// Time for which a suspected group is not probed again.
const PROBE_COOLDOWN: Duration = Duration::from_millis(1_500);
/// Time for which a stopped group is not announced again, so that the other entry hosts
/// can find out with a request whether it serves after all.
const STOP_ANNOUNCEMENT_COOLDOWN: Duration = Duration::from_secs(8);
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
            let mut planners = self.planners.borrow_mut();
            for (i, service) in table.deployment().services.values().enumerate() {
                let Some(engine) = &service.engine else {
                    continue;
                };
                let meter = core.demand.entry(service.name.clone()).or_default();
                let traffic = meter.requests() > 0 || !self.shared.cfg.first_start;
                let has_many_entry_hosts = core.has_many_entry_hosts();
                let shares = self.model_shares.borrow_mut().update(
                    &mut core,
                    service,
                    engine,
                    &self.shared.metrics,
                    now,
                );
                let planner = planners
                    .entry(service.name.clone())
                    .or_insert_with(|| GroupPlanner::new(self.settings(i), now));
                // Entry hosts may register after the planner was created.
                planner.set_favours_deficits(has_many_entry_hosts);
                planner.set_standby(has_many_entry_hosts);
                planner.pause_standby(self.shared.store_unreachable.get());
                if is_supply_due {
                    planner.request_supply();
                }
                let orders = planner.plan(
                    &core.directory,
                    &service.name,
                    engine,
                    &shares,
                    traffic,
                    now,
                );
                if is_supply_due {
                    log_supply(service, planner);
                }
                let metrics = &self.shared.metrics;
                metrics.set_hosts_without_group(&core.directory, &service.name, engine);
                for order in &orders {
                    log_basis(order, planner, &core.directory);
                }
                pending_orders.extend(orders.into_iter().map(|o| (service.name.clone(), o)));
                for stale in planner.take_hosts_to_query(now) {
                    self.query_order_count(stale);
                }
            }
        }
        for (service, order) in pending_orders {
            let manager = self.clone();
            tokio::task::spawn_local(async move { manager.send(service, order).await });
        }
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

    /// Probes the members of suspected groups.
    fn probe_suspects(self: &Rc<Self>) {
        let now = self.shared.now();
        let suspects: Vec<(HostId, Timestamp)> = {
            let mut suspects = self.shared.suspected_heads.borrow_mut();
            suspects.retain(|_, at| now.since(*at) < PROBE_COOLDOWN);
            suspects.iter().map(|(id, at)| (id.clone(), *at)).collect()
        };
        for (head, at) in suspects {
            let mut probed = self.last_probed.borrow_mut();
            let last = probed.get(&head).copied();
            if last.is_some_and(|last| now.since(last) < PROBE_COOLDOWN || at <= last) {
                continue;
            }
            probed.insert(head.clone(), now);
            let manager = self.clone();
            tokio::task::spawn_local(async move { manager.probe(&head).await });
        }
    }

    /// Announces to all entry hosts that a group has lost a member.
    fn announce_stopped(&self, head: &HostId) {
        let now = self.shared.now();
        let mut announced = self.announced_stops.borrow_mut();
        announced.retain(|_, at| now.since(*at) < STOP_ANNOUNCEMENT_COOLDOWN);
        if announced.contains_key(head) {
            return;
        }
        announced.insert(head.clone(), now);
        self.shared.reroute_from(head);
        self.peers.send_stopped(&self.shared.cfg.name, head);
    }

    async fn probe(self: Rc<Self>, head: &HostId) {
        let members: Vec<(Arc<str>, HostId, u64, SocketAddr)> = {
            let core = self.shared.core.borrow();
            let service = core.directory.get(head).map(|h| &h.service);
            if !service.is_some_and(|s| self.planners.borrow().contains_key(s)) {
                return;
            }
            let members = core.directory.group_of_head(head);
            members
                .into_iter()
                .map(|h| (h.service.clone(), h.id.clone(), h.incarnation, h.address))
                .collect()
        };
        let probes = members.into_iter().map(|(service, id, incarnation, address)| {
            let manager = self.clone();
            async move {
                for _ in 0..PROBE_ATTEMPTS {
                    if manager.fetch_host_report(&id, address).await.is_some() {
                        return false;
                    }
                }
                if !manager.shared.check_reach(Some(&id)).await {
                    log::warn!(host:% = id; "backend server does not answer, nor does any other");
                    return false;
                }
                log::warn!(host:% = id; "backend server does not answer and is taken to be dead");
                if let Some(planner) = manager.planners.borrow_mut().get_mut(&service) {
                    planner.mark_dead(&id, incarnation, manager.shared.now());
                }
                manager.shared.state_changed.notify_waiters();
                true
            }
        });
        let mut probes: FuturesUnordered<_> = probes.collect();
        while let Some(dead) = probes.next().await {
            if dead {
                self.announce_stopped(head);
                break;
            }
        }
        // Finish the remaining probes, as more members may be dead.
        while probes.next().await.is_some() {}
    }
}

/// Logs the hosts and groups that each model has and should have.
fn log_supply(service: &Service, planner: &GroupPlanner) {
    for s in planner.supply() {
        log::info!(service:% = service.name, model:% = s.model, target_hosts = s.target_hosts, hosts = s.hosts, open_groups = s.open_groups, forming_groups = s.forming_groups, ending_groups = s.ending_groups, prepared_hosts = s.prepared_hosts, loading_hosts = s.loading_hosts, staged_members = s.staged_members, reclaims = s.reclaims; "hosts and groups of a model");
    }
}

/// Logs what an order rests on: what is known of its host and, for a join of a member of
/// another group, of the head of that group.
fn log_basis(order: &HostOrder, planner: &GroupPlanner, directory: &Directory) {
    let host = directory.get(&order.host);
    let group = host.and_then(Host::membership).map(|m| &*m.group);
    let head = group.and_then(|g| planner.head_of(g));
    let head = head.and_then(|id| directory.get(id));
    let known = host.map(|h| h.group.to_string());
    let head = head.map(|h| format!("{}: {}", h.id, h.group));
    log::info!(host:% = order.host, order = order.kind.as_str(), expected_count = order.expected_count, known = known, head = head; "order is issued");
}
