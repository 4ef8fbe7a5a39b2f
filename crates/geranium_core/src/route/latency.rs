//! Times to first token of a group.

use std::time::Duration;

use super::RouterSettings;
use crate::time::Timestamp;

/// Minimum number of samples before a group is compared with its peers.
const MIN_SAMPLES: u32 = 5;
/// Minimum number of samples before a group is compared with its own baseline.
const MIN_BASELINE_SAMPLES: u32 = 50;
/// Weight of a new sample in the moving average of the current latency.
const SAMPLE_WEIGHT: f32 = 0.2;
/// Weight of a new sample in the moving average of the baseline.
const BASELINE_WEIGHT: f32 = 0.01;
/// Maximum load relative to the baseline load at which a group is compared with
/// its baseline, because a higher load itself explains a higher latency.
const MAX_LOAD_RATIO: f32 = 1.5;
/// Fixed cost of a request in addition to its prompt, in blocks.
pub(super) const BASE_BLOCKS: u32 = 2;

/// Classification of a group by its times to first token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LatencyVerdict {
    /// Similar to its peers and its baseline.
    Normal,
    /// A straggler, to which the router sends fewer requests.
    Straggling,
    /// So slow that the group must be treated as cold.
    Cold,
}

/// Moving averages of a group's time to first token, in seconds per block.
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
    /// Records a sample: the first token arrived after `waited`, and the group had
    /// to compute `blocks` blocks for it while processing `load` requests.
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

    /// Returns the current latency, if there are enough samples.
    pub(super) fn current(&self) -> Option<f32> {
        (self.samples >= MIN_SAMPLES).then_some(self.current)
    }

    /// Returns the current latency relative to the median of the peers, at least 1;
    /// it decays to 1 with the age of the last sample.
    pub(super) fn ratio_to(&self, median: f32, now: Timestamp, half_life: Duration) -> f32 {
        let Some(current) = self.current() else {
            return 1.0;
        };
        let ratio = (current / median.max(f32::MIN_POSITIVE)).max(1.0);
        let half_lives = now.since(self.sampled_at).as_secs_f32() / half_life.as_secs_f32();
        1.0 + (ratio - 1.0) * (-half_lives).exp2()
    }

    /// Classifies the group after a sample, given its latency relative to its peers.
    pub(super) fn classify(
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
        let has_baseline = self.samples >= MIN_BASELINE_SAMPLES;
        let is_overloaded = load as f32 > (self.baseline_load * MAX_LOAD_RATIO).max(1.0);
        if has_baseline && !is_overloaded {
            self.current / self.baseline.max(f32::MIN_POSITIVE)
        } else {
            1.0
        }
    }
}
