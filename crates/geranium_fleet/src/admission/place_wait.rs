//! The time to wait after a refusal because all groups are full.

use std::ops::Range;
use std::time::Duration;

use rand::Rng;

use crate::engine_profile::{EngineProfile, ModelProfile};

/// Range of the random factor on the wait, so that callers do not come back simultaneously.
const JITTER: Range<f64> = 0.5..1.5;
/// Minimum wait.
const MIN_WAIT: Duration = Duration::from_millis(100);
/// Divisor of the time left that gives the maximum wait; callers do not honour a longer one.
const TIME_LEFT_DIVISOR: u32 = 3;

/// The expected time until a group has a place for a refused request.
#[derive(Clone, Copy, Debug)]
pub struct PlaceWait {
    /// Number of full groups of the model.
    pub groups: usize,
    /// Number of entry hosts that share the places.
    pub entry_hosts: usize,
    /// Number of recent refusals of this entry host, including this request.
    pub refusals: usize,
}

impl PlaceWait {
    /// Returns the expected time until the requests that were refused before this one and
    /// this one itself have a place, from the completion rate of the groups.
    #[must_use]
    pub fn expected(&self, profile: &EngineProfile, model: &ModelProfile) -> Duration {
        let interval_ms = profile.completion_interval_ms(model.time_factor);
        let senders_per_group = self.entry_hosts.max(1) as f64 / self.groups.max(1) as f64;
        let ms = interval_ms * senders_per_group * self.refusals.max(1) as f64;
        Duration::from_secs_f64(ms.clamp(0.0, 1e9) / 1_000.0)
    }

    /// Returns the expected time with random jitter, within what a caller with `time_left`
    /// honours.
    pub fn retry_after(
        &self,
        profile: &EngineProfile,
        model: &ModelProfile,
        time_left: Duration,
        rng: &mut impl Rng,
    ) -> Duration {
        let expected = self.expected(profile, model);
        let jittered = expected.mul_f64(rng.random_range(JITTER));
        jittered.max(MIN_WAIT).min(time_left / TIME_LEFT_DIVISOR)
    }
}
