//! Table of the groups known to the router.

use std::time::Duration;

use super::eligibility::{EligibilityTable, EligibleGroups};
use super::slot::GroupSlot;
use super::{EntryHost, RouteQuery, RouteRefusal, RouterSettings};
use crate::collections::HashMap;
use crate::group::ServingGroup;
use crate::id::{FailureDomainId, GroupId, HostId, ModelId};
use crate::record::{DrainTarget, ModelSpec};
use crate::time::Timestamp;

/// Interval between two comparisons of the groups' latencies.
const COMPARE_INTERVAL: Duration = Duration::from_millis(100);

/// Table of the groups known to the router. A group keeps its slot for as long as
/// it is in the table.
#[derive(Clone, Debug)]
pub(super) struct GroupTable {
    local: FailureDomainId,
    slots: Vec<Option<GroupSlot>>,
    by_group: HashMap<GroupId, u16>,
    eligibility: EligibilityTable,
    drains: Vec<DrainTarget>,
    entry_hosts: HashMap<FailureDomainId, Vec<HostId>>,
    compared_at: Timestamp,
}

impl GroupTable {
    /// Creates an empty table for an entry host in the failure domain `local`.
    pub(super) fn new(local: FailureDomainId) -> Self {
        Self {
            local,
            slots: Vec::new(),
            by_group: HashMap::default(),
            eligibility: EligibilityTable::default(),
            drains: Vec::new(),
            entry_hosts: HashMap::default(),
            compared_at: Timestamp::default(),
        }
    }

    /// Replaces the records, which define the client accounts that each group
    /// serves.
    pub(super) fn set_records(&mut self, records: &[ModelSpec]) {
        self.eligibility.set_records(records);
        self.eligibility.rebuild(&self.local, &self.slots);
    }

    /// Replaces the drains.
    pub(super) fn set_drains(&mut self, drains: impl IntoIterator<Item = DrainTarget>) {
        self.drains = drains.into_iter().collect();
        self.mark_drained();
    }

    /// Replaces the live entry hosts of other failure domains.
    pub(super) fn set_entry_hosts(&mut self, hosts: &[EntryHost]) {
        self.entry_hosts.clear();
        for entry in hosts {
            let domain = entry.failure_domain.clone();
            let hosts = self.entry_hosts.entry(domain).or_default();
            hosts.push(entry.host.clone());
        }
        self.mark_reachable();
    }

    /// Replaces the groups whose gate is open; returns the slots whose prefix cache
    /// entries are no longer valid.
    pub(super) fn set_groups(
        &mut self,
        now: Timestamp,
        groups: &[ServingGroup],
        settings: &RouterSettings,
    ) -> Vec<u16> {
        let before = self.active_groups();
        for slot in self.slots.iter_mut().flatten() {
            slot.stale = true;
        }
        let mut emptied = Vec::new();
        let mut known = 0;
        for group in groups {
            let same = self.set_group(now, group, settings, &mut emptied);
            known += usize::from(same);
        }
        if known == groups.len() && known == before {
            return emptied;
        }
        for slot in self.slots.iter_mut().flatten() {
            slot.active = !slot.stale;
        }
        self.drop_unused_slots(&mut emptied);
        self.mark_drained();
        self.mark_reachable();
        self.eligibility.rebuild(&self.local, &self.slots);
        emptied
    }

    /// Returns the slot number of a group.
    pub(super) fn position(&self, group: &GroupId) -> Option<u16> {
        self.by_group.get(group).copied()
    }

    /// Returns the state of the group in a slot.
    pub(super) fn at(&self, position: u16) -> Option<&GroupSlot> {
        self.slots.get(usize::from(position))?.as_ref()
    }

    /// Returns the state of a group.
    pub(super) fn get(&self, group: &GroupId) -> Option<&GroupSlot> {
        self.at(self.position(group)?)
    }

    /// Returns the mutable state of a group.
    pub(super) fn get_mut(&mut self, group: &GroupId) -> Option<&mut GroupSlot> {
        let position = self.position(group)?;
        self.slots.get_mut(usize::from(position))?.as_mut()
    }

