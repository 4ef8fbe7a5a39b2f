//! State machine of a failure domain's leader.

mod hosts;
mod orders;
mod outage;
mod store;

use std::collections::{BTreeMap, BTreeSet};

use crate::engine::EngineReport;
use crate::event::{EventDraft, EventKind, EventSubject};
use crate::group::dispatch::Dispatcher;
use crate::group::planner::Planner;
use crate::group::progress::Progress;
use crate::group::{
    DelegatedSpares, DomainView, GroupConfig, GroupEffect, GroupInput, GroupTable, OutagePolicy,
};
use crate::id::{FailureDomainId, HostId, Incarnation, StoreRevision};
use crate::time::Timestamp;

/// State of the controller with respect to the table in the store.
#[derive(Clone, Debug)]
enum Phase {
    /// This process is not the leader.
    Following,
    /// The table has to be read; a read may be in flight.
    Unread {
        /// The read in flight.
        read: Option<PendingRead>,
        /// Write with an unknown outcome, which the read resolves.
        unresolved: Option<PendingWrite>,
    },
    /// The table is known and no write is in flight.
    Ready,
    /// A write is in flight.
    Writing {
        /// The write.
        write: PendingWrite,
        /// When the write was requested.
        requested_at: Timestamp,
    },
    /// The store is unreachable; delegations may allow repairs.
    Outage {
        /// Whether this process holds the lease, to its knowledge.
        leads: bool,
        /// Write with an unknown outcome, which the next read resolves.
        unresolved: Option<PendingWrite>,
        /// Last read request, which may still be answered.
        read: PendingRead,
    },
}

#[derive(Clone, Copy, Debug)]
struct PendingRead {
    number: u64,
    requested_at: Timestamp,
}

#[derive(Clone, Debug)]
struct PendingWrite {
    table: GroupTable,
    events: Vec<EventDraft>,
}

/// State machine of a failure domain's leader.
///
/// Every change is written to the table before an order results from it, and
/// orders are derived from the table alone. A write with an unknown outcome is
/// resolved by a read before anything else happens. The lease is only advisory: a
/// leader that lost it without noticing is stopped by the conditional write, by
/// fencing numbers and by the gate. While the store is unreachable, the process
/// only does what delegations in the table allow.
#[derive(Clone, Debug)]
pub struct GroupController<P = DelegatedSpares> {
    policy: P,
    incarnation: Incarnation,
    view: DomainView,
    progress: Progress,
    dispatcher: Dispatcher,
    phase: Phase,
    table: GroupTable,
    revision: StoreRevision,
    /// Whether the store holds an older version than `table`.
    store_is_behind: bool,
    confirmed_at: Option<Timestamp>,
    store_reachable: bool,
    last_sequence: u64,
    reads: u64,
    silent: BTreeSet<HostId>,
    leaving: BTreeSet<HostId>,
    peer_queries: BTreeMap<HostId, Timestamp>,
    yielded_at: Option<Timestamp>,
}

impl GroupController {
    /// Creates a controller that is not the leader.
    #[must_use]
    pub fn new(cfg: GroupConfig, failure_domain: FailureDomainId, process: Incarnation) -> Self {
        Self::with_policy(DelegatedSpares, cfg, failure_domain, process)
    }
}

impl<P: OutagePolicy> GroupController<P> {
    /// Creates a controller that is not the leader, with a policy for store outages.
    #[must_use]
    pub fn with_policy(
        policy: P,
        cfg: GroupConfig,
        failure_domain: FailureDomainId,
        process: Incarnation,
    ) -> Self {
        Self {
            policy,
            incarnation: process,
            view: DomainView::new(cfg, failure_domain.clone()),
            progress: Progress::default(),
            dispatcher: Dispatcher::default(),
            phase: Phase::Following,
            table: GroupTable::new(failure_domain),
            revision: StoreRevision::default(),
            store_is_behind: false,
            confirmed_at: None,
            store_reachable: true,
            last_sequence: 0,
            reads: 0,
            silent: BTreeSet::new(),
            leaving: BTreeSet::new(),
            peer_queries: BTreeMap::new(),
            yielded_at: None,
        }
    }

