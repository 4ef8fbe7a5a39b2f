//! First-token times of one group.

use std::time::Duration;

use super::RouterSettings;
use crate::time::Timestamp;

/// First-token samples before a group is compared with its peers.
const MIN_SAMPLES: u32 = 5;
/// First-token samples before a group is compared with its own past.
const MIN_BASELINE_SAMPLES: u32 = 50;
/// Weight of a new sample in the current pace.
const SAMPLE_WEIGHT: f32 = 0.2;
/// Weight of a new sample in the baseline.
const BASELINE_WEIGHT: f32 = 0.01;
/// Load relative to the usual one up to which a slow sample counts as a sign of a
/// cold group; above it, the load explains the slowness.
const MAX_LOAD_RATIO: f32 = 1.5;
/// Blocks of work that every request costs beside its prompt.
pub(super) const BASE_BLOCKS: u32 = 2;

/// How a group's first-token times look.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LatencyVerdict {
    /// In line with its peers and its past.
    Normal,
    /// Out of line, as of a straggler; the router sends it less.
    Straggling,
    /// So far out of line that the group is to be treated as cold.
    Cold,
}

/// First-token times of one group, in seconds a block.
#[derive(Clone, Debug, Default)]
pub(super) struct LatencyTracker {
    current: f32,
    baseline: f32,
    baseline_load: f32,
    samples: u32,
    sampled_at: Timestamp,
    cold_samples: u32,
}

impl LatencyTracker {
    /// Takes in a sample: a first token after `waited`, for which so many blocks
    /// were computed, in a group with so many requests.
    pub(super) fn sample(&mut self, now: Timestamp, waited: Duration, blocks: u32, load: u32) {
        let sample = waited.as_secs_f32() / (BASE_BLOCKS + blocks) as f32;
        if self.samples == 0 {
            self.current = sample;
            self.baseline = sample;
            self.baseline_load = load as f32;
        }
        self.current += SAMPLE_WEIGHT * (sample - self.current);
        self.baseline += BASELINE_WEIGHT * (sample - self.baseline);
        self.baseline_load += BASELINE_WEIGHT * (load as f32 - self.baseline_load);
        self.samples = self.samples.saturating_add(1);
        self.sampled_at = now;
    }

    /// Returns the current pace, once there are enough samples.
    pub(super) fn current(&self) -> Option<f32> {
        (self.samples >= MIN_SAMPLES).then_some(self.current)
    }

    /// Returns the current pace relative to the median of the peers; old samples
    /// count less.
    pub(super) fn ratio_to(&self, median: f32, now: Timestamp, half_life: Duration) -> f32 {
        let Some(current) = self.current() else {
            return 1.0;
        };
        let ratio = (current / median.max(f32::MIN_POSITIVE)).max(1.0);
        let half_lives = now.since(self.sampled_at).as_secs_f32() / half_life.as_secs_f32();
        1.0 + (ratio - 1.0) * (-half_lives).exp2()
    }

    /// Judges the group after a sample, given its ratio to its peers.
    pub(super) fn judge(
        &mut self,
        peer_ratio: f32,
        load: u32,
        settings: &RouterSettings,
    ) -> LatencyVerdict {
        let ratio = peer_ratio.max(self.ratio_to_baseline(load));
        if ratio >= settings.cold_ratio {
            self.cold_samples += 1;
        } else {
            self.cold_samples = 0;
        }
        if self.cold_samples >= settings.cold_samples {
            LatencyVerdict::Cold
        } else if ratio >= settings.straggler_ratio {
            LatencyVerdict::Straggling
        } else {
            LatencyVerdict::Normal
        }
    }

    fn ratio_to_baseline(&self, load: u32) -> f32 {
        let known = self.samples >= MIN_BASELINE_SAMPLES;
        let loaded = load as f32 > (self.baseline_load * MAX_LOAD_RATIO).max(1.0);
        if known && !loaded {
            self.current / self.baseline.max(f32::MIN_POSITIVE)
        } else {
            1.0
        }
    }
}
