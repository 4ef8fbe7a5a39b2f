//! What the router knows about one group.

use std::time::Duration;

use super::RouterSettings;
use super::own_load::OwnLoad;
use crate::group::ServingGroup;
use crate::time::Timestamp;

/// First-token samples before a group is compared with its peers.
const MIN_SAMPLES: u32 = 5;
/// Weight of a new first-token sample.
const SAMPLE_WEIGHT: f32 = 0.2;
/// Blocks of work that every request costs beside its prompt.
const BASE_BLOCKS: f32 = 4.0;
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
    /// The group as last given.
    pub(super) serving: ServingGroup,
    /// Whether the group was in the last update.
    pub(super) active: bool,
    /// Whether a drain covers the group.
    pub(super) drained: bool,
    /// Time until which the group is set aside.
    pub(super) ejected_until: Timestamp,
    /// Trust in the group's cache entries, from 0 to 1.
    pub(super) trust: f32,
    /// First-token time relative to its peers; 1 is usual.
    pub(super) slowdown: f32,
    own: OwnLoad,
    reported: u32,
    reported_at: Timestamp,
    since_report: i32,
    pace: f32,
    paced_at: Timestamp,
    samples: u32,
    failures: u32,
    ejections: u32,
    next_sequence: Option<u64>,
}

impl GroupSlot {
    /// Makes a slot for a group seen for the first time.
    pub(super) fn new(now: Timestamp, serving: &ServingGroup) -> Self {
        Self {
            serving: serving.clone(),
            active: true,
            drained: false,
            ejected_until: Timestamp::default(),
            trust: 1.0,
            slowdown: 1.0,
            own: OwnLoad::default(),
            reported: serving.running + serving.waiting,
            reported_at: now,
            since_report: 0,
            pace: 0.0,
            paced_at: now,
            samples: 0,
            failures: 0,
            ejections: 0,
            next_sequence: None,
        }
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
            self.since_report = self.own.net_change(now, settings.report_lag);
        }
        if new_generation {
            self.forget_generation();
        }
        self.serving.clone_from(serving);
        self.active = true;
        new_generation
    }

    fn forget_generation(&mut self) {
        self.trust = 1.0;
        self.slowdown = 1.0;
        self.samples = 0;
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = Timestamp::default();
        self.next_sequence = None;
    }

    /// Returns the requests of this entry host in flight.
    pub(super) fn own_in_flight(&self) -> u32 {
        self.own.in_flight()
    }

    /// Returns the estimated requests in the group.
    pub(super) fn load(&self) -> u32 {
        let estimate = i64::from(self.reported) + i64::from(self.since_report);
        let estimate = u32::try_from(estimate.max(0)).unwrap_or(u32::MAX);
        estimate.max(self.own.in_flight())
    }

    /// Notes that a request started.
    pub(super) fn start(&mut self, now: Timestamp) {
        self.own.start(now);
        self.since_report += 1;
    }

    /// Notes that a request ended.
    pub(super) fn end(&mut self, now: Timestamp) {
        if self.own.in_flight() > 0 {
            self.own.end(now);
            self.since_report -= 1;
        }
    }

    /// Notes an answer: the group is healthy.
    pub(super) fn succeed(&mut self) {
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = Timestamp::default();
    }

    /// Notes a failure; sets the group aside after several in a row.
    pub(super) fn fail(&mut self, now: Timestamp, settings: &RouterSettings) {
        self.failures += 1;
        if self.failures < settings.failures_to_eject || now < self.ejected_until {
            return;
        }
        let factor = 1 << self.ejections.min(16);
        let pause = (settings.eject_base * factor).min(settings.eject_max);
        self.ejected_until = now + pause;
        self.ejections += 1;
    }

    /// Notes a first-token time, given the blocks that had to be computed.
    pub(super) fn sample_pace(&mut self, now: Timestamp, waited: Duration, computed_blocks: u32) {
        let sample = waited.as_secs_f32() / (BASE_BLOCKS + computed_blocks as f32);
        self.pace = if self.samples == 0 {
            sample
        } else {
            self.pace + SAMPLE_WEIGHT * (sample - self.pace)
        };
        self.samples = self.samples.saturating_add(1);
        self.paced_at = now;
    }

    /// Returns the smoothed first-token time a block, once there are enough samples.
    pub(super) fn pace(&self) -> Option<f32> {
        (self.samples >= MIN_SAMPLES).then_some(self.pace)
    }

    /// Compares the group with the median of its peers; old samples count less.
    pub(super) fn compare_pace(&mut self, now: Timestamp, median: f32, settings: &RouterSettings) {
        let Some(pace) = self.pace() else {
            self.slowdown = 1.0;
            return;
        };
        let ratio = (pace / median.max(f32::MIN_POSITIVE)).max(1.0);
        let age = now.since(self.paced_at).as_secs_f32();
        let half_lives = age / settings.slowdown_half_life.as_secs_f32();
        let ratio = 1.0 + (ratio - 1.0) * (-half_lives).exp2();
        self.slowdown = if ratio >= settings.straggler_ratio {
            ratio
        } else {
            1.0
        };
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
