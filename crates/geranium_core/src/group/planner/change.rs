//! Changes of groups that stay as they are.

use super::Planner;
use crate::event::EventKind;
use crate::group::{GroupError, GroupState};
use crate::id::GroupId;

impl Planner<'_> {
    /// Copies figures of the records and notes the groups that have become ready.
    pub(super) fn update_groups(&mut self) -> Result<(), GroupError> {
        let ids: Vec<GroupId> = self.table.groups().keys().cloned().collect();
        for id in &ids {
            self.update_figures(id);
            self.mark_if_ready(id)?;
        }
        Ok(())
    }

    /// Removes dissolving groups that have no request in progress any more.
    pub(super) fn end_drained_groups(&mut self) -> Result<(), GroupError> {
        let ended: Vec<GroupId> = self
            .table
            .groups()
            .iter()
            .filter(|(_, group)| group.state == GroupState::Dissolving)
            .filter(|(id, _)| self.is_over(id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &ended {
            self.note(EventKind::GroupDissolved, id, "its hosts are released");
            self.table.remove(id)?;
        }
        Ok(())
    }

    fn is_over(&self, id: &GroupId) -> bool {
        let lost = self.table.groups()[id]
            .members
            .iter()
            .any(|member| self.world.is_failed(self.now, &member.host));
        lost || self.progress.is_drained(self.now, self.world, id)
    }

    fn update_figures(&mut self, id: &GroupId) {
        let record = &self.table.groups()[id].record;
        if let Some(wanted) = self.world.demand().and_then(|demand| demand.get(record)) {
            self.table.update_figures(id, &wanted.spec);
        }
    }

    fn mark_if_ready(&mut self, id: &GroupId) -> Result<(), GroupError> {
        let group = &self.table.groups()[id];
        let forming = group.state == GroupState::Forming;
        if forming && self.world.group_fault(self.now, id, group).is_none() {
            self.table.mark_serving(id)?;
        }
        Ok(())
    }
}
