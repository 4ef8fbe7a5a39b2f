//! Schedule of the pulls from peers.

use std::collections::{BTreeMap, VecDeque};

use rand::Rng;

use super::ReplicationTiming;
use super::follower::random_up_to;
use crate::id::HostId;
use crate::member::MemberInfo;
use crate::record::ConfigDigest;
use crate::time::Timestamp;

/// Maximum number of own digests that are remembered.
const MAX_RECENT_DIGESTS: usize = 256;

/// Maximum number of concurrent pulls.
const MAX_PULLS: usize = 2;

/// Time without a heartbeat after which a peer is forgotten, in pull timeouts.
const FORGET_AFTER_TIMEOUTS: u32 = 20;

/// Decides when to pull records from which peer.
///
/// A peer whose digest is one of this host's recent digests is merely behind and
/// will pull itself. Any other digest means that the peer has newer versions.
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
    /// Time of the next pull, if the digest is not a recent one of this host.
    due: Option<Timestamp>,
    asked_at: Option<Timestamp>,
}

impl PeerSync {
    /// Remembers a digest of this host's records.
    pub(super) fn remember(&mut self, own: ConfigDigest) {
        if self.recent.back() == Some(&own) {
            return;
        }
        self.recent.push_back(own);
        if self.recent.len() > MAX_RECENT_DIGESTS {
            self.recent.pop_front();
        }
    }

    /// Records the digest in a peer's heartbeat, and schedules a pull if the
    /// digest is unknown.
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

    /// Returns the last digest that a peer reported.
    pub(super) fn digest_of(&self, host: &HostId) -> Option<ConfigDigest> {
        self.peers.get(host).map(|peer| peer.digest)
    }

    /// Makes all scheduled pulls due at once.
    pub(super) fn pull_immediately(&mut self, now: Timestamp) {
        for peer in self.peers.values_mut() {
            peer.due = peer.due.map(|due| due.min(now));
        }
    }

    /// Returns the peers to pull from now.
    pub(super) fn due_pulls(
        &mut self,
        timing: &ReplicationTiming,
        now: Timestamp,
    ) -> Vec<MemberInfo> {
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

    /// Handles the end of a pull.
    ///
    /// The next pull from the peer is delayed, unless the peer has more to send.
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
