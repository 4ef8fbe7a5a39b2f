//! The records in force on one host.

use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::follower::StoreFollower;
use super::peer_sync::PeerSync;
use super::store_view::StoreView;
use super::{ConfigEffect, PullAnswer, SpreadTiming, StoreChange, StoreRead, WriteBackOutcome};
use crate::event::{EventDraft, EventKind, EventSubject};
use crate::id::{FailureDomainId, StoreRevision};
use crate::member::{ConfigStatus, MemberInfo};
use crate::record::{MergeOutcome, RecordIndex, RecordKey, RecordSet, StoredRecord};
use crate::time::Timestamp;

/// Largest sum of records in one message to a peer, in bytes.
const MAX_MESSAGE_SIZE: usize = 512 * 1_024;

/// Most records that are pushed at once; peers ask for larger changes.
const MAX_PUSHED: usize = 64;

/// The records in force on one host and how it learns of changes.
///
/// Every input returns the effects that the driver carries out. The driver calls
/// [`tick`](Self::tick) about ten times a second.
#[derive(Clone, Debug)]
pub struct ConfigReplica {
    failure_domain: FailureDomainId,
    timing: SpreadTiming,
    rng: SmallRng,
    records: Arc<RecordSet>,
    follower: StoreFollower,
    store: StoreView,
    sync: PeerSync,
    /// Live peers of the own failure domain.
    peers: Vec<MemberInfo>,
}

