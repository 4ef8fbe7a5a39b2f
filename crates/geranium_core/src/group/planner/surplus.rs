//! Dissolution of groups that are no longer needed.

use std::collections::BTreeSet;

use super::Planner;
use crate::event::EventKind;
use crate::group::{GroupError, GroupState, ReplicaGroup};
use crate::id::{GroupId, RecordName};

impl Planner<'_> {
    /// Dissolves groups beyond the desired number, and outdated groups as soon as
    /// current ones serve in their place.
    pub(super) fn dissolve_surplus(&mut self) -> Result<(), GroupError> {
        let records: BTreeSet<RecordName> = self
            .table
            .groups()
            .values()
            .map(|group| group.record.clone())
            .collect();
        for record in &records {
            self.dissolve_surplus_of(record)?;
        }
        Ok(())
    }

    fn dissolve_surplus_of(&mut self, record: &RecordName) -> Result<(), GroupError> {
        let desired = self
            .view
            .demand()
            .and_then(|demand| demand.get(record))
            .map_or(0, |desired| desired.replicas);
        let current = self.groups_of(record, true);
        let outdated = self.groups_of(record, false);
        let open = current.iter().filter(|id| self.is_open(id)).count();
        let still_needed = desired.saturating_sub(open);
        for id in current.iter().skip(desired) {
            self.dissolve(id, "the record asks for fewer replicas")?;
        }
        for id in outdated.iter().skip(still_needed) {
            self.dissolve(id, "the record changed and newer groups take its place")?;
        }
        Ok(())
    }

    /// Returns the current or outdated groups of a record: open groups first, then by age,
    /// oldest first.
    pub(super) fn groups_of(&self, record: &RecordName, current: bool) -> Vec<GroupId> {
        let mut groups: Vec<(&GroupId, &ReplicaGroup)> = self
            .table
            .groups()
            .iter()
            .filter(|(_, group)| &group.record == record)
            .filter(|(_, group)| group.state != GroupState::Dissolving)
            .filter(|(_, group)| self.is_current(group) == current)
            .collect();
        groups.sort_by_key(|(id, group)| (!self.is_open(id), group.fencing));
        groups.into_iter().map(|(id, _)| id.clone()).collect()
    }

    /// Returns whether a group matches the current content of its record.
    pub(super) fn is_current(&self, group: &ReplicaGroup) -> bool {
        self.view
            .demand()
            .and_then(|demand| demand.get(&group.record))
            .is_some_and(|desired| group.matches(&desired.spec))
    }

    /// Returns whether a group accepts requests.
    pub(super) fn is_open(&self, id: &GroupId) -> bool {
        let group = &self.table.groups()[id];
        self.view.is_open(self.now, id, group)
    }

    /// Starts dissolving a group.
    pub(super) fn dissolve(&mut self, id: &GroupId, reason: &str) -> Result<(), GroupError> {
        self.table.begin_dissolve(id)?;
        self.push_event(EventKind::GroupDissolved, id, reason);
        Ok(())
    }
}
