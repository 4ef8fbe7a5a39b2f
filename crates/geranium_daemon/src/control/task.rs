//! The task that owns group control.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use geranium_core::engine::{EngineReport, HostEntry};
use geranium_core::event::{EventDraft, EventKind, EventSubject};
use geranium_core::group::{
    GroupConfig, GroupController, GroupEffect, GroupGate, GroupInput, GroupTable, ReportBook,
    ServingGroup,
};
use geranium_core::id::GroupId;
use geranium_core::record::{DrainTarget, MergeOutcome, ModelSpec, RecordSet, StoredRecord};
use geranium_core::time::Timestamp;
use geranium_engine::EngineApi;
use geranium_platform::KvStore;
use geranium_telemetry::{EventRecorder, ProcessIdentity};
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use super::orders::OrderSender;
use super::reports::ReportPoller;
use super::table_store::TableStore;
use super::{ControlInput, ControlView, Published};
use crate::clock::ProcessClock;

/// Time between two ticks of the decisions.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Settings of the control task.
pub struct ControlTaskConfig {
    /// The process.
    pub identity: ProcessIdentity,
    /// Time limits of group control.
    pub group: GroupConfig,
    /// Time between two reports of an engine.
    pub report_interval: Duration,
}

/// Owns the aggregates of group control and carries out their effects.
pub struct ControlTask<S, E, F> {
    clock: ProcessClock,
    recorder: Arc<EventRecorder>,
    published: Arc<Published>,
    on_change: F,
    controller: GroupController,
    gate: GroupGate,
    reports: Arc<ReportBook>,
    records: Arc<RecordSet>,
    hosts: Arc<Vec<HostEntry>>,
    serving: Arc<Vec<ServingGroup>>,
    table_store: TableStore<S>,
    orders: OrderSender<E>,
    poller: ReportPoller<E>,
    rx: mpsc::Receiver<ControlInput>,
    store_reachable: bool,
}

