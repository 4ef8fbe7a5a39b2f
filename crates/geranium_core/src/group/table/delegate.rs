//! Delegation of spare hosts.

use std::collections::BTreeMap;

use super::GroupTable;
use crate::engine::Member;
use crate::group::{Delegation, GroupError, GroupState};
use crate::id::{FabricDomainId, FencingNumber, GroupId, HostId, Incarnation};

/// Number of fencing numbers reserved for the holder of a delegation.
const RESERVED_FENCING_NUMBERS: u64 = 1_000;

impl GroupTable {
    /// Returns the delegations, keyed by fabric domain.
    #[must_use]
    pub fn delegations(&self) -> &BTreeMap<FabricDomainId, Delegation> {
        &self.delegations
    }

    /// Returns whether a process holds the delegation of a fabric domain.
    #[must_use]
    pub fn is_holder(&self, fabric_domain: &FabricDomainId, process: Incarnation) -> bool {
        self.delegations
            .get(fabric_domain)
            .is_some_and(|delegation| delegation.holder == process)
    }

    /// Delegates free hosts of a fabric domain to one process.
    ///
    /// `previous` is an earlier delegation to the same process. Its remaining reserved
    /// fencing numbers are kept if they exceed all numbers in use.
    ///
    /// # Errors
    ///
    /// Returns an error if a spare is not free, if the fabric domain is
    /// already delegated or if the fencing numbers are exhausted.
    pub fn delegate(
        &mut self,
        fabric_domain: &FabricDomainId,
        holder: Incarnation,
        spares: Vec<Member>,
        previous: Option<&Delegation>,
    ) -> Result<(), GroupError> {
        if self.delegations.contains_key(fabric_domain) {
            return Err(GroupError::DelegatedAlready(fabric_domain.clone()));
        }
        if let Some(spare) = spares.iter().find(|spare| !self.is_free(&spare.host)) {
            return Err(GroupError::HostNotFree(spare.host.clone()));
        }
        let in_use = self.highest_in_use(fabric_domain, &spares);
        let previous =
            previous.filter(|d| d.next_fencing > in_use && d.next_fencing < d.end_fencing);
        let (next_fencing, end_fencing) = match previous {
            Some(d) => (d.next_fencing, d.end_fencing),
            None => self.reserve_fencing()?,
        };
        let delegation = Delegation {
            holder,
            spares,
            next_fencing,
            end_fencing,
        };
        self.delegations.insert(fabric_domain.clone(), delegation);
        Ok(())
    }

    /// Removes and returns every delegation that a process holds.
    ///
    /// Only the holder itself may call this, since the spares are not fenced.
    pub fn return_delegations(
        &mut self,
        holder: Incarnation,
    ) -> BTreeMap<FabricDomainId, Delegation> {
        let all = std::mem::take(&mut self.delegations);
        let (own, others) = all.into_iter().partition(|(_, d)| d.holder == holder);
        self.delegations = others;
        own
    }

    /// Revokes a delegation; its spares are fenced by a release before they are free again.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no delegation or if the fencing numbers are
    /// exhausted.
    pub fn revoke_delegation(&mut self, fabric_domain: &FabricDomainId) -> Result<(), GroupError> {
        if !self.delegations.contains_key(fabric_domain) {
            return Err(GroupError::NotDelegated(fabric_domain.clone()));
        }
        let release = self.allocate_fencing()?;
        let delegation = self.delegations.remove(fabric_domain);
        for spare in delegation.into_iter().flat_map(|d| d.spares) {
            self.fences.insert(spare.host.clone(), release);
            self.releasing.insert(spare.host, release);
        }
        Ok(())
    }

    /// Replaces members by delegated spares without writing to the store.
    ///
    /// The table becomes an amendment, which the holder's next write includes.
    ///
    /// # Errors
    ///
    /// Returns an error, and leaves the table unchanged, if the process does not hold
    /// the delegation of the group's fabric domain, if a replacement is not one of
    /// its spares, if the reserved numbers are exhausted, or in the cases listed for
    /// [`GroupTable::replace_members`].
    pub fn replace_members_as_holder(
        &mut self,
        holder: Incarnation,
        id: &GroupId,
        replacements: &[(HostId, Member)],
    ) -> Result<FencingNumber, GroupError> {
        let group = self
            .groups
            .get(id)
            .ok_or_else(|| GroupError::GroupUnknown(id.clone()))?;
        let fabric_domain = group.fabric_domain.clone();
        if !self.is_holder(&fabric_domain, holder) {
            return Err(GroupError::NotDelegated(fabric_domain));
        }
        let mut amended = self.clone();
        let fencing = amended.use_spares(&fabric_domain, replacements)?;
        let release = amended.use_spares(&fabric_domain, &[])?;
        amended.check_replacements(id, replacements)?;
        amended.exchange_members(id, replacements, fencing, release)?;
        amended.amendment += 1;
        *self = amended;
        Ok(fencing)
    }

    /// Removes spares from a delegation and returns its next reserved fencing number.
    fn use_spares(
        &mut self,
        fabric_domain: &FabricDomainId,
        replacements: &[(HostId, Member)],
    ) -> Result<FencingNumber, GroupError> {
        let Some(delegation) = self.delegations.get_mut(fabric_domain) else {
            return Err(GroupError::NotDelegated(fabric_domain.clone()));
        };
        for (_, new) in replacements {
            if !delegation.has_spare(&new.host) {
                return Err(GroupError::HostNotFree(new.host.clone()));
            }
            delegation.spares.retain(|spare| spare.host != new.host);
        }
        let fencing = delegation.next_fencing;
        if fencing >= delegation.end_fencing {
            return Err(GroupError::FencingExhausted);
        }
        delegation.next_fencing = fencing.next();
        Ok(fencing)
    }

    fn reserve_fencing(&mut self) -> Result<(FencingNumber, FencingNumber), GroupError> {
        let first = self.next_fencing;
        let last = first
            .0
            .checked_add(RESERVED_FENCING_NUMBERS)
            .ok_or(GroupError::FencingExhausted)?;
        self.next_fencing = FencingNumber(last);
        Ok((first, self.next_fencing))
    }

    fn highest_in_use(&self, fabric_domain: &FabricDomainId, spares: &[Member]) -> FencingNumber {
        let groups = self
            .groups
            .values()
            .filter(|group| &group.fabric_domain == fabric_domain)
            .filter(|group| group.state != GroupState::Dissolving)
            .map(|group| group.fencing);
        let spares = spares
            .iter()
            .filter_map(|spare| self.highest_fencing(&spare.host));
        groups.chain(spares).max().unwrap_or_default()
    }
}
