//! Behavior while the platform's store is unreachable.

use super::{GroupController, Phase};
use crate::event::EventKind;
use crate::group::{GroupEffect, GroupTable, OutagePolicy};
use crate::time::Timestamp;

impl<P: OutagePolicy> GroupController<P> {
    /// Enters the outage and continues with what the delegations in the table allow.
    pub(super) fn store_unreachable(&mut self, now: Timestamp, effects: &mut Vec<GroupEffect>) {
        if !self.store_reachable {
            return;
        }
        self.store_reachable = false;
        self.emit_domain_event(
            effects,
            EventKind::StoreUnreachable,
            "the store does not answer",
        );
        self.enter_outage(now, effects);
        self.step(now, effects);
    }

    /// Leaves the outage; a leader reads the table, which others may have changed.
    pub(super) fn store_recovered(&mut self, now: Timestamp, effects: &mut Vec<GroupEffect>) {
        if self.store_reachable {
            return;
        }
        self.store_reachable = true;
        self.emit_domain_event(
            effects,
            EventKind::StoreReachable,
            "the store is reachable again",
        );
        match &self.phase {
            Phase::Following | Phase::Outage { leads: false, .. } => self.phase = Phase::Following,
            Phase::Outage { unresolved, .. } | Phase::Unread { unresolved, .. } => {
                let unresolved = unresolved.clone();
                self.read_table(now, unresolved, effects);
            }
            Phase::Ready | Phase::Writing { .. } => {}
        }
    }

    /// Handles a table received from a peer.
    pub(super) fn peer_table_received(
        &mut self,
        now: Timestamp,
        table: &GroupTable,
        effects: &mut Vec<GroupEffect>,
    ) {
        if table.version() <= self.table.version() || self.check(table).is_err() {
            return;
        }
        match &self.phase {
            Phase::Following | Phase::Unread { .. } | Phase::Outage { .. } => {
                self.table.clone_from(table);
                self.last_sequence = self.last_sequence.max(table.version().sequence);
                self.step(now, effects);
            }
            // Either a later leader wrote the table or the store lost writes; the read decides.
            Phase::Ready => self.read_table(now, None, effects),
            Phase::Writing { .. } => {}
        }
    }

    /// Enters the outage; a leader keeps trying to read the table.
    pub(super) fn enter_outage(&mut self, now: Timestamp, effects: &mut Vec<GroupEffect>) {
        let leads = self.is_leader();
        let unresolved = match &self.phase {
            Phase::Writing { write, .. } => Some(write.clone()),
            Phase::Unread { unresolved, .. } | Phase::Outage { unresolved, .. } => {
                unresolved.clone()
            }
            Phase::Following | Phase::Ready => None,
        };
        let read = self.next_read(now);
        self.phase = Phase::Outage {
            leads,
            unresolved,
            read,
        };
        if leads {
            effects.push(GroupEffect::LoadTable { read: read.number });
        }
    }

    /// Repairs and reloads groups as far as delegations to this process allow.
    pub(super) fn step_in_outage(&mut self, now: Timestamp, effects: &mut Vec<GroupEffect>) {
        self.progress.update(now, &self.view, &self.table);
        self.query_peers(now, effects);
        self.amend(now, effects);
        let due = self
            .dispatcher
            .due_as_holder(now, &self.view, &self.table, self.incarnation);
        self.send(now, due, effects);
    }

    fn amend(&mut self, now: Timestamp, effects: &mut Vec<GroupEffect>) {
        let amended = self.planner(now).amend();
        match amended {
            Ok(Some(plan)) => {
                self.table = plan.table;
                effects.push(GroupEffect::PublishTable(self.table.clone()));
                effects.extend(plan.events.into_iter().map(GroupEffect::Emit));
            }
            Ok(None) => {}
            Err(e) => self.emit_domain_event(effects, EventKind::TableRejected, &e.to_string()),
        }
    }
}