    /// Returns whether this process acts as the leader.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        !matches!(
            self.phase,
            Phase::Following | Phase::Outage { leads: false, .. }
        )
    }

    /// Returns the latest known table and the revision of the stored one.
    #[must_use]
    pub fn table(&self) -> (&GroupTable, StoreRevision) {
        (&self.table, self.revision)
    }

    /// Returns this process's view of the failure domain.
    #[must_use]
    pub fn view(&self) -> &DomainView {
        &self.view
    }

    /// Handles an input and appends the resulting effects.
    pub fn handle(
        &mut self,
        now: Timestamp,
        input: GroupInput<'_>,
        effects: &mut Vec<GroupEffect>,
    ) {
        if self.view.advance(now) {
            // Another leader may have written while this process was paused.
            self.confirmed_at = None;
        }
        match input {
            GroupInput::LeadershipGained => self.gain_leadership(now, effects),
            GroupInput::LeadershipLost => self.lose_leadership(effects),
            GroupInput::TableLoaded {
                read,
                table,
                revision,
            } => self.table_loaded(now, read, table, revision, effects),
            GroupInput::PeerTable(table) => self.peer_table_received(now, table, effects),
            GroupInput::TableWritten { sequence, outcome } => {
                self.table_written(now, sequence, outcome, effects);
            }
            GroupInput::Report {
                report,
                requested_at,
            } => {
                self.report(now, report, requested_at.min(now), effects);
            }
            GroupInput::ReportMissed { host } => self.view.record_missed_report(now, host),
            GroupInput::ReportSeenByPeer { host, age } => {
                self.view.record_seen_by_peer(now, host, age);
            }
            GroupInput::OrderAnswered { order, outcome } => {
                self.order_answered(now, order, outcome);
            }
            GroupInput::RecordsChanged { models, drained } => {
                self.view.set_records(models, drained);
                self.step(now, effects);
            }
            GroupInput::HostsChanged(hosts) => {
                self.view.set_hosts(hosts);
                self.step(now, effects);
            }
            GroupInput::StoreUnreachable => self.store_unreachable(now, effects),
            GroupInput::StoreReachable => self.store_recovered(now, effects),
            GroupInput::Tick => {
                self.time_out_store_call(now, effects);
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
        self.emit_domain_event(
            effects,
            EventKind::LeadershipGained,
            "the lease was granted",
        );
        match &mut self.phase {
            Phase::Outage { leads, .. } => *leads = true,
            _ => self.read_table(now, None, effects),
        }
    }

    fn lose_leadership(&mut self, effects: &mut Vec<GroupEffect>) {
        if !self.is_leader() {
            return;
        }
        match &mut self.phase {
            Phase::Outage { leads, .. } => *leads = false,
            phase => *phase = Phase::Following,
        }
        self.confirmed_at = None;
        self.emit_domain_event(effects, EventKind::LeadershipLost, "the lease was lost");
    }

    fn report(
        &mut self,
        now: Timestamp,
        report: &EngineReport,
        requested_at: Timestamp,
        effects: &mut Vec<GroupEffect>,
    ) {
        let before = self.view.reports().get(&report.host);
        let changed = before.is_none_or(|o| o.report.differs_in_state(report));
        if self.view.observe(requested_at, report) && changed {
            self.step(now, effects);
        }
    }

    /// Sends the due orders and then plans the next change.
    fn step(&mut self, now: Timestamp, effects: &mut Vec<GroupEffect>) {
        match self.phase {
            Phase::Ready => {}
            Phase::Outage { .. } => return self.step_in_outage(now, effects),
            Phase::Following | Phase::Unread { .. } | Phase::Writing { .. } => return,
        }
        self.emit_host_events(now, effects);
        self.progress.update(now, &self.view, &self.table);
        if !self.store_is_behind {
            self.send_due_orders(now, effects);
        }
        self.query_peers(now, effects);
        if self.view.peers_see_more_hosts(now) {
            self.yield_leadership(now, effects);
        } else if matches!(self.phase, Phase::Ready) && self.view.can_plan(now) {
            self.plan(now, effects);
        }
    }

    fn planner(&self, now: Timestamp) -> Planner<'_> {
        Planner::new(
            now,
            &self.view,
            &self.progress,
            self.incarnation,
            &self.table,
        )
    }

    fn emit_domain_event(&self, effects: &mut Vec<GroupEffect>, kind: EventKind, reason: &str) {
        let subject = EventSubject::failure_domain(self.view.failure_domain());
        effects.push(GroupEffect::Emit(EventDraft::new(kind, subject, reason)));
    }
}
