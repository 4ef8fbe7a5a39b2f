//! Reading and writing of the table.

use super::{GroupController, PendingRead, PendingWrite, Phase};
use crate::event::{EventDraft, EventKind, EventSubject};
use crate::group::planner::Plan;
use crate::group::{GroupEffect, GroupError, GroupTable, OutagePolicy, WriteOutcome};
use crate::id::StoreRevision;
use crate::time::Timestamp;

impl<P: OutagePolicy> GroupController<P> {
    /// Requests the table; nothing else happens until it has been read.
    pub(super) fn read_table(
        &mut self,
        now: Timestamp,
        unresolved: Option<PendingWrite>,
        effects: &mut Vec<GroupEffect>,
    ) {
        let read = self.store_reachable.then(|| self.next_read(now));
        effects.extend(read.map(|read| GroupEffect::LoadTable { read: read.number }));
        self.phase = Phase::Unread { read, unresolved };
    }

    /// Assigns a number to a read, so that the answer to an earlier read is not mistaken for its
    /// answer.
    pub(super) fn next_read(&mut self, now: Timestamp) -> PendingRead {
        self.reads += 1;
        PendingRead {
            number: self.reads,
            requested_at: now,
        }
    }

    /// Handles the result of a read.
    pub(super) fn table_loaded(
        &mut self,
        now: Timestamp,
        number: u64,
        table: Option<GroupTable>,
        revision: StoreRevision,
        effects: &mut Vec<GroupEffect>,
    ) {
        let (read, unresolved) = match &self.phase {
            Phase::Unread {
                read: Some(read),
                unresolved,
            } => (*read, unresolved.clone()),
            Phase::Outage {
                leads: true,
                unresolved,
                read,
            } => (*read, unresolved.clone()),
            _ => return,
        };
        if read.number != number {
            return;
        }
        let table = table.unwrap_or_else(|| GroupTable::new(self.view.failure_domain().clone()));
        if let Err(e) = self.check(&table) {
            self.emit_domain_event(effects, EventKind::TableRejected, &e.to_string());
            return;
        }
        if let Some(write) = unresolved.filter(|write| write.table == table) {
            effects.extend(write.events.into_iter().map(GroupEffect::Emit));
        }
        // The answer shows the state of the store at the time of the request or later.
        self.confirmed_at = Some(read.requested_at);
        self.revision = revision;
        self.store_is_behind = table.version() < self.table.version();
        if !self.store_is_behind {
            self.adopt(table, effects);
        }
        self.phase = Phase::Ready;
        self.step(now, effects);
    }

    /// Handles the outcome of the write in flight.
    pub(super) fn table_written(
        &mut self,
        now: Timestamp,
        sequence: u64,
        outcome: WriteOutcome,
        effects: &mut Vec<GroupEffect>,
    ) {
        let Phase::Writing {
            write,
            requested_at,
        } = &self.phase
        else {
            return;
        };
        if write.table.version().sequence != sequence {
            return;
        }
        let (write, requested_at) = (write.clone(), *requested_at);
        match outcome {
            WriteOutcome::Applied { revision } => {
                self.emit_domain_event(effects, EventKind::StoreWritten, "group table");
                effects.extend(write.events.into_iter().map(GroupEffect::Emit));
                self.adopt(write.table, effects);
                self.revision = revision;
                self.store_is_behind = false;
                self.confirmed_at = Some(requested_at);
                self.phase = Phase::Ready;
                self.step(now, effects);
            }
            WriteOutcome::Conflict => {
                self.emit_domain_event(effects, EventKind::StoreConflict, "group table");
                self.read_table(now, None, effects);
            }
            WriteOutcome::Ambiguous => {
                self.emit_domain_event(effects, EventKind::StoreAmbiguous, "group table");
                self.read_table(now, Some(write), effects);
            }
            WriteOutcome::Failed => self.phase = Phase::Ready,
        }
    }

    /// Plans the next change and requests its write.
    pub(super) fn plan(&mut self, now: Timestamp, effects: &mut Vec<GroupEffect>) {
        let planned = self.planner(now).plan(&self.policy);
        let plan = match planned {
            Ok(Some(plan)) => plan,
            Ok(None) if self.store_is_behind => self.restore(),
            Ok(None) => return,
            Err(e) => {
                self.emit_domain_event(effects, EventKind::TableRejected, &e.to_string());
                return;
            }
        };
        self.write(now, plan, effects);
    }

    /// Enters the outage if a read or write has timed out.
    pub(super) fn time_out_store_call(&mut self, now: Timestamp, effects: &mut Vec<GroupEffect>) {
        let limit = self.view.config().store_timeout;
        let requested_at = match &self.phase {
            Phase::Unread {
                read: Some(read), ..
            }
            | Phase::Outage {
                leads: true, read, ..
            } => read.requested_at,
            Phase::Writing { requested_at, .. } => *requested_at,
            _ => return,
        };
        if now.since(requested_at) >= limit {
            self.enter_outage(now, effects);
        }
    }

    pub(super) fn check(&self, table: &GroupTable) -> Result<(), GroupError> {
        let expected = self.view.failure_domain();
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

    /// Returns a plan that writes the newer local table back to the store.
    fn restore(&self) -> Plan {
        let subject = EventSubject::failure_domain(self.view.failure_domain());
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
            requested_at: now,
        };
    }
}
