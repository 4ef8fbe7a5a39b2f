//! Router of one entry host.

use std::time::Duration;

use rand::Rng;

use super::candidate_set::CandidateSet;
use super::group_table::GroupTable;
use super::latency::BASE_BLOCKS;
use super::selection::SelectionContext;
use super::slot::GroupSlot;
use super::{
    BlockHash, CacheChange, CacheEvent, Candidate, ColdCredits, Dispatch, EntryHost,
    LatencyVerdict, LeastWait, PrefixIndex, RouteChoice, RoutePath, RoutePolicy, RouteQuery,
    RouteRefusal, RouterSettings,
};
use crate::event::{EventDraft, EventKind, EventOutbox, EventSubject};
use crate::group::{ServingGroup, Temperature};
use crate::id::{FailureDomainId, GroupId, ModelId};
use crate::record::{DrainTarget, ModelSpec};
use crate::time::Timestamp;

/// Chooses a replica group for each request of one entry host.
///
/// The driver provides the groups whose gate is open, the drains and the entry
/// hosts whenever they change, and reports the start, first token and end of each
/// request.
#[derive(Clone, Debug)]
pub struct Router<P = LeastWait> {
    settings: RouterSettings,
    policy: P,
    table: GroupTable,
    index: PrefixIndex,
    candidates: CandidateSet,
    excluded: Vec<u16>,
    own_in_flight: u32,
    pending_blocks: u32,
    events: EventOutbox,
}

impl Router<LeastWait> {
    /// Creates a router with the default policy for an entry host in the failure
    /// domain `local`.
    #[must_use]
    pub fn new(local: FailureDomainId, settings: RouterSettings) -> Self {
        Self::with_policy(local, settings, LeastWait::default())
    }
}

impl<P: RoutePolicy> Router<P> {
    /// Creates a router with the given policy.
    #[must_use]
    pub fn with_policy(local: FailureDomainId, settings: RouterSettings, policy: P) -> Self {
        Self {
            settings,
            policy,
            table: GroupTable::new(local),
            index: PrefixIndex::new(settings.index_capacity),
            candidates: CandidateSet::default(),
            excluded: Vec::new(),
            own_in_flight: 0,
            pending_blocks: 0,
            events: EventOutbox::default(),
        }
    }

    /// Replaces the records, which define the client accounts that each group
    /// serves.
    pub fn update_records(&mut self, records: &[ModelSpec]) {
        self.table.set_records(records);
    }

    /// Replaces the groups whose gate is open; other groups receive no requests.
    pub fn update_groups(&mut self, now: Timestamp, groups: &[ServingGroup]) {
        let emptied = self.table.set_groups(now, groups, &self.settings);
        self.index.clear(&emptied);
    }

    /// Replaces the drains; drained groups receive no new requests.
    pub fn update_drains(&mut self, drains: impl IntoIterator<Item = DrainTarget>) {
        self.table.set_drains(drains);
    }

    /// Replaces the live entry hosts of other failure domains.
    pub fn update_entry_hosts(&mut self, hosts: &[EntryHost]) {
        self.table.set_entry_hosts(hosts);
    }

    /// Applies an event of a group's prefix cache. Events of another generation or
    /// with an old sequence number are ignored.
    pub fn cache_event(&mut self, event: &CacheEvent) {
        let Some(position) = self.table.position(&event.group) else {
            return;
        };
        let Some(slot) = self.table.get_mut(&event.group) else {
            return;
        };
        if slot.serving.generation != event.generation || !slot.accept_sequence(event.sequence) {
            return;
        }
        match &event.change {
            CacheChange::Stored(blocks) => self.index.store_all(position, blocks),
            CacheChange::Evicted(blocks) => self.index.evict_all(position, blocks),
            CacheChange::Cleared => {
                slot.trust = 1.0;
                self.index.clear(&[position]);
            }
        }
    }

