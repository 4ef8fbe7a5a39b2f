//! Repair of groups that lost members.

use std::collections::BTreeMap;

use super::Planner;
use crate::event::EventKind;
use crate::group::{GroupError, GroupState, ReplicaGroup, placement};
use crate::id::{FabricDomainId, GroupId, HostId};

/// A group that cannot be completed with the spares at hand.
struct Unrepaired {
    id: GroupId,
    lost: usize,
    survivors: usize,
}

impl Planner<'_> {
    /// Replaces members that failed, straggle or leave.
    pub(super) fn repair_groups(&mut self) -> Result<(), GroupError> {
        let mut unrepaired: BTreeMap<FabricDomainId, Vec<Unrepaired>> = BTreeMap::new();
        for id in self.groups_by_need() {
            let fabric_domain = self.table.groups()[&id].fabric_domain.clone();
            if let Some(rest) = self.repair(&id)? {
                unrepaired.entry(fabric_domain).or_default().push(rest);
            }
        }
        for (fabric_domain, groups) in unrepaired {
            self.give_up_one(&fabric_domain, &groups)?;
        }
        Ok(())
    }

    /// Returns the live groups, those of models that no group serves first.
    pub(super) fn groups_by_need(&self) -> Vec<GroupId> {
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
        let going = self.going_members(id);
        if lost.is_empty() {
            if !going.is_empty() {
                self.move_away(id, &going)?;
            }
            return Ok(None);
        }
        let group = &self.table.groups()[id];
        if !self.is_current(group) {
            self.note(
                EventKind::GroupDissolved,
                id,
                "it lost a member and its record changed",
            );
            self.table.remove(id)?;
            return Ok(None);
        }
        let mut out = lost.clone();
        out.extend(going.into_iter().filter(|host| !lost.contains(host)));
        if self.replace(id, &out)? {
            return Ok(None);
        }
        self.form_elsewhere(id, out.len())
    }

    /// Members that have failed or straggle.
    pub(super) fn lost_members(&self, id: &GroupId) -> Vec<HostId> {
        let group = &self.table.groups()[id];
        let straggling = self.progress.is_straggling(self.now, self.world, id);
        let is_lost = |rank: usize| {
            let host = &group.members[rank].host;
            let gone =
                self.world.is_failed(self.now, host) || self.world.is_unsteady(self.now, host);
            let behind = || self.world.member_fault(self.now, id, group, rank).is_some();
            gone || (straggling && behind())
        };
        (0..group.members.len())
            .filter(|&rank| is_lost(rank))
            .map(|rank| group.members[rank].host.clone())
            .collect()
    }

    /// Members that leave or are taken out of service.
    fn going_members(&self, id: &GroupId) -> Vec<HostId> {
        let members = self.table.groups()[id].members.iter();
        members
            .map(|member| member.host.clone())
            .filter(|host| self.world.is_going(host))
            .collect()
    }

    fn replace(&mut self, id: &GroupId, out: &[HostId]) -> Result<bool, GroupError> {
        let fabric_domain = &self.table.groups()[id].fabric_domain;
        let found = placement::replacements(self.now, self.world, &self.table, fabric_domain, out);
        let Some(pairs) = found else {
            return Ok(false);
        };
        self.table.replace_members(id, &pairs)?;
        for (old, new) in &pairs {
            let reason = format!("host {old} is replaced by {}", new.host);
            self.note(EventKind::GroupRepaired, id, reason);
        }
        Ok(true)
    }

    /// Frees a broken group's hosts if a whole new group fits elsewhere.
    fn form_elsewhere(
        &mut self,
        id: &GroupId,
        lost: usize,
    ) -> Result<Option<Unrepaired>, GroupError> {
        let size = self.table.groups()[id].members.len();
        if placement::place(self.now, self.world, &self.table, size).is_some() {
            self.note(
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

    /// Makes room for a group whose members leave, while its requests run on.
    fn move_away(&mut self, id: &GroupId, going: &[HostId]) -> Result<(), GroupError> {
        let size = self.table.groups()[id].members.len();
        if placement::place(self.now, self.world, &self.table, size).is_some() {
            self.dissolve(id, "a member is leaving")?;
            return self.form_groups();
        }
        if self.progress.is_drained(self.now, self.world, id) {
            self.replace(id, going)?;
        }
        Ok(())
    }

    /// Gives up the broken group that is needed least if its hosts complete another.
    fn give_up_one(
        &mut self,
        fabric_domain: &FabricDomainId,
        groups: &[Unrepaired],
    ) -> Result<(), GroupError> {
        let Some((last, others)) = groups.split_last() else {
            return Ok(());
        };
        let by_fabric = placement::spares(self.now, self.world, &self.table);
        let spares = by_fabric.get(fabric_domain).map_or(0, Vec::len);
        if others
            .iter()
            .any(|other| other.lost <= spares + last.survivors)
        {
            let reason = "its hosts complete another group";
            self.note(EventKind::GroupDissolved, &last.id, reason);
            self.table.remove(&last.id)?;
        }
        Ok(())
    }
}
