//! Log of shared items, from which each peer receives the changes that it lacks.

use std::collections::BTreeMap;

/// The latest value of each key, with a sequence number in the order of changes.
#[derive(Clone, Debug)]
pub(super) struct DeltaLog<K, V> {
    last: u64,
    entries: BTreeMap<K, (u64, V)>,
}

impl<K: Ord, V> DeltaLog<K, V> {
    /// Returns the sequence number of the last change.
    pub(super) const fn last(&self) -> u64 {
        self.last
    }

    /// Sets the value of a key and logs it as a new change.
    pub(super) fn put(&mut self, key: K, value: V) {
        self.last += 1;
        self.entries.insert(key, (self.last, value));
    }

    /// Returns the value of a key.
    pub(super) fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|(_, value)| value)
    }

    /// Removes the keys for which `keep` returns false.
    pub(super) fn retain(&mut self, keep: impl Fn(&K, &V) -> bool) {
        self.entries.retain(|key, (_, value)| keep(key, value));
    }

    /// Returns the changes after a sequence number, in order.
    pub(super) fn changes_after(&self, number: u64) -> Vec<(u64, &V)> {
        let changed = self.entries.values().filter(|(n, _)| *n > number);
        let mut changed: Vec<(u64, &V)> = changed.map(|(n, value)| (*n, value)).collect();
        changed.sort_by_key(|(n, _)| *n);
        changed
    }
}

impl<K, V> Default for DeltaLog<K, V> {
    fn default() -> Self {
        Self {
            last: 0,
            entries: BTreeMap::new(),
        }
    }
}
