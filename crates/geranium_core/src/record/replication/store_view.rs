//! Known state of the store and write-back of the records that it has lost.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;

use super::follower::random_up_to;
use super::replica::record_event;
use super::{ConfigEffect, ReplicationTiming, StoreRead};
use crate::event::EventKind;
use crate::id::StoreRevision;
use crate::record::{RecordKey, RecordRank, RecordSet, StoredRecord};
use crate::time::Timestamp;

/// The known state of the store, and the records that are to be written back.
///
/// The store loses records if it is restored from an older copy. Hosts then hold
/// newer versions, and the hosts that watch the store write them back.
#[derive(Clone, Debug, Default)]
pub(super) struct StoreView {
    known: BTreeMap<RecordKey, (RecordRank, StoreRevision)>,
    /// Records that are newer on this host, with the time of their write-back.
    pending: BTreeMap<RecordKey, Timestamp>,
    in_flight: BTreeSet<RecordKey>,
}

impl StoreView {
    /// Replaces the known state by a read of the whole store.
    pub(super) fn replace(&mut self, read: &StoreRead) {
        let known = read.records.iter();
        let known =
            known.map(|(record, revision)| (record.key.clone(), (record.rank(), *revision)));
        self.known = known.collect();
    }

    /// Sets the known value of a record.
    pub(super) fn put(&mut self, record: &StoredRecord, revision: StoreRevision) {
        let known = (record.rank(), revision);
        self.known.insert(record.key.clone(), known);
    }

    /// Records that the store has no value for a record.
    pub(super) fn remove(&mut self, key: &RecordKey) {
        self.known.remove(key);
    }

    /// Compares a record in the store with the version held, and schedules a
    /// write-back if the store has an older version or none.
    pub(super) fn compare(
        &mut self,
        key: &RecordKey,
        held: &RecordSet,
        timing: &ReplicationTiming,
        now: Timestamp,
        rng: &mut impl Rng,
    ) {
        let known = self.known.get(key).map(|(rank, _)| *rank);
        let held = held.get(key).map(|entry| entry.stored.rank());
        if held <= known {
            self.pending.remove(key);
            return;
        }
        if self.pending.contains_key(key) {
            return;
        }
        let jitter = random_up_to(timing.write_back_jitter, rng);
        self.pending
            .insert(key.clone(), now + timing.write_back_delay + jitter);
    }

    /// Starts the write-backs that are due.
    pub(super) fn due_write_backs(
        &mut self,
        held: &RecordSet,
        timing: &ReplicationTiming,
        now: Timestamp,
    ) -> Vec<ConfigEffect> {
        let free = timing.max_write_backs.saturating_sub(self.in_flight.len());
        let due = self.pending.iter().filter(|(_, at)| **at <= now);
        let due = due.filter(|(key, _)| !self.in_flight.contains(*key));
        let keys: Vec<RecordKey> = due.map(|(key, _)| key.clone()).take(free).collect();
        let mut effects = Vec::new();
        for key in keys {
            let Some(entry) = held.get(&key) else {
                continue;
            };
            let generation = entry.stored.generation();
            let reason = format!("the store has no version as new as generation {generation}");
            effects.push(record_event(EventKind::RecordStale, &key, reason));
            let expected = self.known.get(&key).map(|(_, revision)| *revision);
            effects.push(ConfigEffect::WriteBack {
                record: entry.stored.clone(),
                expected: expected.unwrap_or_default(),
            });
            self.in_flight.insert(key);
        }
        effects
    }

    /// Handles the end of a write-back; a failed one is retried after a delay.
    pub(super) fn finish(
        &mut self,
        key: &RecordKey,
        timing: &ReplicationTiming,
        now: Timestamp,
        rng: &mut impl Rng,
    ) {
        self.in_flight.remove(key);
        if let Some(due) = self.pending.get_mut(key) {
            *due = now + timing.write_back_delay + random_up_to(timing.write_back_jitter, rng);
        }
    }

    /// Cancels all write-backs, because this host no longer follows the store.
    pub(super) fn clear_pending(&mut self) {
        self.pending.clear();
        self.in_flight.clear();
    }
}
