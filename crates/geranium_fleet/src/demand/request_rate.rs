//! Rate of requests for one model.

use std::time::Duration;

use geranium_core::time::Timestamp;

use crate::decay::Decay;

/// Time after which past requests count half.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Rates of the requests for one model that an entry host received and refused.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestRate {
    asked: f64,
    refused: f64,
    decay: Decay,
}

impl Default for RequestRate {
    fn default() -> Self {
        Self {
            asked: 0.0,
            refused: 0.0,
            decay: Decay::new(HALF_LIFE),
        }
    }
}

impl RequestRate {
    /// Counts a request.
    pub(super) fn record_request(&mut self, now: Timestamp) {
        self.decay(now);
        self.asked += 1.0;
    }

    /// Counts the refusal of a request that has not run.
    pub(super) fn record_refusal(&mut self, now: Timestamp) {
        self.decay(now);
        self.refused += 1.0;
    }

    /// Returns the requests and the refusals per second.
    pub(super) fn per_s(&mut self, now: Timestamp) -> (f64, f64) {
        self.decay(now);
        // The decayed count of a steady rate is the rate times the mean life of a request.
        let mean_life_s = HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        (self.asked / mean_life_s, self.refused / mean_life_s)
    }

    fn decay(&mut self, now: Timestamp) {
        if let Some(factor) = self.decay.factor(now) {
            self.asked *= factor;
            self.refused *= factor;
        }
    }
}
