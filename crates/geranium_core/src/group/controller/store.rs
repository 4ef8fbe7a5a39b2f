//! Reads and writes of the table.

use super::{GroupController, PendingWrite, Phase};
use crate::event::{EventDraft, EventKind, EventSubject};
use crate::group::planner::{Plan, Planner};
use crate::group::{GroupEffect, GroupError, GroupTable, OutagePolicy, WriteOutcome};
use crate::id::StoreRevision;
use crate::time::Timestamp;

impl<P: OutagePolicy> GroupController<P> {
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
        let (asked_at, unsettled) = match &self.phase {
            Phase::Unread {
                asked_at: Some(at),
                unsettled,
            } => (*at, unsettled.clone()),
            Phase::Outage {
                leads: true,
                unsettled,
                tried_at,
            } => (*tried_at, unsettled.clone()),
            _ => return,
        };
        let table = table.unwrap_or_else(|| GroupTable::new(self.world.failure_domain().clone()));
        if let Err(e) = self.check(&table) {
            self.emit_domain(effects, EventKind::TableRejected, &e.to_string());
            return;
        }
        if let Some(write) = unsettled.filter(|write| write.table == table) {
            effects.extend(write.events.into_iter().map(GroupEffect::Emit));
        }
        // The answer shows the store as it was no earlier than the question.
        self.confirmed_at = Some(asked_at);
        self.revision = revision;
        self.store_is_behind = table.version() < self.table.version();
        if !self.store_is_behind {
            self.adopt(table, effects);
        }
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
                self.emit_domain(effects, EventKind::StoreWritten, "group table");
                effects.extend(write.events.into_iter().map(GroupEffect::Emit));
                self.adopt(write.table, effects);
                self.revision = revision;
                self.store_is_behind = false;
                self.confirmed_at = Some(asked_at);
                self.phase = Phase::Ready;
                self.step(now, effects);
            }
            WriteOutcome::Conflict => {
                self.emit_domain(effects, EventKind::StoreConflict, "group table");
                self.read_table(now, None, effects);
            }
            WriteOutcome::Ambiguous => {
                self.emit_domain(effects, EventKind::StoreAmbiguous, "group table");
                self.read_table(now, Some(write), effects);
            }
            WriteOutcome::Failed => self.phase = Phase::Ready,
        }
    }

    /// Works out the next change and asks for its write.
    pub(super) fn plan(&mut self, now: Timestamp, effects: &mut Vec<GroupEffect>) {
        let planner = Planner::new(
            now,
            &self.world,
            &self.progress,
            self.incarnation,
            &self.table,
        );
        let plan = match planner.plan(&self.policy) {
            Ok(Some(plan)) => plan,
            Ok(None) if self.store_is_behind => self.restore(),
            Ok(None) => return,
            Err(e) => {
                self.emit_domain(effects, EventKind::TableRejected, &e.to_string());
                return;
            }
        };
        self.write(now, plan, effects);
    }

    /// Settles a read or write that has had no outcome for too long.
    pub(super) fn expire_store_call(&mut self, now: Timestamp, effects: &mut Vec<GroupEffect>) {
        let limit = self.world.config().store_timeout;
        match &mut self.phase {
            Phase::Unread {
                asked_at: Some(at), ..
            }
            | Phase::Writing { asked_at: at, .. }
                if now.since(*at) >= limit =>
            {
                self.enter_outage(now);
                effects.push(GroupEffect::LoadTable);
            }
            Phase::Outage {
                leads: true,
                tried_at,
                ..
            } if now.since(*tried_at) >= limit => {
                *tried_at = now;
                effects.push(GroupEffect::LoadTable);
            }
            _ => {}
        }
    }

    pub(super) fn check(&self, table: &GroupTable) -> Result<(), GroupError> {
        let expected = self.world.failure_domain();
        if table.failure_domain() != expected {
            let found = table.failure_domain().clone();
            return Err(GroupError::WrongFailureDomain(found, expected.clone()));
        }
        table.check()
    }

    fn adopt(&mut self, table: GroupTable, effects: &mut Vec<GroupEffect>) {
        if table.version() > self.table.version() {
            effects.push(GroupEffect::PublishTable(table.clone()));
        }
        self.last_sequence = self.last_sequence.max(table.version().sequence);
        self.table = table;
    }

    /// Writes back the state that the store lacks.
    fn restore(&self) -> Plan {
        let subject = EventSubject::failure_domain(self.world.failure_domain());
        let reason = "the store holds an older group table";
        Plan {
            table: self.table.clone(),
            events: vec![EventDraft::new(EventKind::RecordRestored, subject, reason)],
        }
    }

    fn write(&mut self, now: Timestamp, mut plan: Plan, effects: &mut Vec<GroupEffect>) {
        plan.table.stamp(self.incarnation, self.last_sequence);
        self.last_sequence = plan.table.version().sequence;
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
}
