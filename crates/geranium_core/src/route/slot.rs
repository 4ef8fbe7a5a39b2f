//! What the router knows about one group.

use std::time::Duration;

use super::latency::LatencyTracker;
use super::own_load::OwnLoad;
use super::{ColdCredits, LatencyVerdict, RouterSettings};
use crate::group::{ServingGroup, Temperature};
use crate::time::Timestamp;

/// Factor on the trust in a group's cache entries after a gap in its events.
const GAP_TRUST_FACTOR: f32 = 0.5;
/// Least trust in a group's cache entries.
const MIN_TRUST: f32 = 0.125;
/// Trust that each event in sequence restores.
const TRUST_PER_EVENT: f32 = 0.01;
/// Time after which an unchanged load report counts as a new one.
const UNCHANGED_REPORT_AGE: Duration = Duration::from_secs(2);

/// What the router knows about one group.
#[derive(Clone, Debug)]
pub(super) struct GroupSlot {
    /// The group as last given; apart, so that a decision reads little memory.
    pub(super) serving: Box<ServingGroup>,
    /// Requests that the group bears at a time while warm.
    pub(super) capacity: u32,
    /// Whether the group reports itself cold.
    pub(super) cold: bool,
    /// Whether this host or an entry host of its failure domain reaches it.
    pub(super) reachable: bool,
    /// Whether the group was in the last update.
    pub(super) active: bool,
    /// Whether the update that is under way has not named the group yet.
    pub(super) stale: bool,
    /// Whether a drain covers the group.
    pub(super) drained: bool,
    /// Time until which the group is set aside.
    pub(super) ejected_until: Timestamp,
    /// Trust in the group's cache entries, from 0 to 1.
    pub(super) trust: f32,
    /// First-token time relative to its peers; 1 is usual.
    pub(super) slowdown: f32,
    own_load: Box<OwnLoad>,
    own_in_flight: u32,
    pending_blocks: u32,
    reported: u32,
    reported_at: Timestamp,
    since_report: i32,
    latency: LatencyTracker,
    failures: u32,
    ejections: u32,
    next_sequence: Option<u64>,
}

impl GroupSlot {
    /// Makes a slot for a group seen for the first time.
    pub(super) fn new(now: Timestamp, serving: &ServingGroup) -> Self {
        Self {
            serving: Box::new(serving.clone()),
            capacity: serving.warm_concurrency,
            cold: serving.temperature == Temperature::Cold,
            reachable: true,
            active: true,
            stale: false,
            drained: false,
            ejected_until: Timestamp::default(),
            trust: 1.0,
            slowdown: 1.0,
            own_load: Box::default(),
            own_in_flight: 0,
            pending_blocks: 0,
            reported: serving.running + serving.waiting,
            reported_at: now,
            since_report: 0,
            latency: LatencyTracker::default(),
            failures: 0,
            ejections: 0,
            next_sequence: None,
        }
    }

    /// Returns whether a new description has the same record, model and place.
    pub(super) fn is_same(&self, serving: &ServingGroup) -> bool {
        let known = &self.serving;
        known.record == serving.record
            && known.served_model == serving.served_model
            && known.failure_domain == serving.failure_domain
            && known.head == serving.head
    }

    /// Takes over a new description; returns whether the generation changed.
    pub(super) fn update(
        &mut self,
        now: Timestamp,
        serving: &ServingGroup,
        settings: &RouterSettings,
    ) -> bool {
        let new_generation = self.serving.generation != serving.generation;
        let same_load = self.serving.running == serving.running
            && self.serving.waiting == serving.waiting
            && self.serving.kv_free_tokens == serving.kv_free_tokens;
        let stale = now.since(self.reported_at) > UNCHANGED_REPORT_AGE;
        if !same_load || stale || new_generation {
            self.reported = serving.running + serving.waiting;
            self.reported_at = now;
            self.since_report = self.own_load.net_change(now, settings.report_lag);
        }
        if new_generation {
            self.reset_for_new_generation();
        }
        self.serving.as_mut().clone_from(serving);
        self.capacity = serving.warm_concurrency;
        self.cold = serving.temperature == Temperature::Cold;
        self.active = true;
        self.stale = false;
        new_generation
    }

    fn reset_for_new_generation(&mut self) {
        self.trust = 1.0;
        self.slowdown = 1.0;
        self.latency = LatencyTracker::default();
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = Timestamp::default();
        self.next_sequence = None;
    }

