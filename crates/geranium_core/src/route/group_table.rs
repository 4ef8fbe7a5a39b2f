//! The groups that the router knows.

use std::time::Duration;

use super::eligibility::{EligibilityTable, EligibleGroups};
use super::slot::GroupSlot;
use super::{EntryHost, RouteQuery, RouteRefusal, RouterSettings};
use crate::collections::HashMap;
use crate::group::ServingGroup;
use crate::id::{FailureDomainId, GroupId, HostId, ModelId};
use crate::record::{DrainTarget, ModelSpec};
use crate::time::Timestamp;

/// Time between two comparisons of first-token times.
const COMPARE_INTERVAL: Duration = Duration::from_millis(100);

/// The groups that the router knows, each at a position that lasts as long as
/// the group is known.
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
    /// Makes an empty table for an entry host of a failure domain.
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

    /// Takes over which client accounts each record serves.
    pub(super) fn set_records(&mut self, records: &[ModelSpec]) {
        self.eligibility.set_records(records);
        self.eligibility.rebuild(&self.local, &self.slots);
    }

    /// Takes over what is drained.
    pub(super) fn set_drains(&mut self, drains: impl IntoIterator<Item = DrainTarget>) {
        self.drains = drains.into_iter().collect();
        self.mark_drained();
    }

    /// Takes over the entry hosts of other failure domains that answer.
    pub(super) fn set_entry_hosts(&mut self, hosts: &[EntryHost]) {
        self.entry_hosts.clear();
        for entry in hosts {
            let domain = entry.failure_domain.clone();
            let hosts = self.entry_hosts.entry(domain).or_default();
            hosts.push(entry.host.clone());
        }
        self.mark_reachable();
    }

    /// Takes over the groups whose gate is open; returns the positions whose
    /// prefix cache is empty from now on.
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

    /// Returns the position of a group.
    pub(super) fn position(&self, group: &GroupId) -> Option<u16> {
        self.by_group.get(group).copied()
    }

    /// Returns what is known about the group at a position.
    pub(super) fn at(&self, position: u16) -> Option<&GroupSlot> {
        self.slots.get(usize::from(position))?.as_ref()
    }

    /// Returns what is known about a group.
    pub(super) fn get(&self, group: &GroupId) -> Option<&GroupSlot> {
        self.at(self.position(group)?)
    }

    /// Returns what is known about a group, to be changed.
    pub(super) fn get_mut(&mut self, group: &GroupId) -> Option<&mut GroupSlot> {
        let position = self.position(group)?;
        self.slots.get_mut(usize::from(position))?.as_mut()
    }

    /// Finds the groups that serve the account and model of a request.
    pub(super) fn eligible_groups(
        &self,
        query: &RouteQuery<'_>,
    ) -> Result<&EligibleGroups, RouteRefusal> {
        self.eligibility.find(query.model, query.account)
    }

    /// Returns the groups of a model, local or remote, that may get requests.
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

    /// Returns the entry hosts of another failure domain that answer.
    pub(super) fn entry_hosts(&self, domain: &FailureDomainId) -> &[HostId] {
        self.entry_hosts.get(domain).map_or(&[], Vec::as_slice)
    }

    /// Recomputes from time to time how each group's first-token time compares
    /// with its peers'.
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

    /// Takes over one group; returns whether it was known with the same identity.
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

    /// Frees the slots of groups that are gone and have no request of this host.
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
