//! Which peers are to be asked for records.

use std::collections::{BTreeMap, VecDeque};

use rand::Rng;

use super::ReplicationTiming;
use super::follower::random_up_to;
use crate::id::HostId;
use crate::member::MemberInfo;
use crate::record::ConfigDigest;
use crate::time::Timestamp;

/// Own digests that are remembered.
const MAX_RECENT_DIGESTS: usize = 256;

/// Most pulls that wait for their outcome.
const MAX_PULLS: usize = 2;

/// Time after which a peer that is no longer heard of is forgotten, in pull timeouts.
const FORGET_AFTER_TIMEOUTS: u32 = 20;

/// Which peers are to be asked for records.
///
/// A peer whose digest this host had itself a moment ago is only behind, and will
/// ask in turn. Any other digest means that the peer has something new.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerSync {
    peers: BTreeMap<HostId, PeerDigest>,
    recent: VecDeque<ConfigDigest>,
}

#[derive(Clone, Debug)]
struct PeerDigest {
    info: MemberInfo,
    digest: ConfigDigest,
    heard_at: Timestamp,
    /// When to ask, if the digest is not known here.
    due: Option<Timestamp>,
    asked_at: Option<Timestamp>,
}

impl PeerSync {
    /// Remembers a digest that this host has had.
    pub(super) fn remember(&mut self, own: ConfigDigest) {
        if self.recent.back() == Some(&own) {
            return;
        }
        self.recent.push_back(own);
        if self.recent.len() > MAX_RECENT_DIGESTS {
            self.recent.pop_front();
        }
    }

    /// Takes note of the digest of a peer.
    pub(super) fn observe_digest(
        &mut self,
        info: &MemberInfo,
        digest: ConfigDigest,
        timing: &ReplicationTiming,
        now: Timestamp,
        rng: &mut impl Rng,
    ) {
        let is_known = self.recent.contains(&digest);
        let delay = timing.pull_delay + random_up_to(timing.pull_jitter, rng);
        let peer = self.peers.entry(info.host.clone()).or_insert(PeerDigest {
            info: info.clone(),
            digest,
            heard_at: now,
            due: None,
            asked_at: None,
        });
        peer.info = info.clone();
        peer.digest = digest;
        peer.heard_at = now;
        peer.due = match peer.due {
            _ if is_known => None,
            Some(due) => Some(due),
            None => Some(now + delay),
        };
    }

    /// Returns the digest that a peer reported last.
    pub(super) fn digest_of(&self, host: &HostId) -> Option<ConfigDigest> {
        self.peers.get(host).map(|peer| peer.digest)
    }

    /// Lets every peer with an unknown digest be asked at once.
    pub(super) fn pull_immediately(&mut self, now: Timestamp) {
        for peer in self.peers.values_mut() {
            peer.due = peer.due.map(|due| due.min(now));
        }
    }

    /// Returns the peers that are to be asked now.
    pub(super) fn due(&mut self, timing: &ReplicationTiming, now: Timestamp) -> Vec<MemberInfo> {
        let retention = timing.pull_timeout * FORGET_AFTER_TIMEOUTS;
        self.peers
            .retain(|_, peer| now.since(peer.heard_at) < retention);
        let recent = &self.recent;
        for peer in self.peers.values_mut() {
            let is_timed_out = |at: &Timestamp| now.since(*at) > timing.pull_timeout;
            peer.asked_at = peer.asked_at.filter(|at| !is_timed_out(at));
            if recent.contains(&peer.digest) {
                peer.due = None;
            }
        }
        let asked = self.peers.values().filter(|p| p.asked_at.is_some()).count();
        let free = MAX_PULLS.saturating_sub(asked);
        let is_due = |p: &PeerDigest| p.asked_at.is_none() && p.due.is_some_and(|due| due <= now);
        let due = self.peers.values_mut().filter(|p| is_due(p)).take(free);
        let mut targets = Vec::new();
        for peer in due {
            peer.asked_at = Some(now);
            targets.push(peer.info.clone());
        }
        targets
    }

    /// Takes note that a pull has an outcome.
    ///
    /// The next one waits; after an answer with more to come it does not.
    pub(super) fn finish(
        &mut self,
        host: &HostId,
        has_more: bool,
        timing: &ReplicationTiming,
        now: Timestamp,
    ) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.asked_at = None;
            let wait = if has_more {
                std::time::Duration::ZERO
            } else {
                timing.pull_delay + timing.pull_jitter
            };
            peer.due = peer.due.map(|_| now + wait);
        }
    }
}
