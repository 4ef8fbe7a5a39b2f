//! The router.

use std::time::Duration;

use rand::Rng;

use super::slot::GroupSlot;
use super::{
    BlockHash, CacheChange, CacheEvent, Candidate, ColdCredits, EntryHost, LeastWait, PrefixIndex,
    RouteChoice, RoutePath, RoutePolicy, RouteQuery, RouteRefusal, RouterSettings,
};
use crate::collections::HashMap;
use crate::group::{ServingGroup, Temperature};
use crate::id::{AccountId, FailureDomainId, GroupId, HostId, ModelId, RecordName};
use crate::record::{DrainTarget, ModelSpec};
use crate::time::Timestamp;

/// Time between two comparisons of first-token times.
const COMPARE_INTERVAL: Duration = Duration::from_millis(100);

/// Slots that serve one model, for one client account.
#[derive(Clone, Debug, Default)]
struct Reach {
    local: Vec<u16>,
    remote: Vec<u16>,
}

/// What a pass over the groups of a model found.
#[derive(Clone, Debug, Default)]
struct Found {
    warm: Vec<Candidate>,
    cold: Vec<Candidate>,
    ejected: Vec<Candidate>,
    saturated: bool,
    creditless: bool,
}

impl Found {
    fn clear(&mut self) {
        self.warm.clear();
        self.cold.clear();
        self.ejected.clear();
        self.saturated = false;
        self.creditless = false;
    }
}

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
    accounts: HashMap<RecordName, Vec<AccountId>>,
    reach: HashMap<ModelId, HashMap<AccountId, Reach>>,
    drains: Vec<DrainTarget>,
    entry_hosts: HashMap<FailureDomainId, Vec<HostId>>,
    index: PrefixIndex,
    found: Found,
    compared_at: Timestamp,
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
            accounts: HashMap::default(),
            reach: HashMap::default(),
            drains: Vec::new(),
            entry_hosts: HashMap::default(),
            index: PrefixIndex::new(settings.index_capacity),
            found: Found::default(),
            compared_at: Timestamp::default(),
        }
    }

    /// Takes over which client accounts each record serves.
    pub fn update_records(&mut self, records: &[ModelSpec]) {
        self.accounts = records
            .iter()
            .map(|spec| {
                let accounts = spec.accounts.iter().map(|share| share.account.clone());
                (spec.name.clone(), accounts.collect())
            })
            .collect();
        self.rebuild_reach();
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
        self.rebuild_reach();
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
        let chosen = self
            .find(now, query, credits, &mut found)
            .and_then(|()| self.pick(query, &mut found, rng));
        self.found = found;
        let candidate = chosen?;
        Ok(self.describe(&candidate, credits, rng))
    }

    /// Notes that a request was sent to a group; its prompt will be cached there.
    pub fn started(&mut self, now: Timestamp, group: &GroupId, prefix: &[BlockHash]) {
        let Some(&position) = self.by_group.get(group) else {
            return;
        };
        if let Some(slot) = self.slots[usize::from(position)].as_mut() {
            slot.start(now);
        }
        self.store_blocks(position, prefix);
    }

    /// Notes the first token of a request, and how many blocks were computed for it.
    pub fn first_token(
        &mut self,
        now: Timestamp,
        group: &GroupId,
        waited: Duration,
        computed_blocks: u32,
    ) {
        if let Some(slot) = self.slot_mut(group) {
            slot.sample_pace(now, waited, computed_blocks);
            slot.succeed();
        }
    }

    /// Notes that a request ended at a group, by its answer or by its caller leaving.
    pub fn finished(&mut self, now: Timestamp, group: &GroupId) {
        if let Some(slot) = self.slot_mut(group) {
            slot.end(now);
        }
    }

    /// Notes that a group failed a request; several in a row set the group aside.
    pub fn failed(&mut self, now: Timestamp, group: &GroupId) {
        let settings = self.settings;
        if let Some(slot) = self.slot_mut(group) {
            slot.end(now);
            slot.fail(now, &settings);
        }
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

    fn rebuild_reach(&mut self) {
        self.reach.clear();
        for (position, slot) in self.slots.iter().enumerate() {
            let Some(slot) = slot.as_ref().filter(|slot| slot.active) else {
                continue;
            };
            let serving = &slot.serving;
            let model = self.reach.entry(serving.served_model.clone()).or_default();
            for account in self.accounts.get(&serving.record).into_iter().flatten() {
                let reach = model.entry(account.clone()).or_default();
                let side = if serving.failure_domain == self.local {
                    &mut reach.local
                } else {
                    &mut reach.remote
                };
                side.push(position as u16);
            }
        }
    }

    /// Recomputes how each group's first-token time compares with its peers'.
    fn compare_paces(&mut self, now: Timestamp) {
        if now.since(self.compared_at) < COMPARE_INTERVAL {
            return;
        }
        self.compared_at = now;
        let mut paces: Vec<f32> = Vec::with_capacity(self.slots.len());
        for model in self.reach.keys() {
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

    fn find(
        &self,
        now: Timestamp,
        query: &RouteQuery<'_>,
        credits: &impl ColdCredits,
        found: &mut Found,
    ) -> Result<(), RouteRefusal> {
        let accounts = self
            .reach
            .get(query.model)
            .ok_or_else(|| RouteRefusal::NoGroup(query.model.clone()))?;
        let reach = accounts
            .get(query.account)
            .ok_or_else(|| RouteRefusal::NotAllowed(query.model.clone(), query.account.clone()))?;
        for &position in &reach.local {
            self.consider(now, position, false, query, credits, found);
        }
        let crowded = |c: &Candidate| c.utilization() > self.settings.spill_utilization;
        if !query.forwarded && found.warm.iter().all(crowded) {
            for &position in &reach.remote {
                self.consider(now, position, true, query, credits, found);
            }
        }
        Ok(())
    }

    fn consider(
        &self,
        now: Timestamp,
        position: u16,
        remote: bool,
        query: &RouteQuery<'_>,
        credits: &impl ColdCredits,
        found: &mut Found,
    ) {
        let Some(slot) = &self.slots[usize::from(position)] else {
            return;
        };
        let serving = &slot.serving;
        if slot.drained || query.exclude.contains(&serving.group) {
            return;
        }
        if remote && !self.entry_hosts.contains_key(&serving.failure_domain) {
            return;
        }
        let candidate = self.candidate(position, slot, remote, query);
        if Self::is_cold(serving, credits) {
            // The entry host of a remote group spends its own credits.
            if remote || credits.available(now, &serving.group, serving.generation) > 0 {
                found.cold.push(candidate);
            } else {
                found.creditless = true;
            }
        } else if candidate.load >= candidate.capacity {
            found.saturated = true;
        } else if now < slot.ejected_until {
            found.ejected.push(candidate);
        } else {
            found.warm.push(candidate);
        }
    }

    fn is_cold(serving: &ServingGroup, credits: &impl ColdCredits) -> bool {
        serving.temperature == Temperature::Cold
            || credits.marked_cold(&serving.group, serving.generation)
    }

    fn candidate(
        &self,
        position: u16,
        slot: &GroupSlot,
        remote: bool,
        query: &RouteQuery<'_>,
    ) -> Candidate {
        Candidate {
            slot: position,
            load: slot.load(),
            own: slot.own_in_flight(),
            capacity: slot.serving.warm_concurrency,
            cached_blocks: self.index.cached_blocks(position) as f32 * slot.trust,
            blocks: query.prefix.len() as u32,
            slowdown: slot.slowdown,
            remote,
        }
    }

    fn pick(
        &mut self,
        query: &RouteQuery<'_>,
        found: &mut Found,
        rng: &mut impl Rng,
    ) -> Result<Candidate, RouteRefusal> {
        let local_cold = found.cold.iter().filter(|c| !c.remote);
        if let Some(cold) = local_cold.min_by_key(|c| c.load)
            && (found.warm.is_empty() || rng.random::<f32>() < self.settings.warmup_share)
        {
            return Ok(*cold);
        }
        // A group set aside is better than none.
        for usable in [&found.warm, &found.ejected, &found.cold] {
            if !usable.is_empty() {
                let position = self.policy.pick(usable, rng);
                return Ok(usable[position.min(usable.len() - 1)]);
            }
        }
        let model = query.model.clone();
        Err(if found.saturated {
            RouteRefusal::Saturated(model)
        } else if found.creditless {
            RouteRefusal::NoColdCredit(model)
        } else {
            RouteRefusal::Unavailable(model)
        })
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
        let temperature = if Self::is_cold(serving, credits) {
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
