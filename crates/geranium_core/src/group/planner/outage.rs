//! Delegation of spares and repair by their holder.

use std::collections::BTreeMap;

use super::{Plan, Planner};
use crate::engine::Member;
use crate::event::EventKind;
use crate::group::{Delegation, GroupError, OutagePolicy, placement};
use crate::id::{FabricDomainId, GroupId, HostId};

impl Planner<'_> {
    /// Ends all delegations: those of this process at once, those of other processes by
    /// fencing the spares.
    ///
    /// Returns the former delegations of this process.
    pub(super) fn end_delegations(
        &mut self,
    ) -> Result<BTreeMap<FabricDomainId, Delegation>, GroupError> {
        let previous = self.table.return_delegations(self.process);
        let others: Vec<FabricDomainId> = self.table.delegations().keys().cloned().collect();
        for fabric_domain in &others {
            self.table.revoke_delegation(fabric_domain)?;
        }
        Ok(previous)
    }

    /// Delegates the remaining spares to this process.
    pub(super) fn delegate_spares(
        &mut self,
        policy: &impl OutagePolicy,
        previous: &BTreeMap<FabricDomainId, Delegation>,
    ) -> Result<(), GroupError> {
        for (fabric_domain, spares) in policy.spares(self.view, &self.table) {
            let earlier = previous.get(&fabric_domain);
            self.table
                .delegate(&fabric_domain, self.process, spares, earlier)?;
        }
        Ok(())
    }

    /// Returns the table amended within this process's delegations, or `None` if no
    /// repair is needed or possible.
    ///
    /// # Errors
    ///
    /// Returns an error if the reserved fencing numbers are exhausted.
    pub(in crate::group) fn amend(mut self) -> Result<Option<Plan>, GroupError> {
        for id in self.groups_by_priority() {
            self.repair_as_holder(&id)?;
        }
        let changed = !self.events.is_empty();
        Ok(changed.then_some(Plan {
            table: self.table,
            events: self.events,
        }))
    }

    fn repair_as_holder(&mut self, id: &GroupId) -> Result<(), GroupError> {
        let fabric_domain = &self.table.groups()[id].fabric_domain;
        let Some(delegation) = self.table.delegations().get(fabric_domain) else {
            return Ok(());
        };
        let lost = self.lost_members(id);
        if delegation.holder != self.process || lost.is_empty() {
            return Ok(());
        }
        let spares: Vec<&Member> = delegation
            .spares
            .iter()
            .filter(|spare| placement::is_available(self.now, self.view, &spare.host))
            .collect();
        if spares.len() < lost.len() {
            return Ok(());
        }
        let pairs: Vec<(HostId, Member)> =
            lost.into_iter().zip(spares.into_iter().cloned()).collect();
        self.table
            .replace_members_as_holder(self.process, id, &pairs)?;
        for (old, new) in &pairs {
            let reason = format!("host {old} is replaced by delegated spare {}", new.host);
            self.push_event(EventKind::GroupRepaired, id, reason);
        }
        Ok(())
    }
}