    /// Returns whether the group is to be treated as cold.
    pub(super) fn is_cold(&self, credits: &impl ColdCredits) -> bool {
        self.cold || credits.marked_cold(&self.serving.group, self.serving.generation)
    }

    /// Returns the requests of this entry host in flight.
    pub(super) fn own_in_flight(&self) -> u32 {
        self.own_in_flight
    }

    /// Returns the estimated requests in the group.
    pub(super) fn load(&self) -> u32 {
        let estimate = i64::from(self.reported) + i64::from(self.since_report);
        let estimate = u32::try_from(estimate.max(0)).unwrap_or(u32::MAX);
        estimate.max(self.own_in_flight)
    }

    /// Returns the blocks that requests of this entry host still wait for.
    pub(super) fn pending_blocks(&self) -> u32 {
        self.pending_blocks
    }

    /// Returns the requests that this entry host may have in progress on the
    /// group, if so many entry hosts share it.
    pub(super) fn capacity_share(
        &self,
        now: Timestamp,
        sharers: u32,
        credits: &impl ColdCredits,
    ) -> u32 {
        let own = self.own_in_flight;
        if self.is_cold(credits) {
            let serving = &self.serving;
            return own + credits.available(now, &serving.group, serving.generation);
        }
        let free = self.capacity.saturating_sub(self.load());
        own + free.div_ceil(sharers.max(1))
    }

    /// Notes that a request started, which adds so many blocks of work.
    pub(super) fn start(&mut self, now: Timestamp, blocks: u32) {
        self.own_in_flight += 1;
        self.own_load.change(now, 1);
        self.since_report += 1;
        self.pending_blocks += blocks;
    }

    /// Notes that so many blocks of work are done or given up.
    pub(super) fn release_pending_blocks(&mut self, blocks: u32) {
        self.pending_blocks = self.pending_blocks.saturating_sub(blocks);
    }

    /// Notes that a request ended.
    pub(super) fn end(&mut self, now: Timestamp) {
        if self.own_in_flight > 0 {
            self.own_in_flight -= 1;
            self.own_load.change(now, -1);
            self.since_report -= 1;
        }
    }

    /// Notes a whole answer: the group is healthy.
    pub(super) fn succeed(&mut self) {
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = Timestamp::default();
    }

    /// Notes a failure; sets the group aside after several in a row, and returns
    /// for how long.
    pub(super) fn fail(&mut self, now: Timestamp, settings: &RouterSettings) -> Option<Duration> {
        self.failures += 1;
        if self.failures < settings.failures_to_eject || now < self.ejected_until {
            return None;
        }
        let factor = 1 << self.ejections.min(16);
        let pause = (settings.eject_base * factor).min(settings.eject_max);
        self.ejected_until = now + pause;
        self.ejections += 1;
        Some(pause)
    }

    /// Notes a first-token time, given the blocks that had to be computed, and
    /// judges the group by it.
    pub(super) fn record_first_token(
        &mut self,
        now: Timestamp,
        waited: Duration,
        blocks: u32,
        settings: &RouterSettings,
    ) -> LatencyVerdict {
        let load = self.load();
        self.latency.sample(now, waited, blocks, load);
        self.latency.judge(self.slowdown, load, settings)
    }

    /// Returns the smoothed first-token time a block, once there are enough samples.
    pub(super) fn latency(&self) -> Option<f32> {
        self.latency.current()
    }

    /// Compares the group with the median of its peers.
    pub(super) fn update_slowdown(
        &mut self,
        now: Timestamp,
        median: f32,
        settings: &RouterSettings,
    ) {
        let half_life = settings.slowdown_half_life;
        let ratio = self.latency.ratio_to(median, now, half_life);
        let is_straggler = ratio >= settings.straggler_ratio;
        self.slowdown = if is_straggler { ratio } else { 1.0 };
    }

    /// Takes the sequence number of a cache event; returns whether it is to be used.
    ///
    /// A gap lowers the trust in all entries of the group, as evictions may have
    /// been missed.
    pub(super) fn accept_sequence(&mut self, sequence: u64) -> bool {
        let expected = self.next_sequence.unwrap_or(sequence);
        if sequence < expected {
            return false;
        }
        if sequence > expected {
            self.trust = (self.trust * GAP_TRUST_FACTOR).max(MIN_TRUST);
        } else {
            self.trust = (self.trust + TRUST_PER_EVENT).min(1.0);
        }
        self.next_sequence = Some(sequence + 1);
        true
    }
}
