//! State updates and removal of existing groups.

use super::Planner;
use crate::event::EventKind;
use crate::group::{GroupError, GroupState};
use crate::id::GroupId;

impl Planner<'_> {
    /// Copies settings from the records and marks the groups that have become ready.
    pub(super) fn update_groups(&mut self) -> Result<(), GroupError> {
        let ids: Vec<GroupId> = self.table.groups().keys().cloned().collect();
        for id in &ids {
            self.update_from_spec(id);
            self.mark_if_ready(id)?;
        }
        Ok(())
    }

    /// Removes dissolving groups that are drained or have a failed member.
    pub(super) fn remove_drained_groups(&mut self) -> Result<(), GroupError> {
        let drained: Vec<GroupId> = self
            .table
            .groups()
            .iter()
            .filter(|(_, group)| group.state == GroupState::Dissolving)
            .filter(|(id, _)| self.can_remove(id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &drained {
            self.push_event(EventKind::GroupDissolved, id, "its hosts are released");
            self.table.remove(id)?;
        }
        Ok(())
    }

    fn can_remove(&self, id: &GroupId) -> bool {
        let lost = self.table.groups()[id]
            .members
            .iter()
            .any(|member| self.view.is_failed(self.now, &member.host));
        lost || self.progress.is_drained(self.now, self.view, id)
    }

    fn update_from_spec(&mut self, id: &GroupId) {
        let record = &self.table.groups()[id].record;
        if let Some(desired) = self.view.demand().and_then(|demand| demand.get(record)) {
            self.table.update_from_spec(id, &desired.spec);
        }
    }

    fn mark_if_ready(&mut self, id: &GroupId) -> Result<(), GroupError> {
        let group = &self.table.groups()[id];
        let forming = group.state == GroupState::Forming;
        if forming && self.view.group_fault(self.now, id, group).is_none() {
            self.table.mark_serving(id)?;
        }
        Ok(())
    }
}
