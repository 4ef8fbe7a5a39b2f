//! State machine of the leader of a failure domain.

mod store;

use std::collections::BTreeSet;

use crate::engine::{EngineReport, Order, OrderAction};
use crate::event::{EventDraft, EventKind, EventSubject};
use crate::group::dispatch::Dispatcher;
use crate::group::progress::Progress;
use crate::group::{GroupConfig, GroupEffect, GroupInput, GroupTable, OrderOutcome, World};
use crate::id::{FailureDomainId, HostId, Incarnation, StoreRevision};
use crate::time::Timestamp;

/// Where the controller stands with the table in the store.
#[derive(Clone, Debug)]
enum Phase {
    /// Another process leads.
    Following,
    /// The table has to be read; a read may be on its way.
    Unread {
        /// When the read was asked for.
        asked_at: Option<Timestamp>,
        /// Write whose outcome the read settles.
        unsettled: Option<PendingWrite>,
    },
    /// The table is known and no write is on its way.
    Ready,
    /// A write is on its way.
    Writing {
        /// The write.
        write: PendingWrite,
        /// When it was asked for.
        asked_at: Timestamp,
    },
}

#[derive(Clone, Debug)]
struct PendingWrite {
    table: GroupTable,
    events: Vec<EventDraft>,
}

/// State machine of the leader of a failure domain.
///
/// Every change is written to the table before an order follows from it, and
/// orders are derived from the table alone. A write with an unknown outcome is
/// settled by a read before anything else happens. The lease says only who
/// should try: a leader that lost it unawares is stopped by the conditional
/// write, by fencing numbers and by the gate.
#[derive(Clone, Debug)]
pub struct GroupController {
    incarnation: Incarnation,
    world: World,
    progress: Progress,
    dispatcher: Dispatcher,
    phase: Phase,
    table: GroupTable,
    revision: StoreRevision,
    confirmed_at: Option<Timestamp>,
    store_reachable: bool,
    last_sequence: u64,
    silent: BTreeSet<HostId>,
    going: BTreeSet<HostId>,
}

impl GroupController {
    /// Makes a controller that does not lead.
    #[must_use]
    pub fn new(cfg: GroupConfig, failure_domain: FailureDomainId, process: Incarnation) -> Self {
        Self {
            incarnation: process,
            world: World::new(cfg, failure_domain.clone()),
            progress: Progress::default(),
            dispatcher: Dispatcher::default(),
            phase: Phase::Following,
            table: GroupTable::new(failure_domain),
            revision: StoreRevision::default(),
            confirmed_at: None,
            store_reachable: true,
            last_sequence: 0,
            silent: BTreeSet::new(),
            going: BTreeSet::new(),
        }
    }

