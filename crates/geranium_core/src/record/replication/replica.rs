//! Replica of the records on one host.

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

/// The records in force on one host, replicated from the store and from peers.
///
/// Inputs return the effects that the driver must carry out. The driver calls
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
    /// Live peers in this host's failure domain.
    pub(super) peers: Vec<MemberInfo>,
}

impl ConfigReplica {
    /// Creates a replica without records.
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

    /// Returns whether the records have matched the store, by a read of this host
    /// or by the confirmation of a peer, since this host started.
    #[must_use]
    pub fn is_synced(&self, now: Timestamp) -> bool {
        self.follower.age(now).is_some()
    }

    /// Returns the status that heartbeats report.
    #[must_use]
    pub fn status(&self, now: Timestamp) -> ConfigStatus {
        ConfigStatus {
            digest: self.records.digest(),
            records: u32::try_from(self.records.len()).unwrap_or(u32::MAX),
            store_age: self.follower.age(now),
        }
    }

    /// Advances time: starts the reads, pulls and write-backs that are due.
    pub fn tick(&mut self, now: Timestamp) -> Vec<ConfigEffect> {
        let mut effects = self.follower.tick(&self.timing, now, &mut self.rng);
        if !self.follower.is_watching() {
            self.store.clear_pending();
        }
        for peer in self.sync.due_pulls(&self.timing, now) {
            let index = self.records.index();
            effects.push(ConfigEffect::PullFromPeer { peer, index });
        }
        effects.extend(self.store.due_write_backs(&self.records, &self.timing, now));
        effects
    }

    /// Sets the live peers in this host's failure domain, and the position of this
    /// host among those that watch the store, if it is one of them.
    pub fn set_members(
        &mut self,
        peers: Vec<MemberInfo>,
        watcher_position: Option<usize>,
        now: Timestamp,
    ) -> Vec<ConfigEffect> {
        self.peers = peers;
        self.follower.set_position(watcher_position, now)
    }

    /// Handles a read of all records in the store.
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

    /// Handles a failed read.
    pub fn handle_read_failure(&mut self, reason: &str, now: Timestamp) -> Vec<ConfigEffect> {
        self.follower
            .read_failed(&self.timing, now, &mut self.rng, reason)
    }

    /// Handles changes reported by a watch; an empty batch shows that the watch is
    /// alive.
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

    /// Handles a watch that ended without a store error, or because the store has
    /// compacted the changes from which it should continue.
    pub fn handle_watch_end(&mut self, now: Timestamp) {
        self.follower.handle_watch_end(now);
    }

    /// Handles a failed watch.
    pub fn handle_watch_failure(&mut self, reason: &str, now: Timestamp) -> Vec<ConfigEffect> {
        self.follower.handle_watch_end(now);
        self.handle_read_failure(reason, now)
    }

    /// Handles a change that this host itself wrote to the store.
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

    /// Handles the status in the heartbeat of an entry host.
    ///
    /// `confirmed_at` is a lower bound of the time at which the heartbeat was
    /// created, if one is known; see [`Membership::confirmed_at`](crate::member::Membership::confirmed_at).
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

    /// Handles a failed pull.
    pub fn handle_pull_failure(&mut self, peer: &MemberInfo, now: Timestamp) {
        self.sync.finish(&peer.host, false, &self.timing, now);
    }

    /// Handles the outcome of a write-back.
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
                effects.push(record_event(EventKind::RecordRestored, &key, reason));
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

    /// Compares records with the store, if this host is watching it.
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

pub(super) fn record_event(kind: EventKind, key: &RecordKey, reason: String) -> ConfigEffect {
    let subject = EventSubject::record(&key.name);
    let event = EventDraft::new(kind, subject, reason).caused_by(key.to_string());
    ConfigEffect::Emit(event)
}
