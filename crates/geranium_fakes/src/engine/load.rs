//! Load figures that lag.

use std::collections::VecDeque;
use std::time::Duration;

use geranium_core::time::Timestamp;

/// Load of the engine at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct LoadSample {
    pub running: u32,
    pub waiting: u32,
    pub kv_used_tokens: u64,
}

/// Gives the load as it was some time ago.
#[derive(Debug)]
pub(super) struct LaggedLoad {
    lag: Duration,
    told: LoadSample,
    samples: VecDeque<(Timestamp, LoadSample)>,
}

impl LaggedLoad {
    pub const fn new(lag: Duration) -> Self {
        Self {
            lag,
            told: LoadSample {
                running: 0,
                waiting: 0,
                kv_used_tokens: 0,
            },
            samples: VecDeque::new(),
        }
    }

    /// Takes note of a change of the load.
    pub fn record(&mut self, sample: LoadSample, now: Timestamp) {
        self.samples.push_back((now, sample));
        self.drop_old(now);
    }

    /// Returns the load as it is told now.
    pub fn told(&mut self, now: Timestamp) -> LoadSample {
        self.drop_old(now);
        self.told
    }

    fn drop_old(&mut self, now: Timestamp) {
        while let Some((at, sample)) = self.samples.front()
            && *at + self.lag <= now
        {
            self.told = *sample;
            self.samples.pop_front();
        }
    }
}
