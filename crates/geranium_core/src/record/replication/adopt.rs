//! Adoption of newer versions and their propagation to peers.

use std::fmt;
use std::sync::Arc;

use super::replica::record_event;
use super::{ConfigEffect, ConfigReplica, PullAnswer};
use crate::event::EventKind;
use crate::member::MemberInfo;
use crate::record::{MergeOutcome, RecordIndex, RecordKey, StoredRecord};
use crate::time::Timestamp;

/// Maximum total size of the records in one message to a peer, in bytes.
const MAX_MESSAGE_SIZE: usize = 512 * 1_024;

/// Maximum number of records in a push; peers pull larger changes.
const MAX_PUSHED: usize = 64;

/// Origin of received versions.
#[derive(Clone, Copy, Debug)]
pub(super) enum Source<'a> {
    Store(&'static str),
    Peer(&'a MemberInfo),
}

impl ConfigReplica {
    /// Merges versions that a peer pushed.
    pub fn handle_push(
        &mut self,
        peer: &MemberInfo,
        records: impl IntoIterator<Item = StoredRecord>,
        now: Timestamp,
    ) -> Vec<ConfigEffect> {
        self.adopt(records, Source::Peer(peer), now)
    }

    /// Answers a pull of a peer that holds the versions in `index`.
    #[must_use]
    pub fn answer_pull(&self, index: &RecordIndex) -> PullAnswer {
        let newer = self.records.newer_than(index);
        let total = newer.len();
        let records = limit_to_message_size(newer);
        PullAnswer {
            has_more: records.len() < total,
            records,
            wanted: self.records.keys_newer_in(index),
        }
    }

    /// Merges the answer to a pull and sends the records that the peer wants.
    pub fn handle_pull_answer(
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
        // The peer pulls the records that do not fit into one message.
        let records = limit_to_message_size(wanted.map(|entry| entry.stored.clone()));
        if !records.is_empty() {
            let peers = vec![peer.clone()];
            effects.push(ConfigEffect::PushToPeers { peers, records });
        }
        effects
    }

    /// Merges versions; newer ones come into force and are pushed to peers.
    pub(super) fn adopt(
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
                        effects.push(record_event(EventKind::RecordStale, &key, reason));
                    }
                }
                MergeOutcome::Adopted => {
                    let reason = format!("generation {generation} from {source}");
                    effects.push(record_event(EventKind::RecordInForce, &key, reason));
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
        effects.extend(self.forward_to_peers(&adopted, source));
        effects
    }

    /// Pushes versions to the peers of this failure domain, unless they came from
    /// one of them.
    ///
    /// Of the hosts that watch the store, only the first one pushes. Peers pull
    /// from the second one if its digest shows that it holds newer versions.
    fn forward_to_peers(&self, keys: &[RecordKey], source: Source<'_>) -> Option<ConfigEffect> {
        let is_first = match source {
            Source::Peer(peer) => peer.failure_domain != self.failure_domain,
            Source::Store("write") => true,
            Source::Store(_) => self.follower.position() == Some(0),
        };
        if !is_first || keys.len() > MAX_PUSHED {
            return None;
        }
        let digest = self.records.digest();
        let has_other_digest = |peer: &&MemberInfo| self.sync.digest_of(&peer.host) != Some(digest);
        let peers: Vec<MemberInfo> = self
            .peers
            .iter()
            .filter(has_other_digest)
            .cloned()
            .collect();
        if peers.is_empty() {
            return None;
        }
        let records = keys.iter().filter_map(|key| self.records.get(key));
        let records = limit_to_message_size(records.map(|entry| entry.stored.clone()));
        Some(ConfigEffect::PushToPeers { peers, records })
    }
}

impl fmt::Display for Source<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(call) => write!(f, "the store, by {call}"),
            Self::Peer(peer) => write!(f, "host {}", peer.host),
        }
    }
}

/// Returns the leading records that fit into one message, but at least one.
fn limit_to_message_size(
    records: impl IntoIterator<Item = Arc<StoredRecord>>,
) -> Vec<Arc<StoredRecord>> {
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
