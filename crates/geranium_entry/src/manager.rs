//! Orders of the elected entry host to hosts.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use geranium_core::collections::HashMap;
use geranium_core::time::Timestamp;
use geranium_fleet::host::{HostId, HostReport};
use geranium_fleet::order::{HostOrder, OrderAnswer};
use geranium_fleet::planner::{GroupPlanner, PlannerSettings};
use tokio::sync::watch;

use crate::dialect::Dialect;
use crate::metrics::{CauseLabel, gauge};
use crate::peers::PeerLink;
use crate::state::Shared;

/// Pause after the last change before the manager plans.
const PLAN_PAUSE: Duration = Duration::from_millis(10);
/// Longest pause between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time for the answer to an order.
const ORDER_LIMIT: Duration = Duration::from_millis(400);
/// Longest time for the answer of a host that is asked whether it lives.
const PROBE_LIMIT: Duration = Duration::from_millis(250);
/// Questions without an answer after which a host is taken to be dead.
const PROBES: u32 = 2;
/// Time for which a suspicion is not looked into again.
const PROBE_PAUSE: Duration = Duration::from_millis(1_500);
/// Time for which the other entry hosts are not told again that a group has stopped, so
/// that they can find out by a request whether it serves after all.
const STOPPED_PAUSE: Duration = Duration::from_secs(8);
/// Pause between two questions to hosts while the store is away.
const ASK_INTERVAL: Duration = Duration::from_millis(300);
/// Hosts asked at a time; each answer is counted like a health check.
const MOST_ASKED: usize = 32;
/// Weight of the published shares of models, in host milliseconds of work.
const PRIOR_WORK_MS: f64 = 60_000.0;

/// Plans whenever something changes while this process is the manager.
pub(crate) async fn manage<D: Dialect>(
    shared: Rc<Shared<D>>,
    mut elected: watch::Receiver<Option<Timestamp>>,
    peers: Rc<PeerLink>,
) {
    loop {
        let since = *elected.borrow_and_update();
        let Some(since) = since else {
            if elected.changed().await.is_err() {
                return;
            }
            continue;
        };
        shared.core.borrow_mut().directory.clear_order_counts();
        let manager = Rc::new(Manager::new(shared.clone(), since, peers.clone()));
        loop {
            manager.look_into_suspects();
            manager.ask_hosts_in_transition();
            manager.plan();
            tokio::select! {
                () = shared.changed.notified() => tokio::time::sleep(PLAN_PAUSE).await,
                () = tokio::time::sleep(PLAN_INTERVAL) => {}
                _ = elected.changed() => break,
            }
        }
        log::info!("this entry host is not the manager any more");
    }
}

/// The duty of the elected entry host.
struct Manager<D: Dialect> {
    shared: Rc<Shared<D>>,
    planners: RefCell<HashMap<Arc<str>, GroupPlanner>>,
    probed: RefCell<HashMap<HostId, Timestamp>>,
    /// Heads that the other entry hosts were told of.
    told: RefCell<HashMap<HostId, Timestamp>>,
    asked_at: Cell<Timestamp>,
    peers: Rc<PeerLink>,
    since: Timestamp,
}

impl<D: Dialect> Manager<D> {
    fn new(shared: Rc<Shared<D>>, since: Timestamp, peers: Rc<PeerLink>) -> Self {
        Self {
            shared,
            planners: RefCell::default(),
            probed: RefCell::default(),
            told: RefCell::default(),
            asked_at: Cell::new(since),
            peers,
            since,
        }
    }

    /// Asks hosts whose group changes for their state while the store is away, and
    /// tells the other entry hosts.
    fn ask_hosts_in_transition(self: &Rc<Self>) {
        let now = self.shared.now();
        let due = now.since(self.asked_at.get()) >= ASK_INTERVAL;
        if !self.shared.store_away.get() || !due {
            return;
        }
        self.asked_at.set(now);
        let hosts: Vec<(HostId, SocketAddr)> = {
            let core = self.shared.core.borrow();
            let planners = self.planners.borrow();
            let asked = planners
                .iter()
                .flat_map(|(service, p)| p.in_transition(&core.directory, service, now));
            asked
                .take(MOST_ASKED)
                .map(|h| (h.id.clone(), h.address))
                .collect()
        };
        let manager = self.clone();
        tokio::task::spawn_local(async move {
            let asks = hosts.into_iter().map(|(id, address)| {
                let manager = manager.clone();
                async move {
                    let report = manager.ask_host(&id, address).await;
                    (id, report)
                }
            });
            let answers = futures::future::join_all(asks).await;
            let reports: Vec<(HostId, HostReport)> = answers
                .into_iter()
                .filter_map(|(id, report)| Some((id, report?)))
                .collect();
            let changed = manager.shared.take_reports(&reports);
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
                self.since.as_millis()
            ),
            load_window: self.shared.bounds.get().load_window,
        }
    }

