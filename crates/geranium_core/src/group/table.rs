//! The group table of a failure domain.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::table_check;
use crate::engine::{Member, Order, OrderAction};
use crate::group::{GroupError, GroupState, ReplicaGroup};
use crate::id::{FabricDomainId, FailureDomainId, FencingNumber, GroupId, HostId, Incarnation};
use crate::record::ModelSpec;

/// Layout of the table that this release reads and writes.
pub const TABLE_SCHEMA_VERSION: u32 = 1;

/// Bytes of the failure domain's name that a group id starts with.
const GROUP_ID_PREFIX_LEN: usize = 100;

/// Every replica group of a failure domain, as one value of the platform's store.
///
/// The methods keep three rules: a host belongs to at most one group and to none
/// while it is being released; every fencing number is fresh; the members of a
/// group share a fabric domain, which the caller names once for the whole group.
///
/// # Examples
///
/// ```
/// use geranium_core::group::GroupTable;
/// use geranium_core::id::FailureDomainId;
///
/// let table = GroupTable::new(FailureDomainId::new("lima-1"));
///
/// assert_eq!(table.check(), Ok(()));
/// assert!(table.groups().is_empty());
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupTable {
    pub(super) schema_version: u32,
    pub(super) failure_domain: FailureDomainId,
    pub(super) writer: Incarnation,
    pub(super) sequence: u64,
    pub(super) next_fencing: FencingNumber,
    pub(super) groups: BTreeMap<GroupId, ReplicaGroup>,
    pub(super) fences: BTreeMap<HostId, FencingNumber>,
    pub(super) releasing: BTreeMap<HostId, FencingNumber>,
}

impl GroupTable {
    /// Makes a table without groups.
    #[must_use]
    pub fn new(failure_domain: FailureDomainId) -> Self {
        Self {
            schema_version: TABLE_SCHEMA_VERSION,
            failure_domain,
            writer: Incarnation::default(),
            sequence: 0,
            next_fencing: FencingNumber(1),
            groups: BTreeMap::new(),
            fences: BTreeMap::new(),
            releasing: BTreeMap::new(),
        }
    }

    /// Checks every rule of the table.
    ///
    /// # Errors
    ///
    /// Returns the first rule that is broken.
    pub fn check(&self) -> Result<(), GroupError> {
        table_check::check(self)
    }

    /// Returns the failure domain that the table belongs to.
    #[must_use]
    pub fn failure_domain(&self) -> &FailureDomainId {
        &self.failure_domain
    }

    /// Returns the groups by id.
    #[must_use]
    pub fn groups(&self) -> &BTreeMap<GroupId, ReplicaGroup> {
        &self.groups
    }

    /// Returns the hosts being released with the fencing numbers of their releases.
    #[must_use]
    pub fn releasing(&self) -> &BTreeMap<HostId, FencingNumber> {
        &self.releasing
    }

    /// Returns the highest fencing number handed out to a host.
    #[must_use]
    pub fn highest_fencing(&self, host: &HostId) -> Option<FencingNumber> {
        self.fences.get(host).copied()
    }

    /// Returns the fencing number that is handed out next.
    #[must_use]
    pub fn next_fencing(&self) -> FencingNumber {
        self.next_fencing
    }

    /// Returns the group that a host belongs to.
    #[must_use]
    pub fn group_of(&self, host: &HostId) -> Option<(&GroupId, &ReplicaGroup)> {
        self.groups.iter().find(|(_, group)| group.has_member(host))
    }

    /// Returns whether a host is in no group and not being released.
    #[must_use]
    pub fn is_free(&self, host: &HostId) -> bool {
        !self.releasing.contains_key(host) && self.group_of(host).is_none()
    }

    /// Returns whether a write left this table behind.
    #[must_use]
    pub fn was_written_by(&self, writer: Incarnation, sequence: u64) -> bool {
        self.writer == writer && self.sequence == sequence
    }

