//! The part of the time to the first token that does not depend on the load of a group.

use std::time::Duration;

/// Minimum weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Factor on the weight of a sample above the average. Load that is not known yet only adds to the
/// times, so that the low samples are those without it.
const HIGH_SAMPLE_FACTOR: f64 = 0.1;
/// Limit of a sample in both directions, in milliseconds. A larger difference comes from a
/// load that was not known yet or from a fault of the group.
const MAX_SAMPLE_MS: f64 = 200.0;

/// Moving average of the difference between observed and predicted times to the first token.
///
/// The first samples have equal weights, so that a few suffice. High samples count less.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use geranium_fleet::first_token_delay::FirstTokenDelay;
///
/// let mut delay = FirstTokenDelay::default();
/// delay.record(Duration::from_millis(150), Duration::from_millis(110));
/// assert_eq!(delay.get(), Duration::from_millis(40));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FirstTokenDelay {
    mean_ms: f64,
    samples: u32,
}

impl FirstTokenDelay {
    /// Records the time to a first token and the wait that was predicted for it.
    pub fn record(&mut self, observed: Duration, predicted: Duration) {
        let sample_ms = (observed.as_secs_f64() - predicted.as_secs_f64()) * 1_000.0;
        self.samples = self.samples.saturating_add(1);
        let sample_ms = sample_ms.clamp(-MAX_SAMPLE_MS, MAX_SAMPLE_MS);
        let mut weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        if self.samples > 1 && sample_ms > self.mean_ms {
            weight *= HIGH_SAMPLE_FACTOR;
        }
        self.mean_ms += (sample_ms - self.mean_ms) * weight;
    }

    /// Returns the delay; zero while the predictions are above the observed times.
    #[must_use]
    pub fn get(&self) -> Duration {
        Duration::from_secs_f64(self.mean_ms.max(0.0) / 1_000.0)
    }

    /// Returns the number of samples that the delay rests on, as a weight among those of others.
    #[must_use]
    pub fn weight(&self) -> f64 {
        f64::from(self.samples).min(1.0 / SAMPLE_WEIGHT)
    }
}
