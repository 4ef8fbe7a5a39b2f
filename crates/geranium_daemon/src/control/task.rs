//! The task that runs group control.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use geranium_core::engine::{EngineReport, HostEntry};
use geranium_core::event::{EventDraft, EventKind, EventSubject};
use geranium_core::group::{
    GroupConfig, GroupController, GroupEffect, GroupGate, GroupInput, GroupTable, LatestReports,
    ServingGroup,
};
use geranium_core::id::{GroupId, HostId};
use geranium_core::record::{DrainTarget, ModelSpec, RecordSet};
use geranium_core::time::Timestamp;
use geranium_engine::HttpEngineClient;
use geranium_peer::{PeerCommand, PeerReply};
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use super::orders::OrderSender;
use super::reports::ReportPoller;
use super::table_store::TableStore;
use super::{ControlInput, ControlView};
use crate::metrics::DomainLabel;
use crate::node::{Node, Store};
use crate::peers::PeerInput;

/// Interval between ticks of the group controller.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Owns the state of group control and executes its effects.
pub struct ControlTask {
    node: Arc<Node>,
    controller: GroupController,
    gate: GroupGate,
    reports: Arc<LatestReports>,
    records: Arc<RecordSet>,
    hosts: Arc<Vec<HostEntry>>,
    serving: Arc<Vec<ServingGroup>>,
    table_store: TableStore<Store>,
    orders: OrderSender<HttpEngineClient>,
    poller: ReportPoller<HttpEngineClient>,
    rx: mpsc::Receiver<ControlInput>,
    store_reachable: bool,
    downtime_counted_at: Timestamp,
}

impl ControlTask {
    /// Creates the control task of this process.
    #[must_use]
    pub fn new(node: Arc<Node>, rx: mpsc::Receiver<ControlInput>) -> Self {
        let cfg = GroupConfig {
            max_loading_hosts: node.settings.max_loads,
            ..GroupConfig::default()
        };
        let domain = node.settings.failure_domain.clone();
        let incarnation = node.recorder.identity().incarnation;
        let tx = node.control.clone();
        let engines = node.engines.clone();
        let interval = node.settings.report_interval;
        Self {
            controller: GroupController::new(cfg.clone(), domain.clone(), incarnation),
            gate: GroupGate::new(cfg, domain.clone()),
            reports: Arc::default(),
            records: Arc::default(),
            hosts: Arc::default(),
            serving: Arc::default(),
            table_store: TableStore::new(node.store.clone(), &domain, tx.clone()),
            orders: OrderSender::new(engines.clone(), node.clock, tx.clone()),
            poller: ReportPoller::new((engines, node.clock), domain, interval, tx),
            downtime_counted_at: node.clock.now(),
            node,
            rx,
            store_reachable: false,
        }
    }

