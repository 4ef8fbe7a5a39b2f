//! Ranks that were computed before.

use geranium_core::collections::HashMap;
use geranium_core::time::Timestamp;

use crate::host::HostId;

/// Maximum number of backend servers whose ranks are kept, as servers come and go.
const MAX_RANKS: usize = 1_024;

/// Number of entry hosts ranked before this one, by backend server.
#[derive(Debug, Default)]
pub(super) struct RankCache {
    ranks: HashMap<HostId, usize>,
    /// When the ranks change by time alone.
    valid_until: Timestamp,
}

impl RankCache {
    /// Returns the rank of a backend server, if it is known and still valid.
    pub(super) fn get(&self, id: &str, now: Timestamp) -> Option<usize> {
        let is_valid = now < self.valid_until;
        self.ranks.get(id).copied().filter(|_| is_valid)
    }

    /// Stores a rank that is valid until the given time.
    pub(super) fn insert(&mut self, id: &str, rank: usize, valid_until: Timestamp, now: Timestamp) {
        if now >= self.valid_until || self.ranks.len() >= MAX_RANKS {
            self.ranks.clear();
        }
        self.valid_until = valid_until;
        self.ranks.insert(id.into(), rank);
    }

    /// Removes all ranks.
    pub(super) fn clear(&mut self) {
        self.ranks.clear();
    }
}
