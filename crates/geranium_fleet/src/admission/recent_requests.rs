//! Recent requests for a model by client account.

use std::sync::Arc;
use std::time::Duration;

use geranium_core::collections::HashMap;
use geranium_core::time::Timestamp;

use crate::decay::Decay;

/// Time after which past requests count half.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Maximum number of accounts whose requests are counted.
const MAX_ACCOUNTS: usize = 256;
/// Minimum decayed number of requests of an account that counts as active.
const MIN_ACTIVE_REQUESTS: f64 = 0.25;
/// Multiple of the mean of the active accounts above which an account exceeds its share.
const EXCESS_FACTOR: f64 = 2.0;

/// Decaying counts of the requests for one model, by client account.
#[derive(Clone, Debug)]
pub(super) struct RecentRequests {
    counts: HashMap<Arc<str>, f64>,
    decay: Decay,
}

impl Default for RecentRequests {
    fn default() -> Self {
        Self {
            counts: HashMap::default(),
            decay: Decay::new(HALF_LIFE),
        }
    }
}

impl RecentRequests {
    /// Counts a request of an account.
    pub(super) fn record(&mut self, account: &str, now: Timestamp) {
        self.decay(now);
        if let Some(count) = self.counts.get_mut(account) {
            *count += 1.0;
            return;
        }
        if self.counts.len() >= MAX_ACCOUNTS {
            self.remove_least_active();
        }
        self.counts.insert(account.into(), 1.0);
    }

    /// Returns whether an account has so many more requests than the mean of the active accounts
    /// that it exceeds its share.
    pub(super) fn exceeds_share(&self, account: &str) -> bool {
        let total: f64 = self.counts.values().sum();
        let mean = total / self.counts.len().max(1) as f64;
        let own = self.counts.get(account).copied().unwrap_or(0.0);
        own > mean * EXCESS_FACTOR
    }

    fn decay(&mut self, now: Timestamp) {
        let Some(factor) = self.decay.factor(now) else {
            return;
        };
        self.counts.retain(|_, count| {
            *count *= factor;
            *count >= MIN_ACTIVE_REQUESTS
        });
    }

    fn remove_least_active(&mut self) {
        let least = self.counts.iter().min_by(|a, b| a.1.total_cmp(b.1));
        if let Some(account) = least.map(|(account, _)| account.clone()) {
            self.counts.remove(&account);
        }
    }
}