    /// Handles inputs until all senders are dropped.
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = self.rx.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return,
                },
                _ = ticks.tick() => {
                    self.run_controller(GroupInput::Tick);
                    self.publish();
                }
            }
        }
    }

    fn handle_input(&mut self, input: ControlInput) {
        match input {
            ControlInput::Leadership(true) => self.run_controller(GroupInput::LeadershipGained),
            ControlInput::Leadership(false) => self.run_controller(GroupInput::LeadershipLost),
            ControlInput::StoreReachable(reachable) => self.set_store_reachable(reachable),
            ControlInput::Records(records) => self.replace_records(records),
            ControlInput::Hosts(hosts) => self.replace_hosts(hosts),
            ControlInput::Table(table) => {
                self.set_gate_table(&table);
                self.run_controller(GroupInput::PeerTable(&table));
            }
            ControlInput::TableRead {
                read,
                table,
                revision,
            } => {
                let table = table.map(|table| *table);
                self.run_controller(GroupInput::TableLoaded {
                    read,
                    table,
                    revision,
                });
            }
            ControlInput::TableWritten { sequence, outcome } => {
                self.run_controller(GroupInput::TableWritten { sequence, outcome });
            }
            ControlInput::Report(report, requested_at) => self.observe(&report, requested_at),
            ControlInput::ReportMissed(host) => {
                self.run_controller(GroupInput::ReportMissed { host: &host });
            }
            ControlInput::ReportSeenByPeer(host, age) => {
                self.run_controller(GroupInput::ReportSeenByPeer { host: &host, age });
            }
            ControlInput::OrderAnswered(order, outcome) => {
                self.run_controller(GroupInput::OrderAnswered {
                    order: &order,
                    outcome,
                });
            }
        }
    }

    fn set_store_reachable(&mut self, reachable: bool) {
        if self.store_reachable == reachable {
            return;
        }
        self.store_reachable = reachable;
        let (kind, reason, input) = if reachable {
            (
                EventKind::StoreReachable,
                "the store answered a call",
                GroupInput::StoreReachable,
            )
        } else {
            (
                EventKind::StoreUnreachable,
                "the store does not answer calls",
                GroupInput::StoreUnreachable,
            )
        };
        self.emit(EventDraft::new(kind, EventSubject::default(), reason));
        self.run_controller(input);
    }

    fn replace_records(&mut self, records: Arc<RecordSet>) {
        self.records = records;
        let models: Vec<ModelSpec> = self.records.models().cloned().collect();
        let drained: Vec<DrainTarget> = self.records.drains().map(|d| d.target.clone()).collect();
        self.gate.set_records(&models, &drained);
        self.run_controller(GroupInput::RecordsChanged {
            models: &models,
            drained: &drained,
        });
        self.publish();
    }

    fn replace_hosts(&mut self, hosts: Vec<HostEntry>) {
        self.poller.set_hosts(&hosts);
        self.orders.set_hosts(&hosts);
        self.gate.set_hosts(&hosts);
        self.run_controller(GroupInput::HostsChanged(&hosts));
        self.hosts = Arc::new(hosts);
    }

    fn set_gate_table(&mut self, table: &GroupTable) {
        if let Err(e) = self.gate.set_table(table) {
            log::error!("invalid group table: {e}");
        }
    }

    fn observe(&mut self, report: &EngineReport, requested_at: Timestamp) {
        Arc::make_mut(&mut self.reports).observe(requested_at, report);
        self.gate.observe(requested_at, report);
        self.run_controller(GroupInput::Report {
            report,
            requested_at,
        });
    }

    fn run_controller(&mut self, input: GroupInput<'_>) {
        let now = self.node.clock.now();
        let mut effects = Vec::new();
        self.controller.handle(now, input, &mut effects);
        for effect in effects {
            match effect {
                GroupEffect::LoadTable { read } => self.table_store.load(read),
                GroupEffect::WriteTable { table, expected } => {
                    self.table_store.write(&table, expected);
                }
                GroupEffect::PublishTable(table) => self.publish_table(table),
                GroupEffect::QueryPeers(hosts) => self.query_peers(&hosts),
                GroupEffect::YieldLeadership => self.node.yield_leadership.notify_one(),
                GroupEffect::SendOrder(order) => self.orders.send(order),
                GroupEffect::Emit(draft) => self.emit(draft),
            }
        }
    }

    /// Asks each peer of the failure domain when it last received reports of the given engines.
    fn query_peers(&self, hosts: &[HostId]) {
        for to in self.node.domain_peers() {
            let (client, tx) = (self.node.peer_client.clone(), self.node.control.clone());
            let command = PeerCommand::LastHeard(hosts.to_vec());
            tokio::spawn(async move {
                let Ok(PeerReply::Heard(heard)) = client.command(to, command).await else {
                    return;
                };
                for (host, age) in heard {
                    let _ = tx.send(ControlInput::ReportSeenByPeer(host, age)).await;
                }
            });
        }
    }

    fn publish_table(&mut self, table: GroupTable) {
        self.set_gate_table(&table);
        self.node
            .broadcast_to_domain(&PeerCommand::Table(Box::new(table)));
    }

    fn publish(&mut self) {
        let now = self.node.clock.now();
        let mut events = Vec::new();
        self.serving = Arc::new(self.gate.evaluate(now, &mut events));
        for draft in events {
            self.emit(draft);
        }
        let view = self.view();
        self.record_downtime(now, &view);
        let peers = self.node.peers.view();
        self.node.traffic.update(now, &view, &peers);
        self.node.published.set(view);
        // If the queue is full, a later tick sends the groups.
        let _ = self
            .node
            .peer_tx
            .try_send(PeerInput::Groups(self.serving.clone()));
    }

    /// Adds the time for which replicas required by the records were not serving.
    fn record_downtime(&mut self, now: Timestamp, view: &ControlView) {
        let elapsed = now.since(self.downtime_counted_at);
        self.downtime_counted_at = now;
        let domain = &self.node.settings.failure_domain;
        if !view.is_leader || view.records.drained().failure_domains.contains(domain) {
            return;
        }
        let mut missing = 0;
        for spec in view.records.models() {
            let serving = view.serving_replicas(&spec.name);
            missing += u64::from(spec.replicas_in(domain).saturating_sub(serving));
        }
        let millis = u64::try_from(elapsed.as_millis()).unwrap_or_default();
        let label = DomainLabel {
            failure_domain: domain.to_string(),
        };
        let downtime = &self.node.metrics.group_downtime_ms;
        downtime.get_or_create(&label).inc_by(missing * millis);
    }

    fn view(&self) -> ControlView {
        let table = self.gate.table();
        let closed_reason =
            |id: &GroupId| Some((id.clone(), self.gate.closed_reason(id)?.to_owned()));
        let closed_reasons: BTreeMap<GroupId, String> =
            table.groups().keys().filter_map(closed_reason).collect();
        ControlView {
            records: self.records.clone(),
            hosts: self.hosts.clone(),
            table: Some(table.clone()),
            serving: self.serving.clone(),
            closed_reasons,
            reports: self.reports.clone(),
            is_leader: self.controller.is_leader(),
            store_reachable: self.store_reachable,
        }
    }

    fn emit(&self, draft: EventDraft) {
        self.node.record(draft);
    }
}