    /// Returns the groups that serve the model of a request to its account.
    pub(super) fn eligible_groups(
        &self,
        query: &RouteQuery<'_>,
    ) -> Result<&EligibleGroups, RouteRefusal> {
        self.eligibility.find(query.model, query.account)
    }

    /// Returns the local or the remote groups of a model that can receive requests.
    pub(super) fn usable<'a>(
        &'a self,
        model: &'a ModelId,
        remote: bool,
    ) -> impl Iterator<Item = &'a GroupSlot> {
        let slots = self.slots.iter().flatten();
        slots.filter(move |slot| {
            let open = slot.active && slot.reachable && !slot.drained;
            let serving = &slot.serving;
            let is_remote = serving.failure_domain != self.local;
            open && serving.served_model == *model && is_remote == remote
        })
    }

    /// Returns the live entry hosts of another failure domain.
    pub(super) fn entry_hosts(&self, domain: &FailureDomainId) -> &[HostId] {
        self.entry_hosts.get(domain).map_or(&[], Vec::as_slice)
    }

    /// Updates the slowdown of each group relative to the other groups of its model,
    /// at most once per [`COMPARE_INTERVAL`].
    pub(super) fn compare_latencies(&mut self, now: Timestamp, settings: &RouterSettings) {
        if now.since(self.compared_at) < COMPARE_INTERVAL {
            return;
        }
        self.compared_at = now;
        let mut latencies: Vec<f32> = Vec::with_capacity(self.slots.len());
        for model in self.eligibility.models() {
            let slots = self.slots.iter_mut().flatten();
            let mut peers: Vec<_> = slots
                .filter(|slot| slot.active && slot.serving.served_model == *model)
                .collect();
            latencies.clear();
            latencies.extend(peers.iter().filter_map(|slot| slot.latency()));
            if latencies.is_empty() {
                continue;
            }
            latencies.sort_by(f32::total_cmp);
            let median = latencies[(latencies.len() - 1) / 2];
            for slot in &mut peers {
                slot.update_slowdown(now, median, settings);
            }
        }
    }

    fn active_groups(&self) -> usize {
        let slots = self.slots.iter().flatten();
        slots.filter(|slot| slot.active).count()
    }

    /// Adds or updates a group; returns whether it was already active with the same
    /// identity.
    fn set_group(
        &mut self,
        now: Timestamp,
        group: &ServingGroup,
        settings: &RouterSettings,
        emptied: &mut Vec<u16>,
    ) -> bool {
        let Some(position) = self.position(&group.group) else {
            self.add_group(now, group);
            return false;
        };
        let Some(slot) = self.slots[usize::from(position)].as_mut() else {
            return false;
        };
        let same = slot.active && slot.is_same(group);
        if slot.update(now, group, settings) {
            emptied.push(position);
        }
        same
    }

    fn add_group(&mut self, now: Timestamp, group: &ServingGroup) {
        let slot = Some(GroupSlot::new(now, group));
        let position = match self.slots.iter().position(Option::is_none) {
            Some(free) => {
                self.slots[free] = slot;
                free
            }
            None => {
                self.slots.push(slot);
                self.slots.len() - 1
            }
        };
        let position = u16::try_from(position).unwrap_or(u16::MAX);
        self.by_group.insert(group.group.clone(), position);
    }

    /// Frees the slots of inactive groups without in-flight requests of this host.
    fn drop_unused_slots(&mut self, emptied: &mut Vec<u16>) {
        for (position, slot) in self.slots.iter_mut().enumerate() {
            let unused = |slot: &mut GroupSlot| !slot.active && slot.own_in_flight() == 0;
            if let Some(unused) = slot.take_if(unused) {
                self.by_group.remove(&unused.serving.group);
                emptied.push(position as u16);
            }
        }
    }

    fn mark_drained(&mut self) {
        for slot in self.slots.iter_mut().flatten() {
            slot.drained = self.drains.iter().any(|drain| match drain {
                DrainTarget::FailureDomain(domain) => *domain == slot.serving.failure_domain,
                DrainTarget::Host(host) => *host == slot.serving.head,
            });
        }
    }

    fn mark_reachable(&mut self) {
        for slot in self.slots.iter_mut().flatten() {
            let domain = &slot.serving.failure_domain;
            slot.reachable = *domain == self.local || self.entry_hosts.contains_key(domain);
        }
    }
}