/// Where versions came from.
#[derive(Clone, Copy, Debug)]
enum Source<'a> {
    Store(&'static str),
    Peer(&'a MemberInfo),
}

impl ConfigReplica {
    /// Starts with no records.
    #[must_use]
    pub fn new(
        failure_domain: FailureDomainId,
        timing: SpreadTiming,
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
    pub fn is_informed(&self, now: Timestamp) -> bool {
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
            self.store.suspend();
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
    pub fn take_in_read(&mut self, read: StoreRead, now: Timestamp) -> Vec<ConfigEffect> {
        let revision = read.revision;
        self.store.replace(&read);
        let records = read.records.into_iter().map(|(record, _)| record);
        let mut effects = self.adopt(records, Source::Store("read"), now);
        effects.extend(
            self.follower
                .succeed(revision, &self.timing, now, &mut self.rng),
        );
        if self.follower.is_watching() {
            let held = self.records.iter().map(|e| e.stored.key.clone());
            let held: Vec<RecordKey> = held.collect();
            self.compare(&held, now);
        }
        effects
    }

    /// Takes note of a read that failed.
    pub fn fail_read(&mut self, reason: &str, now: Timestamp) -> Vec<ConfigEffect> {
        self.follower.fail(&self.timing, now, &mut self.rng, reason)
    }

    /// Takes in what a watch reported; an empty batch shows that it is alive.
    pub fn take_in_watch(
        &mut self,
        changes: Vec<StoreChange>,
        now: Timestamp,
    ) -> Vec<ConfigEffect> {
        self.follower.hear_watch(now);
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
    pub fn end_watch(&mut self, now: Timestamp) {
        self.follower.end_watch(now);
    }

    /// Takes note of a watch that failed.
    pub fn fail_watch(&mut self, reason: &str, now: Timestamp) -> Vec<ConfigEffect> {
        self.follower.end_watch(now);
        self.fail_read(reason, now)
    }

    /// Takes in a change that this host wrote to the store itself.
    pub fn accept(
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
    /// `vouched_at` is a time before which the heartbeat was not made, if one is
    /// known; see [`Membership::vouched_at`](crate::member::Membership::vouched_at).
    pub fn hear_peer(
        &mut self,
        peer: &MemberInfo,
        status: ConfigStatus,
        vouched_at: Option<Timestamp>,
        now: Timestamp,
    ) {
        if let (Some(age), Some(at)) = (status.store_age, vouched_at)
            && status.digest == self.records.digest()
        {
            self.follower.vouch(at - age);
        }
        self.sync
            .hear(peer, status.digest, &self.timing, now, &mut self.rng);
        if !self.is_informed(now) {
            self.sync.hurry(now);
        }
    }

    /// Takes in versions that a peer sent.
    pub fn take_in_push(
        &mut self,
        peer: &MemberInfo,
        records: impl IntoIterator<Item = StoredRecord>,
        now: Timestamp,
    ) -> Vec<ConfigEffect> {
        self.adopt(records, Source::Peer(peer), now)
    }

    /// Answers a peer that tells which versions it holds.
    #[must_use]
    pub fn answer_pull(&self, index: &RecordIndex) -> PullAnswer {
        let newer = self.records.newer_than(index);
        let total = newer.len();
        let records = within_message(newer);
        PullAnswer {
            has_more: records.len() < total,
            records,
            wanted: self.records.missing_from(index),
        }
    }

    /// Takes in the answer to a pull.
    pub fn take_in_pull(
        &mut self,
        peer: &MemberInfo,
        answer: PullAnswer,
        now: Timestamp,
    ) -> Vec<ConfigEffect> {
        let records = answer.records.iter().map(|record| (**record).clone());
        let records: Vec<StoredRecord> = records.collect();
        let mut effects = self.adopt(records, Source::Peer(peer), now);
        self.sync
            .finish(&peer.host, answer.has_more, &self.timing, now);
        let wanted = answer.wanted.iter().filter_map(|key| self.records.get(key));
        // What does not fit into one message the peer asks for itself.
        let records = within_message(wanted.map(|entry| entry.stored.clone()));
        if !records.is_empty() {
            let peers = vec![peer.clone()];
            effects.push(ConfigEffect::PushToPeers { peers, records });
        }
        effects
    }

    /// Takes note of a pull that failed.
    pub fn fail_pull(&mut self, peer: &MemberInfo, now: Timestamp) {
        self.sync.finish(&peer.host, false, &self.timing, now);
    }

    /// Takes in the outcome of a write-back.
    pub fn take_in_write_back(
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

    /// Merges versions; newer ones come into force and are passed on.
    fn adopt(
        &mut self,
        records: impl IntoIterator<Item = StoredRecord>,
        source: Source<'_>,
        now: Timestamp,
    ) -> Vec<ConfigEffect> {
        let mut effects = Vec::new();
        let mut adopted = Vec::new();
        for record in records {
            let key = record.key.clone();
            let generation = record.generation();
            match Arc::make_mut(&mut self.records).merge(record) {
                MergeOutcome::Same => {}
                MergeOutcome::Stale => {
                    if let Source::Peer(peer) = source {
                        let reason = format!("{} sent generation {generation}", peer.host);
                        effects.push(key_event(EventKind::RecordStale, &key, reason));
                    }
                }
                MergeOutcome::Adopted => {
                    let reason = format!("generation {generation} from {source}");
                    effects.push(key_event(EventKind::RecordInForce, &key, reason));
                    adopted.push(key);
                }
            }
        }
        if adopted.is_empty() {
            return effects;
        }
        self.sync.remember(self.records.digest());
        effects.push(ConfigEffect::RecordsChanged);
        self.compare(&adopted, now);
        effects.extend(self.pass_on(&adopted, source));
        effects
    }

    /// Sends versions to the peers of the domain, unless one of them sent them.
    ///
    /// Of the hosts that watch the store only the first one sends; the peers ask
    /// the second one if its digest shows that it knows more.
    fn pass_on(&self, keys: &[RecordKey], source: Source<'_>) -> Option<ConfigEffect> {
        let is_first = match source {
            Source::Peer(peer) => peer.failure_domain != self.failure_domain,
            Source::Store("write") => true,
            Source::Store(_) => self.follower.position() == Some(0),
        };
        if !is_first || keys.len() > MAX_PUSHED {
            return None;
        }
        let digest = self.records.digest();
        let lacks = |peer: &&MemberInfo| self.sync.digest_of(&peer.host) != Some(digest);
        let peers: Vec<MemberInfo> = self.peers.iter().filter(lacks).cloned().collect();
        if peers.is_empty() {
            return None;
        }
        let records = keys.iter().filter_map(|key| self.records.get(key));
        let records = within_message(records.map(|entry| entry.stored.clone()));
        Some(ConfigEffect::PushToPeers { peers, records })
    }

    /// Compares records with what the store holds, if this host follows it.
    fn compare(&mut self, keys: &[RecordKey], now: Timestamp) {
        if !self.follower.is_watching() {
            return;
        }
        for key in keys {
            self.store
                .compare(key, &self.records, &self.timing, now, &mut self.rng);
        }
    }
}

impl std::fmt::Display for Source<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Store(call) => write!(f, "the store, by {call}"),
            Self::Peer(peer) => write!(f, "host {}", peer.host),
        }
    }
}

/// Returns the first records, at least one, that fit into one message.
fn within_message(records: impl IntoIterator<Item = Arc<StoredRecord>>) -> Vec<Arc<StoredRecord>> {
    let mut size = 0;
    let mut fitting = Vec::new();
    for record in records {
        size += record.to_store().len();
        if size > MAX_MESSAGE_SIZE && !fitting.is_empty() {
            break;
        }
        fitting.push(record);
    }
    fitting
}

pub(super) fn key_event(kind: EventKind, key: &RecordKey, reason: String) -> ConfigEffect {
    let subject = EventSubject::record(&key.name);
    let event = EventDraft::new(kind, subject, reason).caused_by(key.to_string());
    ConfigEffect::Emit(event)
}
