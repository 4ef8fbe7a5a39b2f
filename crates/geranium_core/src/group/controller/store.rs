//! Reads and writes of the table.

use super::{GroupController, PendingWrite, Phase, emit_domain};
use crate::event::EventKind;
use crate::group::planner::Planner;
use crate::group::{GroupEffect, GroupError, GroupTable, WriteOutcome};
use crate::id::StoreRevision;
use crate::time::Timestamp;

impl GroupController {
    /// Asks for the table; nothing else happens until it is there.
    pub(super) fn read_table(
        &mut self,
        now: Timestamp,
        unsettled: Option<PendingWrite>,
        effects: &mut Vec<GroupEffect>,
    ) {
        let asked_at = self.store_reachable.then_some(now);
        if asked_at.is_some() {
            effects.push(GroupEffect::LoadTable);
        }
        self.phase = Phase::Unread {
            asked_at,
            unsettled,
        };
    }

    /// Takes the table that was read.
    pub(super) fn table_loaded(
        &mut self,
        now: Timestamp,
        table: Option<GroupTable>,
        revision: StoreRevision,
        effects: &mut Vec<GroupEffect>,
    ) {
        let Phase::Unread {
            asked_at: Some(asked_at),
            unsettled,
        } = &self.phase
        else {
            return;
        };
        let (asked_at, unsettled) = (*asked_at, unsettled.clone());
        let table = table.unwrap_or_else(|| GroupTable::new(self.world.failure_domain().clone()));
        if let Err(e) = self.check(&table) {
            let reason = e.to_string();
            emit_domain(effects, &self.world, EventKind::TableRejected, &reason);
            return;
        }
        if let Some(write) = unsettled.filter(|write| write.table == table) {
            effects.extend(write.events.into_iter().map(GroupEffect::Emit));
        }
        self.table = table;
        self.revision = revision;
        // The answer shows the store as it was no earlier than the question.
        self.confirmed_at = Some(asked_at);
        self.phase = Phase::Ready;
        self.step(now, effects);
    }

    /// Takes the outcome of the write on its way.
    pub(super) fn table_written(
        &mut self,
        now: Timestamp,
        outcome: WriteOutcome,
        effects: &mut Vec<GroupEffect>,
    ) {
        let Phase::Writing { write, asked_at } = &self.phase else {
            return;
        };
        let (write, asked_at) = (write.clone(), *asked_at);
        match outcome {
            WriteOutcome::Applied { revision } => {
                emit_domain(effects, &self.world, EventKind::StoreWritten, "group table");
                effects.extend(write.events.into_iter().map(GroupEffect::Emit));
                self.table = write.table;
                self.revision = revision;
                self.confirmed_at = Some(asked_at);
                self.phase = Phase::Ready;
                self.step(now, effects);
            }
            WriteOutcome::Conflict => {
                emit_domain(
                    effects,
                    &self.world,
                    EventKind::StoreConflict,
                    "group table",
                );
                self.read_table(now, None, effects);
            }
            WriteOutcome::Ambiguous => {
                emit_domain(
                    effects,
                    &self.world,
                    EventKind::StoreAmbiguous,
                    "group table",
                );
                self.read_table(now, Some(write), effects);
            }
            WriteOutcome::Failed => self.phase = Phase::Ready,
        }
    }

    /// Works out the next change and asks for its write.
    pub(super) fn plan(&mut self, now: Timestamp, effects: &mut Vec<GroupEffect>) {
        let planner = Planner::new(now, &self.world, &self.progress, &self.table);
        let mut plan = match planner.plan() {
            Ok(Some(plan)) => plan,
            Ok(None) => return,
            Err(e) => {
                let reason = e.to_string();
                emit_domain(effects, &self.world, EventKind::TableRejected, &reason);
                return;
            }
        };
        plan.table.stamp(self.incarnation, self.last_sequence);
        self.last_sequence = plan.table.sequence();
        effects.push(GroupEffect::WriteTable {
            table: plan.table.clone(),
            expected: self.revision,
        });
        self.phase = Phase::Writing {
            write: PendingWrite {
                table: plan.table,
                events: plan.events,
            },
            asked_at: now,
        };
    }

    /// Settles a read or write that has had no outcome for too long.
    pub(super) fn expire_store_call(&mut self, now: Timestamp, effects: &mut Vec<GroupEffect>) {
        let limit = self.world.config().store_timeout;
        match &self.phase {
            Phase::Unread {
                asked_at,
                unsettled,
            } => {
                if asked_at.is_none_or(|at| now.since(at) >= limit) {
                    let unsettled = unsettled.clone();
                    self.read_table(now, unsettled, effects);
                }
            }
            Phase::Writing { write, asked_at } if now.since(*asked_at) >= limit => {
                let write = write.clone();
                self.read_table(now, Some(write), effects);
            }
            Phase::Following | Phase::Ready | Phase::Writing { .. } => {}
        }
    }

    /// Stops asking the store until it answers again.
    pub(super) fn store_unreachable(&mut self, effects: &mut Vec<GroupEffect>) {
        if !self.store_reachable {
            return;
        }
        self.store_reachable = false;
        emit_domain(
            effects,
            &self.world,
            EventKind::StoreUnreachable,
            "no answer",
        );
        match &mut self.phase {
            Phase::Writing { write, .. } => {
                self.phase = Phase::Unread {
                    asked_at: None,
                    unsettled: Some(write.clone()),
                };
            }
            Phase::Unread { asked_at, .. } => *asked_at = None,
            Phase::Following | Phase::Ready => {}
        }
    }

    /// Reads the table anew, which others may have changed meanwhile.
    pub(super) fn store_came_back(&mut self, now: Timestamp, effects: &mut Vec<GroupEffect>) {
        if self.store_reachable {
            return;
        }
        self.store_reachable = true;
        emit_domain(
            effects,
            &self.world,
            EventKind::StoreReachable,
            "it answers again",
        );
        match &self.phase {
            Phase::Following => {}
            Phase::Unread { unsettled, .. } => {
                let unsettled = unsettled.clone();
                self.read_table(now, unsettled, effects);
            }
            Phase::Ready | Phase::Writing { .. } => self.read_table(now, None, effects),
        }
    }

    fn check(&self, table: &GroupTable) -> Result<(), GroupError> {
        let expected = self.world.failure_domain();
        if table.failure_domain() != expected {
            let found = table.failure_domain().clone();
            return Err(GroupError::WrongFailureDomain(found, expected.clone()));
        }
        table.check()
    }
}
