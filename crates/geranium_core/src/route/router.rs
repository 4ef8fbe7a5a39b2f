//! The router.

use std::time::Duration;

use rand::Rng;

use super::found::Found;
use super::reach::ReachTable;
use super::slot::{BASE_BLOCKS, GroupSlot};
use super::{
    BlockHash, CacheChange, CacheEvent, Candidate, ColdCredits, Dispatch, EntryHost, LeastWait,
    PrefixIndex, RouteChoice, RoutePath, RoutePolicy, RouteQuery, RouteRefusal, RouterSettings,
};
use crate::collections::HashMap;
use crate::group::{ServingGroup, Temperature};
use crate::id::{FailureDomainId, GroupId, HostId};
use crate::record::{DrainTarget, ModelSpec};
use crate::time::Timestamp;

/// Time between two comparisons of first-token times.
const COMPARE_INTERVAL: Duration = Duration::from_millis(100);

/// Chooses a replica group for each request of one entry host.
///
/// The driver gives it the groups whose gate is open, the drains and the entry
/// hosts whenever they change, and tells it of each request's start, first token
/// and end.
#[derive(Clone, Debug)]
pub struct Router<P = LeastWait> {
    local: FailureDomainId,
    settings: RouterSettings,
    policy: P,
    slots: Vec<Option<GroupSlot>>,
    by_group: HashMap<GroupId, u16>,
    reach: ReachTable,
    drains: Vec<DrainTarget>,
    entry_hosts: HashMap<FailureDomainId, Vec<HostId>>,
    index: PrefixIndex,
    found: Found,
    excluded: Vec<u16>,
    compared_at: Timestamp,
    own_in_flight: u32,
    pending_blocks: u32,
}

impl Router<LeastWait> {
    /// Makes a router for an entry host of a failure domain.
    #[must_use]
    pub fn new(local: FailureDomainId, settings: RouterSettings) -> Self {
        Self::with_policy(local, settings, LeastWait::default())
    }
}

impl<P: RoutePolicy> Router<P> {
    /// Makes a router with a policy of its own.
    #[must_use]
    pub fn with_policy(local: FailureDomainId, settings: RouterSettings, policy: P) -> Self {
        Self {
            local,
            settings,
            policy,
            slots: Vec::new(),
            by_group: HashMap::default(),
            reach: ReachTable::default(),
            drains: Vec::new(),
            entry_hosts: HashMap::default(),
            index: PrefixIndex::new(settings.index_capacity),
            found: Found::default(),
            excluded: Vec::new(),
            compared_at: Timestamp::default(),
            own_in_flight: 0,
            pending_blocks: 0,
        }
    }

    /// Takes over which client accounts each record serves.
    pub fn update_records(&mut self, records: &[ModelSpec]) {
        self.reach.set_records(records);
        self.reach.rebuild(&self.local, &self.slots);
    }

    /// Takes over the groups whose gate is open; all others get no requests.
    pub fn update_groups(&mut self, now: Timestamp, groups: &[ServingGroup]) {
        for slot in self.slots.iter_mut().flatten() {
            slot.active = false;
        }
        for group in groups {
            self.update_group(now, group);
        }
        self.drop_unused_slots();
        self.mark_drained();
        self.mark_reachable();
        self.reach.rebuild(&self.local, &self.slots);
    }

    /// Takes over what is drained; it gets no new requests from now on.
    pub fn update_drains(&mut self, drains: impl IntoIterator<Item = DrainTarget>) {
        self.drains = drains.into_iter().collect();
        self.mark_drained();
    }

    /// Takes over the entry hosts of other failure domains that answer.
    pub fn update_entry_hosts(&mut self, hosts: &[EntryHost]) {
        self.entry_hosts.clear();
        for entry in hosts {
            let hosts = self
                .entry_hosts
                .entry(entry.failure_domain.clone())
                .or_default();
            hosts.push(entry.host.clone());
        }
        self.mark_reachable();
    }

    /// Takes in an event of a group's prefix cache.
    pub fn cache_event(&mut self, event: &CacheEvent) {
        let Some(&position) = self.by_group.get(&event.group) else {
            return;
        };
        let Some(slot) = self.slots[usize::from(position)].as_mut() else {
            return;
        };
        if slot.serving.generation != event.generation || !slot.accept_sequence(event.sequence) {
            return;
        }
        match &event.change {
            CacheChange::Stored(blocks) => self.store_blocks(position, blocks),
            CacheChange::Evicted(blocks) => {
                for &block in blocks {
                    self.index.evict(position, block);
                }
            }
            CacheChange::Cleared => {
                slot.trust = 1.0;
                self.index.clear(position);
            }
        }
    }

