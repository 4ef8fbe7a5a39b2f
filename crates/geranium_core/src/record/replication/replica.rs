//! The records in force on one host.

use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::adopt::Source;
use super::follower::StoreFollower;
use super::peer_sync::PeerSync;
use super::store_view::StoreView;
use super::{ConfigEffect, ReplicationTiming, StoreChange, StoreRead, WriteBackOutcome};
use crate::event::{EventDraft, EventKind, EventSubject};
use crate::id::{FailureDomainId, StoreRevision};
use crate::member::{ConfigStatus, MemberInfo};
use crate::record::{RecordKey, RecordSet, StoredRecord};
use crate::time::Timestamp;

/// The records in force on one host and how it learns of changes.
///
/// Every input returns the effects that the driver carries out. The driver calls
/// [`tick`](Self::tick) about ten times a second.
#[derive(Clone, Debug)]
pub struct ConfigReplica {
    pub(super) failure_domain: FailureDomainId,
    pub(super) timing: ReplicationTiming,
    pub(super) rng: SmallRng,
    pub(super) records: Arc<RecordSet>,
    pub(super) follower: StoreFollower,
    pub(super) store: StoreView,
    pub(super) sync: PeerSync,
    /// Live peers of the own failure domain.
    pub(super) peers: Vec<MemberInfo>,
}

impl ConfigReplica {
    /// Starts with no records.
    #[must_use]
    pub fn new(
        failure_domain: FailureDomainId,
        timing: ReplicationTiming,
        seed: u64,
        now: Timestamp,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut sync = PeerSync::default();
        sync.remember(RecordSet::default().digest());
        Self {
            failure_domain,
            follower: StoreFollower::new(&timing, now, &mut rng),
            timing,
            rng,
            records: Arc::default(),
            store: StoreView::default(),
            sync,
            peers: Vec::new(),
        }
    }

    /// Returns the records in force.
    #[must_use]
    pub const fn records(&self) -> &Arc<RecordSet> {
        &self.records
    }

    /// Returns whether this host has learned the records from the store or a peer
    /// that knew them.
    #[must_use]
    pub fn is_synced(&self, now: Timestamp) -> bool {
        self.follower.age(now).is_some()
    }

