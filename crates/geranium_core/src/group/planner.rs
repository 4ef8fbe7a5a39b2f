//! Planning of the next group table.

mod formation;
mod outage;
mod release;
mod repair;
mod surplus;
mod update;

use crate::event::{EventDraft, EventKind, EventSubject};
use crate::group::progress::Progress;
use crate::group::{DomainView, GroupError, GroupTable, OutagePolicy};
use crate::id::{GroupId, Incarnation};
use crate::time::Timestamp;

/// A changed table with the events to emit once it is written.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    /// The new table.
    pub(super) table: GroupTable,
    /// Events that describe the changes.
    pub(super) events: Vec<EventDraft>,
}

/// Computes the next group table.
pub(super) struct Planner<'a> {
    now: Timestamp,
    view: &'a DomainView,
    progress: &'a Progress,
    process: Incarnation,
    table: GroupTable,
    events: Vec<EventDraft>,
}

impl<'a> Planner<'a> {
    /// Creates a planner for a process, starting from a table.
    pub(super) fn new(
        now: Timestamp,
        view: &'a DomainView,
        progress: &'a Progress,
        process: Incarnation,
        table: &GroupTable,
    ) -> Self {
        Self {
            now,
            view,
            progress,
            process,
            table: table.clone(),
            events: Vec::new(),
        }
    }

    /// Returns the changed table, or `None` if no change is needed.
    ///
    /// # Errors
    ///
    /// Returns an error if the fencing numbers are exhausted.
    pub(super) fn plan(mut self, policy: &impl OutagePolicy) -> Result<Option<Plan>, GroupError> {
        let (Some(_), Some(_)) = (self.view.demand(), self.view.hosts()) else {
            return Ok(None);
        };
        let before = self.table.clone();
        self.skip_earlier_fencing()?;
        let previous = self.end_delegations()?;
        self.catch_up_fencing()?;
        self.acknowledge_releases()?;
        self.release_orphans()?;
        self.remove_drained_groups()?;
        self.update_groups()?;
        self.dissolve_surplus()?;
        if !self.view.drains().domain_drained {
            self.repair_groups()?;
            self.form_groups()?;
            self.free_hosts_for_changed_records()?;
        }
        self.delegate_spares(policy, &previous)?;
        let changed = self.table != before;
        Ok(changed.then_some(Plan {
            table: self.table,
            events: self.events,
        }))
    }

    fn push_event(&mut self, kind: EventKind, id: &GroupId, reason: impl Into<String>) {
        let mut subject = EventSubject::group(id);
        subject.failure_domain = Some(self.view.failure_domain().clone());
        subject.record = self.table.groups().get(id).map(|g| g.record.clone());
        self.events.push(EventDraft::new(kind, subject, reason));
    }
}
