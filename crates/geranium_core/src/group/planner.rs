//! Next state of the group table.

mod change;
mod formation;
mod outage;
mod release;
mod repair;
mod surplus;

use crate::event::{EventDraft, EventKind, EventSubject};
use crate::group::progress::Progress;
use crate::group::{GroupError, GroupTable, OutagePolicy, World};
use crate::id::{GroupId, Incarnation};
use crate::time::Timestamp;

/// A changed table with the events that are due once it is written.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    /// The new table.
    pub(super) table: GroupTable,
    /// What changed, for people.
    pub(super) events: Vec<EventDraft>,
}

/// Works out the next state of the group table.
pub(super) struct Planner<'a> {
    now: Timestamp,
    world: &'a World,
    progress: &'a Progress,
    process: Incarnation,
    table: GroupTable,
    events: Vec<EventDraft>,
}

impl<'a> Planner<'a> {
    /// Makes a planner of a process that starts from a table.
    pub(super) fn new(
        now: Timestamp,
        world: &'a World,
        progress: &'a Progress,
        process: Incarnation,
        table: &GroupTable,
    ) -> Self {
        Self {
            now,
            world,
            progress,
            process,
            table: table.clone(),
            events: Vec::new(),
        }
    }

    /// Returns the changed table, or `None` if nothing is to be changed.
    ///
    /// # Errors
    ///
    /// Returns an error if the fencing numbers are used up.
    pub(super) fn plan(mut self, policy: &impl OutagePolicy) -> Result<Option<Plan>, GroupError> {
        let (Some(_), Some(_)) = (self.world.demand(), self.world.hosts()) else {
            return Ok(None);
        };
        let before = self.table.clone();
        self.leave_earlier_numbers()?;
        let kept = self.take_back_delegations()?;
        self.follow_fencing()?;
        self.acknowledge_releases()?;
        self.release_strays()?;
        self.end_drained_groups()?;
        self.update_groups()?;
        self.dissolve_surplus()?;
        if !self.world.drains().domain_out {
            self.repair_groups()?;
            self.form_groups()?;
            self.make_room_for_changes()?;
        }
        self.delegate_spares(policy, &kept)?;
        let changed = self.table != before;
        Ok(changed.then_some(Plan {
            table: self.table,
            events: self.events,
        }))
    }

    fn note(&mut self, kind: EventKind, id: &GroupId, reason: impl Into<String>) {
        let mut subject = EventSubject::group(id);
        subject.failure_domain = Some(self.world.failure_domain().clone());
        subject.record = self.table.groups().get(id).map(|g| g.record.clone());
        self.events.push(EventDraft::new(kind, subject, reason));
    }
}