    /// Returns whether this process acts as the leader.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        !matches!(self.phase, Phase::Following)
    }

    /// Returns the table as last read or written, with its revision.
    #[must_use]
    pub fn table(&self) -> (&GroupTable, StoreRevision) {
        (&self.table, self.revision)
    }

    /// Returns what this process knows about hosts and records.
    #[must_use]
    pub fn world(&self) -> &World {
        &self.world
    }

    /// Takes one input and appends the effects that follow from it.
    pub fn handle(
        &mut self,
        now: Timestamp,
        input: GroupInput<'_>,
        effects: &mut Vec<GroupEffect>,
    ) {
        if self.world.advance(now) {
            // Another leader may have written while this process was paused.
            self.confirmed_at = None;
        }
        match input {
            GroupInput::LeadershipGained => self.gain_leadership(now, effects),
            GroupInput::LeadershipLost => self.lose_leadership(effects),
            GroupInput::TableLoaded { table, revision } => {
                self.table_loaded(now, table, revision, effects);
            }
            GroupInput::TableWritten(outcome) => self.table_written(now, outcome, effects),
            GroupInput::Report(report) => self.report(now, report, effects),
            GroupInput::ReportMissed { .. } => {}
            GroupInput::OrderAnswered { order, outcome } => {
                self.order_answered(now, order, outcome);
            }
            GroupInput::RecordsChanged { models, drained } => {
                self.world.set_records(models, drained);
                self.step(now, effects);
            }
            GroupInput::HostsChanged(hosts) => {
                self.world.set_hosts(hosts);
                self.step(now, effects);
            }
            GroupInput::StoreUnreachable => self.store_unreachable(effects),
            GroupInput::StoreReachable => self.store_came_back(now, effects),
            GroupInput::Tick => {
                self.expire_store_call(now, effects);
                self.step(now, effects);
            }
        }
    }

    fn gain_leadership(&mut self, now: Timestamp, effects: &mut Vec<GroupEffect>) {
        if self.is_leader() {
            return;
        }
        self.progress = Progress::default();
        self.dispatcher = Dispatcher::default();
        emit_domain(
            effects,
            &self.world,
            EventKind::LeadershipGained,
            "the lease was granted",
        );
        self.read_table(now, None, effects);
    }

    fn lose_leadership(&mut self, effects: &mut Vec<GroupEffect>) {
        if !self.is_leader() {
            return;
        }
        self.phase = Phase::Following;
        self.confirmed_at = None;
        emit_domain(
            effects,
            &self.world,
            EventKind::LeadershipLost,
            "the lease was lost",
        );
    }

    fn report(&mut self, now: Timestamp, report: &EngineReport, effects: &mut Vec<GroupEffect>) {
        let before = self
            .world
            .reports()
            .get(&report.host)
            .map(|o| status(&o.report));
        let changed = before != Some(status(report));
        if self.world.observe(now, report) && changed {
            self.step(now, effects);
        }
    }

    fn order_answered(&mut self, now: Timestamp, order: &Order, outcome: OrderOutcome) {
        match outcome {
            OrderOutcome::Accepted if order.action == OrderAction::Release => {
                self.progress
                    .release_accepted(now, &order.host, order.fencing);
            }
            // A newer leader may have written: read before the next order.
            OrderOutcome::Refused { .. } => self.confirmed_at = None,
            OrderOutcome::Accepted | OrderOutcome::NoAnswer => {}
        }
    }

    /// Sends the orders that are due and then plans the next change.
    fn step(&mut self, now: Timestamp, effects: &mut Vec<GroupEffect>) {
        if !matches!(self.phase, Phase::Ready) {
            return;
        }
        self.note_hosts(now, effects);
        self.progress.update(now, &self.world, &self.table);
        self.send_orders(now, effects);
        if matches!(self.phase, Phase::Ready) && self.store_reachable {
            self.plan(now, effects);
        }
    }

    fn send_orders(&mut self, now: Timestamp, effects: &mut Vec<GroupEffect>) {
        let due = self.dispatcher.due(now, &self.world, &self.table);
        if due.is_empty() {
            return;
        }
        let limit = self.world.config().table_confirmation_age;
        let confirmed = self.confirmed_at.is_some_and(|at| now.since(at) <= limit);
        if !confirmed {
            if self.store_reachable {
                self.read_table(now, None, effects);
            }
            return;
        }
        for due_order in due {
            let order = due_order.order;
            self.dispatcher.note_sent(now, &order);
            if due_order.first {
                effects.push(GroupEffect::Emit(order_event(&order)));
            }
            effects.push(GroupEffect::SendOrder(order));
        }
    }

    fn note_hosts(&mut self, now: Timestamp, effects: &mut Vec<GroupEffect>) {
        let hosts = self
            .world
            .hosts()
            .into_iter()
            .flat_map(|hosts| hosts.keys());
        for host in hosts {
            let subject = EventSubject::host(host);
            if self.world.is_failed(now, host) {
                if self.silent.insert(host.clone()) {
                    emit(
                        effects,
                        EventKind::HostSilent,
                        subject.clone(),
                        "no report in time",
                    );
                }
            } else if self.world.recent(now, host).is_some() && self.silent.remove(host) {
                emit(
                    effects,
                    EventKind::HostHeard,
                    subject.clone(),
                    "reports again",
                );
            }
            if !self.world.is_going(host) {
                self.going.remove(host);
            } else if self.going.insert(host.clone()) {
                emit(
                    effects,
                    EventKind::HostLeaving,
                    subject,
                    "takes no new work",
                );
            }
        }
    }
}

type EngineStatus = (
    Incarnation,
    crate::id::FencingNumber,
    Option<crate::engine::Assignment>,
    crate::engine::EnginePhase,
    bool,
);

/// The part of a report on which the table depends at once.
fn status(report: &EngineReport) -> EngineStatus {
    (
        report.incarnation,
        report.fencing,
        report.assignment.clone(),
        report.phase,
        report.leaving,
    )
}

fn order_event(order: &Order) -> EventDraft {
    let mut subject = EventSubject::host(&order.host);
    let what = match &order.action {
        OrderAction::Load(load) => {
            subject.group = Some(load.group.clone());
            "load"
        }
        OrderAction::Release => "release",
        OrderAction::Fence => "fence",
    };
    let reason = format!("{what} under fencing number {}", order.fencing);
    EventDraft::new(EventKind::OrderSent, subject, reason)
}

fn emit(effects: &mut Vec<GroupEffect>, kind: EventKind, subject: EventSubject, reason: &str) {
    effects.push(GroupEffect::Emit(EventDraft::new(kind, subject, reason)));
}

fn emit_domain(effects: &mut Vec<GroupEffect>, world: &World, kind: EventKind, reason: &str) {
    let subject = EventSubject::failure_domain(world.failure_domain());
    emit(effects, kind, subject, reason);
}