    /// Returns the number of the last write.
    #[must_use]
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Names the writer of the next write and numbers it.
    ///
    /// `writes` is the number of the writer's last write; the new number is
    /// above it and above that of the table, so that a writer never uses one twice.
    pub fn stamp(&mut self, writer: Incarnation, writes: u64) {
        self.writer = writer;
        self.sequence = self.sequence.max(writes) + 1;
    }

    /// Forms a group of free hosts of one fabric domain.
    ///
    /// # Errors
    ///
    /// Returns an error if a host is not free or named twice, if there are no
    /// members or if the fencing numbers are used up.
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
        let fencing = self.take_fencing()?;
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

    /// Replaces members of a group by free hosts, rank by rank.
    ///
    /// The hosts taken out are released under a fencing number of their own.
    ///
    /// # Errors
    ///
    /// Returns an error, and leaves the table as it was, if the group does not
    /// exist or is dissolving, if a host taken out is no member, if a new host
    /// is not free or if the fencing numbers are used up.
    pub fn replace_members(
        &mut self,
        id: &GroupId,
        replacements: &[(HostId, Member)],
    ) -> Result<FencingNumber, GroupError> {
        self.check_replacements(id, replacements)?;
        let fencing = self.take_fencing()?;
        let release = self.take_fencing()?;
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
        Ok(fencing)
    }

    /// Gives a group a fresh fencing number.
    ///
    /// # Errors
    ///
    /// Returns an error if the group does not exist, is dissolving or if the
    /// fencing numbers are used up.
    pub fn renumber(&mut self, id: &GroupId) -> Result<FencingNumber, GroupError> {
        self.replace_members(id, &[])
    }

    /// Notes that every member of a forming group was seen ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the group does not exist or is dissolving.
    pub fn mark_serving(&mut self, id: &GroupId) -> Result<(), GroupError> {
        self.changeable(id)?.state = GroupState::Serving;
        Ok(())
    }

    /// Ends the intake of a group; its hosts stay until [`GroupTable::remove`].
    ///
    /// # Errors
    ///
    /// Returns an error if the group does not exist or is dissolving already.
    pub fn begin_dissolve(&mut self, id: &GroupId) -> Result<(), GroupError> {
        self.changeable(id)?.state = GroupState::Dissolving;
        Ok(())
    }

    /// Removes a group and starts the release of its hosts.
    ///
    /// # Errors
    ///
    /// Returns an error if the group does not exist or if the fencing numbers
    /// are used up.
    pub fn remove(&mut self, id: &GroupId) -> Result<(), GroupError> {
        if !self.groups.contains_key(id) {
            return Err(GroupError::GroupUnknown(id.clone()));
        }
        let release = self.take_fencing()?;
        let Some(group) = self.groups.remove(id) else {
            return Err(GroupError::GroupUnknown(id.clone()));
        };
        for member in group.members {
            self.fences.insert(member.host.clone(), release);
            self.releasing.insert(member.host, release);
        }
        Ok(())
    }

    /// Starts the release of a free host that follows an order unknown to the table.
    ///
    /// # Errors
    ///
    /// Returns an error if the host is not free or if the fencing numbers are
    /// used up.
    pub fn release_stray(&mut self, host: &HostId) -> Result<FencingNumber, GroupError> {
        if !self.is_free(host) {
            return Err(GroupError::HostNotFree(host.clone()));
        }
        self.renew_release(host)
    }

    /// Repeats the release of a host under a fresh fencing number.
    ///
    /// # Errors
    ///
    /// Returns an error if the host is not being released or if the fencing
    /// numbers are used up.
    pub fn renumber_release(&mut self, host: &HostId) -> Result<FencingNumber, GroupError> {
        if !self.releasing.contains_key(host) {
            return Err(GroupError::NotReleasing(host.clone()));
        }
        self.renew_release(host)
    }

