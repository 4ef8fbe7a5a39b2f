//! Repair of groups that have lost members.

use std::collections::BTreeMap;

use super::Planner;
use crate::event::EventKind;
use crate::group::{GroupError, GroupState, ReplicaGroup, placement};
use crate::id::{FabricDomainId, GroupId, HostId};

/// A group that cannot be repaired with the available spares.
struct Unrepaired {
    id: GroupId,
    lost: usize,
    survivors: usize,
}

impl Planner<'_> {
    /// Replaces members that failed, straggle or leave service.
    pub(super) fn repair_groups(&mut self) -> Result<(), GroupError> {
        let mut unrepaired: BTreeMap<FabricDomainId, Vec<Unrepaired>> = BTreeMap::new();
        for id in self.groups_by_priority() {
            let fabric_domain = self.table.groups()[&id].fabric_domain.clone();
            if let Some(group) = self.repair(&id)? {
                unrepaired.entry(fabric_domain).or_default().push(group);
            }
        }
        for (fabric_domain, groups) in unrepaired {
            self.dissolve_least_needed(&fabric_domain, &groups)?;
        }
        Ok(())
    }

    /// Returns the groups that are not dissolving, those of unserved models first.
    pub(super) fn groups_by_priority(&self) -> Vec<GroupId> {
        let mut groups: Vec<(&GroupId, &ReplicaGroup)> = self
            .table
            .groups()
            .iter()
            .filter(|(_, group)| group.state != GroupState::Dissolving)
            .collect();
        groups.sort_by_key(|(id, group)| (self.is_served(group), (*id).clone()));
        groups.into_iter().map(|(id, _)| id.clone()).collect()
    }

    fn is_served(&self, group: &ReplicaGroup) -> bool {
        self.table
            .groups()
            .iter()
            .any(|(id, other)| other.served_model == group.served_model && self.is_open(id))
    }

    fn repair(&mut self, id: &GroupId) -> Result<Option<Unrepaired>, GroupError> {
        let lost = self.lost_members(id);
        let leaving = self.leaving_members(id);
        if lost.is_empty() {
            if !leaving.is_empty() {
                self.migrate(id, &leaving)?;
            }
            return Ok(None);
        }
        let group = &self.table.groups()[id];
        if !self.is_current(group) {
            self.push_event(
                EventKind::GroupDissolved,
                id,
                "the group lost a member and its record changed",
            );
            self.table.remove(id)?;
            return Ok(None);
        }
        let mut to_replace = lost.clone();
        to_replace.extend(leaving.into_iter().filter(|host| !lost.contains(host)));
        if self.replace(id, &to_replace)? {
            return Ok(None);
        }
        self.form_elsewhere(id, to_replace.len())
    }

    /// Returns the members that have failed, are unreliable or straggle.
    pub(super) fn lost_members(&self, id: &GroupId) -> Vec<HostId> {
        let group = &self.table.groups()[id];
        let straggling = self.progress.is_straggling(self.now, self.view, id);
        let is_lost = |rank: usize| {
            let host = &group.members[rank].host;
            let unavailable =
                self.view.is_failed(self.now, host) || self.view.is_unreliable(self.now, host);
            let has_fault = || self.view.member_fault(self.now, id, group, rank).is_some();
            unavailable || (straggling && has_fault())
        };
        (0..group.members.len())
            .filter(|&rank| is_lost(rank))
            .map(|rank| group.members[rank].host.clone())
            .collect()
    }

    /// Returns the members that are leaving or drained.
    fn leaving_members(&self, id: &GroupId) -> Vec<HostId> {
        let members = self.table.groups()[id].members.iter();
        members
            .map(|member| member.host.clone())
            .filter(|host| self.view.is_leaving_service(host))
            .collect()
    }

    fn replace(&mut self, id: &GroupId, to_replace: &[HostId]) -> Result<bool, GroupError> {
        let fabric_domain = &self.table.groups()[id].fabric_domain;
        let found =
            placement::replacements(self.now, self.view, &self.table, fabric_domain, to_replace);
        let Some(pairs) = found else {
            return Ok(false);
        };
        self.table.replace_members(id, &pairs)?;
        for (old, new) in &pairs {
            let reason = format!("host {old} is replaced by {}", new.host);
            self.push_event(EventKind::GroupRepaired, id, reason);
        }
        Ok(true)
    }

    /// Removes a group that cannot be repaired if a complete new group can be placed.
    fn form_elsewhere(
        &mut self,
        id: &GroupId,
        lost: usize,
    ) -> Result<Option<Unrepaired>, GroupError> {
        let size = self.table.groups()[id].members.len();
        if placement::place_group(self.now, self.view, &self.table, size).is_some() {
            self.push_event(
                EventKind::GroupDissolved,
                id,
                "no spare is left in its fabric domain",
            );
            self.table.remove(id)?;
            self.form_groups()?;
            return Ok(None);
        }
        Ok(Some(Unrepaired {
            id: id.clone(),
            lost,
            survivors: size - lost,
        }))
    }

    /// Replaces a group whose members leave service, without interrupting its requests.
    ///
    /// Without hosts for a whole new group, the leaving members are replaced once the group
    /// is drained.
    fn migrate(&mut self, id: &GroupId, leaving: &[HostId]) -> Result<(), GroupError> {
        let size = self.table.groups()[id].members.len();
        if placement::place_group(self.now, self.view, &self.table, size).is_some() {
            self.dissolve(id, "a member is leaving")?;
            return self.form_groups();
        }
        if self.progress.is_drained(self.now, self.view, id) {
            self.replace(id, leaving)?;
        }
        Ok(())
    }

    /// Removes the unrepaired group with the lowest priority if its hosts complete another.
    fn dissolve_least_needed(
        &mut self,
        fabric_domain: &FabricDomainId,
        groups: &[Unrepaired],
    ) -> Result<(), GroupError> {
        let Some((last, others)) = groups.split_last() else {
            return Ok(());
        };
        let by_fabric = placement::spares(self.now, self.view, &self.table);
        let spares = by_fabric.get(fabric_domain).map_or(0, Vec::len);
        if others
            .iter()
            .any(|other| other.lost <= spares + last.survivors)
        {
            let reason = "its hosts complete another group";
            self.push_event(EventKind::GroupDissolved, &last.id, reason);
            self.table.remove(&last.id)?;
        }
        Ok(())
    }
}