    /// Chooses a group for a request.
    ///
    /// # Errors
    ///
    /// Returns the reason why no group can serve the request now. The request has
    /// not been run.
    pub fn choose(
        &mut self,
        now: Timestamp,
        query: &RouteQuery<'_>,
        credits: &impl ColdCredits,
        rng: &mut impl Rng,
    ) -> Result<RouteChoice, RouteRefusal> {
        self.table.compare_latencies(now, &self.settings);
        self.index.look_up(query.prefix);
        self.resolve_excluded(query.exclude);
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.clear();
        let chosen = self
            .collect_candidates(now, query, credits, &mut candidates)
            .and_then(|()| {
                let warmup_share = self.settings.warmup_share;
                candidates.pick(query.model, &mut self.policy, warmup_share, rng)
            });
        self.candidates = candidates;
        self.build_choice(&chosen?, query, credits, rng)
    }

    /// Records that a request was sent to a group, which will cache its prompt.
    pub fn started(
        &mut self,
        now: Timestamp,
        choice: &RouteChoice,
        prefix: &[BlockHash],
    ) -> Dispatch {
        let dispatch = Dispatch::new(choice);
        let blocks = BASE_BLOCKS + dispatch.computed_blocks;
        self.own_in_flight += 1;
        self.pending_blocks += blocks;
        if let Some(slot) = self.table.get_mut(&choice.group) {
            slot.start(now, blocks);
        }
        if let Some(position) = self.table.position(&choice.group) {
            self.index.store_all(position, prefix);
        }
        dispatch
    }

    /// Records the first token of a request, which arrived `waited` after its start.
    ///
    /// On [`LatencyVerdict::Cold`], the driver must mark the group as cold with its
    /// [`ColdCreditUser`](crate::limit::ColdCreditUser) and inform its peers.
    pub fn first_token(
        &mut self,
        now: Timestamp,
        dispatch: &mut Dispatch,
        waited: Duration,
    ) -> LatencyVerdict {
        if dispatch.first_token {
            return LatencyVerdict::Normal;
        }
        self.release_pending(dispatch);
        let blocks = dispatch.computed_blocks;
        let settings = &self.settings;
        let slot = self.table.get_mut(&dispatch.group);
        slot.map_or(LatencyVerdict::Normal, |slot| {
            slot.record_first_token(now, waited, blocks, settings)
        })
    }

    /// Records that a request ended, because it was answered or its caller
    /// disconnected.
    pub fn finished(&mut self, now: Timestamp, dispatch: Dispatch) {
        let answered = dispatch.first_token;
        let slot = self.end(now, dispatch);
        if let Some(slot) = slot.filter(|_| answered) {
            slot.succeed();
        }
    }

    /// Records that a group failed a request. Several consecutive failures eject
    /// the group for a time.
    pub fn failed(&mut self, now: Timestamp, dispatch: Dispatch) {
        let settings = self.settings;
        let slot = self.end(now, dispatch);
        let ejection = slot.and_then(|slot| {
            let pause = slot.fail(now, &settings)?;
            Some((slot.serving.group.clone(), pause))
        });
        if let Some((group, pause)) = ejection {
            let reason = format!(
                "ejected for {} ms after consecutive failures",
                pause.as_millis()
            );
            let subject = EventSubject::group(&group);
            let event = EventDraft::new(EventKind::GroupSetAside, subject, reason);
            self.events.push(event);
        }
    }

    /// Returns the number of requests of a model that this entry host may have in
    /// progress.
    ///
    /// This is the number of its requests in progress plus its share of the free
    /// capacity of the groups, by their estimated load, if `sharers` entry hosts
    /// share them. For a cold group, the available credits take the place of the
    /// free capacity. Groups in other failure domains count only if the result for
    /// the local groups is zero.
    pub fn capacity(
        &self,
        now: Timestamp,
        model: &ModelId,
        sharers: u32,
        credits: &impl ColdCredits,
    ) -> u32 {
        let capacity_of = |remote: bool| {
            let slots = self.table.usable(model, remote);
            slots
                .map(|slot| slot.capacity_share(now, sharers, credits))
                .sum()
        };
        match capacity_of(false) {
            0 => capacity_of(true),
            local => local,
        }
    }

    /// Takes the events that explain decisions, oldest first.
    pub fn take_events(&mut self) -> Vec<EventDraft> {
        self.events.take()
    }

    /// Returns the estimated number of requests in a group, including those of
    /// other entry hosts.
    #[must_use]
    pub fn load(&self, group: &GroupId) -> Option<u32> {
        self.table.get(group).map(GroupSlot::load)
    }