impl<S, E, F> ControlTask<S, E, F>
where
    S: KvStore,
    E: EngineApi,
    F: Fn(Timestamp, &ControlView) + Send,
{
    /// Makes the task; `on_change` is told of each new view.
    pub fn new(
        cfg: ControlTaskConfig,
        (clock, recorder, published): (ProcessClock, Arc<EventRecorder>, Arc<Published>),
        (store, engines): (S, E),
        (tx, rx): (mpsc::Sender<ControlInput>, mpsc::Receiver<ControlInput>),
        on_change: F,
    ) -> Self {
        let domain = cfg.identity.failure_domain;
        let incarnation = cfg.identity.incarnation;
        let controller = GroupController::new(cfg.group.clone(), domain.clone(), incarnation);
        let table_store = TableStore::new(store, &domain, tx.clone());
        let orders = OrderSender::new(engines.clone(), clock, tx.clone());
        let poller = ReportPoller::new((engines, clock), domain.clone(), cfg.report_interval, tx);
        Self {
            clock,
            recorder,
            published,
            on_change,
            controller,
            gate: GroupGate::new(cfg.group, domain),
            reports: Arc::default(),
            records: Arc::default(),
            hosts: Arc::default(),
            serving: Arc::default(),
            table_store,
            orders,
            poller,
            rx,
            store_reachable: false,
        }
    }

    /// Decides until every sender is gone.
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = self.rx.recv() => match input {
                    Some(input) => self.take_in(input),
                    None => return,
                },
                _ = ticks.tick() => {
                    self.decide(GroupInput::Tick);
                    self.publish();
                }
            }
        }
    }

    fn take_in(&mut self, input: ControlInput) {
        match input {
            ControlInput::Leadership(true) => self.decide(GroupInput::LeadershipGained),
            ControlInput::Leadership(false) => self.decide(GroupInput::LeadershipLost),
            ControlInput::StoreReachable(reachable) => self.store_reachable(reachable),
            ControlInput::Records(records) => self.merge_records(records),
            ControlInput::Hosts(hosts) => self.replace_hosts(hosts),
            ControlInput::Table(table) => {
                self.set_gate_table(&table);
                self.decide(GroupInput::TableHeard(&table));
            }
            ControlInput::TableRead {
                read,
                table,
                revision,
            } => self.decide(GroupInput::TableLoaded {
                read,
                table: table.map(|table| *table),
                revision,
            }),
            ControlInput::TableWritten { sequence, outcome } => {
                self.decide(GroupInput::TableWritten { sequence, outcome });
            }
            ControlInput::Report(report, asked_at) => self.observe(&report, asked_at),
            ControlInput::ReportMissed(host) => {
                self.decide(GroupInput::ReportMissed { host: &host });
            }
            ControlInput::OrderAnswered(order, outcome) => {
                self.decide(GroupInput::OrderAnswered {
                    order: &order,
                    outcome,
                });
            }
        }
    }

    fn store_reachable(&mut self, reachable: bool) {
        if self.store_reachable == reachable {
            return;
        }
        self.store_reachable = reachable;
        let (kind, reason, input) = if reachable {
            (
                EventKind::StoreReachable,
                "a call was answered",
                GroupInput::StoreReachable,
            )
        } else {
            (
                EventKind::StoreUnreachable,
                "calls go unanswered",
                GroupInput::StoreUnreachable,
            )
        };
        self.emit(EventDraft::new(kind, EventSubject::default(), reason));
        self.decide(input);
    }

    fn merge_records(&mut self, records: Vec<StoredRecord>) {
        let mut changed = false;
        for record in records {
            let (key, generation) = (record.key.clone(), record.generation());
            let cause = format!("{key} by {}", record.change.operator);
            match Arc::make_mut(&mut self.records).merge(record) {
                MergeOutcome::Adopted => {
                    changed = true;
                    let reason = format!("record {key} is in force as generation {generation}");
                    let subject = EventSubject::record(&key.name);
                    let draft = EventDraft::new(EventKind::RecordInForce, subject, reason);
                    self.emit(draft.caused_by(cause));
                }
                MergeOutcome::Stale => {
                    let reason = format!("generation {generation} of {key} is older than in force");
                    let subject = EventSubject::record(&key.name);
                    self.emit(EventDraft::new(EventKind::RecordStale, subject, reason));
                }
                MergeOutcome::Same => {}
            }
        }
        if changed {
            self.records_changed();
        }
    }

    fn records_changed(&mut self) {
        let models: Vec<ModelSpec> = self.records.models().cloned().collect();
        let drained: Vec<DrainTarget> = self.records.drains().map(|d| d.target.clone()).collect();
        self.gate.set_records(&models, &drained);
        self.decide(GroupInput::RecordsChanged {
            models: &models,
            drained: &drained,
        });
        self.publish();
    }

    fn replace_hosts(&mut self, hosts: Vec<HostEntry>) {
        self.poller.set_hosts(&hosts);
        self.orders.set_hosts(&hosts);
        self.gate.set_hosts(&hosts);
        self.decide(GroupInput::HostsChanged(&hosts));
        self.hosts = Arc::new(hosts);
    }

    fn set_gate_table(&mut self, table: &GroupTable) {
        if let Err(e) = self.gate.set_table(table) {
            log::error!("group table {} is not valid: {e}", table.version());
        }
    }

    fn observe(&mut self, report: &EngineReport, asked_at: Timestamp) {
        Arc::make_mut(&mut self.reports).observe(asked_at, report);
        self.gate.observe(asked_at, report);
        self.decide(GroupInput::Report { report, asked_at });
    }

    fn decide(&mut self, input: GroupInput<'_>) {
        let now = self.clock.now();
        let mut effects = Vec::new();
        self.controller.handle(now, input, &mut effects);
        for effect in effects {
            match effect {
                GroupEffect::LoadTable { read } => self.table_store.load(read),
                GroupEffect::WriteTable { table, expected } => {
                    self.table_store.write(&table, expected);
                }
                GroupEffect::PublishTable(table) => self.set_gate_table(&table),
                GroupEffect::AskPeers(hosts) => log::debug!("no peer is known to hear {hosts:?}"),
                GroupEffect::YieldLeadership => log::debug!("peers hear more engines"),
                GroupEffect::SendOrder(order) => self.orders.send(order),
                GroupEffect::Emit(draft) => self.emit(draft),
            }
        }
    }

    fn publish(&mut self) {
        let now = self.clock.now();
        let (table, _) = self.controller.table();
        let table = table.clone();
        self.set_gate_table(&table);
        let mut events = Vec::new();
        self.serving = Arc::new(self.gate.evaluate(now, &mut events));
        for draft in events {
            self.emit(draft);
        }
        let view = self.view();
        (self.on_change)(now, &view);
        self.published.set(view);
    }

    fn view(&self) -> ControlView {
        let table = self.gate.table();
        let why = |id: &GroupId| Some((id.clone(), self.gate.why_closed(id)?.to_owned()));
        let closed_because: BTreeMap<GroupId, String> =
            table.groups().keys().filter_map(why).collect();
        ControlView {
            records: self.records.clone(),
            hosts: self.hosts.clone(),
            table: Some(Arc::new(table.clone())),
            serving: self.serving.clone(),
            closed_because,
            reports: self.reports.clone(),
            leading: self.controller.is_leader(),
            store_reachable: self.store_reachable,
        }
    }

    fn emit(&self, draft: EventDraft) {
        self.recorder.record(self.clock.now(), draft);
    }
}
