//! Creation, modification and removal of groups.

use super::{GROUP_ID_PREFIX_LEN, GroupTable};
use crate::engine::Member;
use crate::group::{GroupError, GroupState, ReplicaGroup};
use crate::id::{FabricDomainId, FencingNumber, GroupId, HostId};
use crate::record::ModelSpec;

impl GroupTable {
    /// Forms a group from free hosts of one fabric domain.
    ///
    /// # Errors
    ///
    /// Returns an error if a host is not free or is listed twice, if there are no
    /// members or if the fencing numbers are exhausted.
    pub fn form(
        &mut self,
        spec: &ModelSpec,
        fabric_domain: &FabricDomainId,
        members: Vec<Member>,
    ) -> Result<GroupId, GroupError> {
        let id = self.next_group_id();
        if members.is_empty() {
            return Err(GroupError::NoMembers(id));
        }
        for (rank, member) in members.iter().enumerate() {
            let repeated = members[..rank].iter().any(|m| m.host == member.host);
            if repeated || !self.is_free(&member.host) {
                return Err(GroupError::HostNotFree(member.host.clone()));
            }
        }
        let fencing = self.allocate_fencing()?;
        for member in &members {
            self.fences.insert(member.host.clone(), fencing);
        }
        let group = ReplicaGroup {
            record: spec.name.clone(),
            served_model: spec.served_model.clone(),
            weights: spec.weights.clone(),
            version: spec.version.clone(),
            adapters: spec.adapters.clone(),
            fabric_domain: fabric_domain.clone(),
            members,
            fencing,
            state: GroupState::Forming,
            cold_concurrency: spec.cold_concurrency,
            warm_concurrency: spec.warm_concurrency,
        };
        self.groups.insert(id.clone(), group);
        Ok(id)
    }

    /// Replaces members of a group by free hosts, each at the same rank.
    ///
    /// The replaced hosts are released under a separate fencing number.
    ///
    /// # Errors
    ///
    /// Returns an error, and leaves the table unchanged, if the group does not
    /// exist or is dissolving, if a replaced host is not a member, if a new host
    /// is not free or if the fencing numbers are exhausted.
    pub fn replace_members(
        &mut self,
        id: &GroupId,
        replacements: &[(HostId, Member)],
    ) -> Result<FencingNumber, GroupError> {
        self.check_replacements(id, replacements)?;
        let fencing = self.allocate_fencing()?;
        let release = self.allocate_fencing()?;
        self.exchange_members(id, replacements, fencing, release)?;
        Ok(fencing)
    }

    /// Allocates a new fencing number for a group.
    ///
    /// # Errors
    ///
    /// Returns an error if the group does not exist or is dissolving, or if the
    /// fencing numbers are exhausted.
    pub fn renew_fencing(&mut self, id: &GroupId) -> Result<FencingNumber, GroupError> {
        self.replace_members(id, &[])
    }

    /// Marks a forming group as serving after every member was seen ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the group does not exist or is dissolving.
    pub fn mark_serving(&mut self, id: &GroupId) -> Result<(), GroupError> {
        self.active_group_mut(id)?.state = GroupState::Serving;
        Ok(())
    }

    /// Starts dissolving a group: it accepts no new requests.
    ///
    /// Its hosts stay members until [`GroupTable::remove`].
    ///
    /// # Errors
    ///
    /// Returns an error if the group does not exist or is already dissolving.
    pub fn begin_dissolve(&mut self, id: &GroupId) -> Result<(), GroupError> {
        self.active_group_mut(id)?.state = GroupState::Dissolving;
        Ok(())
    }

    /// Removes a group and starts releasing its hosts.
    ///
    /// # Errors
    ///
    /// Returns an error if the group does not exist or if the fencing numbers
    /// are exhausted.
    pub fn remove(&mut self, id: &GroupId) -> Result<(), GroupError> {
        if !self.groups.contains_key(id) {
            return Err(GroupError::GroupUnknown(id.clone()));
        }
        let release = self.allocate_fencing()?;
        let Some(group) = self.groups.remove(id) else {
            return Err(GroupError::GroupUnknown(id.clone()));
        };
        for member in group.members {
            self.fences.insert(member.host.clone(), release);
            self.releasing.insert(member.host, release);
        }
        Ok(())
    }

    /// Copies the settings of a record that do not concern its engines.
    ///
    /// Returns whether anything changed.
    pub fn update_from_spec(&mut self, id: &GroupId, spec: &ModelSpec) -> bool {
        let Some(group) = self.groups.get_mut(id) else {
            return false;
        };
        let before = group.clone();
        group.served_model.clone_from(&spec.served_model);
        group.cold_concurrency = spec.cold_concurrency;
        group.warm_concurrency = spec.warm_concurrency;
        *group != before
    }

    /// Replaces members.
    ///
    /// The caller has checked the replacements and allocated both fencing numbers.
    pub(super) fn exchange_members(
        &mut self,
        id: &GroupId,
        replacements: &[(HostId, Member)],
        fencing: FencingNumber,
        release: FencingNumber,
    ) -> Result<(), GroupError> {
        let Some(group) = self.groups.get_mut(id) else {
            return Err(GroupError::GroupUnknown(id.clone()));
        };
        for (old, new) in replacements {
            for member in &mut group.members {
                if &member.host == old {
                    member.clone_from(new);
                }
            }
            self.fences.insert(old.clone(), release);
            self.releasing.insert(old.clone(), release);
        }
        group.fencing = fencing;
        group.state = GroupState::Forming;
        for member in &group.members {
            self.fences.insert(member.host.clone(), fencing);
        }
        Ok(())
    }

    fn next_group_id(&self) -> GroupId {
        let domain = self.failure_domain.as_str();
        let prefix = &domain[..domain.len().min(GROUP_ID_PREFIX_LEN)];
        GroupId::new(format!("{prefix}-g{}", self.next_fencing))
    }

    fn active_group_mut(&mut self, id: &GroupId) -> Result<&mut ReplicaGroup, GroupError> {
        match self.groups.get_mut(id) {
            None => Err(GroupError::GroupUnknown(id.clone())),
            Some(g) if g.state == GroupState::Dissolving => {
                Err(GroupError::GroupDissolving(id.clone()))
            }
            Some(group) => Ok(group),
        }
    }

    pub(super) fn check_replacements(
        &self,
        id: &GroupId,
        replacements: &[(HostId, Member)],
    ) -> Result<(), GroupError> {
        let group = self
            .groups
            .get(id)
            .ok_or_else(|| GroupError::GroupUnknown(id.clone()))?;
        if group.state == GroupState::Dissolving {
            return Err(GroupError::GroupDissolving(id.clone()));
        }
        for (n, (old, new)) in replacements.iter().enumerate() {
            if !group.has_member(old) {
                return Err(GroupError::NotMember(old.clone(), id.clone()));
            }
            let repeated = replacements[..n]
                .iter()
                .any(|(o, m)| o == old || m.host == new.host);
            if repeated || !self.is_free(&new.host) {
                return Err(GroupError::HostNotFree(new.host.clone()));
            }
        }
        Ok(())
    }
}