    /// Returns the number of in-flight requests of this entry host at a group.
    #[must_use]
    pub fn own_in_flight(&self, group: &GroupId) -> u32 {
        self.table.get(group).map_or(0, GroupSlot::own_in_flight)
    }

    /// Returns the time to first token of a group relative to its peers; 1 is normal.
    #[must_use]
    pub fn slowdown(&self, group: &GroupId) -> Option<f32> {
        self.table.get(group).map(|slot| slot.slowdown)
    }

    /// Returns the trust in a group's cache entries, from 0 to 1.
    #[must_use]
    pub fn trust(&self, group: &GroupId) -> Option<f32> {
        self.table.get(group).map(|slot| slot.trust)
    }

    /// Returns the number of blocks in the prefix index.
    #[must_use]
    pub fn indexed_blocks(&self) -> usize {
        self.index.len()
    }

    fn end(&mut self, now: Timestamp, mut dispatch: Dispatch) -> Option<&mut GroupSlot> {
        self.release_pending(&mut dispatch);
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        let slot = self.table.get_mut(&dispatch.group)?;
        slot.end(now);
        Some(slot)
    }

    /// Releases the pending blocks of a request that has its first token or has
    /// ended.
    fn release_pending(&mut self, dispatch: &mut Dispatch) {
        if std::mem::replace(&mut dispatch.first_token, true) {
            return;
        }
        let blocks = BASE_BLOCKS + dispatch.computed_blocks;
        self.pending_blocks = self.pending_blocks.saturating_sub(blocks);
        if let Some(slot) = self.table.get_mut(&dispatch.group) {
            slot.release_pending_blocks(blocks);
        }
    }

    fn resolve_excluded(&mut self, exclude: &[GroupId]) {
        self.excluded.clear();
        let positions = exclude
            .iter()
            .filter_map(|group| self.table.position(group));
        self.excluded.extend(positions);
    }

    /// Collects the candidates for a request. Groups in other failure domains are
    /// considered only if all warm local groups exceed the spill utilization.
    fn collect_candidates(
        &self,
        now: Timestamp,
        query: &RouteQuery<'_>,
        credits: &impl ColdCredits,
        candidates: &mut CandidateSet,
    ) -> Result<(), RouteRefusal> {
        let eligible = self.table.eligible_groups(query)?;
        let selection = SelectionContext {
            now,
            blocks: query.prefix.len() as u32,
            mean_pending: self.pending_blocks as f32 / self.own_in_flight.max(1) as f32,
            excluded: &self.excluded,
            credits,
            has_cold_marks: credits.has_cold_marks(),
        };
        let consider = |positions: &[u16], remote: bool, candidates: &mut CandidateSet| {
            for &position in positions {
                if let Some(slot) = self.table.at(position) {
                    let cached_blocks = self.index.cached_blocks(position);
                    selection.consider(position, slot, cached_blocks, remote, candidates);
                }
            }
        };
        consider(&eligible.local, false, candidates);
        let is_above_spill = |c: &Candidate| c.exceeds_utilization(self.settings.spill_utilization);
        if !query.forwarded && candidates.warm.iter().all(is_above_spill) {
            consider(&eligible.remote, true, candidates);
        }
        Ok(())
    }

    fn build_choice(
        &self,
        candidate: &Candidate,
        query: &RouteQuery<'_>,
        credits: &impl ColdCredits,
        rng: &mut impl Rng,
    ) -> Result<RouteChoice, RouteRefusal> {
        let slot = self.table.at(candidate.slot);
        let slot = slot.ok_or_else(|| RouteRefusal::Unavailable(query.model.clone()))?;
        let serving = &slot.serving;
        let hosts = self.table.entry_hosts(&serving.failure_domain);
        let path = if candidate.remote && !hosts.is_empty() {
            RoutePath::Through(hosts[rng.random_range(0..hosts.len())].clone())
        } else {
            RoutePath::Direct
        };
        let temperature = if slot.is_cold(credits) {
            Temperature::Cold
        } else {
            Temperature::Warm
        };
        Ok(RouteChoice {
            group: serving.group.clone(),
            generation: serving.generation,
            fencing: serving.fencing,
            address: serving.address,
            failure_domain: serving.failure_domain.clone(),
            temperature,
            path,
            cached_blocks: candidate.cached_blocks as u32,
            blocks: candidate.blocks,
        })
    }
}