    /// Plans for each service with model engines and sends the orders.
    fn plan(self: &Rc<Self>) {
        let now = self.shared.now();
        let mut all = Vec::new();
        {
            let mut core = self.shared.core.borrow_mut();
            for gone in core.directory.expire(now) {
                log::info!(host:% = gone; "entry of a backend server did not come back");
            }
            let Some(table) = core.table.clone() else {
                return;
            };
            let mut planners = self.planners.borrow_mut();
            for (i, service) in table.deployment().services.values().enumerate() {
                let Some(engine) = &service.engine else {
                    continue;
                };
                let meter = core.demand.entry(service.name.clone()).or_default();
                let traffic = meter.requests() > 0 || !self.shared.cfg.first_start;
                let shares = meter.shares(engine, PRIOR_WORK_MS);
                let planner = planners
                    .entry(service.name.clone())
                    .or_insert_with(|| GroupPlanner::new(self.settings(i), now));
                let orders = planner.plan(
                    &core.directory,
                    &service.name,
                    engine,
                    &shares,
                    traffic,
                    now,
                );
                let stranded = core.directory.stranded(&service.name);
                self.shared.metrics.stranded.set(gauge(stranded));
                all.extend(orders.into_iter().map(|o| (service.name.clone(), o)));
                for stale in planner.take_hosts_to_query(now) {
                    self.ask_count(stale);
                }
            }
        }
        for (service, order) in all {
            let manager = self.clone();
            tokio::task::spawn_local(async move { manager.send(service, order).await });
        }
    }

    async fn send(self: Rc<Self>, service: Arc<str>, order: HostOrder) {
        let cause = CauseLabel {
            cause: order.kind.as_str(),
        };
        self.shared.metrics.orders.get_or_create(&cause).inc();
        let reply = self.shared.dialect.send_order(&order, ORDER_LIMIT).await;
        self.shared
            .take_notice(&order.host, order.incarnation, reply.notice, None);
        let answer = reply.answer;
        let now = self.shared.now();
        log::info!(host:% = order.host, order = order.kind.as_str(), detail:? = order.kind, expected_count = order.expected_count, answer:? = answer; "order sent");
        if matches!(answer, OrderAnswer::Begun | OrderAnswer::Done) {
            let mut core = self.shared.core.borrow_mut();
            core.directory.set_orders_begun(
                &order.host,
                order.incarnation,
                order.expected_count + 1,
            );
        }
        if let Some(planner) = self.planners.borrow_mut().get_mut(&service) {
            planner.note_answer(&order, reply, now);
        }
        self.shared.changed.notify_waiters();
    }

    /// Asks a host for its state; `None` if it did not answer in time.
    async fn ask_host(&self, id: &HostId, address: SocketAddr) -> Option<HostReport> {
        let shared = &self.shared;
        let report = shared.dialect.ask_host(address, PROBE_LIMIT).await?;
        if report.leaving && shared.note_leaving(id, report.incarnation) {
            log::info!(host:% = id, born = report.incarnation; "backend server says that it leaves");
        }
        Some(report)
    }

    /// Asks a host that refused an order for its count of orders.
    fn ask_count(self: &Rc<Self>, id: HostId) {
        let manager = self.clone();
        tokio::task::spawn_local(async move {
            let known = {
                let core = manager.shared.core.borrow();
                core.directory.get(&id).map(|h| h.address)
            };
            let Some(address) = known else {
                return;
            };
            let Some(report) = manager.ask_host(&id, address).await else {
                return;
            };
            if manager.shared.store_away.get() {
                manager.shared.take_reports(&[(id.clone(), report.clone())]);
            }
            let told = {
                let mut core = manager.shared.core.borrow_mut();
                core.directory.apply_reported_orders(&id, &report)
            };
            log::info!(host:% = id, count = report.orders_begun, agrees = told; "count of orders was asked for");
            if told {
                let now = manager.shared.now();
                for planner in manager.planners.borrow_mut().values_mut() {
                    planner.note_order_count(&id, now);
                }
            }
            manager.shared.changed.notify_waiters();
        });
    }

    /// Asks the members of suspected groups whether they live.
    fn look_into_suspects(self: &Rc<Self>) {
        let now = self.shared.now();
        let suspects: Vec<(HostId, Timestamp)> = {
            let mut suspects = self.shared.suspects.borrow_mut();
            suspects.retain(|_, at| now.since(*at) < PROBE_PAUSE);
            suspects.iter().map(|(id, at)| (id.clone(), *at)).collect()
        };
        for (head, at) in suspects {
            let mut probed = self.probed.borrow_mut();
            let last = probed.get(&head).copied();
            if last.is_some_and(|last| now.since(last) < PROBE_PAUSE || at <= last) {
                continue;
            }
            probed.insert(head.clone(), now);
            let manager = self.clone();
            tokio::task::spawn_local(async move { manager.probe(&head).await });
        }
    }

    /// Tells all entry hosts of a group that has lost a member.
    fn tell_stopped(&self, head: &HostId) {
        let now = self.shared.now();
        let mut told = self.told.borrow_mut();
        told.retain(|_, at| now.since(*at) < STOPPED_PAUSE);
        if told.contains_key(head) {
            return;
        }
        told.insert(head.clone(), now);
        self.shared.move_away(head);
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
        let probes = members.into_iter().map(|(service, id, born, address)| {
            let manager = self.clone();
            async move {
                for _ in 0..PROBES {
                    if manager.ask_host(&id, address).await.is_some() {
                        return false;
                    }
                }
                log::warn!(host:% = id; "backend server does not answer and is taken to be dead");
                if let Some(planner) = manager.planners.borrow_mut().get_mut(&service) {
                    planner.mark_dead(&id, born, manager.shared.now());
                }
                manager.shared.changed.notify_waiters();
                true
            }
        });
        let mut probes: FuturesUnordered<_> = probes.collect();
        while let Some(dead) = probes.next().await {
            if dead {
                self.tell_stopped(head);
                break;
            }
        }
        // The other members are asked to the end, as more of them may be dead.
        while probes.next().await.is_some() {}
    }
}