    /// Chooses a group for a request.
    ///
    /// # Errors
    ///
    /// Returns why no group takes the request now; it was not run.
    pub fn choose(
        &mut self,
        now: Timestamp,
        query: &RouteQuery<'_>,
        credits: &impl ColdCredits,
        rng: &mut impl Rng,
    ) -> Result<RouteChoice, RouteRefusal> {
        self.compare_paces(now);
        self.index.look_up(query.prefix);
        let mut found = std::mem::take(&mut self.found);
        found.clear();
        self.resolve_excluded(query.exclude);
        let chosen = self.find(now, query, credits, &mut found).and_then(|()| {
            let warmup_share = self.settings.warmup_share;
            found.pick(query.model, &mut self.policy, warmup_share, rng)
        });
        self.found = found;
        let candidate = chosen?;
        Ok(self.describe(&candidate, credits, rng))
    }

    /// Notes that a request was sent to a group; its prompt will be cached there.
    pub fn started(
        &mut self,
        now: Timestamp,
        choice: &RouteChoice,
        prefix: &[BlockHash],
    ) -> Dispatch {
        let dispatch = Dispatch::new(choice);
        if let Some(&position) = self.by_group.get(&choice.group) {
            let blocks = BASE_BLOCKS + dispatch.computed_blocks;
            if let Some(slot) = self.slots[usize::from(position)].as_mut() {
                slot.start(now, blocks);
                self.own_in_flight += 1;
                self.pending_blocks += blocks;
            }
            self.store_blocks(position, prefix);
        }
        dispatch
    }

    /// Notes the first token of a request, after the time since its start.
    pub fn first_token(&mut self, now: Timestamp, dispatch: &mut Dispatch, waited: Duration) {
        if dispatch.first_token {
            return;
        }
        self.settle(dispatch);
        let blocks = dispatch.computed_blocks;
        if let Some(slot) = self.slot_mut(&dispatch.group) {
            slot.sample_pace(now, waited, blocks);
            slot.succeed();
        }
    }

    /// Notes that a request ended, by its answer or by its caller leaving.
    pub fn finished(&mut self, now: Timestamp, mut dispatch: Dispatch) {
        self.settle(&mut dispatch);
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        if let Some(slot) = self.slot_mut(&dispatch.group) {
            slot.end(now);
        }
    }

    /// Notes that a group failed a request; several in a row set the group aside.
    pub fn failed(&mut self, now: Timestamp, dispatch: Dispatch) {
        let settings = self.settings;
        if let Some(slot) = self.slot_mut(&dispatch.group) {
            slot.fail(now, &settings);
        }
        self.finished(now, dispatch);
    }

    /// Returns the estimated requests in a group, those of other entry hosts included.
    #[must_use]
    pub fn load(&self, group: &GroupId) -> Option<u32> {
        self.slot(group).map(GroupSlot::load)
    }

    /// Returns the requests of this entry host in flight at a group.
    #[must_use]
    pub fn own_in_flight(&self, group: &GroupId) -> u32 {
        self.slot(group).map_or(0, GroupSlot::own_in_flight)
    }

    /// Returns the first-token time of a group relative to its peers; 1 is usual.
    #[must_use]
    pub fn slowdown(&self, group: &GroupId) -> Option<f32> {
        self.slot(group).map(|slot| slot.slowdown)
    }

    /// Returns the trust in the cache entries of a group, from 0 to 1.
    #[must_use]
    pub fn trust(&self, group: &GroupId) -> Option<f32> {
        self.slot(group).map(|slot| slot.trust)
    }

    fn slot(&self, group: &GroupId) -> Option<&GroupSlot> {
        let position = *self.by_group.get(group)?;
        self.slots[usize::from(position)].as_ref()
    }

    fn slot_mut(&mut self, group: &GroupId) -> Option<&mut GroupSlot> {
        let position = *self.by_group.get(group)?;
        self.slots[usize::from(position)].as_mut()
    }

    /// Notes that a request no longer waits for its first token.
    fn settle(&mut self, dispatch: &mut Dispatch) {
        if std::mem::replace(&mut dispatch.first_token, true) {
            return;
        }
        let blocks = BASE_BLOCKS + dispatch.computed_blocks;
        self.pending_blocks = self.pending_blocks.saturating_sub(blocks);
        if let Some(slot) = self.slot_mut(&dispatch.group) {
            slot.settle(blocks);
        }
    }

    fn store_blocks(&mut self, position: u16, blocks: &[BlockHash]) {
        for &block in blocks {
            self.index.store(position, block);
        }
    }