    /// Frees a host whose engine has acknowledged its release.
    ///
    /// # Errors
    ///
    /// Returns an error if the host is not being released.
    pub fn acknowledge_release(&mut self, host: &HostId) -> Result<(), GroupError> {
        match self.releasing.remove(host) {
            Some(_) => Ok(()),
            None => Err(GroupError::NotReleasing(host.clone())),
        }
    }

    /// Copies the figures of a record that engines need not know.
    ///
    /// Returns whether anything changed.
    pub fn update_figures(&mut self, id: &GroupId, spec: &ModelSpec) -> bool {
        let Some(group) = self.groups.get_mut(id) else {
            return false;
        };
        let before = group.clone();
        group.served_model.clone_from(&spec.served_model);
        group.cold_concurrency = spec.cold_concurrency;
        group.warm_concurrency = spec.warm_concurrency;
        *group != before
    }

    /// Makes every number handed out from now on higher than one seen outside the table.
    ///
    /// # Errors
    ///
    /// Returns an error if no number is higher.
    pub fn raise_fencing_above(&mut self, seen: FencingNumber) -> Result<(), GroupError> {
        let above = seen.0.checked_add(1).ok_or(GroupError::FencingExhausted)?;
        self.next_fencing = self.next_fencing.max(FencingNumber(above));
        Ok(())
    }

    /// Forgets hosts that are free and not kept.
    ///
    /// Returns whether any was forgotten.
    pub fn forget_hosts(&mut self, mut keep: impl FnMut(&HostId) -> bool) -> bool {
        let forgotten: Vec<HostId> = self
            .fences
            .keys()
            .filter(|host| self.is_free(host) && !keep(host))
            .cloned()
            .collect();
        for host in &forgotten {
            self.fences.remove(host);
        }
        !forgotten.is_empty()
    }

    /// Returns the order that a host should follow, if the table asks anything of it.
    #[must_use]
    pub fn order_for(&self, host: &HostId) -> Option<Order> {
        if let Some(&fencing) = self.releasing.get(host) {
            return Some(release_order(host, fencing));
        }
        let (id, group) = self.group_of(host)?;
        let rank = group.members.iter().position(|m| &m.host == host)?;
        Some(group.load_order(id, rank))
    }

    /// Returns the order of every host that the table asks anything of.
    #[must_use]
    pub fn orders(&self) -> Vec<Order> {
        let loads = self.groups.iter().flat_map(|(id, group)| {
            (0..group.members.len()).map(move |rank| group.load_order(id, rank))
        });
        let releases = self
            .releasing
            .iter()
            .map(|(host, &f)| release_order(host, f));
        loads.chain(releases).collect()
    }

    fn next_group_id(&self) -> GroupId {
        let domain = self.failure_domain.as_str();
        let prefix = &domain[..domain.len().min(GROUP_ID_PREFIX_LEN)];
        GroupId::new(format!("{prefix}-g{}", self.next_fencing))
    }

    fn take_fencing(&mut self) -> Result<FencingNumber, GroupError> {
        let taken = self.next_fencing;
        self.raise_fencing_above(taken)?;
        Ok(taken)
    }

    fn renew_release(&mut self, host: &HostId) -> Result<FencingNumber, GroupError> {
        let release = self.take_fencing()?;
        self.fences.insert(host.clone(), release);
        self.releasing.insert(host.clone(), release);
        Ok(release)
    }

    fn changeable(&mut self, id: &GroupId) -> Result<&mut ReplicaGroup, GroupError> {
        match self.groups.get_mut(id) {
            None => Err(GroupError::GroupUnknown(id.clone())),
            Some(g) if g.state == GroupState::Dissolving => {
                Err(GroupError::GroupDissolving(id.clone()))
            }
            Some(group) => Ok(group),
        }
    }

    fn check_replacements(
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

fn release_order(host: &HostId, fencing: FencingNumber) -> Order {
    Order {
        host: host.clone(),
        fencing,
        action: OrderAction::Release,
    }
}