    /// Returns what heartbeats report.
    #[must_use]
    pub fn status(&self, now: Timestamp) -> ConfigStatus {
        ConfigStatus {
            digest: self.records.digest(),
            records: u32::try_from(self.records.len()).unwrap_or(u32::MAX),
            store_age: self.follower.age(now),
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Timestamp) -> Vec<ConfigEffect> {
        let mut effects = self.follower.tick(&self.timing, now, &mut self.rng);
        if !self.follower.is_watching() {
            self.store.clear_pending();
        }
        for peer in self.sync.due(&self.timing, now) {
            let index = self.records.index();
            effects.push(ConfigEffect::PullFromPeer { peer, index });
        }
        effects.extend(self.store.due(&self.records, &self.timing, now));
        effects
    }

    /// Sets the live peers of the own failure domain and the place of this host
    /// among those that watch the store, if it is one of them.
    pub fn set_members(
        &mut self,
        peers: Vec<MemberInfo>,
        watcher_position: Option<usize>,
        now: Timestamp,
    ) -> Vec<ConfigEffect> {
        self.peers = peers;
        self.follower.set_position(watcher_position, now)
    }

    /// Takes in a read of the whole store.
    pub fn handle_store_read(&mut self, read: StoreRead, now: Timestamp) -> Vec<ConfigEffect> {
        let revision = read.revision;
        self.store.replace(&read);
        let records = read.records.into_iter().map(|(record, _)| record);
        let mut effects = self.adopt(records, Source::Store("read"), now);
        effects.extend(
            self.follower
                .read_succeeded(revision, &self.timing, now, &mut self.rng),
        );
        if self.follower.is_watching() {
            let held = self.records.iter().map(|e| e.stored.key.clone());
            let held: Vec<RecordKey> = held.collect();
            self.compare(&held, now);
        }
        effects
    }

    /// Takes note of a read that failed.
    pub fn handle_read_failure(&mut self, reason: &str, now: Timestamp) -> Vec<ConfigEffect> {
        self.follower
            .read_failed(&self.timing, now, &mut self.rng, reason)
    }

    /// Takes in what a watch reported; an empty batch shows that it is alive.
    pub fn handle_watch_changes(
        &mut self,
        changes: Vec<StoreChange>,
        now: Timestamp,
    ) -> Vec<ConfigEffect> {
        self.follower.note_watch_activity(now);
        let mut keys = Vec::new();
        let mut records = Vec::new();
        for change in changes {
            match change {
                StoreChange::Put(record, revision) => {
                    self.store.put(&record, revision);
                    keys.push(record.key.clone());
                    records.push(record);
                }
                StoreChange::Deleted(key) => {
                    self.store.remove(&key);
                    keys.push(key);
                }
            }
        }
        let effects = self.adopt(records, Source::Store("watch"), now);
        self.compare(&keys, now);
        effects
    }

    /// Takes note of a watch that ended without an error of the store, or because
    /// the changes it should continue from are gone.
    pub fn handle_watch_end(&mut self, now: Timestamp) {
        self.follower.handle_watch_end(now);
    }

    /// Takes note of a watch that failed.
    pub fn handle_watch_failure(&mut self, reason: &str, now: Timestamp) -> Vec<ConfigEffect> {
        self.follower.handle_watch_end(now);
        self.handle_read_failure(reason, now)
    }

    /// Takes in a change that this host wrote to the store itself.
    pub fn handle_own_write(
        &mut self,
        record: StoredRecord,
        revision: StoreRevision,
        now: Timestamp,
    ) -> Vec<ConfigEffect> {
        self.store.put(&record, revision);
        let key = record.key.clone();
        let effects = self.adopt([record], Source::Store("write"), now);
        self.compare(&[key], now);
        effects
    }

    /// Takes in what a heartbeat of any entry host reports.
    ///
    /// `confirmed_at` is a time before which the heartbeat was not made, if one is
    /// known; see [`Membership::confirmed_at`](crate::member::Membership::confirmed_at).
    pub fn handle_heartbeat(
        &mut self,
        peer: &MemberInfo,
        status: ConfigStatus,
        confirmed_at: Option<Timestamp>,
        now: Timestamp,
    ) {
        if let (Some(age), Some(at)) = (status.store_age, confirmed_at)
            && status.digest == self.records.digest()
        {
            self.follower.confirm_fresh(at - age);
        }
        self.sync
            .observe_digest(peer, status.digest, &self.timing, now, &mut self.rng);
        if !self.is_synced(now) {
            self.sync.pull_immediately(now);
        }
    }

    /// Takes note of a pull that failed.
    pub fn handle_pull_failure(&mut self, peer: &MemberInfo, now: Timestamp) {
        self.sync.finish(&peer.host, false, &self.timing, now);
    }

    /// Takes in the outcome of a write-back.
    pub fn handle_write_back(
        &mut self,
        record: &StoredRecord,
        outcome: WriteBackOutcome,
        now: Timestamp,
    ) -> Vec<ConfigEffect> {
        let key = record.key.clone();
        self.store.finish(&key, &self.timing, now, &mut self.rng);
        let mut effects = Vec::new();
        match outcome {
            WriteBackOutcome::Applied(revision) => {
                self.store.put(record, revision);
                let reason = format!("the store had lost generation {}", record.generation());
                effects.push(key_event(EventKind::RecordRestored, &key, reason));
            }
            WriteBackOutcome::Conflict(Some((stored, revision))) => {
                self.store.put(&stored, revision);
                effects = self.adopt([stored], Source::Store("write-back"), now);
            }
            WriteBackOutcome::Conflict(None) => self.store.remove(&key),
            WriteBackOutcome::Failed => {}
        }
        self.compare(&[key], now);
        effects
    }

    /// Compares records with what the store holds, if this host follows it.
    pub(super) fn compare(&mut self, keys: &[RecordKey], now: Timestamp) {
        if !self.follower.is_watching() {
            return;
        }
        for key in keys {
            self.store
                .compare(key, &self.records, &self.timing, now, &mut self.rng);
        }
    }
}

pub(super) fn key_event(kind: EventKind, key: &RecordKey, reason: String) -> ConfigEffect {
    let subject = EventSubject::record(&key.name);
    let event = EventDraft::new(kind, subject, reason).caused_by(key.to_string());
    ConfigEffect::Emit(event)
}
