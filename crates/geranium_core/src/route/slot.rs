//! State of one group in the router.

use std::time::Duration;

use super::latency::LatencyTracker;
use super::own_load::OwnLoad;
use super::{ColdCredits, LatencyVerdict, RouterSettings};
use crate::group::{ServingGroup, Temperature};
use crate::time::Timestamp;

/// Factor by which a gap in the cache events reduces the trust in the entries.
const GAP_TRUST_FACTOR: f32 = 0.5;
/// Minimum trust in a group's cache entries.
const MIN_TRUST: f32 = 0.125;
/// Increase of the trust with each event that follows without a gap.
const TRUST_PER_EVENT: f32 = 0.01;
/// Time after which a load report equal to the last one counts as a new report.
const UNCHANGED_REPORT_AGE: Duration = Duration::from_secs(2);

/// State of one group in the router.
#[derive(Clone, Debug)]
pub(super) struct GroupSlot {
    /// Last description of the group; boxed, so that a routing decision touches
    /// less memory.
    pub(super) serving: Box<ServingGroup>,
    /// Maximum number of concurrent requests in the group while it is warm.
    pub(super) capacity: u32,
    /// Whether the group reports itself cold.
    pub(super) cold: bool,
    /// Whether the group is in this failure domain, or in one with a live entry
    /// host.
    pub(super) reachable: bool,
    /// Whether the last update contained the group.
    pub(super) active: bool,
    /// Whether the update in progress has not contained the group so far.
    pub(super) stale: bool,
    /// Whether the group is drained.
    pub(super) drained: bool,
    /// Time until which the group is ejected.
    pub(super) ejected_until: Timestamp,
    /// Trust in the group's cache entries, from 0 to 1.
    pub(super) trust: f32,
    /// Time to first token relative to the peers; 1 is normal.
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
    /// Creates the slot of a new group.
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

    /// Returns whether a new description has the same record, model, failure domain
    /// and head.
    pub(super) fn is_same(&self, serving: &ServingGroup) -> bool {
        let known = &self.serving;
        known.record == serving.record
            && known.served_model == serving.served_model
            && known.failure_domain == serving.failure_domain
            && known.head == serving.head
    }

    /// Replaces the description; returns whether the generation changed.
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

    /// Returns whether the group reports itself cold or is marked as cold.
    pub(super) fn is_cold(&self, credits: &impl ColdCredits) -> bool {
        self.cold || credits.marked_cold(&self.serving.group, self.serving.generation)
    }

    /// Returns the number of in-flight requests of this entry host.
    pub(super) fn own_in_flight(&self) -> u32 {
        self.own_in_flight
    }

    /// Returns the estimated number of requests in the group.
    pub(super) fn load(&self) -> u32 {
        let estimate = i64::from(self.reported) + i64::from(self.since_report);
        let estimate = u32::try_from(estimate.max(0)).unwrap_or(u32::MAX);
        estimate.max(self.own_in_flight)
    }

    /// Returns the number of blocks that the group must still compute for requests
    /// of this entry host.
    pub(super) fn pending_blocks(&self) -> u32 {
        self.pending_blocks
    }

    /// Returns the number of requests that this entry host may have in progress at
    /// the group, if `sharers` entry hosts share it.
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

    /// Records the start of a request for which the group must compute `blocks`.
    pub(super) fn start(&mut self, now: Timestamp, blocks: u32) {
        self.own_in_flight += 1;
        self.own_load.change(now, 1);
        self.since_report += 1;
        self.pending_blocks += blocks;
    }

    /// Records that `blocks` pending blocks have been computed or abandoned.
    pub(super) fn release_pending_blocks(&mut self, blocks: u32) {
        self.pending_blocks = self.pending_blocks.saturating_sub(blocks);
    }

    /// Records the end of a request.
    pub(super) fn end(&mut self, now: Timestamp) {
        if self.own_in_flight > 0 {
            self.own_in_flight -= 1;
            self.own_load.change(now, -1);
            self.since_report -= 1;
        }
    }

    /// Records an answered request, which shows that the group is healthy and ends
    /// any ejection.
    pub(super) fn succeed(&mut self) {
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = Timestamp::default();
    }

    /// Records a failure. Ejects the group after several consecutive failures and
    /// returns the duration of the ejection.
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

    /// Records a time to first token, for which `blocks` had to be computed, and
    /// classifies the group by it.
    pub(super) fn record_first_token(
        &mut self,
        now: Timestamp,
        waited: Duration,
        blocks: u32,
        settings: &RouterSettings,
    ) -> LatencyVerdict {
        let load = self.load();
        self.latency.sample(now, waited, blocks, load);
        self.latency.classify(self.slowdown, load, settings)
    }

    /// Returns the smoothed time to first token per block, if there are enough
    /// samples.
    pub(super) fn latency(&self) -> Option<f32> {
        self.latency.current()
    }

    /// Updates the slowdown from the median latency of the peers.
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

    /// Checks the sequence number of a cache event; returns whether the event must
    /// be applied.
    ///
    /// A gap reduces the trust in all entries of the group, because evictions may
    /// have been missed.
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
