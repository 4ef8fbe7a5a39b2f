//! Leases and the keys that end with them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use geranium_core::time::Timestamp;

#[derive(Clone, Debug, PartialEq, Eq)]
struct Lease {
    ttl: Duration,
    expires: Timestamp,
    keys: BTreeSet<Bytes>,
}

/// Every lease that has not ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Leases {
    last_id: u64,
    leases: BTreeMap<u64, Lease>,
}

impl Leases {
    /// Grants a lease; `id` zero asks for a new id.
    pub fn grant(&mut self, id: u64, ttl: Duration, now: Timestamp) -> u64 {
        let id = if id == 0 { self.last_id + 1 } else { id };
        self.last_id = self.last_id.max(id);
        let lease = Lease {
            ttl,
            expires: now + ttl,
            keys: BTreeSet::new(),
        };
        self.leases.insert(id, lease);
        id
    }

    /// Prolongs a lease and returns its time to live; `None` if it has ended.
    pub fn keep_alive(&mut self, id: u64, now: Timestamp) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease and returns its keys; `None` if it had ended.
    pub fn remove(&mut self, id: u64) -> Option<BTreeSet<Bytes>> {
        self.leases.remove(&id).map(|lease| lease.keys)
    }

    /// Returns whether a lease exists.
    pub fn contains(&self, id: u64) -> bool {
        self.leases.contains_key(&id)
    }

    /// Returns the number of leases.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Returns every lease.
    pub fn ids(&self) -> Vec<u64> {
        self.leases.keys().copied().collect()
    }

    /// Returns the leases whose time is over.
    pub fn ended_by(&self, now: Timestamp) -> Vec<u64> {
        let over = self.leases.iter().filter(|(_, lease)| lease.expires <= now);
        over.map(|(id, _)| *id).collect()
    }

    /// Lets a key end with a lease, if there is one.
    pub fn attach(&mut self, id: u64, key: &Bytes) {
        if let Some(lease) = self.leases.get_mut(&id) {
            lease.keys.insert(key.clone());
        }
    }

    /// Keeps a key when a lease ends.
    pub fn detach(&mut self, id: u64, key: &Bytes) {
        if let Some(lease) = self.leases.get_mut(&id) {
            lease.keys.remove(key);
        }
    }
}
