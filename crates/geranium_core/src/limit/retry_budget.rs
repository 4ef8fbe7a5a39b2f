//! Budget that limits retries and hedges to a fraction of original requests.

use crate::time::Timestamp;

const WINDOW_BUCKETS: usize = 10;
const BUCKET_MICROS: u64 = 1_000_000;

/// Settings of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries allowed per original request in the window.
    pub fraction: f64,
    /// Retries allowed in addition to the fraction, so that a host with little
    /// traffic can retry at all.
    pub base_retries: u32,
}

impl RetryBudgetSettings {
    /// Returns the settings for retries after a failure.
    #[must_use]
    pub const fn retries() -> Self {
        Self {
            fraction: 0.2,
            base_retries: 10,
        }
    }

    /// Returns the settings for resuming streams on another group after their group
    /// failed. The budget is larger than that of other retries because a failed group
    /// breaks all of its streams at once, and smaller than the number of streams of a
    /// whole failure domain.
    #[must_use]
    pub const fn resumes() -> Self {
        Self {
            fraction: 0.5,
            base_retries: 32,
        }
    }

    /// Returns the settings for hedges, which are sent without a failure.
    #[must_use]
    pub const fn hedges() -> Self {
        Self {
            fraction: 0.05,
            base_retries: 1,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    requests: u32,
    retries: u32,
}

/// Limits retries to a fraction of the original requests of the last ten seconds.
///
/// # Examples
///
/// ```
/// use geranium_core::limit::{RetryBudget, RetryBudgetSettings};
/// use geranium_core::time::Timestamp;
///
/// let now = Timestamp::from_millis(0);
/// let settings = RetryBudgetSettings { fraction: 0.1, base_retries: 0 };
/// let mut budget = RetryBudget::new(settings);
/// for _ in 0..20 {
///     budget.request(now);
/// }
///
/// assert!(budget.try_retry(now));
/// assert!(budget.try_retry(now));
/// assert!(!budget.try_retry(now));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    buckets: [Bucket; WINDOW_BUCKETS],
    newest: u64,
}

impl RetryBudget {
    /// Creates a budget without recorded requests.
    #[must_use]
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            buckets: [Bucket::default(); WINDOW_BUCKETS],
            newest: 0,
        }
    }

    /// Replaces the settings; recorded requests and retries still count.
    pub const fn set_settings(&mut self, settings: RetryBudgetSettings) {
        self.settings = settings;
    }

    /// Records an original request; retries and hedges must not be recorded here.
    pub fn request(&mut self, now: Timestamp) {
        self.bucket(now).requests += 1;
    }

    /// Spends a retry if the budget allows one; returns whether it did.
    pub fn try_retry(&mut self, now: Timestamp) -> bool {
        if self.remaining(now) == 0 {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }

    /// Returns the number of retries that the budget allows now.
    pub fn remaining(&mut self, now: Timestamp) -> u32 {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|b| b.requests).sum();
        let retries: u32 = self.buckets.iter().map(|b| b.retries).sum();
        let earned = (f64::from(requests) * self.settings.fraction) as u32;
        (earned + self.settings.base_retries).saturating_sub(retries)
    }

    fn bucket(&mut self, now: Timestamp) -> &mut Bucket {
        let current = (now.0 / BUCKET_MICROS).max(self.newest);
        let stale = (current - self.newest).min(WINDOW_BUCKETS as u64);
        for i in 0..stale {
            self.buckets[(current - i) as usize % WINDOW_BUCKETS] = Bucket::default();
        }
        self.newest = current;
        &mut self.buckets[current as usize % WINDOW_BUCKETS]
    }
}
