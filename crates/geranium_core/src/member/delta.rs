//! Log of what a host shares, of which each peer gets the part it lacks.

use std::collections::BTreeMap;

/// The newest value of each key, numbered in the order of the changes.
#[derive(Clone, Debug)]
pub(super) struct DeltaLog<K, V> {
    last: u64,
    entries: BTreeMap<K, (u64, V)>,
}

impl<K: Ord, V> DeltaLog<K, V> {
    /// Returns the number of the last change.
    pub(super) const fn last(&self) -> u64 {
        self.last
    }

    /// Sets the value of a key as a new change.
    pub(super) fn put(&mut self, key: K, value: V) {
        self.last += 1;
        self.entries.insert(key, (self.last, value));
    }

    /// Returns the value of a key.
    pub(super) fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|(_, value)| value)
    }

    /// Forgets the keys for which `keep` is false.
    pub(super) fn retain(&mut self, keep: impl Fn(&K, &V) -> bool) {
        self.entries.retain(|key, (_, value)| keep(key, value));
    }

    /// Returns what changed after a number, in the order of the changes.
    pub(super) fn after(&self, number: u64) -> Vec<(u64, &V)> {
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