    fn update_group(&mut self, now: Timestamp, group: &ServingGroup) {
        if let Some(&position) = self.by_group.get(&group.group)
            && let Some(slot) = self.slots[usize::from(position)].as_mut()
        {
            if slot.update(now, group, &self.settings) {
                self.index.clear(position);
            }
            return;
        }
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
    fn drop_unused_slots(&mut self) {
        for (position, slot) in self.slots.iter_mut().enumerate() {
            let unused = slot
                .take_if(|slot| !slot.active && slot.own_in_flight() == 0)
                .map(|slot| slot.serving.group);
            if let Some(group) = unused {
                self.by_group.remove(&group);
                self.index.clear(position as u16);
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

    /// Recomputes how each group's first-token time compares with its peers'.
    fn compare_paces(&mut self, now: Timestamp) {
        if now.since(self.compared_at) < COMPARE_INTERVAL {
            return;
        }
        self.compared_at = now;
        let mut paces: Vec<f32> = Vec::with_capacity(self.slots.len());
        for model in self.reach.models() {
            paces.clear();
            let peers = || {
                let slots = self.slots.iter().flatten();
                slots.filter(|slot| slot.active && slot.serving.served_model == *model)
            };
            paces.extend(peers().filter_map(GroupSlot::pace));
            if paces.is_empty() {
                continue;
            }
            paces.sort_by(f32::total_cmp);
            let median = paces[(paces.len() - 1) / 2];
            for slot in self.slots.iter_mut().flatten() {
                if slot.serving.served_model == *model {
                    slot.compare_pace(now, median, &self.settings);
                }
            }
        }
    }

    fn resolve_excluded(&mut self, exclude: &[GroupId]) {
        self.excluded.clear();
        let positions = exclude.iter().filter_map(|group| self.by_group.get(group));
        self.excluded.extend(positions);
    }

    fn find(
        &self,
        now: Timestamp,
        query: &RouteQuery<'_>,
        credits: &impl ColdCredits,
        found: &mut Found,
    ) -> Result<(), RouteRefusal> {
        let reach = self.reach.find(query.model, query.account)?;
        // Requests of other hosts are taken to wait for as much as ours do.
        let mean_pending = self.pending_blocks as f32 / self.own_in_flight.max(1) as f32;
        let pass = Pass {
            now,
            blocks: query.prefix.len() as u32,
            mean_pending,
            has_marks: credits.has_marks(),
        };
        for &position in &reach.local {
            self.consider(&pass, position, false, credits, found);
        }
        let crowded = |c: &Candidate| c.is_above(self.settings.spill_utilization);
        if !query.forwarded && found.warm.iter().all(crowded) {
            for &position in &reach.remote {
                self.consider(&pass, position, true, credits, found);
            }
        }
        Ok(())
    }

    fn consider(
        &self,
        pass: &Pass,
        position: u16,
        remote: bool,
        credits: &impl ColdCredits,
        found: &mut Found,
    ) {
        let Some(slot) = &self.slots[usize::from(position)] else {
            return;
        };
        if slot.drained || !slot.reachable || self.excluded.contains(&position) {
            return;
        }
        let cached_blocks = self.index.cached_blocks(position);
        let candidate = pass.candidate(position, slot, cached_blocks, remote);
        if slot.cold || (pass.has_marks && is_cold(&slot.serving, credits)) {
            let (group, generation) = (&slot.serving.group, slot.serving.generation);
            // The entry host of a remote group spends its own credits.
            if remote || credits.available(pass.now, group, generation) > 0 {
                found.cold.push(candidate);
            } else {
                found.creditless = true;
            }
        } else if candidate.load >= candidate.capacity {
            found.saturated = true;
        } else if pass.now < slot.ejected_until {
            found.ejected.push(candidate);
        } else {
            found.warm.push(candidate);
        }
    }

    fn describe(
        &self,
        candidate: &Candidate,
        credits: &impl ColdCredits,
        rng: &mut impl Rng,
    ) -> RouteChoice {
        let slot = self.slots[usize::from(candidate.slot)].as_ref();
        let serving = &slot.expect("a candidate has a slot").serving;
        let through = self
            .entry_hosts
            .get(&serving.failure_domain)
            .filter(|_| candidate.remote);
        let path = match through {
            Some(hosts) => RoutePath::Through(hosts[rng.random_range(0..hosts.len())].clone()),
            None => RoutePath::Direct,
        };
        let temperature = if is_cold(serving, credits) {
            Temperature::Cold
        } else {
            Temperature::Warm
        };
        RouteChoice {
            group: serving.group.clone(),
            generation: serving.generation,
            fencing: serving.fencing,
            address: serving.address,
            failure_domain: serving.failure_domain.clone(),
            temperature,
            path,
            cached_blocks: candidate.cached_blocks as u32,
            blocks: candidate.blocks,
        }
    }
}

fn is_cold(serving: &ServingGroup, credits: &impl ColdCredits) -> bool {
    serving.temperature == Temperature::Cold
        || credits.marked_cold(&serving.group, serving.generation)
}

/// What is the same for all groups of one decision.
#[derive(Clone, Copy, Debug)]
struct Pass {
    now: Timestamp,
    blocks: u32,
    mean_pending: f32,
    has_marks: bool,
}

impl Pass {
    #[inline]
    fn candidate(
        &self,
        position: u16,
        slot: &GroupSlot,
        cached_blocks: u32,
        remote: bool,
    ) -> Candidate {
        let load = slot.load();
        let own = slot.own_in_flight();
        let others_pending = load.saturating_sub(own) as f32 * self.mean_pending;
        Candidate {
            slot: position,
            load,
            own,
            pending_blocks: slot.pending_blocks() as f32 + others_pending,
            capacity: slot.capacity,
            cached_blocks: cached_blocks as f32 * slot.trust,
            blocks: self.blocks,
            slowdown: slot.slowdown,
            remote,
        }
    }
}
